package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// Times of joining the other nodes.
const (
	joinTimeout = time.Second
	// seedInterval is the mean interval at which one node of an availability
	// zone looks after its seeds. Groups of nodes that formed apart find each
	// other within it.
	seedInterval = 15 * time.Second
	// startSpread spreads the first calls to the platform of nodes that start at
	// once, so that the later ones find the seeds of the earlier ones.
	startSpread = 400 * time.Millisecond
)

// Bounds of joining while many nodes start.
const (
	// joinMost is the number of nodes that a node joins at.
	joinMost = 6
	// settleRounds is how often it joins again, settleInterval apart, which is
	// about the time in which all nodes of a fleet start.
	settleRounds   = 3
	settleInterval = 300 * time.Millisecond
)

// joinTries bounds the tries to join at seeds that do not answer.
const joinTries = 5

// maxSeeds bounds the seeds of an availability zone.
const maxSeeds = 5

// join finds other nodes by the platform's seeds or by the settings.
func (n *Node) join(ctx context.Context) {
	backoff := backoffLeast
	for ctx.Err() == nil {
		listing, err := n.store.List(ctx, kinds.PrefixSeeds)
		addresses := append(seedsOf(listing), n.settings.Load().Join...)
		if n.joinAny(ctx, slices.Clone(addresses)) {
			n.settle(ctx, addresses)
			return
		}
		if err == nil && n.addSeed(ctx, n.ownSeeds(listing)) {
			n.joinSeeds(ctx)
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, backoffMost)
	}
}

// joinAny joins at some of the addresses at once and reports whether one
// answered. Several know more than one while many nodes start.
func (n *Node) joinAny(ctx context.Context, addresses []netip.AddrPort) bool {
	others := slices.DeleteFunc(addresses, func(a netip.AddrPort) bool { return a == n.settings.Load().Peers })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var joined atomic.Bool
	var workers conc.WaitGroup
	for _, address := range others[:min(len(others), joinMost)] {
		workers.Go(func() {
			if err := n.agent.Join(joinCtx, address); err != nil {
				n.log.Debug().Err(err).Stringer("Peer", address).Msg("peer did not let the node join")
				return
			}
			joined.Store(true)
		})
	}
	workers.Wait()
	return joined.Load()
}

// settle joins some times more, as nodes that start at once know little of each
// other at first.
func (n *Node) settle(ctx context.Context, addresses []netip.AddrPort) {
	for range settleRounds {
		if !sleep(ctx, settleInterval) {
			return
		}
		n.joinAny(ctx, slices.Clone(addresses))
	}
}

// joinSeeds joins at the seeds that the platform holds by now. Of two nodes
// that start at once, the one that wrote its seed later sees the other's.
func (n *Node) joinSeeds(ctx context.Context) {
	backoff := backoffLeast
	for range joinTries {
		listing, err := n.store.List(ctx, kinds.PrefixSeeds)
		others := slices.DeleteFunc(seedsOf(listing), func(a netip.AddrPort) bool { return a == n.settings.Load().Peers })
		if err == nil && len(others) == 0 || n.joinAny(ctx, others) {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, backoffMost)
	}
}

// seed looks after the seeds of the availability zone while the node is the
// first of it: they are nodes that live, and groups that formed apart join.
func (n *Node) seed(ctx context.Context) {
	for sleep(ctx, seedInterval/2+rand.N(seedInterval)) {
		if !n.agent.Watches(time.Now(), 1) {
			continue
		}
		listing, err := n.store.List(ctx, kinds.PrefixSeeds)
		n.noteStore(err)
		if err != nil {
			continue
		}
		n.joinAny(ctx, n.unknown(append(seedsOf(listing), n.settings.Load().Join...)))
		n.keepSeeds(ctx, n.ownSeeds(listing))
	}
}

// keepSeeds replaces seeds of the availability zone that are gone, and adds some
// if they are few.
func (n *Node) keepSeeds(ctx context.Context, object store.Object) {
	var seeds kinds.Seeds
	if object.Value != nil && kinds.Decode(object.Value, &seeds) != nil {
		return
	}
	alive := n.livingSeeds(seeds.Addresses)
	for _, r := range n.table.View().Zone(n.settings.Load().Zone, maxSeeds) {
		if len(alive) < maxSeeds && !slices.Contains(alive, r.Peers) {
			alive = append(alive, r.Peers)
		}
	}
	slices.SortFunc(alive, netip.AddrPort.Compare)
	if !slices.Equal(alive, seeds.Addresses) {
		n.putSeeds(ctx, alive, object.Version)
	}
}

// addSeed adds the node to the seeds of its availability zone if they are few,
// and reports whether it is one of them now.
func (n *Node) addSeed(ctx context.Context, object store.Object) bool {
	var seeds kinds.Seeds
	if object.Value != nil && kinds.Decode(object.Value, &seeds) != nil {
		return false
	}
	if slices.Contains(seeds.Addresses, n.settings.Load().Peers) {
		return true
	}
	next := append(n.livingSeeds(seeds.Addresses), n.settings.Load().Peers)
	slices.SortFunc(next, netip.AddrPort.Compare)
	return n.putSeeds(ctx, next, object.Version)
}

// putSeeds replaces the seeds of the availability zone and reports whether it
// is known that it did.
func (n *Node) putSeeds(ctx context.Context, addresses []netip.AddrPort, version uint64) bool {
	value, err := kinds.Encode(&kinds.Seeds{Addresses: addresses, Zone: n.settings.Load().Zone})
	if err != nil {
		n.log.Error().Err(err).Msg("the seeds cannot be encoded")
		return false
	}
	_, err = n.store.Put(ctx, kinds.SeedsKey(n.settings.Load().Zone), value, version)
	return err == nil
}

// unknown returns the addresses at which no node is known to live.
func (n *Node) unknown(addresses []netip.AddrPort) []netip.AddrPort {
	view := n.table.View().All()
	return slices.DeleteFunc(addresses, func(address netip.AddrPort) bool {
		return slices.ContainsFunc(view, func(r member.Record) bool { return r.Peers == address })
	})
}

// livingSeeds returns the seeds that are known to live, at most one less than
// maxSeeds.
func (n *Node) livingSeeds(addresses []netip.AddrPort) []netip.AddrPort {
	var alive []netip.AddrPort
	for _, r := range n.table.View().All() {
		if r.Health == member.Alive && slices.Contains(addresses, r.Peers) && len(alive) < maxSeeds-1 {
			alive = append(alive, r.Peers)
		}
	}
	return alive
}

func (n *Node) ownSeeds(listing store.Listing) store.Object {
	for _, object := range listing.Objects {
		if object.Key == kinds.SeedsKey(n.settings.Load().Zone) {
			return object
		}
	}
	return store.Object{}
}

func seedsOf(listing store.Listing) []netip.AddrPort {
	var all []netip.AddrPort
	for _, object := range listing.Objects {
		var seeds kinds.Seeds
		if kinds.Decode(object.Value, &seeds) == nil {
			all = append(all, seeds.Addresses...)
		}
	}
	return all
}
