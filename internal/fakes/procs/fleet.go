// Package procs runs a fleet of separate processes on loopback addresses: the
// platform's stand-in, and hosts with a node and an upstream each.
package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// Ports of the listeners on each host's address.
const (
	portAdmin    = 8003
	portCallers  = 8000
	portLock     = 7999
	portPeers    = 8001
	portPlatform = 7000
	portReady    = 8004
	portServer   = 9000
	portUpstream = 8002
)

// forwarded is what is added to a listener's port for that of its forwarder.
const forwarded = 100

// Bounds of waiting.
const (
	awaitPoll = 50 * time.Millisecond
	awaitTime = 20 * time.Second
	lockTries = 100
)

// Host is a host with a node and, if it has a service, an upstream.
type Host struct {
	Name     string
	Node     *Process
	Service  string
	Upstream *Process
	Zone     string
	ip       netip.Addr
}

// Address returns the address of a listener of the host.
func (h *Host) address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(h.ip, port)
}

// Admin returns the address of the node's administration listener.
func (h *Host) Admin() netip.AddrPort {
	return h.address(portAdmin)
}

// Callers returns the address of the node's listener for callers.
func (h *Host) Callers() netip.AddrPort {
	return h.address(portCallers)
}

// Peers returns the address of the node's listener for peers.
func (h *Host) Peers() netip.AddrPort {
	return h.address(portPeers)
}

// Reports returns the address of the node's listener for its upstream.
func (h *Host) Reports() netip.AddrPort {
	return h.address(portUpstream)
}

// IP returns the address that all listeners of the host share.
func (h *Host) IP() netip.Addr {
	return h.ip
}

// Ready returns the address that tells whether the node takes requests.
func (h *Host) Ready() netip.AddrPort {
	return h.address(portReady)
}

// Server returns the address of the upstream.
func (h *Host) Server() netip.AddrPort {
	return h.address(portServer)
}

// Forwards are the addresses at which a fleet's processes reach the listeners of a
// host and the platform, where something stands between them.
type Forwards struct {
	Peers, Platform, Server netip.AddrPort
}

// Forwards returns the addresses for forwarders to the listeners of a host.
func (h *Host) Forwards() Forwards {
	return Forwards{Peers: h.address(portPeers + forwarded), Platform: h.address(portPlatform + forwarded), Server: h.address(portServer + forwarded)}
}

// Options are the properties of a Fleet.
type Options struct {
	// Dir is where settings and logs are written.
	Dir string
	// Forwarded tells that the processes reach each other and the platform by the
	// Forwards of each host.
	Forwarded bool
	// Hosts are written as ZONE:SERVICE, with "-" for no upstream.
	Hosts []string
	// Programs returns the path of a program: platform, upstream, wasabibend.
	Programs func(name string) (string, error)
	// Settings are lines that are added to each node's settings.
	Settings string
	// Upstream returns the program and the arguments of a host's upstream, nil for
	// the stand-in that speaks the product's own interface.
	Upstream func(host *Host) (program string, args []string)
	// UpstreamArgs are further arguments of each upstream.
	UpstreamArgs []string
	// UsersPlatform lets the nodes speak the users' platform's formats.
	UsersPlatform bool
}

// Fleet is a set of processes.
type Fleet struct {
	Hosts    []*Host
	Platform *Process
	URL      string
	lock     net.Listener
	options  Options
	prefix   [2]byte // of all addresses
}

// New returns a Fleet whose processes are not started yet, on addresses of its
// own.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options}
	var err error
	if f.prefix, err = f.claim(); err != nil {
		return nil, trace.Wrap(err)
	}
	address := f.PlatformAddress()
	f.URL = "http://" + address.String()
	if f.Platform, err = f.process("platform", "platform", "-listen", address.String()); err != nil {
		return nil, trace.Wrap(err)
	}
	for i, spec := range options.Hosts {
		host, err := f.host(i, spec)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		f.Hosts = append(f.Hosts, host)
	}
	return f, nil
}

// Start starts all processes and waits until each node knows all the others
// and their upstreams.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StartPlatform(ctx); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.StartHosts(ctx))
}

// StartPlatform starts the platform's stand-in and waits until it answers.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	if err := f.Platform.Start(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.awaitPlatform(ctx))
}

