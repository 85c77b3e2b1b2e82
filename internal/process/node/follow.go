package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/process/store"
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
	// firstFeedWait is how long a node that starts waits for its peers to send it a
	// feed before it calls the platform itself.
	firstFeedWait = time.Second
	// firstJoinWait is how long a node that starts tries to join at peers before it
	// follows the platform's store without them.
	firstJoinWait = 500 * time.Millisecond
	// staleAfter is the age at which a feed is stale. The node then calls the
	// platform itself. In a fleet of 5,700 nodes that is in order, no feed gets as old:
	// a poll lasts up to pollWait, and its result passes up to 30 nodes, each of which
	// tells the next one within a second. It is also the minimum mean interval of one
	// node's calls while they fail.
	staleAfter = 40 * time.Second
)

// watchersPerZone is the number of nodes of each availability zone that watch the
// platform's store. The other nodes get changes from their peers.
const watchersPerZone = 1

// feed is a part of the platform's store that the node keeps a copy of.
type feed struct {
	checked bool // whether the objects are read during a long poll
	// firstStartDelay is how long a node waits at the first start of the whole fleet. Until
	// the nodes know each other, each of them calls the platform.
	firstStartDelay time.Duration
	holder          *snaps.Holder
	prefix          string        // of the keys in the store
	wait            time.Duration // maximum duration of a long poll
	watchers        int           // number of nodes per availability zone that watch the store
}

// followAll obtains the secret, joins the fleet and keeps all feeds up to date until
// the context ends. The feeds are followed once the node has joined, so that it gets
// them from its peers, or after firstJoinWait. At the first start of the whole fleet,
// the node joins after a random part of startJitter.
func (n *Node) followAll(ctx context.Context) {
	n.obtainSecret(ctx)
	if n.settings.Load().FirstStart {
		sleep(ctx, rand.N(startJitter))
	}
	joined := make(chan struct{})
	var workers conc.WaitGroup
	workers.Go(func() {
		timer := time.NewTimer(firstJoinWait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-joined:
			n.agent.PullFromZone(ctx)
		case <-timer.C:
		}
		n.followFeeds(ctx, time.Now())
	})
	n.join(ctx, sync.OnceFunc(func() { close(joined) }))
	workers.Wait()
}

// followFeeds keeps all feeds up to date until the context ends, beginning at the time
// start.
func (n *Node) followFeeds(ctx context.Context, start time.Time) {
	var workers conc.WaitGroup
	for _, f := range n.feeds {
		workers.Go(func() {
			start := start
			if n.settings.Load().FirstStart {
				sleep(ctx, f.firstStartDelay)
				start = start.Add(f.firstStartDelay)
			}
			guard.Loop(ctx, n.log, "feed "+f.prefix, func(ctx context.Context) { n.follow(ctx, start, f) })
		})
	}
	workers.Wait()
}

// follow keeps a feed up to date, beginning at the time start. A node that watches the
// platform's store polls it all the time. Any other node gets changes from its peers,
// and polls the store only while it is isolated or its feed is stale. If a poll fails
// and the platform does not answer another call either, the node asks others to watch.
// It then waits: as a watching or isolated node with exponential backoff, and otherwise
// for a random time that grows with the number of nodes in the availability zone, so
// that all of them together call at most every zoneCallInterval, on average.
func (n *Node) follow(ctx context.Context, start time.Time, f feed) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if now := time.Now(); !n.agent.ShouldWatch(now, f.watchers) && !n.agent.Isolated(now) && !stale(now, start, f) {
			n.sleepUnlessAsked(ctx, followPoll)
			continue
		}
		if err := n.poll(ctx, f); err == nil {
			backoff = minBackoff
			continue
		}
		if !n.platformAnswers(ctx) {
			n.agent.DelegateWatch(ctx, time.Now())
		}
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
// revision within staleAfter, or has sent the feed at all within firstFeedWait of the
// start.
func stale(now, start time.Time, f feed) bool {
	if age, known := f.holder.Age(now); known {
		return age >= staleAfter
	}
	return now.Sub(start) >= firstFeedWait
}

// poll calls the platform's store once and applies what it returns: the changes since
// the feed's revision, for which the call waits up to the feed's wait, or all objects if
// there is no revision yet, the store no longer knows the changes since it or the store was
// restored from an older copy. If objects changed, or if the feed was not known at all, it
// announces that to other nodes.
func (n *Node) poll(ctx context.Context, f feed) error {
	held := f.holder.Snapshot().Position()
	from := held.Revision
	sent := time.Now()
	var listing store.Listing
	var err error
	if from > 0 {
		listing, err = n.watch(ctx, f, held)
	}
	if from == 0 || errors.Is(err, store.ErrGone) {
		from = 0
		listing, err = n.list(ctx, f, held)
	}
	if err == nil && listing.Era < held.Era {
		err = errEarlierEra
	}
	n.logStoreState(err)
	if err != nil {
		return err
	}
	delta := snaps.Delta{Era: listing.Era, From: from, Objects: listing.Objects, Revision: listing.Revision}
	if f.holder.Apply(delta) && (len(listing.Objects) > 0 || held.Revision == 0) {
		if held.Revision > 0 && listing.Era != held.Era {
			n.log.Warn().Str("Feed", f.prefix).Uint64("Era", listing.Era).Uint64("Revision", listing.Revision).Uint64("HeldRevision", held.Revision).Int("Retained", f.holder.Retained()).
				Msg("the platform's store was restored from an older copy")
			n.spawn("secret", func() { n.restoreSecret(ctx) })
		}
		n.log.Info().Str("Feed", f.prefix).Uint64("Era", listing.Era).Uint64("Revision", listing.Revision).Uint64("Catalog", f.holder.Snapshot().CatalogVersion()).Int("Rejected", f.holder.Rejected()).Msg("configuration is in force")
		n.spawn("announcement", func() { n.agent.Announce(ctx) })
	}
	f.holder.MarkFresh(listing.Position(), sent)
	return nil
}

// list reads all objects of a feed. The first read at the first start of the whole fleet
// may be stale, as the poll that follows it returns the changes since.
func (n *Node) list(ctx context.Context, f feed, held store.Position) (store.Listing, error) {
	if held.Revision == 0 && n.settings.Load().FirstStart {
		if listing, err := n.store.List(ctx, f.prefix, store.WithStale()); err == nil && listing.Revision > 0 {
			return listing, nil
		}
	}
	return n.store.List(ctx, f.prefix)
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
