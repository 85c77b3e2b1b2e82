package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// FuzzDecode checks that what a peer sends as a Chain is either rejected or is the
// same after it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	valid, err := (&Chain{Customer: "amis", Depth: 3, Importance: 5, Remaining: time.Second, Retries: 2, Service: "ledger", Weight: 1}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add("")
	f.Add("oA")
	f.Add(valid[:len(valid)/2])
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode(text)
		if err != nil {
			return
		}
		again, err := c.Encode()
		assert.NilError(t, err)
		second, err := Decode(again)
		assert.NilError(t, err)
		assert.DeepEqual(t, c, second)
	})
}

// TestBudget checks how the retries of a root request are split between it and a
// sub-call, used, and returned.
func TestBudget(t *testing.T) {
	root := NewBudget(3)
	part := root.Split()
	assert.Equal(t, part, 2)
	child := NewBudget(part)
	assert.Check(t, child.Begin(1))
	child.RecordFailure(1)
	assert.Check(t, child.Begin(2), "the first attempt of another sub-call is no retry")
	assert.Check(t, child.Begin(1))
	assert.Check(t, child.Begin(1))
	assert.Check(t, !child.Begin(1), "both retries are used")
	root.Return(child.Close())
	assert.Check(t, root.Take())
	assert.Check(t, !root.Take())
	child.Return(5)
	assert.Check(t, !child.Take(), "a closed budget does not accept returned retries")
}

// TestRetryLimiter checks that in any window the retries stay within the ratio of first
// attempts plus the slack. When demand falls, as it does halfway through the test,
// the earlier demand still counts for one window.
func TestRetryLimiter(t *testing.T) {
	r := NewRetryLimiter()
	now := time.Unix(1000, 0)
	var retries, firstAttempts []time.Time
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if i < 2000 || i%10 == 0 {
			r.RecordFirstAttempt(now, "ledger")
			firstAttempts = append(firstAttempts, now)
		}
		for r.TakeRetry(now, "ledger", 0) {
			retries = append(retries, now)
		}
	}
	within := func(times []time.Time, from, to time.Time) int {
		n := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	for _, end := range retries {
		end = end.Add(time.Nanosecond)
		largest := 0
		for _, back := range []time.Duration{0, RetryWindow / 2, RetryWindow} {
			largest = max(largest, within(firstAttempts, end.Add(-back-RetryWindow), end.Add(-back)))
		}
		used := within(retries, end.Add(-RetryWindow), end)
		assert.Check(t, float64(used) <= defaultRetryRatio*float64(largest)+defaultRetrySlack+1, "%d retries for %d first attempts in the window that ends at %v", used, largest, end)
	}
	assert.Check(t, within(retries, time.Unix(1010, 0), time.Unix(1020, 0)) >= 100, "fewer retries than the ratio allows")
}

// TestRetryLimiterReserve checks that a caller with a reserve leaves that share of the
// burst to a caller without one.
func TestRetryLimiterReserve(t *testing.T) {
	r := NewRetryLimiter()
	now := time.Unix(1000, 0)
	used := 0
	for r.TakeRetry(now, "ledger", 0.5) {
		used++
	}
	assert.Equal(t, used, defaultRetrySlack/2)
	assert.Check(t, r.TakeRetry(now, "ledger", 0))
}

// TestRetryLimiterSpread guards against the retries running out in the first seconds
// while a service sheds half of its requests for a long time. In each second, a caller
// with a reserve must get some retries, and a caller without one must get one more.
func TestRetryLimiterSpread(t *testing.T) {
	r := NewRetryLimiter()
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(RetryWindow / 1000)
		for range 10 {
			r.RecordFirstAttempt(now, "ledger")
		}
	}
	const allowed = 10000*defaultRetryRatio + defaultRetrySlack
	var used []int // retries in each second
	for range 8 {
		n := 0
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			for r.TakeRetry(now, "ledger", 0.15) {
				n++
			}
		}
		used = append(used, n)
		assert.Check(t, r.TakeRetry(now, "ledger", 0), "the reserve is used up")
	}
	assert.Check(t, float64(used[0]) <= allowed*(burstShare+0.1), "%v", used)
	for _, n := range used {
		assert.Check(t, float64(n) >= allowed*0.03, "%v", used)
	}
}
