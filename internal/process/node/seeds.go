package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

const (
	joinTimeout = time.Second
	// seedInterval is the mean interval at which one node of each availability zone
	// maintains the seeds. Groups of nodes that formed separately find each other
	// within it.
	seedInterval = 15 * time.Second
	// startJitter is the maximum random delay of a node's first call to the
	// platform when the whole fleet starts, so that later nodes find the seeds of
	// earlier ones.
	startJitter = 400 * time.Millisecond
)

const (
	// maxJoinPeers is the maximum number of addresses at which a node tries to join
	// at a time, and maxFarJoinPeers the maximum of those in other availability zones,
	// if there are enough others.
	maxJoinPeers    = 6
	maxFarJoinPeers = 2
	// settleRounds is how many times a node joins again, at settleInterval. Together
	// this is about the time in which all nodes of a fleet start.
	settleRounds   = 3
	settleInterval = 300 * time.Millisecond
)

// seedAttempts is the number of attempts to join at seeds before a node becomes a seed
// itself. While all nodes restart, the seeds take some time to answer.
const seedAttempts = 4

// maxSeedJoinAttempts is the maximum number of attempts to join at seeds that do not
// answer.
const maxSeedJoinAttempts = 5

// secretRounds is the number of rounds of maintainSeeds after which the secret in the store
// is checked.
const secretRounds = 4

// maxSeeds is the maximum number of seeds of an availability zone. Seeds are nodes
// whose addresses are kept in the platform's store, at which others join.
const maxSeeds = 5

// join joins the fleet: at seeds from the platform's store or at addresses from the
// settings. Seeds are hints, so a stale read of them suffices. If there are none, or
// if none has answered in seedAttempts, the node adds itself to the seeds and joins at
// those that others have added meanwhile. It retries with exponential backoff until
// one of these succeeds or the context ends. It calls joined as soon as a peer has
// answered.
func (n *Node) join(ctx context.Context, joined func()) {
	backoff := minBackoff
	for attempt := 1; ctx.Err() == nil; attempt++ {
		listing, err := n.store.List(ctx, kinds.PrefixSeeds, store.WithStale())
		seeds := n.knownSeeds(listing)
		if n.joinAny(ctx, seeds, joined) {
			n.settle(ctx, seeds)
			return
		}
		if err == nil && (len(seeds) == 0 || attempt >= seedAttempts) && n.becomeSeed(ctx, joined) {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, maxBackoff)
	}
}

// becomeSeed reads the seeds as they are now. It joins at one of them, or adds the node
// to the seeds of its availability zone and joins at the others. It reports whether one
// of these succeeded.
func (n *Node) becomeSeed(ctx context.Context, joined func()) bool {
	listing, err := n.store.List(ctx, kinds.PrefixSeeds)
	n.logStoreState(err)
	if err != nil {
		return false
	}
	if seeds := n.knownSeeds(listing); n.joinAny(ctx, seeds, joined) {
		n.settle(ctx, seeds)
		return true
	}
	if !n.addSeed(ctx, n.zoneSeeds(listing)) {
		return false
	}
	n.joinSeeds(ctx, joined)
	return true
}

// joinAny joins at up to maxJoinPeers of the seeds at the same time and reports
// whether one answered. While many nodes start, several of them together know more of
// the fleet than one. It calls joined as soon as one has answered.
func (n *Node) joinAny(ctx context.Context, seeds []seed, joined func()) bool {
	joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var answered atomic.Bool
	var workers conc.WaitGroup
	for _, s := range chooseJoinPeers(seeds) {
		workers.Go(func() {
			if err := n.agent.Join(joinCtx, s.address); err != nil {
				n.log.Debug().Err(err).Stringer("Peer", s.address).Msg("joining at a peer failed")
				return
			}
			answered.Store(true)
			joined()
		})
	}
	workers.Wait()
	return answered.Load()
}

