package quota

import (
	"math"
	"net/netip"
	"time"
)

// bucket is the token bucket of a key, with the tokens granted from it.
type bucket struct {
	grants map[netip.AddrPort]*grant // held tokens, by node
	// heldSum is the sum of the unexpired tokens in grants. It is valid until
	// heldSumExpires, when the first of them may expire.
	heldSum        int
	heldSumExpires time.Time
	limit          Limit
	tokens         float64
	immediate      immediateGrants
	slow           immediateGrants // immediate tokens of nodes that wait longer than askTimeout
	updated        time.Time       // last refill
}

// grant records how many tokens a node may hold, and until when.
type grant struct {
	expires time.Time
	seq     uint64 // of the node's last Ask for tokens to hold
	tokens  int
}

// applyReport updates the bucket from the number of unused tokens that the node
// reports in an Ask. It ignores the held tokens in an Ask that arrives after a
// later one.
func (b *bucket) applyReport(now time.Time, node netip.AddrPort, ask *Ask) {
	b.immediate.settle(node, ask.Below)
	b.slow.settle(node, ask.Below)
	if ask.Seq == 0 {
		return
	}
	g := b.grants[node]
	if g == nil || ask.Seq <= g.seq {
		return
	}
	tokens := 0
	if now.Before(g.expires) {
		tokens = min(g.tokens, ask.Held)
	}
	b.held(now)
	b.setGrant(now, g, tokens, g.expires)
}

// grantImmediate takes the immediate tokens of an Ask out of the bucket, or as
// many as there are, and returns their number. If the node waits longer than askTimeout,
// it also returns how long the tokens count as unused. Those count together with held
// tokens towards maxHeldFraction, as a later holder allows for that many.
func (b *bucket) grantImmediate(now time.Time, node netip.AddrPort, ask *Ask) (tokens int, valid time.Duration) {
	tokens = min(ask.Now, int(b.tokens))
	if ask.Patience <= askTimeout {
		if tokens > 0 {
			b.tokens -= float64(tokens)
			b.immediate.add(node, immediateGrant{expires: now.Add(ImmediateGrantTTL), seq: ask.NowSeq, tokens: tokens})
		}
		return tokens, 0
	}
	if tokens = min(tokens, b.holdable(now)); tokens <= 0 {
		return 0, 0
	}
	valid = min(ask.Patience*10/9, GrantTTL)
	b.tokens -= float64(tokens)
	b.slow.add(node, immediateGrant{expires: now.Add(valid), seq: ask.NowSeq, tokens: tokens})
	return tokens, valid
}

// holdable returns the number of tokens that nodes may get in addition to hold them, or to
// wait longer than askTimeout for them.
func (b *bucket) holdable(now time.Time) int {
	return int(b.limit.Burst*maxHeldFraction) - b.held(now) - b.slow.unused(now)
}

// grantHeld takes tokens out of the bucket for a node to hold and returns their
// number. It grants none for an Ask that arrives after a later one.
func (b *bucket) grantHeld(now time.Time, node netip.AddrPort, ask *Ask) int {
	g := b.grants[node]
	if ask.Seq == 0 || (g != nil && ask.Seq <= g.seq) {
		return 0
	}
	tokens := max(min(ask.Want, int(b.tokens*maxGrantFraction), b.holdable(now)), 0)
	if g == nil {
		g = &grant{}
		b.grants[node] = g
	}
	b.tokens -= float64(tokens)
	g.seq = ask.Seq
	b.setGrant(now, g, g.tokens+tokens, now.Add(GrantTTL))
	return tokens
}

// refill adds the tokens due since the last refill. At each time in between, the tokens
// in the bucket and the granted tokens that could be used then together do not exceed
// the burst. Granted tokens may be used until just before they expire, so what expires
// makes room only for the tokens due later.
func (b *bucket) refill(now time.Time) {
	for b.updated.Before(now) {
		unused := b.unused(b.updated)
		until := now
		if unused > 0 {
			until = earlier(now, b.nextExpiry())
		}
		b.tokens += b.limit.Rate * until.Sub(b.updated).Seconds()
		b.limitTokens(unused)
		b.updated = until
	}
	b.limitTokens(b.unused(now))
}

// limitTokens removes the tokens for which there is no room beside the given number of
// unused ones.
func (b *bucket) limitTokens(unused int) {
	b.tokens = math.Max(math.Min(b.tokens, b.limit.Burst-float64(unused)), 0)
}

// nextExpiry returns the first time after the last refill at which granted tokens may
// expire. The caller must have called unused for the time of that refill.
func (b *bucket) nextExpiry() time.Time {
	return earlier(b.heldSumExpires, earlier(b.immediate.nextExpiry(b.heldSumExpires), b.slow.nextExpiry(b.heldSumExpires)))
}

// unused returns the number of granted tokens that nodes may still use.
func (b *bucket) unused(now time.Time) int {
	return b.held(now) + b.immediate.unused(now) + b.slow.unused(now)
}

// held returns the number of tokens that nodes hold. It also removes grants
// that expired at least grantRetention ago.
func (b *bucket) held(now time.Time) int {
	if now.Before(b.heldSumExpires) {
		return b.heldSum
	}
	b.heldSum = 0
	b.heldSumExpires = now.Add(GrantTTL)
	for node, g := range b.grants {
		if now.Before(g.expires) {
			b.heldSum += g.tokens
			b.heldSumExpires = earlier(b.heldSumExpires, g.expires)
		} else if now.Sub(g.expires) >= grantRetention {
			delete(b.grants, node)
		}
	}
	return b.heldSum
}

// setGrant changes a grant and keeps heldSum in step with it. The caller must
// have called held for the same time.
func (b *bucket) setGrant(now time.Time, g *grant, tokens int, expires time.Time) {
	if now.Before(g.expires) {
		b.heldSum -= g.tokens
	}
	g.expires = expires
	g.tokens = tokens
	if now.Before(expires) {
		b.heldSum += tokens
		b.heldSumExpires = earlier(b.heldSumExpires, expires)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// timeToNextToken returns the time until the bucket contains a whole token.
func (b *bucket) timeToNextToken() time.Duration {
	missing := math.Max(1-b.tokens, 0)
	return time.Duration(missing / b.limit.Rate * float64(time.Second))
}
