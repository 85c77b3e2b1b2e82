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

// Settings are the settings of a node.
type Settings struct {
	// Dialect is the protocol between the node and its callers, its upstream and the
	// operators.
	Dialect Dialect
	// FirstStart is set if the whole fleet is starting for the first time.
	FirstStart bool
	// Service is the service of the upstream beside the node. If it is empty, the
	// upstream announces its service.
	Service string
	// Zone is the node's availability zone.
	Zone string

	// Admin, Callers, Peers and Upstream are the addresses of the listeners for the
	// operators, callers, other nodes and the upstream.
	Admin, Callers, Peers, Upstream netip.AddrPort
	// PeersBind is the address that the listener for other nodes binds to. It differs
	// from Peers if other nodes reach that address through a proxy.
	PeersBind netip.AddrPort
	// Source is the local address of connections to other nodes and to the upstream,
	// for hosts with several addresses. If it is not valid, the system chooses one.
	Source netip.Addr
	// Ready is the address of an additional listener that serves the same paths as the
	// one at Admin, for readiness checks of the node. If it is not valid, there is no
	// such listener.
	Ready netip.AddrPort
	// Server is the address of the upstream. It is not valid if the address is only known
	// from the upstream's announcement.
	Server netip.AddrPort

	// Platform is the base URL of the platform's object API.
	Platform string

	// Join are addresses of peers through which the node can join the fleet while the
	// platform does not answer.
	Join []netip.AddrPort
	// Secret is the secret that all nodes share. If it is not in the settings file, it
	// is kept in the platform's store and becomes known after the start.
	Secret *fleet.Secret
	// Shards is the number of shards into which each zone divides the customers' rates
	// and the claims of idempotency keys. It must be the same on all nodes.
	Shards int
	// Regions are the regions of the availability zones. Zones that are not in it are in no
	// known region.
	Regions map[string]string
	// Zones are the names of all availability zones, sorted. They must be the same on
	// all nodes.
	Zones []string

	// Drain limits the duration of a graceful stop, during which the node waits for
	// requests in flight.
	Drain time.Duration
	// Expiry is how long an announcement of the upstream is valid.
	Expiry time.Duration
	// FirstByte limits the wait for the first byte of an upstream's response.
	FirstByte time.Duration
	// Grace is the time after which the process is killed when it has been asked to
	// stop, 0 for never. Parse shortens Drain and LameDuck so that they fit into it.
	Grace time.Duration
	// HeaderBytes limits the size of a request's header in bytes.
	HeaderBytes int
	// Idle limits each wait for the next part of a body.
	Idle time.Duration
	// InFlight limits the number of requests that the node handles at a time.
	InFlight int
	// Procs is the number of processors that the node uses at a time.
	Procs int

	// LameDuck is how long a stopping node keeps accepting requests, so that callers
	// and other nodes learn that it is leaving.
	LameDuck time.Duration
	// RetryRatio and RetrySlack limit the retries that all nodes together make to a
	// service, to RetryRatio per request plus RetrySlack. If RetrySlack is 0, each node
	// uses its own default limits.
	RetryRatio, RetrySlack float64

	// Spans is the file that spans are written to, "-" for standard output. If it is
	// empty, tracing is off.
	Spans string
}

// Dialect is the protocol between a node and its callers, its upstream and the
// operators.
type Dialect string

// Values of Dialect.
const (
	// DialectNative is wasabibend's own protocol.
	DialectNative Dialect = "Native"
	// DialectPlatform is the protocol of the users' platform.
	DialectPlatform Dialect = "Platform"
)

// reader reads values from a settings file and keeps the first error.
type reader struct {
	file *ini.File
	name string
	err  error
	keys map[string][]string // known keys by section: all that were looked up
}

// Load reads settings from a file. It returns an error if the file cannot be read, or
// the error of Parse.
func Load(name string) (*Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	return Parse(name, data)
}

// Parse reads settings from the contents of the file with the given name. An error
// names the file, the section and the key, and says which value was expected.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "=", SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", name, err)
	}
	r := &reader{file: file, name: name, keys: make(map[string][]string)}
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
		Regions:     r.pairs("Fleet", "Regions"),
		RetryRatio:  r.nonNegative("Limits", "RetryRatio", 0.1),
		RetrySlack:  r.nonNegative("Limits", "RetrySlack", 0),
		Secret:      r.secret("Fleet", "Secret"),
		Server:      r.optionalAddress("Listen", "Server"),
		Service:     r.text("Node", "Service", false),
		Shards:      r.number("Fleet", "Shards", 1, 1, 1024),
		Source:      r.optionalIP("Listen", "Source"),
		Spans:       r.text("Trace", "Spans", false),
		Upstream:    r.address("Listen", "Upstream"),
		Zone:        r.text("Node", "Zone", true),
		Zones:       r.uniqueNames("Fleet", "Zones"),
	}
	r.checkUnknown()
	if r.err == nil && !slices.Contains(s.Zones, s.Zone) {
		r.fail("Node", "Zone", s.Zone, "one of the Zones in [Fleet]")
	}
	for zone := range s.Regions {
		if r.err == nil && !slices.Contains(s.Zones, zone) {
			r.fail("Fleet", "Regions", zone, "only the Zones in [Fleet]")
		}
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
	s.fitIntoGrace()
	return s, nil
}

