package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/fakes/proxy"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Services, the availability zones that each has an upstream in, and the settings
// of the nodes.
var (
	services = []string{"listings", "ledger"}
	zones    = []string{"alpha", "beta", "gamma"}
)

const nodeSettings = `[Limits]
Expiry = 3s
Grace = 6s
LameDuck = 2s
RetryRatio = 0.2
RetrySlack = 47
`

// lostPart is the part of the answers that upstreams lose after they ran a
// request.
const lostPart = 0.002

// world is a fleet of processes with forwarders between them.
type world struct {
	fleet *procs.Fleet
	links []*links // of each host
	busy  []chan struct{}
	dir   string
	store *procs.Process
}

// links are the forwarders of a host.
type links struct {
	peers, server, store *proxy.Proxy
}

// startWorld starts a fleet of a number of hosts. It ends with the context, once
// close is called.
func startWorld(ctx context.Context, dir string, hosts int, programs func(string) (string, error)) (*world, error) {
	w := &world{dir: dir}
	var specs []string
	for i := range hosts {
		specs = append(specs, zones[i%len(zones)]+":"+services[i/len(zones)%len(services)])
	}
	var err error
	w.fleet, err = procs.New(procs.Options{
		Dir: dir, UseProxies: true, Hosts: specs, ProgramPath: programs, Settings: nodeSettings, PlatformDialect: true,
		UpstreamCommand: func(host *procs.Host) (string, []string) {
			return "mimic", []string{
				"-address", host.ProxyAddresses().Server.String(), "-callers", host.Callers().String(), "-host", hostName,
				"-journal", w.journal(host), "-listen", host.Server().String(), "-lost", fmt.Sprint(lostPart),
				"-reports", host.Reports().String(), "-service", host.Service, "-zone", host.Zone,
			}
		},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	w.store = w.fleet.Platform
	for _, host := range w.fleet.Hosts {
		w.busy = append(w.busy, make(chan struct{}, 1))
		l := &links{}
		forwards := host.ProxyAddresses()
		for _, f := range []struct {
			proxy    **proxy.Proxy
			from, to netip.AddrPort
		}{{&l.peers, forwards.Peers, host.Peers()}, {&l.server, forwards.Server, host.Server()}, {&l.store, forwards.Platform, w.fleet.PlatformAddress()}} {
			if *f.proxy, err = proxy.Listen(ctx, f.from, f.to); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		w.links = append(w.links, l)
	}
	return w, nil
}

func (w *world) journal(host *procs.Host) string {
	return filepath.Join(w.dir, host.Name+".runs")
}

// records returns what all upstreams have written.
func (w *world) records() ([]mimic.Record, error) {
	var all []mimic.Record
	for _, host := range w.fleet.Hosts {
		records, err := mimic.ReadJournal(w.journal(host))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, records...)
	}
	return all, nil
}

// close ends all processes, whose logs stay.
func (w *world) close() {
	for _, host := range w.fleet.Hosts {
		// A paused process ends by a kill all the same.
		host.Node.Kill()
		host.Upstream.Kill()
	}
	w.fleet.Close()
}

// restartTime is how long a process that ended stays away.
const restartTime = 500 * time.Millisecond

// play brings about the events until all are over, and heals everything.
func (w *world) play(ctx context.Context, events []Event, o *operator, log func(format string, args ...any)) error {
	begun := time.Now()
	var running conc.WaitGroup
	errs := make(chan error, len(events))
	for _, e := range events {
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-time.After(time.Until(begun.Add(e.At))):
		}
		running.Go(func() {
			log("%v %s host %d zone %d for %v", e.At.Round(time.Millisecond), e.Fault, e.Host+1, e.Zone, e.For.Round(time.Millisecond))
			if err := w.bring(ctx, e, o); err != nil {
				errs <- trace.Wrap(err, "%s at %v", e.Fault, e.At)
			}
		})
	}
	running.Wait()
	close(errs)
	for err := range errs {
		return err
	}
	return nil
}

// bring brings about one event and ends it.
func (w *world) bring(ctx context.Context, e Event, o *operator) error {
	host, l := w.fleet.Hosts[e.Host], w.links[e.Host]
	hold := func(p *proxy.Proxy, fault proxy.Fault) {
		p.SetFault(netip.Addr{}, fault)
		time.Sleep(e.For)
		p.SetFault(netip.Addr{}, proxy.Fault{})
	}
	switch e.Fault {
	case KillNode, PauseNode, StopNode, KillUpstream, LeaveUpstream:
		return w.disturb(ctx, e, host)
	case DelayNode:
		hold(l.peers, proxy.Fault{Delay: 20 * time.Millisecond})
	case ResetNode:
		hold(l.peers, proxy.Fault{Reset: true})
	case SilenceToNode:
		hold(l.peers, proxy.Fault{StallToTarget: true})
	case SilenceNode:
		hold(l.peers, proxy.Fault{StallFromTarget: true, StallToTarget: true})
	case ForgetAll:
		l.peers.StallOpenConns()
		l.server.StallOpenConns()
		l.store.StallOpenConns()
	case CutZone:
		w.cutZone(e)
	case CutStore:
		hold(l.store, proxy.Fault{StallFromTarget: true, StallToTarget: true})
	case StoreDown:
		return w.storeFault(ctx, e, objapi.Faults{Down: true})
	case StoreForgets:
		return w.storeFault(ctx, e, objapi.Faults{Forget: 1 << 62})
	case StoreLoses:
		return w.storeFault(ctx, e, objapi.Faults{LoseAnswers: 3})
	case StoreSlow:
		return w.storeFault(ctx, e, objapi.Faults{Delay: 300 * time.Millisecond})
	case ChangeCatalog:
		return o.addRoute(ctx)
	case WithdrawKey:
		return o.withdrawKey(ctx)
	}
	return nil
}

// disturb sends signals to a process of a host. Events at one host wait for each
// other.
func (w *world) disturb(ctx context.Context, e Event, host *procs.Host) error {
	w.busy[e.Host] <- struct{}{}
	defer func() { <-w.busy[e.Host] }()
	process, address := host.Node, host.Callers()
	if e.Fault == KillUpstream || e.Fault == LeaveUpstream {
		process, address = host.Upstream, host.Server()
	}
	switch e.Fault {
	case PauseNode:
		if err := process.Signal(stop); err != nil {
			return trace.Wrap(err)
		}
		time.Sleep(e.For)
		return trace.Wrap(process.Signal(resume))
	case StopNode, LeaveUpstream:
		// A process that has just started is ended at once by a signal.
		if err := procs.AwaitListening(ctx, address); err != nil {
			return trace.Wrap(err)
		}
		if err := process.Signal(terminate); err != nil {
			return trace.Wrap(err)
		}
		code, err := process.Wait(graceTime)
		if err != nil {
			return trace.Wrap(err, "%s was still there", host.Name)
		}
		if code != 0 {
			return trace.Errorf("%s ended with %d", host.Name, code)
		}
	default:
		process.Kill()
	}
	time.Sleep(restartTime)
	return trace.Wrap(process.Start())
}

// cutZone cuts the connections between the hosts of an availability zone and the
// others, and those of the zone to the platform.
func (w *world) cutZone(e Event) {
	set := func(fault proxy.Fault) {
		for i, to := range w.fleet.Hosts {
			for _, from := range w.fleet.Hosts {
				if from.Zone != to.Zone && (from.Zone == zones[e.Zone] || to.Zone == zones[e.Zone]) {
					w.links[i].peers.SetFault(from.IP(), fault)
				}
			}
			if to.Zone == zones[e.Zone] {
				w.links[i].store.SetFault(netip.Addr{}, fault)
			}
		}
	}
	set(proxy.Fault{StallFromTarget: true, StallToTarget: true})
	time.Sleep(e.For)
	set(proxy.Fault{})
}

func (w *world) storeFault(ctx context.Context, e Event, faults objapi.Faults) error {
	if err := w.fleet.SetFaults(ctx, faults); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(e.For)
	return trace.Wrap(w.fleet.SetFaults(ctx, objapi.Faults{}))
}

// makeDir returns a new directory for the logs of a seed.
func makeDir(parent string, seed uint64) (string, error) {
	dir := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return dir, trace.ConvertSystemError(os.MkdirAll(dir, 0o755))
}
