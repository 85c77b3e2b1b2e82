package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// prefetchWindow is the time for which a node asks to hold enough tokens, at
	// the current demand.
	prefetchWindow = 500 * time.Millisecond
	// rateWindow is the time constant of the smoothed request rates.
	rateWindow = 2 * time.Second
	// entryRetention is how long an unused entry is kept.
	entryRetention = time.Minute
	// maxHeld is the largest number of tokens of one key that a node asks to
	// hold.
	maxHeld = 256
	// maxEmptyTime is the longest time for which a node relies on an
	// allocator's answer that no token is left.
	maxEmptyTime = 250 * time.Millisecond
	// maxRetryAfter is the longest time after which a refused caller is told to
	// retry. Few callers wait longer than this for a complete response.
	maxRetryAfter = time.Second
	// maxWaiters is the largest number of requests of one key that wait for a
	// token.
	maxWaiters = 4
	// minPrefetchRate is the demand, in requests per second, below which a node
	// asks for no tokens to hold.
	minPrefetchRate = 0.5
	// renewBefore is how long before its expiry a grant is renewed.
	renewBefore = 500 * time.Millisecond
)

// Cache contains the tokens that a node holds. No other lock is acquired while
// its lock is held.
type Cache struct {
	mu      sync.Mutex
	entries map[Key]*entry
	seq     uint64 // of the last Ask
}

// entry contains the tokens of a key, and the state of the requests for them.
type entry struct {
	admittedRate  float64             // smoothed, in requests per second
	prefetching   bool                // an Ask for tokens to hold is in flight
	demand        float64             // smoothed, in requests per second
	emptyUntil    time.Time           // no token is available before, as far as known
	expires       time.Time           // of the tokens
	immediateAsks map[string][]uint64 // NowSeq of the Asks in flight, by availability zone
	limit         Limit
	nextRetry     time.Time // of the next refused caller
	term          uint64    // of the allocator that granted the tokens
	tokens        int
	updated       time.Time // last decay of the rates
	waiters       int       // requests that wait for a token
}

// NewCache returns an empty Cache. Its sequence numbers begin at the current
// time in nanoseconds, so that they are higher than those of earlier processes
// of the node.
func NewCache(now time.Time) *Cache {
	return &Cache{entries: make(map[Key]*entry), seq: uint64(now.UnixNano())}
}

// Take uses a token that the node holds. It returns false if the node holds
// none. It discards tokens that have expired or that were granted under a
// different limit.
func (c *Cache) Take(now time.Time, key Key, limit Limit) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, key)
	e.demand += 1 / rateWindow.Seconds()
	if !now.Before(e.expires) || e.limit != limit {
		e.limit = limit
		e.tokens = 0
	}
	if e.tokens == 0 {
		return false
	}
	e.tokens--
	e.admittedRate += 1 / rateWindow.Seconds()
	return true
}

// RecordAdmission counts a request that was admitted with an immediate token.
func (c *Cache) RecordAdmission(now time.Time, key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(now, key).admittedRate += 1 / rateWindow.Seconds()
}

// RetryAfter returns the time after which a refused caller should retry, given
// the wait until the next token is available. Retries are scheduled one after
// another, in the order of the refusals and at the rate at which the node
// admits requests: if all callers retried as soon as the next token is
// available, all but one would be refused again.
//
// The parameter within is the time in which a retry is still useful to the
// caller, or 0 if it always is. If the caller's turn would come after the
// shorter of within and maxRetryAfter, retries can no longer be kept in order.
// The caller then gets a random time in the second half of that period, but
// never less than wait.
func (c *Cache) RetryAfter(now time.Time, key Key, wait, within time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, key)
	at := now.Add(wait)
	if e.nextRetry.After(at) {
		at = e.nextRetry
	}
	longest := maxRetryAfter
	if within > 0 {
		longest = min(longest, within)
	}
	after := at.Sub(now)
	if after > longest {
		return max(wait, longest/2+rand.N(longest/2+1))
	}
	e.nextRetry = at.Add(time.Duration(float64(time.Second) / max(e.admittedRate, 1/maxRetryAfter.Seconds())))
	return after
}

// EmptyFor returns how long no token will be available, according to the
// allocators' last answers. It returns 0 if a token may be available.
func (c *Cache) EmptyFor(now time.Time, key Key) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.entry(now, key).emptyUntil.Sub(now), 0)
}