// StartHosts starts the processes of all hosts and waits until each node knows
// all the others and their upstreams.
func (f *Fleet) StartHosts(ctx context.Context) error {
	for _, host := range f.Hosts {
		if err := host.Node.Start(); err != nil {
			return trace.Wrap(err)
		}
		if host.Upstream != nil {
			if err := host.Upstream.Start(); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return trace.Wrap(f.AwaitSettled(ctx))
}

// AwaitSettled waits until each running node sees all upstreams as ready and
// an allocator is held in each availability zone.
func (f *Fleet) AwaitSettled(ctx context.Context) error {
	return Await(ctx, func() error {
		allocators := make(map[string]int)
		for _, host := range f.Hosts {
			status, err := f.Status(ctx, host)
			if err != nil {
				return trace.Wrap(err)
			}
			allocators[host.Zone] += len(status.Allocators)
			if err := f.checkMembers(status); err != nil {
				return trace.Wrap(err)
			}
		}
		for zone, n := range allocators {
			if n == 0 {
				return trace.NotFound("no allocator is held in %s", zone)
			}
		}
		return nil
	})
}

func (f *Fleet) checkMembers(status *admin.Status) error {
	ready := 0
	for _, m := range status.Members {
		if m.Readiness == "Ready" && m.Health == "Alive" {
			ready++
		}
	}
	want := 0
	for _, host := range f.Hosts {
		if host.Upstream != nil {
			want++
		}
	}
	if len(status.Members) != len(f.Hosts) || ready != want {
		return trace.NotFound("%v sees %d nodes and %d upstreams", status.Peers, len(status.Members), ready)
	}
	return nil
}

// Status returns the status of a host's node.
func (f *Fleet) Status(ctx context.Context, host *Host) (*admin.Status, error) {
	return admin.NewClient(2*time.Second).Status(ctx, host.Admin())
}

// Host returns the host of a name, or nil.
func (f *Fleet) Host(name string) *Host {
	for _, host := range f.Hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

// SetFaults sets the faults of the platform.
func (f *Fleet) SetFaults(ctx context.Context, faults objapi.Faults) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, f.URL+"/faults", bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(response.Body.Close())
}

// Close ends all processes.
func (f *Fleet) Close() {
	for _, host := range f.Hosts {
		host.Node.Kill()
		if host.Upstream != nil {
			host.Upstream.Kill()
		}
	}
	f.Platform.Kill()
	_ = f.lock.Close()
}

// Beside returns the path of a program in the directory of the running one.
func Beside(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", trace.Wrap(err)
	}
	return filepath.Join(filepath.Dir(self), name), nil
}

// Await calls a function until it returns nil or the time is over.
func Await(ctx context.Context, check func() error) error {
	limit := time.Now().Add(awaitTime)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(limit) || ctx.Err() != nil {
			return trace.Wrap(err)
		}
		time.Sleep(awaitPoll)
	}
}

// AwaitListening waits until a process takes connections at an address.
func AwaitListening(ctx context.Context, address netip.AddrPort) error {
	return Await(ctx, func() error {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(conn.Close())
	})
}

// claim finds addresses that no other fleet on the machine uses.
func (f *Fleet) claim() ([2]byte, error) {
	var err error
	for range lockTries {
		prefix := [2]byte{byte(16 + rand.IntN(200)), byte(rand.IntN(250))}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, prefix[0], prefix[1], 254}), portLock)
		if f.lock, err = net.Listen("tcp", address.String()); err == nil {
			return prefix, nil
		}
	}
	return [2]byte{}, trace.Wrap(err)
}

func (f *Fleet) host(i int, spec string) (*Host, error) {
	zone, service, ok := strings.Cut(spec, ":")
	if !ok {
		return nil, trace.BadParameter("host %q: want ZONE:SERVICE", spec)
	}
	host := &Host{Name: fmt.Sprintf("n%d", i+1), Service: strings.TrimSuffix(service, "-"), Zone: zone, ip: netip.AddrFrom4([4]byte{127, f.prefix[0], f.prefix[1], byte(i + 1)})}
	file := filepath.Join(f.options.Dir, host.Name+".ini")
	if err := os.WriteFile(file, []byte(f.settings(host)), 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var err error
	if host.Node, err = f.process(host.Name, "wasabibend", "node", "-settings", file); err != nil {
		return nil, trace.Wrap(err)
	}
	if service == "-" {
		return host, nil
	}
	if f.options.Upstream != nil {
		program, args := f.options.Upstream(host)
		host.Upstream, err = f.process(host.Name+"-upstream", program, args...)
		return host, trace.Wrap(err)
	}
	args := append([]string{"-listen", host.Server().String(), "-node", host.Reports().String(), "-service", service}, f.options.UpstreamArgs...)
	host.Upstream, err = f.process(host.Name+"-upstream", "upstream", args...)
	return host, trace.Wrap(err)
}

func (f *Fleet) process(name, program string, args ...string) (*Process, error) {
	path, err := f.options.Programs(program)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Process{args: args, log: filepath.Join(f.options.Dir, name+".log"), path: path}, nil
}

func (f *Fleet) settings(host *Host) string {
	var zones []string
	for _, spec := range f.options.Hosts {
		zone, _, _ := strings.Cut(spec, ":")
		if !strings.Contains(","+strings.Join(zones, ",")+",", ","+zone+",") {
			zones = append(zones, zone)
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[Node]\nZone = %s\n", host.Zone)
	if f.options.UsersPlatform {
		fmt.Fprintf(&text, "Dialect = Platform\nService = %s\n", host.Service)
	}
	peers, server, url := host.Peers(), host.Server(), f.URL
	fmt.Fprintf(&text, "[Listen]\nAdmin = %v\nCallers = %v\nUpstream = %v\n", host.Admin(), host.Callers(), host.Reports())
	if f.options.Forwarded {
		forwards := host.Forwards()
		fmt.Fprintf(&text, "PeersBind = %v\nSource = %v\n", peers, host.ip)
		peers, server, url = forwards.Peers, forwards.Server, "http://"+forwards.Platform.String()
	}
	fmt.Fprintf(&text, "Peers = %v\n", peers)
	if f.options.UsersPlatform {
		fmt.Fprintf(&text, "Ready = %v\nServer = %v\n", host.Ready(), server)
	}
	fmt.Fprintf(&text, "[Platform]\nURL = %s\n[Fleet]\nZones = %s\n", url, strings.Join(zones, ","))
	if !f.options.UsersPlatform {
		text.WriteString("Secret = a secret that only the fleet knows\n")
	}
	text.WriteString(f.options.Settings)
	return text.String()
}

// PlatformAddress returns the address of the platform's stand-in.
func (f *Fleet) PlatformAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.prefix[0], f.prefix[1], 254}), portPlatform)
}

func (f *Fleet) awaitPlatform(ctx context.Context) error {
	return Await(ctx, func() error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL+"/counts", nil)
		if err != nil {
			return trace.Wrap(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return trace.Wrap(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return trace.Wrap(response.Body.Close())
	})
}
