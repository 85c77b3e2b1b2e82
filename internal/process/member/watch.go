package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

const (
	// watchDuration is how long a node watches the platform after it was asked to.
	watchDuration = 5 * time.Second
	// delegateInterval is the minimum interval at which a node asks others to watch
	// while the platform does not answer it. It is less than watchDuration, so that
	// they watch without interruption.
	delegateInterval = watchDuration * 4 / 5
)

const (
	// maxDelegates is the maximum number of nodes that a node asks to watch at a
	// time.
	maxDelegates = 2
	// maxWatchHops is the maximum number of hops of a watch request, so that while
	// the platform is down only a few nodes of each availability zone call it.
	maxWatchHops = 2
)

// ShouldWatch reports whether the node is to watch the platform's store, either
// because another node has asked it to, or because it is one of the first nodes of
// its availability zone; watchers is the number of these.
func (a *Agent) ShouldWatch(now time.Time, watchers int) bool {
	if a.watchRequested(now) {
		return true
	}
	self := a.table.Self()
	for _, r := range a.table.View().Zone(self.Zone, watchers) {
		if r.Peers == self.Peers {
			return true
		}
	}
	return false
}

// WatchRequests returns a channel that receives a value when another node asks this
// one to watch the platform's store.
func (a *Agent) WatchRequests() <-chan struct{} {
	return a.watchRequests
}

// watchRequested reports whether a watch request of another node is in effect.
func (a *Agent) watchRequested(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.watchUntil)
}

// DelegateWatch asks the next nodes of the availability zone to watch the platform's
// store, because the platform does not answer this node. If this node was itself
// asked to watch, it stops watching and passes the request on, unless the request has
// made maxWatchHops hops. It does nothing within delegateInterval of the last time.
func (a *Agent) DelegateWatch(ctx context.Context, now time.Time) {
	hops, ok := a.startDelegation(now)
	if !ok {
		return
	}
	self := a.table.Self()
	zone := a.table.View().Zone(self.Zone, a.table.View().Size())
	selfIndex := slices.IndexFunc(zone, func(r Record) bool { return r.Peers == self.Peers })
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var workers conc.WaitGroup
	for i := 1; i <= min(maxDelegates, len(zone)-1); i++ {
		peer := zone[(selfIndex+i)%len(zone)].Peers
		workers.Go(func() {
			if err := a.mesh.Send(ctx, peer, wire.KindWatch, Watch{Hops: hops + 1}); err != nil {
				a.log.Debug().Err(err).Stringer("Peer", peer).Msg("sending a watch request to a peer failed")
			}
		})
	}
	workers.Wait()
}

// startDelegation cancels the watch request in effect and returns its hops, or 0 if
// there is none. It returns false if no watch request may be sent now.
func (a *Agent) startDelegation(now time.Time) (hops int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.watchUntil) {
		hops = a.watchHops
		a.watchUntil = time.Time{}
	}
	if hops >= maxWatchHops || now.Sub(a.delegatedAt) < delegateInterval {
		return 0, false
	}
	a.delegatedAt = now
	return hops, true
}

// handleWatch puts a watch request in effect for watchDuration. If one is in effect
// already, the smaller number of hops holds.
func (a *Agent) handleWatch(_ netip.AddrPort, body []byte) (any, error) {
	var request Watch
	if err := wire.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	a.mu.Lock()
	if !now.Before(a.watchUntil) || request.Hops < a.watchHops {
		a.watchHops = request.Hops
	}
	a.watchUntil = now.Add(watchDuration)
	a.mu.Unlock()
	select {
	case a.watchRequests <- struct{}{}:
	default:
	}
	return nil, nil
}

// announceTargets is the approximate number of nodes of the node's own availability
// zone that are told of a change directly; rounding can almost double it. They pass the
// change on, so that it reaches all nodes of larger zones in few steps.
const announceTargets = 32

// Announce pings the neighbours and about announceTargets nodes of the node's own
// availability zone to tell them of a change of a feed. Each node that passes the change
// on chooses others at random, so that all nodes of the zone are told. The neighbours
// alone would not be enough: while another availability zone is cut off, changes do not get
// past its nodes on the ring until these are known to be dead.
func (a *Agent) Announce(ctx context.Context) {
	self := a.table.Self()
	var workers conc.WaitGroup
	workers.Go(func() { a.pingNeighbours(ctx) })
	zone := a.table.View().Zone(self.Zone, a.table.View().Size())
	step := max(len(zone)/announceTargets, 1)
	for i := rand.IntN(step); i < len(zone); i += step {
		if peer := zone[i].Peers; peer != self.Peers {
			workers.Go(func() {
				if err := a.ping(ctx, peer); err != nil {
					a.log.Debug().Err(err).Stringer("Peer", peer).Msg("announcing a change to a peer failed")
				}
			})
		}
	}
	workers.Wait()
}
