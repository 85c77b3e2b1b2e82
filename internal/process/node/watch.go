package node

import (
	"context"
	"errors"
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
	// checkInterval is the interval at which the catalog is read during a long poll.
	// Together with answerTimeout it is less than the two seconds within which a change
	// of the catalog must be in force.
	checkInterval = 700 * time.Millisecond
	// answerTimeout limits the call that finds out whether the platform answers.
	answerTimeout = 600 * time.Millisecond
)

// errMissedChange means that a long poll has missed a change.
var errMissedChange = errors.New("the poll missed a change")

// watch polls the changes of a feed since a revision. If the feed has an object to
// check, it reads that at each checkInterval; a newer version, or a failed read, ends
// the poll. It returns store.ErrGone for a missed change, because then the changes
// since the revision may be gone as well.
func (n *Node) watch(ctx context.Context, f feed, from uint64) (store.Listing, error) {
	if f.checked == "" {
		return n.store.Watch(ctx, f.prefix, from, pollWait)
	}
	pollCtx, cancel := context.WithCancelCause(ctx)
	var checker conc.WaitGroup
	checker.Go(func() {
		if err := n.checkDuring(pollCtx, f); err != nil {
			cancel(err)
		}
	})
	listing, err := n.store.Watch(pollCtx, f.prefix, from, pollWait)
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

// checkDuring reads a feed's object at each checkInterval until the context ends or a
// read fails. It returns errMissedChange if it has read a newer version than the
// feed's.
func (n *Node) checkDuring(ctx context.Context, f feed) error {
	for sleep(ctx, checkInterval) {
		readCtx, cancel := context.WithTimeout(ctx, answerTimeout)
		object, err := n.store.Get(readCtx, f.checked, store.WithStale())
		cancel()
		switch {
		case ctx.Err() != nil || errors.Is(err, store.ErrNotFound):
		case err != nil:
			return trace.Wrap(err)
		case object.Version > f.holder.Object(f.checked).Version:
			return errMissedChange
		}
	}
	return nil
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
