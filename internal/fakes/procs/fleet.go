// Package procs runs a fleet of separate processes on loopback addresses: a fake of
// the platform, and hosts with a node and an upstream each.
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

// Ports of the listeners. portPlatform and portLock belong to the address of the
// platform, the others to the address of each host.
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

// proxyPortOffset is added to the port of a listener to get the port of the proxy
// in front of it.
const proxyPortOffset = 100

const (
	// pollInterval is the time between two checks of Await.
	pollInterval = 50 * time.Millisecond
	// awaitTimeout is the time after which Await gives up.
	awaitTimeout = 20 * time.Second
	// maxReserveAttempts is the number of random prefixes that reservePrefix tries.
	maxReserveAttempts = 100
)

// Host is a simulated host with a node and, if it has a service, an upstream.
type Host struct {
	// Name is "n" and the position of the host in Options.Hosts, counted from 1.
	Name string
	Node *Process
	// Service is empty for a host without an upstream.
	Service string
	// Upstream is nil for a host without an upstream.
	Upstream *Process
	Zone     string
	ip       netip.Addr
}

// address returns the address of a port of the host.
func (h *Host) address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(h.ip, port)
}

// Admin returns the address of the node's admin listener.
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

// IP returns the IP address of the host's listeners.
func (h *Host) IP() netip.Addr {
	return h.ip
}

// Ready returns the address of the node's listener for readiness checks.
func (h *Host) Ready() netip.AddrPort {
	return h.address(portReady)
}

// Server returns the address of the upstream's own listener.
func (h *Host) Server() netip.AddrPort {
	return h.address(portServer)
}

// ProxyAddresses are the addresses for the proxies of a host. Peers is for the proxy
// in front of the node's listener for peers, Server for the one in front of the
// upstream, and Platform for the one through which the node reaches the platform.
type ProxyAddresses struct {
	Peers, Platform, Server netip.AddrPort
}

// ProxyAddresses returns the addresses for the proxies of the host.
func (h *Host) ProxyAddresses() ProxyAddresses {
	return ProxyAddresses{Peers: h.address(portPeers + proxyPortOffset), Platform: h.address(portPlatform + proxyPortOffset), Server: h.address(portServer + proxyPortOffset)}
}

// Options configure a Fleet.
type Options struct {
	// Dir is the directory for settings files and logs.
	Dir string
	// UseProxies makes the nodes reach each other, the upstreams and the platform at
	// the ProxyAddresses of each host. New does not start the proxies.
	UseProxies bool
	// Hosts has an entry ZONE:SERVICE for each host. The service "-" stands for a
	// host without an upstream.
	Hosts []string
	// ProgramPath returns the path of a program. The names are platform, upstream,
	// wasabibend, and the programs that UpstreamCommand returns.
	ProgramPath func(name string) (string, error)
	// Settings is text that is appended to the settings of each node.
	Settings string
	// UpstreamCommand returns the program and the arguments of a host's upstream. If
	// it is nil, the program is upstream, which uses the native dialect.
	UpstreamCommand func(host *Host) (program string, args []string)
	// UpstreamArgs are further arguments of each upstream. They have no effect if
	// UpstreamCommand is set.
	UpstreamArgs []string
	// PlatformDialect makes the nodes use the platform's dialect in place of the
	// native one.
	PlatformDialect bool
}

// Fleet is a fake platform and a set of hosts. The hosts have the addresses
// 127.A.B.1, 127.A.B.2 and so on, and the platform has 127.A.B.254, where A and B
// are different in each fleet.
type Fleet struct {
	Hosts    []*Host
	Platform *Process
	// PlatformURL is the base URL of the platform.
	PlatformURL string
	lock        net.Listener // reserves prefix
	options     Options
	prefix      [2]byte // second and third byte of all addresses
}

// New reserves addresses for a Fleet and writes the settings of its nodes. It does
// not start any process.
func New(options Options) (*Fleet, error) {
	f := &Fleet{options: options}
	var err error
	if f.prefix, err = f.reservePrefix(); err != nil {
		return nil, trace.Wrap(err)
	}
	address := f.PlatformAddress()
	f.PlatformURL = "http://" + address.String()
	if f.Platform, err = f.newProcess("platform", "platform", "-listen", address.String()); err != nil {
		return nil, trace.Wrap(err)
	}
	for i, spec := range options.Hosts {
		host, err := f.newHost(i, spec)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		f.Hosts = append(f.Hosts, host)
	}
	return f, nil
}

// Start starts all processes and waits as AwaitSettled does.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.StartPlatform(ctx); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.StartHosts(ctx))
}

// StartPlatform starts the fake platform and waits until it responds.
func (f *Fleet) StartPlatform(ctx context.Context) error {
	if err := f.Platform.Start(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.awaitPlatform(ctx))
}

// StartHosts starts the processes of all hosts and waits as AwaitSettled does.
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

// AwaitSettled waits until each node sees all nodes and sees all upstreams as ready,
// and until a node holds an allocator in each availability zone.
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
				return trace.NotFound("no node holds an allocator in availability zone %s", zone)
			}
		}
		return nil
	})
}

// checkMembers returns an error if a node's status does not show all nodes, or does
// not show all upstreams as ready.
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

// Host returns the host with a name, or nil if there is none.
func (f *Fleet) Host(name string) *Host {
	for _, host := range f.Hosts {
		if host.Name == name {
			return host
		}
	}
	return nil
}

// SetFaults replaces the faults of the fake platform.
func (f *Fleet) SetFaults(ctx context.Context, faults objapi.Faults) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(f.putPlatform(ctx, "/faults", data))
}

