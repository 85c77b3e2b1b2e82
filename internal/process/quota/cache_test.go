package quota

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReturn answers the pattern of a customer that sends several times its
// rate: callers that are refused are asked back in the order in which they came,
// no faster than the node admits them, and never later than the bound.
func TestReturn(t *testing.T) {
	key := Key{Customer: "amis", Route: "*"}
	now := time.Unix(1000, 0)
	cache := NewCache(now)
	const rate = 20
	for range 4 * rate {
		now = now.Add(time.Second / rate)
		cache.Admitted(now, key)
	}
	var returns []time.Time
	for range 10 {
		now = now.Add(time.Millisecond)
		returns = append(returns, now.Add(cache.Return(now, key, 10*time.Millisecond, 0)))
	}
	assert.Check(t, slices.IsSortedFunc(returns, time.Time.Compare))
	for i := 1; i < len(returns); i++ {
		gap := returns[i].Sub(returns[i-1])
		assert.Check(t, gap >= time.Second/rate*9/10 && gap <= time.Second/rate*3/2, "%v", gap)
	}
	for range 1000 {
		after := cache.Return(now, key, 10*time.Millisecond, 0)
		assert.Check(t, after <= maxRetryAfter && after > 0, "%v", after)
	}
	assert.Equal(t, cache.Return(now.Add(time.Minute), key, 10*time.Millisecond, 0), 10*time.Millisecond)
	for range 100 {
		after := cache.Return(now, key, 10*time.Millisecond, 50*time.Millisecond)
		assert.Check(t, after <= 50*time.Millisecond, "later is of no use to the caller: %v", after)
	}
	assert.Equal(t, cache.Return(now.Add(time.Minute), key, 3*time.Second, 50*time.Millisecond), 3*time.Second, "the token is there no sooner")
}