// chooseJoinPeers returns up to maxJoinPeers of the seeds at random. It prefers those in
// the node's availability zone, as traffic between zones is charged.
func chooseJoinPeers(seeds []seed) []seed {
	shuffled := slices.Clone(seeds)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	near := slices.DeleteFunc(slices.Clone(shuffled), func(s seed) bool { return s.far })
	far := slices.DeleteFunc(shuffled, func(s seed) bool { return !s.far })
	far = far[:min(len(far), max(maxFarJoinPeers, maxJoinPeers-len(near)))]
	return append(near[:min(len(near), maxJoinPeers-len(far))], far...)
}

// settle joins settleRounds more times, because nodes that start at the same time
// know few other nodes at first.
func (n *Node) settle(ctx context.Context, seeds []seed) {
	for range settleRounds {
		if !sleep(ctx, settleInterval) {
			return
		}
		n.joinAny(ctx, seeds, ignoreJoined)
	}
}

// ignoreJoined is the argument of joinAny after the first peer has answered.
func ignoreJoined() {}

// joinSeeds joins at the other seeds in the platform's store after the node has added
// itself. Of two nodes that start at the same time, the one that was added later sees
// the other. It gives up after maxSeedJoinAttempts.
func (n *Node) joinSeeds(ctx context.Context, joined func()) {
	backoff := minBackoff
	for range maxSeedJoinAttempts {
		listing, err := n.store.List(ctx, kinds.PrefixSeeds)
		others := n.knownSeeds(listing)
		if err == nil && len(others) == 0 || n.joinAny(ctx, others, joined) {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, maxBackoff)
	}
}

// maintainSeeds runs about every seedInterval while this node is the first of its
// availability zone or was asked to watch. It joins at seeds and configured addresses
// whose nodes it does not know, so that groups of nodes that formed separately merge,
// and replaces seeds of the zone that are not alive. Each secretRounds it checks that the
// secret in the store can be read, which nodes that start later need.
func (n *Node) maintainSeeds(ctx context.Context) {
	for round := 1; sleep(ctx, seedInterval/2+rand.N(seedInterval)); round++ {
		if !n.agent.ShouldWatch(time.Now(), 1) {
			continue
		}
		listing, err := n.store.List(ctx, kinds.PrefixSeeds, store.WithStale())
		n.logStoreState(err)
		if err != nil {
			continue
		}
		n.joinAny(ctx, n.unknownSeeds(n.knownSeeds(listing)), ignoreJoined)
		n.refreshSeeds(ctx, n.zoneSeeds(listing))
		if round%secretRounds == 0 {
			n.repairSecret(ctx)
		}
	}
}

// refreshSeeds removes seeds of the availability zone that are not alive, and adds
// nodes up to maxSeeds. object holds the zone's seeds in the store, if there are any.
func (n *Node) refreshSeeds(ctx context.Context, object store.Object) {
	seeds, unreadable := n.storedSeeds(object)
	alive := n.aliveSeeds(seeds.Addresses)
	for _, r := range n.table.View().Zone(n.settings.Load().Zone, maxSeeds) {
		if len(alive) < maxSeeds && !slices.Contains(alive, r.Peers) {
			alive = append(alive, r.Peers)
		}
	}
	slices.SortFunc(alive, netip.AddrPort.Compare)
	if unreadable || !slices.Equal(alive, seeds.Addresses) {
		n.putSeeds(ctx, alive, object.Version)
	}
}

// addSeed adds the node to the seeds of its availability zone, and removes those that
// are not known to be alive. object holds the zone's seeds in the store, if there are
// any. It reports whether the node is a seed now.
func (n *Node) addSeed(ctx context.Context, object store.Object) bool {
	seeds, _ := n.storedSeeds(object)
	if slices.Contains(seeds.Addresses, n.settings.Load().Peers) {
		return true
	}
	next := append(n.aliveSeeds(seeds.Addresses), n.settings.Load().Peers)
	slices.SortFunc(next, netip.AddrPort.Compare)
	return n.putSeeds(ctx, next, object.Version)
}