// CopyPlatform makes the fake platform keep a copy of its objects.
func (f *Fleet) CopyPlatform(ctx context.Context) error {
	return trace.Wrap(f.putPlatform(ctx, "/copy", nil))
}

// RestorePlatform restores the fake platform's objects from the copy.
func (f *Fleet) RestorePlatform(ctx context.Context) error {
	return trace.Wrap(f.putPlatform(ctx, "/restore", nil))
}

// putPlatform sends a PUT request to the fake platform.
func (f *Fleet) putPlatform(ctx context.Context, path string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, f.PlatformURL+path, bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(response.Body.Close())
}

// Close kills all processes and releases the addresses.
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

// SiblingPath returns the path of a program in the directory of the running program.
func SiblingPath(name string) (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", trace.Wrap(err)
	}
	return filepath.Join(filepath.Dir(self), name), nil
}

// Await calls a function repeatedly until it returns nil. After awaitTimeout, or
// when the context has ended, it returns the function's last error.
func Await(ctx context.Context, check func() error) error {
	deadline := time.Now().Add(awaitTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return trace.Wrap(err)
		}
		time.Sleep(pollInterval)
	}
}

// AwaitListening waits until a process accepts connections at an address.
func AwaitListening(ctx context.Context, address netip.AddrPort) error {
	return Await(ctx, func() error {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			return trace.Wrap(err)
		}
		return trace.Wrap(conn.Close())
	})
}

// reservePrefix returns a prefix of addresses that no other fleet on the machine
// uses. It reserves the prefix by a listener that stays open until Close.
func (f *Fleet) reservePrefix() ([2]byte, error) {
	var err error
	for range maxReserveAttempts {
		prefix := [2]byte{byte(16 + rand.IntN(200)), byte(rand.IntN(250))}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, prefix[0], prefix[1], 254}), portLock)
		if f.lock, err = net.Listen("tcp", address.String()); err == nil {
			return prefix, nil
		}
	}
	return [2]byte{}, trace.Wrap(err)
}

// newHost returns the host with index i, which is specified as ZONE:SERVICE, and
// writes its settings.
func (f *Fleet) newHost(i int, spec string) (*Host, error) {
	zone, service, ok := strings.Cut(spec, ":")
	if !ok {
		return nil, trace.BadParameter("host %q: want ZONE:SERVICE", spec)
	}
	host := &Host{Name: fmt.Sprintf("n%d", i+1), Service: strings.TrimSuffix(service, "-"), Zone: zone, ip: netip.AddrFrom4([4]byte{127, f.prefix[0], f.prefix[1], byte(i + 1)})}
	file := filepath.Join(f.options.Dir, host.Name+".ini")
	if err := os.WriteFile(file, []byte(f.formatSettings(host)), 0o600); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var err error
	if host.Node, err = f.newProcess(host.Name, "wasabibend", "node", "-settings", file); err != nil {
		return nil, trace.Wrap(err)
	}
	if service == "-" {
		return host, nil
	}
	if f.options.UpstreamCommand != nil {
		program, args := f.options.UpstreamCommand(host)
		host.Upstream, err = f.newProcess(host.Name+"-upstream", program, args...)
		return host, trace.Wrap(err)
	}
	args := append([]string{"-listen", host.Server().String(), "-node", host.Reports().String(), "-service", service}, f.options.UpstreamArgs...)
	host.Upstream, err = f.newProcess(host.Name+"-upstream", "upstream", args...)
	return host, trace.Wrap(err)
}

// newProcess returns the Process of a program. Its log is NAME.log.
func (f *Fleet) newProcess(name, program string, args ...string) (*Process, error) {
	path, err := f.options.ProgramPath(program)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Process{args: args, log: filepath.Join(f.options.Dir, name+".log"), path: path}, nil
}

// formatSettings returns the settings file of a host's node.
func (f *Fleet) formatSettings(host *Host) string {
	var zones []string
	for _, spec := range f.options.Hosts {
		zone, _, _ := strings.Cut(spec, ":")
		if !strings.Contains(","+strings.Join(zones, ",")+",", ","+zone+",") {
			zones = append(zones, zone)
		}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[Node]\nZone = %s\n", host.Zone)
	if f.options.PlatformDialect {
		fmt.Fprintf(&text, "Dialect = Platform\nService = %s\n", host.Service)
	}
	peers, server, url := host.Peers(), host.Server(), f.PlatformURL
	fmt.Fprintf(&text, "[Listen]\nAdmin = %v\nCallers = %v\nUpstream = %v\n", host.Admin(), host.Callers(), host.Reports())
	if f.options.UseProxies {
		proxies := host.ProxyAddresses()
		fmt.Fprintf(&text, "PeersBind = %v\nSource = %v\n", peers, host.ip)
		peers, server, url = proxies.Peers, proxies.Server, "http://"+proxies.Platform.String()
	}
	fmt.Fprintf(&text, "Peers = %v\n", peers)
	if f.options.PlatformDialect {
		fmt.Fprintf(&text, "Ready = %v\nServer = %v\n", host.Ready(), server)
	}
	fmt.Fprintf(&text, "[Platform]\nURL = %s\n[Fleet]\nZones = %s\n", url, strings.Join(zones, ","))
	if !f.options.PlatformDialect {
		text.WriteString("Secret = a secret that only the fleet knows\n")
	}
	text.WriteString(f.options.Settings)
	return text.String()
}

// PlatformAddress returns the address of the fake platform.
func (f *Fleet) PlatformAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.prefix[0], f.prefix[1], 254}), portPlatform)
}

// awaitPlatform waits until the fake platform responds.
func (f *Fleet) awaitPlatform(ctx context.Context) error {
	return Await(ctx, func() error {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.PlatformURL+"/counts", nil)
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
