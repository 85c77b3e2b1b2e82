package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

const (
	// crossZonePullDelay is how long a node that is behind waits for a node of its own
	// availability zone to send it a feed, before it pulls it from another zone.
	crossZonePullDelay = 300 * time.Millisecond
	// crossZonePullJitter is the maximum random time that is added to
	// crossZonePullDelay, so that one node of the zone pulls first and the others get
	// the feed from it.
	crossZonePullJitter = 300 * time.Millisecond
)

// zonePulls is the number of nodes of its availability zone from which a node that
// joins pulls the feeds.
const zonePulls = 2

// mayPull reports whether the node may pull a feed now from a peer that has the given
// position of it. It may if the peer is ahead and in the same availability zone, or if
// the node has lagged long. Otherwise it starts to lag, and tries again later.
func (a *Agent) mayPull(now time.Time, peer netip.AddrPort, feed int, position store.Position) bool {
	own := a.feeds[feed].Snapshot().Position()
	if !own.Before(position) {
		return false
	}
	if a.sameZone(peer) || a.lagsLong(now, feed) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := &a.lags[feed]; l.pullAt.IsZero() || l.position != own {
		*l = lag{peer: peer, position: own, pullAt: now.Add(crossZonePullDelay + rand.N(crossZonePullJitter))}
		select {
		case a.lagged <- feed:
		default: // the lag is found at the next ping
		}
	}
	return false
}

// lagLoop schedules a pull from the other availability zone for each lag that lasts until
// its time to pull, until the context ends.
func (a *Agent) lagLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case feed := <-a.lagged:
			a.mu.Lock()
			l := a.lags[feed]
			a.mu.Unlock()
			if pause.For(ctx, time.Until(l.pullAt)) != nil {
				return
			}
			if a.feeds[feed].Snapshot().Position() == l.position {
				a.enqueue(l.peer, nil)
			}
		}
	}
}

// sameZone reports whether a peer is known to be in the node's availability zone.
func (a *Agent) sameZone(peer netip.AddrPort) bool {
	zone, known := a.table.Zone(peer)
	return known && zone == a.table.Self().Zone
}

// lagsLong reports whether the node has lagged behind nodes of other availability zones
// in a feed until its time to pull from them, without any progress.
func (a *Agent) lagsLong(now time.Time, feed int) bool {
	own := a.feeds[feed].Snapshot().Position()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lags[feed]
	return !l.pullAt.IsZero() && l.position == own && !now.Before(l.pullAt)
}

// gatewaysPerZone is the number of nodes of each availability zone that pass records on
// to other zones. Enough of them are left if a third of the nodes is cut off.
const gatewaysPerZone = 8

// newsPeers returns the nodes to which a node sends records: in its availability zone
// those at the distances 1, fingerBase, fingerBase^2 and so on, and of its neighbours in
// other zones all if it is a gateway or if it sends its own record, otherwise none. A
// record that does not arrive is found by the digests in pings.
func (v *View) newsPeers(self *Record, own bool) []netip.AddrPort {
	zone := v.Zone(self.Zone, v.Size())
	index := slices.IndexFunc(zone, func(r Record) bool { return r.Peers == self.Peers })
	if index < 0 {
		return v.Neighbours(self.Peers)
	}
	var peers []netip.AddrPort
	for distance := 1; distance < len(zone); distance *= fingerBase {
		peers = append(peers, zone[(index+distance)%len(zone)].Peers)
	}
	if !own && index >= gatewaysPerZone {
		return peers
	}
	for _, peer := range v.Neighbours(self.Peers) {
		if !slices.ContainsFunc(zone, func(r Record) bool { return r.Peers == peer }) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// PullFromZone pings some nodes of the node's availability zone at the same time, and
// so pulls the feeds in which they are ahead. It returns after pingTimeout at the
// latest.
func (a *Agent) PullFromZone(ctx context.Context) {
	self := a.table.Self()
	zone := a.table.View().Zone(self.Zone, a.table.View().Size())
	rand.Shuffle(len(zone), func(i, j int) { zone[i], zone[j] = zone[j], zone[i] })
	var workers conc.WaitGroup
	pulls := 0
	for _, r := range zone {
		if r.Peers == self.Peers || pulls == zonePulls {
			continue
		}
		pulls++
		workers.Go(func() {
			if err := a.ping(ctx, r.Peers); err != nil {
				a.log.Debug().Err(err).Stringer("Peer", r.Peers).Msg("pulling the feeds from a peer of the zone failed")
			}
		})
	}
	workers.Wait()
}
