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

// Times of following the platform.
const (
	backoffLeast = 100 * time.Millisecond
	backoffMost  = 2 * time.Second
	followPoll   = 500 * time.Millisecond
	// perNode is the mean interval between the calls of an availability zone's
	// nodes to the platform while none of them hears from it by its peers.
	perNode    = 100 * time.Millisecond
	staleAfter = 10 * time.Second
)

// watchers is the number of nodes of an availability zone that watch the
// platform. Changes reach the others over their peers.
const watchers = 1

// Waits of calls that watch the platform. A call that waits may miss a change
// while the platform drops its history, and only a new call shows it.
const (
	// catalogWait is less than the two seconds within which a change of the
	// catalog must be in force.
	catalogWait = 900 * time.Millisecond
	// recordsWait bounds how long the nodes may not know of a new holder of an
	// allocator.
	recordsWait = 5 * time.Second
)

// feed is a part of the platform's store that the node follows.
type feed struct {
	holder   *snaps.Holder
	prefix   string        // of its keys
	wait     time.Duration // of a call that watches the platform
	watchers int           // nodes of an availability zone that watch the platform
}

// followAll joins the other nodes and keeps all feeds up to date.
func (n *Node) followAll(ctx context.Context) {
	if n.settings.Load().FirstStart {
		sleep(ctx, rand.N(startSpread))
	}
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
		if now := time.Now(); !n.agent.Watches(now, f.watchers) && !n.agent.Isolated(now) && !stale(now, f) {
			n.sleepUnlessAsked(ctx, followPoll)
			continue
		}
		if err := n.watch(ctx, f); err == nil {
			backoff = backoffLeast
			continue
		}
		n.agent.Delegate(ctx, time.Now())
		if now := time.Now(); n.agent.Watches(now, f.watchers) || n.agent.Isolated(now) {
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(backoff*2, backoffMost)
			continue
		}
		zone := len(n.table.View().Zone(n.settings.Load().Zone, 1<<30))
		n.sleepUnlessAsked(ctx, rand.N(2*max(staleAfter, time.Duration(zone)*perNode)))
	}
}

// sleepUnlessAsked waits until the node is asked to watch, or for a time.
func (n *Node) sleepUnlessAsked(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-n.agent.Asked():
	case <-timer.C:
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
		listing, err = n.store.Watch(ctx, f.prefix, from, f.wait)
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
			n.background.Go(func() { n.agent.Announce(ctx) })
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
	for ctx.Err() == nil && !n.settings.Load().Secret.Known() {
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
	return trace.Wrap(n.settings.Load().Secret.Set(secret.Text))
}
