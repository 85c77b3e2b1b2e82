package gates

import (
	"math"
	"time"
)

const (
	// rateBurst is the time whose requests may start at once. With a shorter one, an
	// upstream whose requests do not come evenly would get fewer than it takes.
	rateBurst = time.Second
	// minRate is the lowest rate, in requests per second. Only responses tell that an
	// upstream takes more again, so it gets some requests even if it names no rate.
	minRate = 0.5
)

// rate limits the requests that start per second by a token bucket. The zero value does
// not limit them.
type rate struct {
	burst      time.Duration // whose requests may start at once
	perSecond  float64       // 0 for no limit
	refilledAt time.Time
	tokens     float64
}

// set changes the limit, in requests per second; 0 means none. A limit starts without
// tokens, as the upstream has had requests without one until now.
func (r *rate) set(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		*r = rate{burst: r.burst}
		return
	}
	if r.perSecond == 0 {
		r.refilledAt = now
	}
	r.refill(now)
	r.perSecond = max(perSecond, minRate)
	r.tokens = min(r.tokens, r.capacity())
}

// limited reports whether there is a limit.
func (r *rate) limited() bool {
	return r.perSecond > 0
}

// ready reports whether a request may start now.
func (r *rate) ready(now time.Time) bool {
	r.refill(now)
	return !r.limited() || r.tokens >= 1
}

// take uses a token for a request that starts.
func (r *rate) take() {
	if r.limited() {
		r.tokens--
	}
}

// giveBack returns the token of a request that was not sent.
func (r *rate) giveBack() {
	if r.limited() {
		r.tokens = min(r.tokens+1, r.capacity())
	}
}

// within returns the number of requests that may start within a time.
func (r *rate) within(d time.Duration) float64 {
	if !r.limited() {
		return math.Inf(1)
	}
	return r.perSecond * d.Seconds()
}

func (r *rate) refill(now time.Time) {
	if elapsed := now.Sub(r.refilledAt); r.limited() && elapsed > 0 {
		r.tokens = min(r.tokens+r.within(elapsed), r.capacity())
		r.refilledAt = now
	}
}

// capacity returns the largest number of tokens.
func (r *rate) capacity() float64 {
	return max(r.within(r.burst), 1)
}