// storedSeeds returns the seeds of the availability zone that an object of the store holds.
// Seeds that cannot be read are replaced by the next write on the object's version, which
// loses nothing: they are only hints.
func (n *Node) storedSeeds(object store.Object) (seeds kinds.Seeds, unreadable bool) {
	if object.Value == nil {
		return kinds.Seeds{}, false
	}
	if err := decodeSeeds(object, &seeds); err != nil {
		n.log.Warn().Err(err).Uint64("Version", object.Version).Msg("the seeds of the availability zone cannot be read and are replaced")
		return kinds.Seeds{}, true
	}
	return seeds, false
}

// decodeSeeds decodes an object, which must have the key of its availability zone.
func decodeSeeds(object store.Object, into *kinds.Seeds) error {
	if err := kinds.Decode(object.Value, into); err != nil {
		return trace.Wrap(err)
	}
	if kinds.SeedsKey(into.Zone) != object.Key {
		return trace.BadParameter("%s: the seeds are of zone %q", object.Key, into.Zone)
	}
	return nil
}

// putSeeds replaces the seeds of the availability zone if they still have the given
// version. It returns false if the write failed or if its outcome is unknown.
func (n *Node) putSeeds(ctx context.Context, addresses []netip.AddrPort, version uint64) bool {
	value, err := kinds.Encode(&kinds.Seeds{Addresses: addresses, Zone: n.settings.Load().Zone})
	if err != nil {
		n.log.Error().Err(err).Msg("encoding the seeds failed")
		return false
	}
	_, err = n.store.Put(ctx, kinds.SeedsKey(n.settings.Load().Zone), value, version)
	return err == nil
}

// unknownSeeds returns the seeds whose nodes are unknown or dead. It modifies the slice.
func (n *Node) unknownSeeds(seeds []seed) []seed {
	view := n.table.View().All()
	return slices.DeleteFunc(seeds, func(s seed) bool {
		return slices.ContainsFunc(view, func(r member.Record) bool { return r.Peers == s.address })
	})
}

// aliveSeeds returns those of the addresses whose nodes are known to be alive, in ring
// order. It returns at most maxSeeds-1, which leaves room to add one.
func (n *Node) aliveSeeds(addresses []netip.AddrPort) []netip.AddrPort {
	var alive []netip.AddrPort
	for _, r := range n.table.View().All() {
		if r.Health == member.Alive && slices.Contains(addresses, r.Peers) && len(alive) < maxSeeds-1 {
			alive = append(alive, r.Peers)
		}
	}
	return alive
}

// zoneSeeds returns the object with the seeds of the node's availability zone, or an
// empty one if there is none.
func (n *Node) zoneSeeds(listing store.Listing) store.Object {
	for _, object := range listing.Objects {
		if object.Key == kinds.SeedsKey(n.settings.Load().Zone) {
			return object
		}
	}
	return store.Object{}
}

// seed is an address at which the node may join.
type seed struct {
	address netip.AddrPort
	far     bool // not known to be in the node's availability zone
}

// knownSeeds returns the seeds in the listing, maxSeeds of each availability zone at most,
// and the addresses from the settings, without the node's own.
func (n *Node) knownSeeds(listing store.Listing) []seed {
	settings := n.settings.Load()
	var all []seed
	for _, object := range listing.Objects {
		var stored kinds.Seeds
		if decodeSeeds(object, &stored) != nil {
			continue // the nodes of its availability zone log and replace it
		}
		usable := slices.DeleteFunc(stored.Addresses, func(a netip.AddrPort) bool { return !a.IsValid() || a.Port() == 0 })
		for _, address := range usable[:min(len(usable), maxSeeds)] {
			all = append(all, seed{address: address, far: stored.Zone != settings.Zone})
		}
	}
	for _, address := range settings.Join {
		all = append(all, seed{address: address, far: true})
	}
	return slices.DeleteFunc(all, func(s seed) bool { return s.address == settings.Peers })
}
