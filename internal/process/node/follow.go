package node

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// Times of following the platform.
const (
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 2 * time.Second
	followPoll   = 500 * time.Millisecond
	joinTimeout  = 2 * time.Second
	// perNode is the mean interval between the calls of an availability zone's
	// nodes to the platform while none of them hears from it by its peers.
	perNode      = 100 * time.Millisecond
	seedInterval = 5 * time.Second
	staleAfter   = 10 * time.Second
)

// joinTries bounds the tries to join at seeds that do not answer.
const joinTries = 5

// maxSeeds and wantedSeeds bound the seeds of an availability zone.
const (
	maxSeeds    = 8
	wantedSeeds = 5
)

// feed is a part of the platform's store that the node follows.
type feed struct {
	holder *snaps.Holder
	prefix string // of its keys
}

// followAll joins the other nodes and keeps all feeds up to date.
func (n *Node) followAll(ctx context.Context) {
	n.obtainSecret(ctx)
	var workers conc.WaitGroup
	for _, f := range n.feeds {
		workers.Go(func() { n.follow(ctx, f) })
	}
	n.join(ctx)
	workers.Wait()
}

// follow keeps a feed up to date: from the platform on the few nodes that watch
// it, and otherwise from peers.
func (n *Node) follow(ctx context.Context, f feed) {
	backoff := backoffLeast
	for ctx.Err() == nil {
		if now := time.Now(); !n.agent.Watches() && !n.agent.Isolated(now) && !stale(now, f) {
			sleep(ctx, followPoll)
			continue
		}
		if err := n.watch(ctx, f); err == nil {
			backoff = backoffLeast
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, backoffMost)
		if !n.agent.Watches() && !n.agent.Isolated(time.Now()) {
			zone := len(n.table.View().Zone(n.settings.Zone, 1<<30))
			sleep(ctx, rand.N(2*max(staleAfter, time.Duration(zone)*perNode)))
		}
	}
}

// stale reports whether neither the platform nor a peer was heard of for long.
func stale(now time.Time, f feed) bool {
	age, known := f.holder.Age(now)
	return !known || age >= staleAfter
}

// watch makes one call to the platform and puts what changed in force.
func (n *Node) watch(ctx context.Context, f feed) error {
	from := f.holder.Snapshot().Revision()
	sent := time.Now()
	var listing store.Listing
	var err error
	if from > 0 {
		listing, err = n.store.Watch(ctx, f.prefix, from)
	}
	if from == 0 || errors.Is(err, store.ErrGone) {
		from = 0
		listing, err = n.store.List(ctx, f.prefix)
	}
	n.noteStore(err)
	if err != nil {
		return err
	}
	if f.holder.Apply(snaps.Delta{From: from, Objects: listing.Objects, Revision: listing.Revision}) {
		f.holder.MarkFresh(listing.Revision, sent)
		if len(listing.Objects) > 0 {
			n.log.Info().Str("Feed", f.prefix).Uint64("Revision", listing.Revision).Uint64("Catalog", f.holder.Snapshot().CatalogVersion()).Int("Rejected", f.holder.Rejected()).Msg("configuration is in force")
			n.agent.Announce(ctx)
		}
	}
	f.holder.MarkFresh(listing.Revision, sent)
	return nil
}

// noteStore logs when the platform's store is lost or regained.
func (n *Node) noteStore(err error) {
	switch lost := err != nil && n.ctx.Err() == nil; {
	case lost && !n.storeLost.Swap(true):
		n.log.Warn().Err(err).Msg("the platform's store does not answer")
	case !lost && n.storeLost.Swap(false):
		n.log.Info().Msg("the platform's store answers again")
	}
}

// obtainSecret waits until the secret of the fleet is known. Where no setting
// has it, the first node keeps a random one in the platform's store.
func (n *Node) obtainSecret(ctx context.Context) {
	backoff := backoffLeast
	for ctx.Err() == nil && !n.settings.Secret.Known() {
		err := n.readSecret(ctx)
		n.noteStore(err)
		if err == nil {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, backoffMost)
	}
}

