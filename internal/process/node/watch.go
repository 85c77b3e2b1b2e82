package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// A long poll of the platform's store may miss a change if the platform drops its
// history meanwhile, or if its connection goes silent. The next poll then reveals it.
const (
	// pollWait is the maximum duration of a long poll. It limits how long nodes may be
	// unaware of a new holder of an allocator.
	pollWait = 5 * time.Second
	// evacuationsPollWait is that of long polls for evacuations, which change rarely. It
	// is longer because each poll is charged.
	evacuationsPollWait = 10 * time.Second
	// checkInterval is the interval at which the catalog is read during a long poll.
	// Together with answerTimeout it is less than the two seconds within which a change
	// of the catalog must be in force.
	checkInterval = 700 * time.Millisecond
	// answerTimeout limits the call that finds out whether the platform answers.
	answerTimeout = 600 * time.Millisecond
)

// errEarlierEra means that the store answered as of an era before the one that is known.
var errEarlierEra = errors.New("the platform's store answers from before it was restored")

// errMissedChange means that a long poll has missed a change.
var errMissedChange = errors.New("the poll missed a change")

// watch polls the changes of a feed since a position. It returns store.ErrGone if the
// store is in a later era, in which the position means nothing.
func (n *Node) watch(ctx context.Context, f feed, from store.Position) (store.Listing, error) {
	listing, err := n.watchChecked(ctx, f, from)
	if err == nil && listing.Era > from.Era {
		return store.Listing{}, store.ErrGone
	}
	return listing, err
}

// watchChecked polls the changes of a feed since a position. If the feed is to be
// checked, it reads that at each checkInterval; a change, or a failed read, ends
// the poll. It returns store.ErrGone for a missed change, because then the changes
// since the position may be gone as well.
func (n *Node) watchChecked(ctx context.Context, f feed, from store.Position) (store.Listing, error) {
	if !f.checked {
		return n.store.Watch(ctx, f.prefix, from.Revision, f.wait)
	}
	pollCtx, cancel := context.WithCancelCause(ctx)
	var checker conc.WaitGroup
	checker.Go(func() {
		if err := n.checkDuring(pollCtx, f, from.Era); err != nil {
			cancel(err)
		}
	})
	listing, err := n.store.Watch(pollCtx, f.prefix, from.Revision, f.wait)
	cause := context.Cause(pollCtx)
	cancel(nil)
	checker.Wait()
	switch {
	case err == nil || cause == nil || ctx.Err() != nil:
		return listing, err
	case errors.Is(cause, errMissedChange):
		return store.Listing{}, store.ErrGone
	}
	return store.Listing{}, trace.Wrap(cause)
}

// checkDuring reads a feed's objects at each checkInterval until the context ends or a
// read fails. It returns errMissedChange if it has read a newer version of an object than
// the feed's, or if the store is in a later era than the given one.
func (n *Node) checkDuring(ctx context.Context, f feed, era uint64) error {
	for sleep(ctx, checkInterval) {
		readCtx, cancel := context.WithTimeout(ctx, answerTimeout)
		listing, err := n.store.List(readCtx, f.prefix, store.WithStale())
		cancel()
		switch {
		case ctx.Err() != nil:
		case err != nil:
			return trace.Wrap(err)
		case listing.Era > era || listing.Era == era && n.hasNewer(f, listing):
			return errMissedChange
		}
	}
	return nil
}

// hasNewer reports whether a listing has a newer version of an object than a feed.
func (n *Node) hasNewer(f feed, listing store.Listing) bool {
	return slices.ContainsFunc(listing.Objects, func(o store.Object) bool { return o.Version > f.holder.Object(o.Key).Version })
}

// platformAnswers reports whether the platform answers a cheap call within
// answerTimeout. A failed watch alone does not show that it does not, because the
// platform drops waiting watches together with its history.
func (n *Node) platformAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, err := n.store.List(ctx, kinds.PrefixSeeds, store.WithStale())
	return err == nil
}
