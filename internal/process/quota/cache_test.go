package quota

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryAfter checks the retry times given to a customer that sends several
// times its rate. Refused callers are told to retry in the order in which they
// came, no faster than the node admits requests, and never later than the
// maximum. A retry is never earlier than the next token.
func TestRetryAfter(t *testing.T) {
	key := Key{Customer: "amis", Route: "*"}
	now := time.Unix(1000, 0)
	cache := NewCache(now)
	const rate = 20
	for range 4 * rate {
		now = now.Add(time.Second / rate)
		cache.RecordAdmission(now, key)
	}
	var retries []time.Time
	for range 10 {
		now = now.Add(time.Millisecond)
		retries = append(retries, now.Add(cache.RetryAfter(now, key, 10*time.Millisecond, 0)))
	}
	assert.Check(t, slices.IsSortedFunc(retries, time.Time.Compare))
	for i := 1; i < len(retries); i++ {
		gap := retries[i].Sub(retries[i-1])
		assert.Check(t, gap >= time.Second/rate*9/10 && gap <= time.Second/rate*3/2, "%v", gap)
	}
	for range 1000 {
		after := cache.RetryAfter(now, key, 10*time.Millisecond, 0)
		assert.Check(t, after <= maxRetryAfter && after > 0, "%v", after)
	}
	assert.Equal(t, cache.RetryAfter(now.Add(time.Minute), key, 10*time.Millisecond, 0), 10*time.Millisecond)
	for range 100 {
		after := cache.RetryAfter(now, key, 10*time.Millisecond, 50*time.Millisecond)
		assert.Check(t, after <= 50*time.Millisecond, "the retry is too late to be useful to the caller: %v", after)
	}
	assert.Equal(t, cache.RetryAfter(now.Add(time.Minute), key, 3*time.Second, 50*time.Millisecond), 3*time.Second, "the retry must not come before the token")
}
