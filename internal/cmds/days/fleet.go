package main

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/fakes/proxy"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/pkg/rows"
	"github.com/wasabibend/wasabibend/platform"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// Times of faults.
const (
	// stopInterval is the time from one graceful stop to the next.
	stopInterval = 300 * time.Millisecond
	// stopTimeout is how long a node may take to stop.
	stopTimeout = 10 * time.Second
)

// fleet is a fleet of processes that are connected through fault-injecting proxies.
type fleet struct {
	*procs.Fleet
	proxies []*procs.HostProxies // by host
}

// earlyProbability is the probability that an upstream answers a request with a long body
// before it has read the body.
const earlyProbability = 0.02

// journalPath returns the file to which a host's upstream writes what it runs and reads.
func journalPath(dir string, host *procs.Host) string {
	return filepath.Join(dir, host.Name+".runs")
}

// startFleet starts the processes of a sheet with its configuration, and waits until all
// nodes serve. The caller must call Close. The proxies run until the context ends.
func startFleet(ctx context.Context, sheet *Sheet, options Options) (*fleet, error) {
	var specs []string
	slots := make(map[string]int)
	for _, v := range sheet.Services {
		slots[v.Name] = v.Slots
		for i := range v.Hosts {
			specs = append(specs, sheet.Zones[i%len(sheet.Zones)]+":"+v.Name)
		}
	}
	processes, err := procs.New(procs.Options{
		Dir: options.Dir, UseProxies: true, Hosts: specs, ProgramPath: options.ProgramPath, Settings: sheet.Settings, PlatformDialect: true,
		UpstreamCommand: func(host *procs.Host) (string, []string) {
			return "mimic", []string{
				"-address", host.ProxyAddresses().Server.String(), "-callers", host.Callers().String(), "-early", fmt.Sprint(earlyProbability), "-host", hostName,
				"-journal", journalPath(options.Dir, host), "-listen", host.Server().String(),
				"-reports", host.Reports().String(), "-service", host.Service, "-slots", fmt.Sprint(slots[host.Service]), "-zone", host.Zone,
			}
		},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f := &fleet{Fleet: processes}
	if f.proxies, err = f.StartProxies(ctx); err == nil {
		err = start(ctx, sheet, processes)
	}
	if err != nil {
		f.Close()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

// start starts the processes of a fleet, and writes its configuration before those of the
// hosts.
func start(ctx context.Context, sheet *Sheet, fleet *procs.Fleet) error {
	if err := fleet.StartPlatform(ctx); err != nil {
		return trace.Wrap(err)
	}
	value, err := platform.EncodeCatalog(sheet.catalog())
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := objs.New(fleet.PlatformURL).Put(ctx, "config/main", value, 0); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fleet.StartHosts(ctx))
}

// catalog returns the operators' configuration.
func (s *Sheet) catalog() *rows.Catalog {
	c := &rows.Catalog{
		Limits:  rows.Limits{BodyBytes: 1 << 26, HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Version: 1,
	}
	demand := 0.0
	for _, k := range s.Kinds {
		demand += k.PerSecond
		c.Routes = append(c.Routes, rows.Route{
			Attempts: 2, Host: hostName, Idempotent: k.Idempotent, Importance: k.Importance, Name: k.Name, Objective: k.Objective,
			Open: k.PerSecond == 0, Prefix: "/" + k.Name + "/", Shares: []rows.Share{{Service: k.Service, Weight: 1}}, Timeout: k.RouteTimeout,
		})
	}
	for _, v := range s.Services {
		c.Services = append(c.Services, rows.ServiceInfo{HealthPath: "/healthz", Name: v.Name})
	}
	for i, share := range customerShares(s.Customers) {
		rate := max(share*demand*s.RateFactor, 1)
		c.Customers = append(c.Customers, rows.Customer{Burst: max(rate, 3), Keys: []string{"key-" + customerName(i)}, Name: customerName(i), Rate: rate})
	}
	return c
}

// inject injects a fault at the hosts with the given indexes and removes it after its
// duration.
func inject(ctx context.Context, fleet *fleet, l *load, indexes []int, f Fault) error {
	var hosts []*procs.Host
	for _, i := range indexes {
		hosts = append(hosts, fleet.Hosts[i])
	}
	switch f.Action {
	case Burst:
		l.setFactor(f.Factor)
		defer l.setFactor(1)
		return trace.Wrap(pause.For(ctx, f.For))
	case StoreDown:
		if err := fleet.SetFaults(ctx, objapi.Faults{Down: true}); err != nil {
			return trace.Wrap(err)
		}
		_ = pause.For(ctx, f.For)
		return trace.Wrap(fleet.SetFaults(ctx, objapi.Faults{}))
	case CutZone:
		fleet.CutZone(fleet.proxies, f.Zone, true)
		defer fleet.CutZone(fleet.proxies, f.Zone, false)
		return trace.Wrap(pause.For(ctx, f.For))
	case Delay:
		setDelay := func(d time.Duration) {
			for _, i := range indexes {
				fleet.proxies[i].Peers.SetFault(netip.Addr{}, proxy.Fault{Delay: d})
			}
		}
		setDelay(f.Latency)
		defer setDelay(0)
		return trace.Wrap(pause.For(ctx, f.For))
	case Forget:
		for _, i := range indexes {
			fleet.proxies[i].StallOpenConns()
		}
		return nil
	case StopNodes:
		return stopNodes(ctx, hosts)
	case PauseAll, PauseHost, PauseNode:
		return pauseProcesses(ctx, processes(fleet, hosts, f.Action), f.For)
	}
	killed := processes(fleet, hosts, f.Action)
	for _, p := range killed {
		p.Kill()
	}
	_ = pause.For(ctx, f.For)
	for _, p := range killed {
		if err := p.Start(); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// processes returns the processes that a fault affects.
func processes(fleet *fleet, hosts []*procs.Host, action Action) []*procs.Process {
	var all []*procs.Process
	if action == PauseAll {
		all = append(all, fleet.Platform)
		hosts = fleet.Hosts
	}
	for _, host := range hosts {
		all = append(all, host.Node)
		if action != KillNodes && action != PauseNode {
			all = append(all, host.Upstream)
		}
	}
	return all
}

// pauseProcesses stops processes without a word and resumes them after a time.
func pauseProcesses(ctx context.Context, paused []*procs.Process, d time.Duration) error {
	for _, p := range paused {
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return trace.Wrap(err)
		}
	}
	_ = pause.For(ctx, d)
	for _, p := range paused {
		if err := p.Signal(syscall.SIGCONT); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// stopNodes stops the nodes of hosts gracefully, one every stopInterval, and starts each
// again when it has ended.
func stopNodes(ctx context.Context, hosts []*procs.Host) error {
	var workers conc.WaitGroup
	errs := make(chan error, len(hosts))
	for _, host := range hosts {
		workers.Go(func() {
			if err := host.Node.Signal(syscall.SIGTERM); err != nil {
				errs <- trace.Wrap(err)
				return
			}
			if _, err := host.Node.Wait(stopTimeout); err != nil {
				errs <- trace.Wrap(err, "stopping %s", host.Name)
				return
			}
			errs <- trace.Wrap(host.Node.Start())
		})
		if pause.For(ctx, stopInterval) != nil {
			break
		}
	}
	workers.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
