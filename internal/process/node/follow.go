package node

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// followPoll is how often a node that does not poll the store checks whether it
	// has to.
	followPoll = 500 * time.Millisecond
	// zoneCallInterval is the minimum mean interval at which the nodes of an
	// availability zone, taken together, call the platform while it does not answer
	// and their peers do not confirm their feeds either.
	zoneCallInterval = 100 * time.Millisecond
	// staleAfter is the age at which a feed is stale. The node then calls the
	// platform itself. It is also the minimum mean interval of one node's calls
	// while they fail.
	staleAfter = 10 * time.Second
)

// watchersPerZone is the number of nodes of each availability zone that watch the
// platform's store. The other nodes get changes from their peers.
const watchersPerZone = 1

// Maximum durations of a long poll of the platform's store. A poll may miss a change
// if the platform drops its history meanwhile; the next poll then reveals it.
const (
	// catalogWait is less than the two seconds within which a change of the
	// catalog must be in force.
	catalogWait = 900 * time.Millisecond
	// recordsWait limits how long nodes may be unaware of a new holder of an
	// allocator after a missed change.
	recordsWait = 5 * time.Second
)

// feed is a part of the platform's store that the node keeps a copy of.
type feed struct {
	holder   *snaps.Holder
	prefix   string        // of the keys in the store
	wait     time.Duration // maximum duration of a long poll
	watchers int           // number of nodes per availability zone that watch the store
}

// followAll obtains the secret, joins the fleet and keeps all feeds up to date until
// the context ends. At the first start of the whole fleet, it waits for a random part
// of startJitter before.
func (n *Node) followAll(ctx context.Context) {
	if n.settings.Load().FirstStart {
		sleep(ctx, rand.N(startJitter))
	}
	n.obtainSecret(ctx)
	var workers conc.WaitGroup
	for _, f := range n.feeds {
		workers.Go(func() { n.follow(ctx, f) })
	}
	n.join(ctx)
	workers.Wait()
}

// follow keeps a feed up to date. A node that watches the platform's store polls it
// all the time. Any other node gets changes from its peers, and polls the store only
// while it is isolated or its feed is stale. If a poll fails, the node asks others to
// watch, and then waits: as a watching or isolated node with exponential backoff, and
// otherwise for a random time that grows with the number of nodes in the
// availability zone, so that all of them together call at most every
// zoneCallInterval, on average.
func (n *Node) follow(ctx context.Context, f feed) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if now := time.Now(); !n.agent.ShouldWatch(now, f.watchers) && !n.agent.Isolated(now) && !stale(now, f) {
			n.sleepUnlessAsked(ctx, followPoll)
			continue
		}
		if err := n.poll(ctx, f); err == nil {
			backoff = minBackoff
			continue
		}
		n.agent.DelegateWatch(ctx, time.Now())
		if now := time.Now(); n.agent.ShouldWatch(now, f.watchers) || n.agent.Isolated(now) {
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(backoff*2, maxBackoff)
			continue
		}
		zone := len(n.table.View().Zone(n.settings.Load().Zone, 1<<30))
		n.sleepUnlessAsked(ctx, rand.N(2*max(staleAfter, time.Duration(zone)*zoneCallInterval)))
	}
}

// sleepUnlessAsked waits for the duration, or until another node asks this one to
// watch or the context ends.
func (n *Node) sleepUnlessAsked(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.agent.WatchRequests():
	case <-timer.C:
	}
}

// stale reports whether neither the platform nor a peer has confirmed the feed's
// revision within staleAfter.
func stale(now time.Time, f feed) bool {
	age, known := f.holder.Age(now)
	return !known || age >= staleAfter
}

// poll calls the platform's store once and applies what it returns: the changes since
// the feed's revision, for which the call waits up to f.wait, or all objects if there
// is no revision yet or the store no longer knows the changes since it. If objects
// changed, it announces them to other nodes.
func (n *Node) poll(ctx context.Context, f feed) error {
	from := f.holder.Snapshot().Revision()
	sent := time.Now()
	var listing store.Listing
	var err error
	if from > 0 {
		listing, err = n.store.Watch(ctx, f.prefix, from, f.wait)
	}
	if from == 0 || errors.Is(err, store.ErrGone) {
		from = 0
		listing, err = n.store.List(ctx, f.prefix)
	}
	n.logStoreState(err)
	if err != nil {
		return err
	}
	if f.holder.Apply(snaps.Delta{From: from, Objects: listing.Objects, Revision: listing.Revision}) {
		f.holder.MarkFresh(listing.Revision, sent)
		if len(listing.Objects) > 0 {
			n.log.Info().Str("Feed", f.prefix).Uint64("Revision", listing.Revision).Uint64("Catalog", f.holder.Snapshot().CatalogVersion()).Int("Rejected", f.holder.Rejected()).Msg("configuration is in force")
			n.background.Go(func() { n.agent.Announce(ctx) })
		}
	}
	f.holder.MarkFresh(listing.Revision, sent)
	return nil
}

// logStoreState takes the result of a call to the platform's store, and logs when
// calls begin to fail and when they succeed again.
func (n *Node) logStoreState(err error) {
	switch failed := err != nil && n.ctx.Err() == nil; {
	case failed && !n.storeFailed.Swap(true):
		n.log.Warn().Err(err).Msg("the platform's store does not answer")
	case !failed && n.storeFailed.Swap(false):
		n.log.Info().Msg("the platform's store answers again")
	}
}

// obtainSecret waits until the secret of the fleet is known. If it is not in the
// settings, the node reads it from the platform's store, with exponential backoff
// between the attempts; meanwhile another node may supply it.
func (n *Node) obtainSecret(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil && !n.settings.Load().Secret.Known() {
		err := n.readSecret(ctx)
		n.logStoreState(err)
		if err == nil {
			return
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(backoff*2, maxBackoff)
	}
}

// readSecret reads the secret from the platform's store. If there is none, it stores a
// random one. If another node has stored one in the meantime, it reads that one.
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
	return trace.Wrap(n.settings.Load().Secret.Set(secret.Text))
}
