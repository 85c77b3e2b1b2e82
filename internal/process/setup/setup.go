// Package setup reads a node's settings from an INI file.
package setup

import (
	"math"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
)

// Settings are a node's settings.
type Settings struct {
	// Dialect is the form in which callers, the upstream and the operators
	// speak with the node.
	Dialect Dialect
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	// Service is the service of the upstream beside the node, empty for what
	// the upstream announces.
	Service string
	// Zone is the node's availability zone.
	Zone string

	// Admin, Callers, Peers and Upstream are the addresses of the listeners.
	Admin, Callers, Peers, Upstream netip.AddrPort
	// PeersBind is the address to listen on for peers, which is Peers unless others
	// reach that through a forwarder.
	PeersBind netip.AddrPort
	// Source is the address that connections to other nodes and the upstream come
	// from, if it is valid: for hosts with several.
	Source netip.Addr
	// Ready is the address that tells whether the node takes requests, if it is
	// valid.
	Ready netip.AddrPort
	// Server is the address of the upstream, where it is known beforehand.
	Server netip.AddrPort

	// Platform is the base URL of the platform's object API.
	Platform string

	// Join are addresses of peers to join at when the platform does not answer.
	Join []netip.AddrPort
	// Secret is shared by all nodes. Where it is not known, it is kept in the
	// platform's store.
	Secret *fleet.Secret
	// Shards is the number of shards of the customers' rates in each zone. It is
	// the same on all nodes.
	Shards int
	// Zones are the names of all availability zones, sorted. They are the same
	// on all nodes.
	Zones []string

	// Drain bounds how long a graceful stop waits for requests in flight.
	Drain time.Duration
	// Expiry is how long an announcement of the upstream counts.
	Expiry time.Duration
	// FirstByte bounds the wait for an upstream's first byte.
	FirstByte time.Duration
	// Grace is the time after a request to stop at which the process is killed, 0
	// for never. Drain and LameDuck are within it.
	Grace time.Duration
	// HeaderBytes bounds the size of a request's header.
	HeaderBytes int
	// Idle bounds each pause within a body.
	Idle time.Duration
	// InFlight bounds the requests that the node holds at a time.
	InFlight int
	// Procs is the number of processors that the node uses at a time.
	Procs int

	// LameDuck is how long a node that stops goes on serving, so that callers and
	// other nodes learn of it.
	LameDuck time.Duration
	// RetryRatio and RetrySlack bound the retries to a service, by all nodes
	// together, to a part of its requests and a number.
	RetryRatio, RetrySlack float64

	// Spans is the file that spans are written to; "-" is standard output and
	// empty turns tracing off.
	Spans string
}

// Dialect is the form in which callers, the upstream and the operators speak
// with a node.
type Dialect string

// Values of Dialect.
const (
	// DialectNative is the product's own.
	DialectNative Dialect = "Native"
	// DialectPlatform is the users' platform's.
	DialectPlatform Dialect = "Platform"
)

// reader reads values and keeps the first error.
type reader struct {
	file *ini.File
	name string
	err  error
	used map[string][]string
}

// Load reads settings from a file. An error names the file, section and key
// and what was expected.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	return Parse(name, data)
}

// Parse reads settings from the contents of a file.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", name, err)
	}
	r := &reader{file: file, name: name, used: make(map[string][]string)}
	s := &Settings{
		Admin:       r.address("Listen", "Admin"),
		Callers:     r.address("Listen", "Callers"),
		Dialect:     r.dialect("Node", "Dialect"),
		Drain:       r.duration("Limits", "Drain", 10*time.Minute),
		Expiry:      r.duration("Limits", "Expiry", 3*time.Second),
		FirstByte:   r.duration("Limits", "FirstByte", time.Minute),
		FirstStart:  r.text("Node", "FirstStart", false) == "true",
		Grace:       r.duration("Limits", "Grace", 0),
		HeaderBytes: r.number("Limits", "HeaderBytes", 32<<10, 1<<10, 1<<20),
		Idle:        r.duration("Limits", "Idle", 30*time.Second),
		InFlight:    r.number("Limits", "InFlight", 10000, 1, 1000000),
		Join:        r.addresses("Fleet", "Join"),
		LameDuck:    r.duration("Limits", "LameDuck", 2*time.Second),
		Peers:       r.address("Listen", "Peers"),
		PeersBind:   r.optionalAddress("Listen", "PeersBind"),
		Platform:    r.url("Platform", "URL"),
		Procs:       r.number("Limits", "Procs", 2, 1, 256),
		Ready:       r.optionalAddress("Listen", "Ready"),
		RetryRatio:  r.fraction("Limits", "RetryRatio", 0.1),
		RetrySlack:  r.fraction("Limits", "RetrySlack", 0),
		Secret:      r.secret("Fleet", "Secret"),
		Server:      r.optionalAddress("Listen", "Server"),
		Service:     r.text("Node", "Service", false),
		Shards:      r.number("Fleet", "Shards", 1, 1, 1024),
		Source:      r.source("Listen", "Source"),
		Spans:       r.text("Trace", "Spans", false),
		Upstream:    r.address("Listen", "Upstream"),
		Zone:        r.text("Node", "Zone", true),
		Zones:       r.names("Fleet", "Zones"),
	}
	r.checkUnknown()
	if r.err == nil && !slices.Contains(s.Zones, s.Zone) {
		r.fail("Node", "Zone", s.Zone, "one of Zones of [Fleet]")
	}
	if r.err == nil && s.Dialect == DialectNative && !s.Secret.Known() {
		r.fail("Fleet", "Secret", "", "a value, but it is missing")
	}
	if r.err != nil {
		return nil, trace.Wrap(r.err)
	}
	if !s.PeersBind.IsValid() {
		s.PeersBind = s.Peers
	}
	s.keepGrace()
	return s, nil
}