// Maximum shares of Grace that Drain and LameDuck take.
const (
	maxDrainShare    = 0.88
	maxLameDuckShare = 0.55
)

// fitIntoGrace shortens Drain and LameDuck so that a graceful stop ends before the
// process is killed.
func (s *Settings) fitIntoGrace() {
	if s.Grace == 0 {
		return
	}
	s.Drain = min(s.Drain, time.Duration(maxDrainShare*float64(s.Grace)))
	s.LameDuck = min(s.LameDuck, time.Duration(maxLameDuckShare*float64(s.Grace)))
}

// fail records an error unless there is one already.
func (r *reader) fail(section, key, value, want string) {
	if r.err == nil {
		r.err = trace.BadParameter("%s: [%s] %s = %q: want %s", r.name, section, key, value, want)
	}
}

// text returns the value of a key, or an empty string if the key is missing. It records
// an error if the key occurs several times, or if it is required and missing or empty.
func (r *reader) text(section, key string, required bool) string {
	r.keys[section] = append(r.keys[section], key)
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

// optionalAddress returns an address and port, which is not valid if the key is missing
// or empty.
func (r *reader) optionalAddress(section, key string) netip.AddrPort {
	if r.text(section, key, false) == "" {
		return netip.AddrPort{}
	}
	return r.address(section, key)
}

// optionalIP returns an IP address, which is not valid if the key is missing or empty.
func (r *reader) optionalIP(section, key string) netip.Addr {
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
	for _, value := range splitList(r.text(section, key, false)) {
		address, err := netip.ParseAddrPort(value)
		if err != nil {
			r.fail(section, key, value, "IP addresses and ports separated by commas")
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

func (r *reader) duration(section, key string, defaultValue time.Duration) time.Duration {
	value := r.text(section, key, false)
	if value == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil || d <= 0 {
		r.fail(section, key, value, "a duration above 0, as in 30s")
	}
	return d
}

// nonNegative returns a number of 0 or more.
func (r *reader) nonNegative(section, key string, defaultValue float64) float64 {
	value := r.text(section, key, false)
	if value == "" {
		return defaultValue
	}
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || !(f >= 0) || math.IsInf(f, 0) {
		r.fail(section, key, value, "a number of 0 or more")
	}
	return f
}

// uniqueNames returns a sorted list of names. It records an error if a name occurs
// twice.
func (r *reader) uniqueNames(section, key string) []string {
	all := splitList(r.text(section, key, true))
	slices.Sort(all)
	if len(slices.Compact(slices.Clone(all))) != len(all) {
		r.fail(section, key, strings.Join(all, ","), "each name once")
	}
	return all
}

// pairs returns a list of names, each with a value after a colon. It records an error if a
// name or value is missing, or if a name occurs twice.
func (r *reader) pairs(section, key string) map[string]string {
	var all map[string]string
	for _, pair := range splitList(r.text(section, key, false)) {
		name, value, ok := strings.Cut(pair, ":")
		if _, twice := all[name]; !ok || name == "" || value == "" || twice {
			r.fail(section, key, pair, "names and values, as in zone:region, each name once")
			continue
		}
		if all == nil {
			all = make(map[string]string)
		}
		all[name] = value
	}
	return all
}

func (r *reader) number(section, key string, defaultValue, smallest, largest int) int {
	value := r.text(section, key, false)
	if value == "" {
		return defaultValue
	}
	n, err := r.file.Section(section).Key(key).Int()
	if err != nil || n < smallest || n > largest {
		r.fail(section, key, value, trace.BadParameter("a whole number from %d to %d", smallest, largest).Error())
	}
	return n
}

// secret returns a secret, which is not known yet if the key is missing. Its errors do
// not show the secret.
func (r *reader) secret(section, key string) *fleet.Secret {
	if !r.file.HasSection(section) || !r.file.Section(section).HasKey(key) {
		r.keys[section] = append(r.keys[section], key)
		return &fleet.Secret{}
	}
	value := r.text(section, key, true)
	secret, err := fleet.NewSecret(value)
	if err != nil {
		r.fail(section, key, "...", "at least 16 bytes")
	}
	return secret
}

func (r *reader) url(section, key string) string {
	value := r.text(section, key, true)
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		r.fail(section, key, value, "an HTTP URL, as in http://127.0.0.1:7000")
	}
	return strings.TrimRight(value, "/")
}

// checkUnknown records an error if the file has a section or key that is not known. It
// must be called after all keys were looked up.
func (r *reader) checkUnknown() {
	for _, section := range r.file.Sections() {
		known := r.keys[section.Name()]
		if known == nil && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			r.fail(section.Name(), "", "", "a known section")
		}
		for _, key := range section.Keys() {
			if !slices.Contains(known, key.Name()) {
				r.fail(section.Name(), key.Name(), key.String(), "a known key")
			}
		}
	}
}

// splitList returns the elements of a list that is separated by commas, without spaces
// around them and without empty ones.
func splitList(value string) []string {
	var all []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			all = append(all, part)
		}
	}
	return all
}
