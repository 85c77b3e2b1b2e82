package gates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