// SetEmpty records that no token will be available for a time, limited to
// maxEmptyTime.
func (c *Cache) SetEmpty(now time.Time, key Key, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(now, key).emptyUntil = now.Add(min(wait, maxEmptyTime))
}

// BeginImmediate sets the sequence numbers of an Ask for immediate tokens. The
// caller must call EndImmediate once the tokens are used or discarded.
func (c *Cache) BeginImmediate(now time.Time, ask *Ask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, ask.Key)
	c.seq++
	ask.NowSeq = c.seq
	ask.Below = c.seq
	inFlight := e.immediateAsks[ask.Zone]
	if len(inFlight) > 0 {
		ask.Below = inFlight[0]
	}
	if e.immediateAsks == nil {
		e.immediateAsks = make(map[string][]uint64)
	}
	e.immediateAsks[ask.Zone] = append(inFlight, ask.NowSeq)
}

// EndImmediate records that the immediate tokens of an Ask were used or
// discarded.
func (c *Cache) EndImmediate(ask *Ask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[ask.Key]; e != nil {
		e.immediateAsks[ask.Zone] = slices.DeleteFunc(e.immediateAsks[ask.Zone], func(seq uint64) bool { return seq == ask.NowSeq })
	}
}

// SettledBelow returns the number below which the node has used or discarded the immediate
// tokens of all its Asks to the allocator, apart from the given Ask, whose tokens are used.
func (c *Cache) SettledBelow(ask *Ask) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[ask.Key]; e != nil {
		for _, seq := range e.immediateAsks[ask.Zone] {
			if seq != ask.NowSeq {
				return seq
			}
		}
	}
	return c.seq + 1
}

// AddWaiter adds a request to those of a key that wait for a token. It returns
// false if there are maxWaiters already or the key has no entry. Otherwise the
// caller must call RemoveWaiter.
func (c *Cache) AddWaiter(key Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[key]
	if e == nil || e.waiters >= maxWaiters {
		return false
	}
	e.waiters++
	return true
}

// RemoveWaiter removes a request from those of a key that wait for a token.
func (c *Cache) RemoveWaiter(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[key]; e != nil {
		e.waiters--
	}
}

// PlanPrefetch adds the tokens to hold to an Ask. It returns false, and leaves
// the Ask unchanged, if no more tokens are needed or another Ask for tokens to
// hold is in flight. Otherwise the caller must call ApplyGrant. The answer is expected to
// take the time roundTrip.
func (c *Cache) PlanPrefetch(now time.Time, ask *Ask, roundTrip time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, ask.Key)
	if e.prefetching || e.demand < minPrefetchRate {
		return false
	}
	if !now.Before(e.expires) {
		e.tokens = 0
	}
	target := int(math.Ceil(math.Min(e.demand*(prefetchWindow+2*roundTrip).Seconds(), maxHeld)))
	if e.tokens > target/2 && e.expires.Sub(now) > renewBefore+roundTrip {
		return false
	}
	c.seq++
	e.prefetching = true
	ask.Held = e.tokens
	ask.Seq = c.seq
	ask.Want = max(target-e.tokens, 0)
	return true
}

// ApplyGrant applies the answer to an Ask that PlanPrefetch completed. The
// grant is nil if the Ask failed. Tokens of an earlier term are discarded, and so are
// those that have expired: the allocator may not have counted them any more when it got
// the Ask.
func (c *Cache) ApplyGrant(sent, now time.Time, ask *Ask, grant *Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, ask.Key)
	e.prefetching = false
	if grant == nil || now.Sub(sent) >= nodeGrantTTL {
		return
	}
	if grant.Term != e.term || !now.Before(e.expires) {
		e.tokens = 0
		e.term = grant.Term
	}
	e.tokens += grant.Held
	e.expires = sent.Add(nodeGrantTTL)
}

// Prune removes the keys that have been unused for entryRetention and returns
// the number that remain.
func (c *Cache) Prune(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, e := range c.entries {
		if now.Sub(e.updated) >= entryRetention && !e.prefetching && e.waiters == 0 {
			delete(c.entries, key)
		}
	}
	return len(c.entries)
}

// entry returns the entry of a key, created if need be, with its rates decayed
// to the current time. The caller holds the lock.
func (c *Cache) entry(now time.Time, key Key) *entry {
	e := c.entries[key]
	if e == nil {
		e = &entry{updated: now}
		c.entries[key] = e
	}
	if elapsed := now.Sub(e.updated); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
		e.admittedRate *= decay
		e.demand *= decay
		e.updated = now
	}
	return e
}
