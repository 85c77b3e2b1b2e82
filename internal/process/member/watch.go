package member

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// Times of watching the platform for others.
const (
	// askedTime is how long a node watches that was asked to.
	askedTime = 5 * time.Second
	// askEvery is how often a node asks others while the platform does not answer
	// it. They still watch then.
	askEvery = askedTime * 4 / 5
)

// Bounds of the nodes that are asked to watch.
const (
	// delegates is the number of nodes that are asked by one that the platform
	// does not answer.
	delegates = 2
	// maxHops is the number of times that the question is passed on. If the
	// platform is down, a few nodes of an availability zone find that out, and not
	// all of them.
	maxHops = 2
)

// Watches reports whether the node is among the first ones of its availability
// zone, which watch the platform for the others.
func (a *Agent) Watches(now time.Time, first int) bool {
	if a.isAsked(now) {
		return true
	}
	self := a.table.Self()
	for _, r := range a.table.View().Zone(self.Zone, first) {
		if r.Peers == self.Peers {
			return true
		}
	}
	return false
}

// Asked returns a channel that tells when the node is asked to watch.
func (a *Agent) Asked() <-chan struct{} {
	return a.asked
}

func (a *Agent) isAsked(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Before(a.askedTill)
}

// Delegate asks the next nodes of the availability zone to watch the platform,
// which does not answer this one. If this one was asked itself, it gives up and
// passes the question on, but not without end.
func (a *Agent) Delegate(ctx context.Context, now time.Time) {
	hops, ok := a.mayDelegate(now)
	if !ok {
		return
	}
	self := a.table.Self()
	zone := a.table.View().Zone(self.Zone, a.table.View().Size())
	at := slices.IndexFunc(zone, func(r Record) bool { return r.Peers == self.Peers })
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var workers conc.WaitGroup
	for i := 1; i <= min(delegates, len(zone)-1); i++ {
		peer := zone[(at+i)%len(zone)].Peers
		workers.Go(func() {
			if err := a.mesh.Send(ctx, peer, wire.KindWatch, Watch{Hops: hops + 1}); err != nil {
				a.log.Debug().Err(err).Stringer("Peer", peer).Msg("peer was not asked to watch")
			}
		})
	}
	workers.Wait()
}

// mayDelegate returns how far the question has come, or false if it is not to be
// asked now.
func (a *Agent) mayDelegate(now time.Time) (hops int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Before(a.askedTill) {
		hops = a.askedHops
		a.askedTill = time.Time{}
	}
	if hops >= maxHops || now.Sub(a.delegated) < askEvery {
		return 0, false
	}
	a.delegated = now
	return hops, true
}

func (a *Agent) handleWatch(_ netip.AddrPort, body []byte) (any, error) {
	var asked Watch
	if err := wire.Decode(body, &asked); err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	a.mu.Lock()
	if !now.Before(a.askedTill) || asked.Hops < a.askedHops {
		a.askedHops = asked.Hops
	}
	a.askedTill = now.Add(askedTime)
	a.mu.Unlock()
	select {
	case a.asked <- struct{}{}:
	default:
	}
	return nil, nil
}

// announceMost bounds the nodes of the own availability zone that are told of a
// change at once. They pass it on, so that it takes few steps in larger ones.
const announceMost = 32

// Announce tells the neighbours of a change of the configuration, and nodes of the
// own availability zone: where others are cut off, the ring of neighbours is
// broken until they are known to be gone.
func (a *Agent) Announce(ctx context.Context) {
	self := a.table.Self()
	var workers conc.WaitGroup
	workers.Go(func() { a.round(ctx) })
	zone := a.table.View().Zone(self.Zone, a.table.View().Size())
	step := max(len(zone)/announceMost, 1)
	for i := 0; i < len(zone); i += step {
		if peer := zone[i].Peers; peer != self.Peers {
			workers.Go(func() {
				if err := a.ping(ctx, peer); err != nil {
					a.log.Debug().Err(err).Stringer("Peer", peer).Msg("peer was not told of a change")
				}
			})
		}
	}
	workers.Wait()
}
