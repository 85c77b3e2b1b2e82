package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/fakes/proxy"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Services, and the availability zones in each of which every service has an
// upstream.
var (
	services = []string{"listings", "ledger"}
	zones    = []string{"alpha", "beta", "gamma"}
)

// nodeSettings are added to the settings of each node.
const nodeSettings = `[Limits]
Expiry = 3s
Grace = 6s
LameDuck = 2s
RetryRatio = 0.2
RetrySlack = 47
`

// responseLossProbability is the probability that an upstream runs a request and
// its response is lost.
const responseLossProbability = 0.002

// earlyProbability is the probability that an upstream answers a request with a long body
// before it has read the body.
const earlyProbability = 0.5

// testbed is a fleet of processes that are connected through fault-injecting
// proxies.
type testbed struct {
	fleet     *procs.Fleet
	proxies   []*procs.HostProxies // by host
	hostLocks []chan struct{}      // by host; each serializes the faults of the host's processes
	dir       string
	store     *procs.Process // the platform's stand-in
}

// startTestbed creates a fleet of a number of hosts and starts its proxies, but not
// its processes. The proxies run until the context ends; close ends the processes.
func startTestbed(ctx context.Context, dir string, hosts int, programPath func(string) (string, error)) (*testbed, error) {
	b := &testbed{dir: dir}
	var specs []string
	for i := range hosts {
		specs = append(specs, zones[i%len(zones)]+":"+services[i/len(zones)%len(services)])
	}
	var err error
	b.fleet, err = procs.New(procs.Options{
		Dir: dir, UseProxies: true, Hosts: specs, ProgramPath: programPath, Settings: nodeSettings, PlatformDialect: true,
		UpstreamCommand: func(host *procs.Host) (string, []string) {
			return "mimic", []string{
				"-address", host.ProxyAddresses().Server.String(), "-callers", host.Callers().String(), "-early", fmt.Sprint(earlyProbability), "-host", hostName,
				"-journal", b.journalPath(host), "-listen", host.Server().String(), "-lost", fmt.Sprint(responseLossProbability),
				"-reports", host.Reports().String(), "-service", host.Service, "-zone", host.Zone,
			}
		},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	b.store = b.fleet.Platform
	for range b.fleet.Hosts {
		b.hostLocks = append(b.hostLocks, make(chan struct{}, 1))
	}
	b.proxies, err = b.fleet.StartProxies(ctx)
	return b, trace.Wrap(err)
}

// journalPath returns the file to which a host's upstream writes the requests that
// it runs.
func (b *testbed) journalPath(host *procs.Host) string {
	return filepath.Join(b.dir, host.Name+".runs")
}

// readJournals adds the records that all upstreams have written to the observations.
func (b *testbed) readJournals(obs *Observations) error {
	obs.InstanceHosts = make(map[string]int)
	for i, host := range b.fleet.Hosts {
		records, err := mimic.ReadJournal(b.journalPath(host))
		if err != nil {
			return trace.Wrap(err)
		}
		for _, r := range records {
			obs.InstanceHosts[r.Instance] = i
		}
		obs.Records = append(obs.Records, records...)
	}
	return nil
}

// close ends all processes. Their logs are kept.
func (b *testbed) close() {
	for _, host := range b.fleet.Hosts {
		// A kill also ends a paused process, which does not react to other signals.
		host.Node.Kill()
		host.Upstream.Kill()
	}
	b.fleet.Close()
}

// restartDelay is the time between the end of a process and its restart.
const restartDelay = 500 * time.Millisecond

// injectFaults injects each event at its time and waits until all faults have been
// removed. It returns the events with the times at which they were injected and removed.
func (b *testbed) injectFaults(ctx context.Context, events []Event, o *operator, log func(format string, args ...any)) ([]Event, error) {
	start := time.Now()
	injected := slices.Clone(events)
	var running conc.WaitGroup
	errs := make(chan error, len(events))
	for i, e := range events {
		select {
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		case <-time.After(time.Until(start.Add(e.At))):
		}
		running.Go(func() {
			if e.hitsProcess() {
				b.hostLocks[e.Host] <- struct{}{}
				defer func() { <-b.hostLocks[e.Host] }()
			}
			injected[i].At = time.Since(start)
			log("%v %s host %d zone %d for %v", injected[i].At.Round(time.Millisecond), e.Fault, e.Host+1, e.Zone, e.Duration.Round(time.Millisecond))
			if err := b.inject(ctx, e, o); err != nil {
				errs <- trace.Wrap(err, "%s at %v", e.Fault, e.At)
			}
			injected[i].Duration = time.Since(start) - injected[i].At
		})
	}
	running.Wait()
	close(errs)
	for err := range errs {
		return nil, err
	}
	return injected, nil
}

// inject injects the fault of an event, and removes it after the event's duration
// if the fault lasts.
func (b *testbed) inject(ctx context.Context, e Event, o *operator) error {
	host, p := b.fleet.Hosts[e.Host], b.proxies[e.Host]
	injectConnectionFault := func(connections *proxy.Proxy, fault proxy.Fault) {
		connections.SetFault(netip.Addr{}, fault)
		time.Sleep(e.Duration)
		connections.SetFault(netip.Addr{}, proxy.Fault{})
	}
	if e.hitsProcess() {
		return b.injectProcessFault(ctx, e, host)
	}
	switch e.Fault {
	case DelayNode:
		injectConnectionFault(p.Peers, proxy.Fault{Delay: 20 * time.Millisecond})
	case ResetNode:
		injectConnectionFault(p.Peers, proxy.Fault{Reset: true})
	case SilenceToNode:
		injectConnectionFault(p.Peers, proxy.Fault{StallToTarget: true})
	case SilenceNode:
		injectConnectionFault(p.Peers, proxy.Fault{StallFromTarget: true, StallToTarget: true})
	case ForgetAll:
		p.StallOpenConns()
	case CutZone:
		b.cutZone(e)
	case CutStore:
		injectConnectionFault(p.Store, proxy.Fault{StallFromTarget: true, StallToTarget: true})
	case StoreDown:
		return b.injectStoreFault(ctx, e, objapi.Faults{Down: true})
	case StoreForgets:
		return b.injectStoreFault(ctx, e, objapi.Faults{Forget: 1 << 62})
	case StoreLoses:
		return b.injectStoreFault(ctx, e, objapi.Faults{LoseAnswers: 3})
	case StoreRestored:
		return b.restoreStore(ctx, e, o)
	case StoreSlow:
		return b.injectStoreFault(ctx, e, objapi.Faults{Delay: 300 * time.Millisecond})
	case ChangeCatalog:
		return o.addRoute(ctx)
	case WithdrawKey:
		return o.withdrawKey(ctx)
	case LowerIdle:
		return lowerIdle(ctx, e, o)
	}
	return nil
}

// injectProcessFault pauses and resumes a process of a host, or ends and restarts
// it. Events at one host must be injected one after the other.
func (b *testbed) injectProcessFault(ctx context.Context, e Event, host *procs.Host) error {
	process, address := host.Node, host.Callers()
	if e.Fault == KillUpstream || e.Fault == LeaveUpstream {
		process, address = host.Upstream, host.Server()
	}
	switch e.Fault {
	case PauseNode:
		if err := process.Signal(signalPause); err != nil {
			return trace.Wrap(err)
		}
		time.Sleep(e.Duration)
		return trace.Wrap(process.Signal(signalResume))
	case StopHost, StopNode, LeaveUpstream:
		// A process that has not installed its signal handler yet would end at once
		// instead of gracefully.
		if err := procs.AwaitListening(ctx, address); err != nil {
			return trace.Wrap(err)
		}
		if err := process.Signal(signalTerminate); err != nil {
			return trace.Wrap(err)
		}
		code, err := process.Wait(gracefulStopTimeout)
		if err != nil {
			return trace.Wrap(err, "graceful stop of a process on %s", host.Name)
		}
		if code != 0 {
			return trace.Errorf("a process on %s exited with code %d after SIGTERM, want 0", host.Name, code)
		}
	default:
		process.Kill()
	}
	if e.Fault == StopHost {
		peers := b.proxies[e.Host].Peers
		peers.SetFault(netip.Addr{}, proxy.Fault{StallFromTarget: true, StallToTarget: true})
		defer peers.SetFault(netip.Addr{}, proxy.Fault{})
		time.Sleep(e.Duration)
	}
	time.Sleep(restartDelay)
	return trace.Wrap(process.Start())
}

// lowerIdle makes the operator lower the idle timeout for the duration of the event.
func lowerIdle(ctx context.Context, e Event, o *operator) error {
	if err := o.setIdleTimeout(ctx, e.IdleTimeout); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(e.Duration)
	return trace.Wrap(o.setIdleTimeout(ctx, idleTimeout))
}

// cutZone blocks the connections between the hosts of an availability zone and all
// other hosts, and those between the zone and the store, for the duration of the
// event.
func (b *testbed) cutZone(e Event) {
	b.fleet.CutZone(b.proxies, zones[e.Zone], true)
	time.Sleep(e.Duration)
	b.fleet.CutZone(b.proxies, zones[e.Zone], false)
}

// injectStoreFault applies faults to the store for the duration of an event.
func (b *testbed) injectStoreFault(ctx context.Context, e Event, faults objapi.Faults) error {
	if err := b.fleet.SetFaults(ctx, faults); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(e.Duration)
	return trace.Wrap(b.fleet.SetFaults(ctx, objapi.Faults{}))
}

// storeAwayTime is how long the store is away before it comes back from a copy.
const storeAwayTime = 300 * time.Millisecond

// restoreStore makes a copy of the store and restores the store from it after the duration
// of the event. The operator then writes the configuration again.
func (b *testbed) restoreStore(ctx context.Context, e Event, o *operator) error {
	if err := b.fleet.CopyPlatform(ctx); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(e.Duration)
	if err := b.fleet.SetFaults(ctx, objapi.Faults{Down: true}); err != nil {
		return trace.Wrap(err)
	}
	time.Sleep(storeAwayTime)
	if err := b.fleet.RestorePlatform(ctx); err != nil {
		return trace.Wrap(err)
	}
	if err := b.fleet.SetFaults(ctx, objapi.Faults{}); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(o.rewrite(ctx))
}

// recreateDir returns an empty directory for the logs of a seed. It deletes those of
// earlier runs.
func recreateDir(parent string, seed uint64) (string, error) {
	dir := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return dir, trace.ConvertSystemError(os.MkdirAll(dir, 0o755))
}
