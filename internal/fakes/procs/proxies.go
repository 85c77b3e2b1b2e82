package procs

import (
	"context"
	"net/netip"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/fakes/proxy"
)

// HostProxies are the proxies to a host's listener for peers, to its upstream, and from the
// host to the store.
type HostProxies struct {
	Peers, Server, Store *proxy.Proxy
}

// SetStalled holds back all bytes on the connections of the host to other hosts and to the
// store, or forwards them again.
func (p *HostProxies) SetStalled(stalled bool) {
	fault := proxy.Fault{StallFromTarget: stalled, StallToTarget: stalled}
	p.Peers.SetFault(netip.Addr{}, fault)
	p.Store.SetFault(netip.Addr{}, fault)
}

// StallOpenConns makes the open connections carry no more bytes, while new ones work.
func (p *HostProxies) StallOpenConns() {
	p.Peers.StallOpenConns()
	p.Server.StallOpenConns()
	p.Store.StallOpenConns()
}

// StartProxies starts the proxies of all hosts, in the order of Hosts. They run until the
// context ends.
func (f *Fleet) StartProxies(ctx context.Context) ([]*HostProxies, error) {
	var all []*HostProxies
	for _, host := range f.Hosts {
		p := &HostProxies{}
		addresses := host.ProxyAddresses()
		for _, l := range []struct {
			proxy    **proxy.Proxy
			from, to netip.AddrPort
		}{{&p.Peers, addresses.Peers, host.Peers()}, {&p.Server, addresses.Server, host.Server()}, {&p.Store, addresses.Platform, f.PlatformAddress()}} {
			var err error
			if *l.proxy, err = proxy.Listen(ctx, l.from, l.to); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		all = append(all, p)
	}
	return all, nil
}

// CutZone blocks the connections between the hosts of an availability zone and all other
// hosts, and those between the zone and the store, or forwards them again. The proxies are
// those of StartProxies.
func (f *Fleet) CutZone(proxies []*HostProxies, zone string, cut bool) {
	fault := proxy.Fault{StallFromTarget: cut, StallToTarget: cut}
	for i, to := range f.Hosts {
		for _, from := range f.Hosts {
			if from.Zone != to.Zone && (from.Zone == zone || to.Zone == zone) {
				proxies[i].Peers.SetFault(from.IP(), fault)
			}
		}
		if to.Zone == zone {
			proxies[i].Store.SetFault(netip.Addr{}, fault)
		}
	}
}
