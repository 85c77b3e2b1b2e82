package gates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWaitDecays checks that the average decays within a second while nothing is
// observed, so that a route whose requests were all refused is admitted again.
func TestWaitDecays(t *testing.T) {
	for _, options := range [][]WaitAverageOption{nil, {WithMaxDecayDelay(400 * time.Millisecond)}} {
		w := NewWaitAverage(options...)
		now := time.Unix(1000, 0)
		w.Observe(now, 10*time.Second)
		assert.Check(t, w.Value(now) > time.Second)
		assert.Check(t, w.Value(now.Add(time.Second)) < 5*time.Millisecond)
	}
}

// TestWaitDecayDelay guards against a wait that is forgotten between two observations at
// a node that makes few, and against one that counts for long at a node that makes many.
func TestWaitDecayDelay(t *testing.T) {
	const wait = 100 * time.Millisecond
	for _, c := range []struct {
		name     string
		gap      time.Duration // between observations
		maxDelay time.Duration
		after    time.Duration // since the last observation
		decayed  bool
	}{
		{"many observations", 10 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, false},
		{"many observations, later", 10 * time.Millisecond, 400 * time.Millisecond, 350 * time.Millisecond, true},
		{"few observations", 190 * time.Millisecond, 400 * time.Millisecond, 350 * time.Millisecond, false},
		{"rare observations", 5 * time.Second, 400 * time.Millisecond, 400 * time.Millisecond, false},
		{"rare observations, later", 5 * time.Second, 400 * time.Millisecond, 600 * time.Millisecond, true},
		{"few observations without the option", 190 * time.Millisecond, 0, 350 * time.Millisecond, true},
	} {
		var options []WaitAverageOption
		if c.maxDelay > 0 {
			options = append(options, WithMaxDecayDelay(c.maxDelay))
		}
		w := NewWaitAverage(options...)
		now := time.Unix(1000, 0)
		for range 50 {
			w.Observe(now, wait)
			now = now.Add(c.gap)
		}
		last := now.Add(-c.gap)
		value := w.Value(last.Add(c.after))
		assert.Check(t, (value < wait*9/10) == c.decayed, "%s: %v", c.name, value)
	}
}
