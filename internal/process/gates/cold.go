package gates

import (
	"math"
	"time"
)

const (
	// coldBurst is the time whose requests may start at once at a cold upstream. It is
	// short, as the bound on its requests holds for each second.
	coldBurst = 100 * time.Millisecond
	// warmupDoubling is the time in which the rate doubles once the upstream is warm, and
	// warmupTime the time after which there is no limit any more. Without the ramp, all
	// requests that waited would start at once.
	warmupDoubling = 50 * time.Millisecond
	warmupTime     = 300 * time.Millisecond
	// maxSilence is the time without any response after which an upstream with requests
	// in flight may have been restarted, and so be cold again. Where requests take long, it
	// is silenceRatio times their mean latency.
	maxSilence   = time.Second
	silenceRatio = 2
)

// ColdStart describes the upstreams of a service after a start. The zero value means that
// they take as many requests when they are cold as when they are warm.
type ColdStart struct {
	// PerSecond is the number of requests per second that a cold upstream takes.
	PerSecond float64
	// Time is how long an upstream is cold after its start.
	Time time.Duration
}

// coldLimit limits the requests that start per second at an upstream that is cold, and
// for warmupTime afterwards. The zero value does not limit them.
type coldLimit struct {
	bucket  rate
	latency time.Duration // mean of the upstream, 0 if unknown
	start   ColdStart     // of the upstream's service
	warmAt  time.Time     // zero if the upstream was not cold lately

	// quietSince is the time of the last response, or of the first request in flight
	// since then; zero if none is in flight. lostSince is the quietSince of the last
	// requests if these got no response.
	lostSince, quietSince time.Time
}

// set records that the upstream becomes warm at a time, which may have passed.
func (c *coldLimit) set(now, warmAt time.Time, start ColdStart) {
	c.start = start
	c.lostSince = time.Time{}
	if !c.quietSince.IsZero() {
		c.quietSince = now
	}
	switch {
	case start.PerSecond <= 0:
		c.end()
	case warmAt.After(now):
		c.warmAt = warmAt
	case c.warmAt.After(now):
		c.warmAt = now
	}
	c.update(now)
}

// end ends the limit.
func (c *coldLimit) end() {
	c.bucket.set(time.Time{}, 0)
	c.warmAt = time.Time{}
}

// update sets the rate that applies now. An upstream that has been silent for too long
// counts as cold until it reports that it is not.
func (c *coldLimit) update(now time.Time) {
	if c.start.PerSecond <= 0 {
		return
	}
	if !c.quietSince.IsZero() && now.Sub(c.quietSince) >= max(maxSilence, silenceRatio*c.latency) {
		c.warmAt = now.Add(c.start.Time)
	}
	if c.warmAt.IsZero() {
		return
	}
	warmFor := now.Sub(c.warmAt)
	if warmFor >= warmupTime {
		c.end()
		return
	}
	c.bucket.set(now, c.start.PerSecond*math.Exp2(max(warmFor.Seconds()/warmupDoubling.Seconds(), 0)))
}

// sent records that a request starts while a number of others are in flight.
func (c *coldLimit) sent(now time.Time, inFlight int) {
	if inFlight > 0 {
		return
	}
	c.quietSince = now
	if !c.lostSince.IsZero() {
		c.quietSince = c.lostSince
	}
}

// answered records a response.
func (c *coldLimit) answered(now time.Time) {
	c.lostSince = time.Time{}
	c.quietSince = now
}

// ended records that a request has ended while a number of others are in flight.
func (c *coldLimit) ended(inFlight int, answered bool) {
	if inFlight > 0 {
		return
	}
	if !answered {
		c.lostSince = c.quietSince
	}
	c.quietSince = time.Time{}
}

// rates limits the requests that start per second: by the rate that the upstream names,
// and by the one that it takes while it is cold.
type rates struct {
	cold  coldLimit
	named rate
}

// newRates returns rates without a limit.
func newRates() rates {
	return rates{cold: coldLimit{bucket: rate{burst: coldBurst}}, named: rate{burst: rateBurst}}
}

// limited reports whether there is a limit.
func (r *rates) limited() bool {
	return r.named.limited() || r.cold.bucket.limited()
}

// ready reports whether a request may start now.
func (r *rates) ready(now time.Time) bool {
	r.cold.update(now)
	return r.named.ready(now) && r.cold.bucket.ready(now)
}

// take uses a token of each limit for a request that starts.
func (r *rates) take() {
	r.named.take()
	r.cold.bucket.take()
}

// giveBack returns the tokens of a request that was not sent.
func (r *rates) giveBack() {
	r.named.giveBack()
	r.cold.bucket.giveBack()
}

// within returns the number of requests that may start within a time.
func (r *rates) within(d time.Duration) float64 {
	return min(r.named.within(d), r.cold.bucket.within(d))
}