// Parts of the grace that a stop may take.
const (
	drainPart    = 0.88
	lameDuckPart = 0.55
)

// keepGrace shortens the times of a stop so that it ends within the grace.
func (s *Settings) keepGrace() {
	if s.Grace == 0 {
		return
	}
	s.Drain = min(s.Drain, time.Duration(drainPart*float64(s.Grace)))
	s.LameDuck = min(s.LameDuck, time.Duration(lameDuckPart*float64(s.Grace)))
}

func (r *reader) fail(section, key, value, want string) {
	if r.err == nil {
		r.err = trace.BadParameter("%s: [%s] %s = %q: want %s", r.name, section, key, value, want)
	}
}

func (r *reader) text(section, key string, required bool) string {
	r.used[section] = append(r.used[section], key)
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		if required {
			r.fail(section, key, "", "a value, but it is missing")
		}
		return ""
	}
	values := r.file.Section(section).Key(key).ValueWithShadows()
	if len(values) > 1 {
		r.fail(section, key, strings.Join(values, ", "), "one value, but it is repeated")
		return ""
	}
	value := r.file.Section(section).Key(key).String()
	if required && value == "" {
		r.fail(section, key, value, "a value, but it is empty")
	}
	return value
}

func (r *reader) address(section, key string) netip.AddrPort {
	value := r.text(section, key, true)
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		r.fail(section, key, value, "an IP address and port, as in 127.0.0.1:8000")
	}
	return address
}

// optionalAddress returns an address, or one that is not valid if it is missing.
func (r *reader) optionalAddress(section, key string) netip.AddrPort {
	if r.text(section, key, false) == "" {
		return netip.AddrPort{}
	}
	return r.address(section, key)
}

// source returns an IP address, or one that is not valid if it is missing.
func (r *reader) source(section, key string) netip.Addr {
	value := r.text(section, key, false)
	if value == "" {
		return netip.Addr{}
	}
	address, err := netip.ParseAddr(value)
	if err != nil {
		r.fail(section, key, value, "an IP address, as in 127.0.0.1")
	}
	return address
}

func (r *reader) addresses(section, key string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, value := range split(r.text(section, key, false)) {
		address, err := netip.ParseAddrPort(value)
		if err != nil {
			r.fail(section, key, value, "IP addresses and ports with commas between them")
		}
		all = append(all, address)
	}
	return all
}

func (r *reader) dialect(section, key string) Dialect {
	switch value := Dialect(r.text(section, key, false)); value {
	case "":
		return DialectNative
	case DialectNative, DialectPlatform:
		return value
	default:
		r.fail(section, key, string(value), "Native or Platform")
		return value
	}
}

func (r *reader) duration(section, key string, preset time.Duration) time.Duration {
	value := r.text(section, key, false)
	if value == "" {
		return preset
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		r.fail(section, key, value, "a duration above 0, as in 30s")
	}
	return d
}

func (r *reader) fraction(section, key string, preset float64) float64 {
	value := r.text(section, key, false)
	if value == "" {
		return preset
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || !(f >= 0) || math.IsInf(f, 0) {
		r.fail(section, key, value, "a number of 0 or more")
	}
	return f
}

func (r *reader) names(section, key string) []string {
	all := split(r.text(section, key, true))
	slices.Sort(all)
	if len(slices.Compact(slices.Clone(all))) != len(all) {
		r.fail(section, key, strings.Join(all, ","), "each name once")
	}
	return all
}

func (r *reader) number(section, key string, preset, least, most int) int {
	value := r.text(section, key, false)
	if value == "" {
		return preset
	}
	n, err := r.file.Section(section).Key(key).Int()
	if err != nil || n < least || n > most {
		r.fail(section, key, value, trace.BadParameter("a whole number from %d to %d", least, most).Error())
	}
	return n
}

func (r *reader) secret(section, key string) *fleet.Secret {
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		r.used[section] = append(r.used[section], key)
		return &fleet.Secret{}
	}
	value := r.text(section, key, true)
	secret, err := fleet.NewSecret(value)
	if err != nil {
		r.fail(section, key, "...", "at least 16 characters")
	}
	return secret
}

func (r *reader) url(section, key string) string {
	value := r.text(section, key, true)
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		r.fail(section, key, value, "a URL, as in http://127.0.0.1:7000")
	}
	return strings.TrimRight(value, "/")
}

func (r *reader) checkUnknown() {
	for _, section := range r.file.Sections() {
		keys := r.used[section.Name()]
		if keys == nil && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			r.fail(section.Name(), "", "", "a section that is known")
		}
		for _, key := range section.Keys() {
			if !slices.Contains(keys, key.Name()) {
				r.fail(section.Name(), key.Name(), key.String(), "a key that is known")
			}
		}
	}
}

func split(value string) []string {
	var all []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all
}
