package chain

import (
	"sync"
	"time"
)

// Limits of a RetryLimiter until SetBounds is called.
const (
	defaultRetryRatio = 0.1 // retries per first attempt
	defaultRetrySlack = 10  // retries
)

const (
	// bucketDuration is the time for which one bucket counts attempts.
	bucketDuration = 500 * time.Millisecond
	// RetryWindow is the sliding window within which retries are limited.
	RetryWindow = 10 * time.Second
)

// Retries are spread over the window, so that a service that sheds requests for a
// long time does not use them all up in the first seconds. The share burstShare of the
// retries that a window allows may be made at once, or minBurst of them if that is
// more. The others become available as time passes and as earlier retries leave the
// window.
const (
	minBurst   = 10 // retries
	burstShare = 0.3
)

// Numbers of buckets. First attempts are summed over three windows: the current one,
// the one before it, and the one halfway between them. The largest sum is used, so
// that after demand falls, the retries for the earlier demand are still allowed.
const (
	windowBuckets = int(RetryWindow / bucketDuration)
	keptBuckets   = 2*windowBuckets + 1
)

// RetryLimiter limits the retries of a node. For each service, they may be a share of
// the first attempts, plus a fixed number. As the limit holds on each node, it holds
// for the whole fleet. No other lock is acquired while its lock is held.
type RetryLimiter struct {
	mu       sync.Mutex
	ratio    float64
	services map[string]*attemptCounts
	slack    float64
}

// attemptCounts counts the attempts to call a service in buckets of time, the latest
// bucket first.
type attemptCounts struct {
	firstAttempts, retries [keptBuckets]int
	burstUsed              float64 // retries counted against the burst, fewer as time passes
	decayedAt              time.Time
	latest                 int64 // number of the latest bucket since the Unix epoch
}

// NewRetryLimiter returns a RetryLimiter with the default limits.
func NewRetryLimiter() *RetryLimiter {
	return &RetryLimiter{ratio: defaultRetryRatio, services: make(map[string]*attemptCounts), slack: defaultRetrySlack}
}

// SetBounds sets the limits: in each window, ratio retries per first attempt, and
// slack retries in addition.
func (r *RetryLimiter) SetBounds(ratio, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio = ratio
	r.slack = slack
}

// RecordFirstAttempt counts a call of a service that is not a retry.
func (r *RetryLimiter) RecordFirstAttempt(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(now, service).firstAttempts[0]++
}

// TakeRetry uses one retry to a service. It returns false if the node may not make a
// retry now. The reserve is the share of the burst, from 0 to 1, that is left to
// callers with a lower reserve.
func (r *RetryLimiter) TakeRetry(now time.Time, service string, reserve float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts(now, service)
	allowed := r.allowed(c)
	burst := burstSize(allowed)
	c.decayBurst(now, allowed)
	if float64(c.used()+1) > allowed || c.burstUsed+1 > burst*(1-reserve) {
		return false
	}
	c.retries[0]++
	c.burstUsed++
	return true
}

// allowed returns the number of retries that are allowed within the window.
func (r *RetryLimiter) allowed(c *attemptCounts) float64 {
	return r.ratio*float64(c.maxFirstAttempts()) + r.slack
}

// burstSize returns the number of retries that may be made at once if a window allows
// the given number.
func burstSize(allowed float64) float64 {
	return max(allowed*burstShare, min(allowed, minBurst))
}

// decayBurst lowers burstUsed for the time since its last call, at a rate of
// allowed*(1-burstShare) retries per window.
func (c *attemptCounts) decayBurst(now time.Time, allowed float64) {
	if elapsed := now.Sub(c.decayedAt); elapsed > 0 {
		c.burstUsed = max(c.burstUsed-allowed*(1-burstShare)*elapsed.Seconds()/RetryWindow.Seconds(), 0)
		c.decayedAt = now
	}
}

// used returns the number of retries within the window. It includes the whole oldest
// bucket, although the window may begin in the middle of it.
func (c *attemptCounts) used() int {
	return sum(c.retries[:windowBuckets+1])
}

// counts returns the counts of a service after moving its buckets on to now. Retries
// that leave the window no longer count against the burst.
func (r *RetryLimiter) counts(now time.Time, service string) *attemptCounts {
	bucket := now.UnixNano() / int64(bucketDuration)
	c := r.services[service]
	if c == nil {
		c = &attemptCounts{latest: bucket}
		r.services[service] = c
	}
	if passed := bucket - c.latest; passed > 0 {
		c.latest = bucket
		kept := windowBuckets + 1 - int(min(passed, int64(windowBuckets+1)))
		c.burstUsed = max(c.burstUsed-float64(sum(c.retries[kept:windowBuckets+1])), 0)
		shift(&c.firstAttempts, passed)
		shift(&c.retries, passed)
	}
	return c
}

// maxFirstAttempts returns the largest number of first attempts in any of the current
// window, the one before it, and the one halfway between them.
func (c *attemptCounts) maxFirstAttempts() int {
	largest := 0
	for from := 0; from <= windowBuckets; from += windowBuckets / 2 {
		largest = max(largest, sum(c.firstAttempts[from:from+windowBuckets]))
	}
	return largest
}

// shift moves the buckets back by the number of buckets that passed, and clears the
// new ones.
func shift(buckets *[keptBuckets]int, passed int64) {
	n := int(min(passed, int64(keptBuckets)))
	copy(buckets[n:], buckets[:keptBuckets-n])
	clear(buckets[:n])
}

func sum(buckets []int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
