package links

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestCancelledCalls runs the cases of testdata/cancelled.csv in virtual time. It guards
// against a link that is closed because one call on it is cancelled, as when the caller of a
// request that waits for its customer's rate leaves. All other calls that await answers on
// the link would fail.
func TestCancelledCalls(t *testing.T) {
	steps.Cases(t, "testdata/cancelled.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runCancelledCall(t, record[1]) })
	})
}

// runCancelledCall cancels a call while another one awaits its answer on the same link. The
// parameter when tells at what stage.
func runCancelledCall(t *testing.T, when string) {
	n := newPipeNetwork(t)
	defer n.close()
	start := func(ctx context.Context) <-chan error {
		result := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			var answer echo
			result <- n.caller.Call(ctx, n.to, kindFast, echo{Text: "x"}, &answer)
		}()
		synctest.Wait()
		return result
	}
	assert.NilError(t, <-start(n.ctx))
	n.slow = time.Second
	others := []<-chan error{start(n.ctx)}
	ctx, cancel := context.WithCancel(n.ctx)
	var cancelled <-chan error
	switch when {
	case "before":
		cancel()
		cancelled = start(ctx)
	case "waiting":
		release := n.holdWrites()
		others = append(others, start(n.ctx))
		cancelled = start(ctx)
		cancel()
		synctest.Wait()
		release()
	case "writing":
		release := n.holdWrites()
		cancelled = start(ctx)
		cancel()
		synctest.Wait()
		release()
	default:
		t.Fatalf("unknown stage %q", when)
	}
	assert.ErrorIs(t, <-cancelled, context.Canceled)
	for _, other := range others {
		assert.Check(t, <-other)
	}
	assert.Equal(t, len(n.conns), 1, "links opened")
}

// holdWrites makes writes on the caller's connections wait until the returned function is
// called.
func (n *pipeNetwork) holdWrites() (release func()) {
	for _, c := range n.conns {
		c.holding <- struct{}{}
	}
	return func() {
		for _, c := range n.conns {
			<-c.holding
		}
	}
}

// TestBlockedWrite guards against a link that stays in use although nothing can be written to
// it: a frame that is not written within the time limit of its call closes the link.
func TestBlockedWrite(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		defer n.close()
		call := func() error {
			ctx, cancel := context.WithTimeout(n.ctx, time.Second)
			defer cancel()
			var answer echo
			return n.caller.Call(ctx, n.to, wire.KindPing, echo{Text: "x"}, &answer)
		}
		assert.NilError(t, call())
		n.blockWrites()
		assert.Check(t, call() != nil)
		assert.NilError(t, call())
		assert.Equal(t, len(n.conns), 2, "links opened")
	})
}

// TestBlockedWriteOfAnother guards against calls that all wait for a frame that cannot be
// written and has a longer time limit than they have: from the end of the first of them on,
// calls must use a new link.
func TestBlockedWriteOfAnother(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		defer n.close()
		call := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(n.ctx, limit)
			defer cancel()
			var answer echo
			return n.caller.Call(ctx, n.to, wire.KindPing, echo{Text: "x"}, &answer)
		}
		assert.NilError(t, call(time.Second))
		time.Sleep(2 * minLinkAge)
		n.blockWrites()
		blocked := make(chan error, 1)
		go func() { blocked <- call(time.Minute) }()
		synctest.Wait()
		assert.Check(t, call(2*minSilence) != nil)
		assert.NilError(t, call(2*minSilence))
		assert.Equal(t, len(n.conns), 2, "links opened")
		assert.Check(t, <-blocked != nil)
	})
}

// blockWrites makes writes on the connections that are open wait until they are closed.
func (n *pipeNetwork) blockWrites() {
	for _, c := range n.conns {
		c.setBlocked()
	}
}