// readSecret reads the secret from the platform's store, or writes one if there
// is none.
func (n *Node) readSecret(ctx context.Context) error {
	object, err := n.store.Get(ctx, kinds.SecretKey)
	if errors.Is(err, store.ErrNotFound) {
		value, encodeErr := kinds.Encode(&kinds.Secret{Text: cryptorand.Text()})
		if encodeErr != nil {
			return trace.Wrap(encodeErr)
		}
		if _, err = n.store.Put(ctx, kinds.SecretKey, value, 0); err == nil || errors.Is(err, store.ErrConflict) {
			object, err = n.store.Get(ctx, kinds.SecretKey)
		}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	var secret kinds.Secret
	if err := kinds.Decode(object.Value, &secret); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(n.settings.Secret.Set(secret.Text))
}

// join finds other nodes by the platform's seeds or by the settings.
func (n *Node) join(ctx context.Context) {
	backoff := backoffLeast
	for ctx.Err() == nil {
		listing, err := n.store.List(ctx, kinds.PrefixSeeds)
		addresses := append(seedsOf(listing), n.settings.Join...)
		if n.joinAny(ctx, addresses) {
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

// joinAny joins at one of the addresses and reports whether one answered.
func (n *Node) joinAny(ctx context.Context, addresses []netip.AddrPort) bool {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		if address == n.settings.Peers {
			continue
		}
		joinCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := n.agent.Join(joinCtx, address)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// joinSeeds joins at the seeds that the platform holds by now. Of two nodes
// that start at once, the one that wrote its seed later sees the other's.
func (n *Node) joinSeeds(ctx context.Context) {
	backoff := backoffLeast
	for range joinTries {
		listing, err := n.store.List(ctx, kinds.PrefixSeeds)
		others := slices.DeleteFunc(seedsOf(listing), func(a netip.AddrPort) bool { return a == n.settings.Peers })
		if err == nil && len(others) == 0 || n.joinAny(ctx, others) {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, backoffMost)
	}
}

// seed keeps the seeds of the availability zone, and joins at seeds that the
// node does not know, so that groups that formed apart become one.
func (n *Node) seed(ctx context.Context) {
	for sleep(ctx, seedInterval/2+rand.N(seedInterval)) {
		if !n.agent.Watches() {
			continue
		}
		n.joinAny(ctx, n.unknown(append(n.config.Snapshot().Seeds(), n.settings.Join...)))
		object := n.config.Object(kinds.SeedsKey(n.settings.Zone))
		n.addSeed(ctx, object)
	}
}

// addSeed adds the node to the seeds of its availability zone if they are few,
// and reports whether it is one of them now.
func (n *Node) addSeed(ctx context.Context, object store.Object) bool {
	var seeds kinds.Seeds
	if object.Value != nil && kinds.Decode(object.Value, &seeds) != nil {
		return false
	}
	if slices.Contains(seeds.Addresses, n.settings.Peers) {
		return true
	}
	alive := n.livingSeeds(seeds.Addresses)
	if len(alive) >= wantedSeeds {
		return false
	}
	next := kinds.Seeds{Addresses: append(alive, n.settings.Peers), Zone: n.settings.Zone}
	value, err := kinds.Encode(&next)
	if err != nil {
		return false
	}
	_, err = n.store.Put(ctx, kinds.SeedsKey(n.settings.Zone), value, object.Version)
	return err == nil
}

// unknown returns the addresses at which no node is known to live.
func (n *Node) unknown(addresses []netip.AddrPort) []netip.AddrPort {
	view := n.table.View().All()
	return slices.DeleteFunc(addresses, func(address netip.AddrPort) bool {
		return slices.ContainsFunc(view, func(r member.Record) bool { return r.Peers == address })
	})
}

// livingSeeds returns the seeds that are not known to be dead, at most one less
// than maxSeeds.
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
		if object.Key == kinds.SeedsKey(n.settings.Zone) {
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
