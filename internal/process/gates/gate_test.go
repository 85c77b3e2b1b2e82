package gates

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// TestGateForgetsRate guards against a rate that an upstream named before it was started
// anew: the gate must not keep it, and must tell again when the new start names one.
func TestGateForgetsRate(t *testing.T) {
	g := NewGate(Static(10))
	now := time.Unix(1000, 0)
	assert.Check(t, g.SetRate(now, 20), "a limit began")
	assert.Check(t, !g.SetRate(now, 30), "the limit only changed")
	assert.Equal(t, g.Rate(), 30.0)
	assert.Check(t, g.Load(now).RateLimited)
	g.Reset(Static(10))
	assert.Equal(t, g.Rate(), 0.0)
	assert.Check(t, !g.Load(now).RateLimited)
	assert.Check(t, g.SetRate(now, 20), "a limit began after the new start")
	assert.Check(t, g.SetRate(now, 0), "the limit ended")
	assert.Equal(t, g.Rate(), 0.0)
}

// TestGateClosed guards against requests that start at an upstream whose availability zone
// is evacuated: new ones, those that wait and those that are sent once more.
func TestGateClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Static(1))
		ticket := func() *Ticket {
			return &Ticket{Customer: "amis", Deadline: time.Now().Add(time.Minute), Importance: 9, Weight: 1}
		}
		running := ticket()
		assert.Check(t, g.Enter(t.Context(), time.Now(), running) == nil)
		refusals := make(chan *refuse.Refusal)
		go func() { refusals <- g.Enter(t.Context(), time.Now(), ticket()) }()
		synctest.Wait()
		assert.Check(t, g.SetClosed(true))
		assert.Check(t, !g.SetClosed(true), "it was closed already")
		for _, refusal := range []*refuse.Refusal{<-refusals, g.Enter(t.Context(), time.Now(), ticket())} {
			assert.Equal(t, refusal.Cause, refuse.Evacuated)
			assert.Equal(t, refusal.Ran, refuse.NotRun)
			assert.Check(t, refusal.RetryAfter > 0)
		}
		assert.Check(t, !g.TakeRepeat(time.Now()))
		g.Leave(time.Now(), running, false)
		assert.Check(t, g.SetClosed(false))
		assert.Check(t, g.Enter(t.Context(), time.Now(), ticket()) == nil)
	})
}
