package quota

import (
	"context"
	"math"
	"time"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/guard"
)

// minBorrowInterval is the shortest time between two Asks of a node to borrow a part of
// the same key's rate.
const minBorrowInterval = 250 * time.Millisecond

// borrowed is the part of a key's rate that a node borrows. It is nil for a key of which the
// node never asked to borrow.
type borrowed struct {
	asked   time.Time // last Ask
	expires time.Time
	queued  int     // requests that wait for a token
	rate    float64 // in tokens per second
	seq     uint64  // BorrowSeq of the Ask
	tokens  float64 // at most 1
	updated time.Time
}

// usable reports whether the loan has not expired.
func (b *borrowed) usable(now time.Time) bool {
	return b != nil && now.Before(b.expires)
}

// refill adds the tokens due since the last refill.
func (b *borrowed) refill(now time.Time) {
	switch {
	case b.usable(now):
		if elapsed := now.Sub(b.updated); elapsed > 0 {
			b.tokens = math.Min(1, b.tokens+b.rate*elapsed.Seconds())
			b.updated = now
		}
	case b != nil:
		b.tokens = 0
	}
}

// take uses a token. It returns false if there is none. The loan must have been refilled.
func (b *borrowed) take() bool {
	if b == nil || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// waiting returns the number of requests that wait for a token.
func (b *borrowed) waiting() int {
	if b == nil {
		return 0
	}
	return b.queued
}

// end makes the loan unusable.
func (b *borrowed) end() {
	if b != nil {
		b.expires = time.Time{}
	}
}

// timeTo returns the time until the given number of tokens has been added.
func (b *borrowed) timeTo(tokens int) time.Duration {
	missing := math.Max(float64(tokens)-b.tokens, 0)
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// PlanLoan completes an Ask to borrow at the rate of the demand. It returns false, and
// leaves the Ask unchanged, if there is little demand or an earlier Ask was just sent.
// The answer is expected to take the time roundTrip.
func (c *Cache) PlanLoan(now time.Time, ask *Ask, roundTrip time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, ask.Key)
	if e.demand < minPrefetchRate {
		return false
	}
	if e.loan == nil {
		e.loan = &borrowed{}
	}
	if now.Sub(e.loan.asked) < max(minBorrowInterval, roundTrip/2) {
		return false
	}
	c.seq++
	e.loan.asked = now
	ask.BorrowSeq = c.seq
	ask.Borrowed = e.loan.seq
	ask.Rate = math.Min(e.demand, maxAskTokens)
	ask.Trip = roundTrip
	return true
}

// ApplyLoan applies the answer to an Ask that PlanLoan completed. The loan replaces that of
// an earlier Ask. A loan that comes after that of a later Ask is discarded, and so is one
// that the allocator may not count any more.
func (c *Cache) ApplyLoan(sent, now time.Time, ask *Ask, grant *Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, ask.Key)
	if grant.Rate <= 0 || now.Sub(sent) >= nodeGrantTTL {
		return
	}
	if e.loan == nil {
		e.loan = &borrowed{}
	}
	if ask.BorrowSeq <= e.loan.seq {
		return
	}
	e.loan.refill(now)
	e.loan.updated = now
	e.loan.expires = sent.Add(nodeGrantTTL)
	e.loan.rate = grant.Rate
	e.loan.seq = ask.BorrowSeq
}

// JoinQueue adds a request to those that wait for a token of the node's loan, and returns
// how long to wait. It returns false if there is no loan or the wait would be longer than
// the given time. Otherwise the caller must call LeaveQueue.
func (c *Cache) JoinQueue(now time.Time, key Key, longest time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loan := c.entry(now, key).loan
	loan.refill(now)
	if !loan.usable(now) {
		return 0, false
	}
	wait := loan.timeTo(loan.queued + 1)
	if wait > longest || !loan.usable(now.Add(wait)) {
		return 0, false
	}
	loan.queued++
	return wait, true
}

// TakeQueued uses a token for a request that has waited. If there is none yet, it returns
// how long to wait again. It returns false if the loan has ended.
func (c *Cache) TakeQueued(now time.Time, key Key, limit Limit) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(now, key)
	e.loan.refill(now)
	switch {
	case e.limit != limit || !e.loan.usable(now):
		return 0, false
	case e.loan.take():
		e.admittedRate += 1 / rateWindow.Seconds()
		return 0, true
	}
	return e.loan.timeTo(1), true
}

// LeaveQueue removes a request from those that wait for a token of the node's loan.
func (c *Cache) LeaveQueue(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[key]; e != nil && e.loan != nil {
		e.loan.queued--
	}
}

// borrow asks the allocator of the node's zone in the background for a part of the rate, if
// answers take so long that immediate tokens cannot carry all of it.
func (c *Client) borrow(ctx context.Context, now time.Time, key Key, limit Limit, roundTrip time.Duration) {
	if patience(roundTrip) <= askTimeout || limit.ZoneShare(key, c.zoneIndex, len(c.Zones)).lendable(roundTrip) <= 0 {
		return
	}
	ask := Ask{Key: key, Shard: c.shardOf(key), Zone: c.Zone}
	if !c.cache.PlanLoan(now, &ask, roundTrip) {
		return
	}
	ctx = context.WithoutCancel(ctx)
	c.workers.Go(func() {
		guard.Run(c.Log, "loan", func() {
			sent := time.Now()
			grant, err := c.call(ctx, sent, &ask)
			if err != nil {
				c.Log.Debug().Err(err).Str("Zone", ask.Zone).Msg("borrowing a part of a rate failed")
				return
			}
			c.cache.ApplyLoan(sent, time.Now(), &ask, grant)
		})
	})
}

// awaitLoan waits for a token of the node's loan, at most for the time that the answer to an
// Ask would take, and uses it. It returns false if there is none.
func (c *Client) awaitLoan(ctx context.Context, now time.Time, key Key, limit Limit, roundTrip time.Duration) bool {
	wait, ok := c.cache.JoinQueue(now, key, roundTrip)
	if !ok {
		return false
	}
	defer c.cache.LeaveQueue(key)
	for deadline := now.Add(roundTrip); ok && !now.Add(wait).After(deadline); {
		if pause.For(ctx, wait) != nil {
			return false
		}
		now = time.Now()
		if wait, ok = c.cache.TakeQueued(now, key, limit); ok && wait == 0 {
			return true
		}
	}
	return false
}
