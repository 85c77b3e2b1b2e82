// Package gates bounds the requests in flight at an upstream and decides which
// of the waiting requests run next and which are refused.
package gates

import (
	"math"
	"time"
)

// Sample describes a finished request.
type Sample struct {
	// Failed reports whether the upstream failed or shed the request.
	Failed bool
	// InFlight is the number of requests in flight when it finished.
	InFlight int
	// Latency is the time that the upstream took.
	Latency time.Duration
}

// Limiter sets a concurrency limit and may adapt it to the requests observed.
type Limiter interface {
	// Limit returns the number of requests that may be in flight.
	Limit() int
	// Observe updates the limit from a finished request.
	Observe(now time.Time, sample Sample)
}

// Static is a Limiter with a fixed limit.
type Static int

// Limit implements Limiter.
func (s Static) Limit() int {
	return int(s)
}

// Observe implements Limiter. It does nothing.
func (s Static) Observe(time.Time, Sample) {}

// Parameters of a Gradient.
const (
	// speedupRatio is the ratio to the minimum latency below which the mean of at
	// least windowSamples requests becomes the minimum at once.
	speedupRatio = 0.6
	// speedupMinFactor is the smallest factor by which a lower minimum latency
	// lowers the limit in one window.
	speedupMinFactor = 0.5
	// saturatedRatio is the fraction of the limit in use from which the limit counts
	// as saturated, as it may then be what holds requests back.
	saturatedRatio       = 0.8
	failureRatio         = 0.5   // ratio of failed requests at which the limit falls
	failureFactor        = 0.8   // by which the limit falls on failures
	gradientMinFactor    = 0.7   // smallest factor by which latency lowers the limit in one window
	gradientInitialLimit = 16    // requests
	gradientMinLimit     = 2     // requests
	gradientMaxLimit     = 4096  // requests
	windowSamples        = 32    // samples that a window needs, or as many as the limit if that is lower
	latencySlack         = 0.005 // seconds over the minimum latency that do not count as queueing
	latencyTolerance     = 1.5   // ratio to the minimum latency up to which the limit does not fall
	minWindowTime        = 100 * time.Millisecond
	// minLatencyDecay is the time constant with which the minimum latency rises
	// towards the mean of later windows.
	minLatencyDecay  = 60 * time.Second
	minWindowSamples = 8    // samples that a window needs even if the limit is lower
	minLatencyStep   = 0.25 // fraction of the difference to a lower mean by which the minimum latency falls in one window
	// maxDecreases is the number of consecutive decreases after which the limiter
	// checks whether they lowered the latency.
	maxDecreases = 3
)

// Gradient is a Limiter that compares the mean latency of each window with the
// minimum latency of recent windows. It raises a saturated limit while the
// latency stays near the minimum, and lowers the limit when the latency rises.
// If a lower limit does not bring the latency down, the upstream itself has become
// slower, not its queue longer: the Gradient then restores the limit and takes the
// current latency as the new minimum.
type Gradient struct {
	minLatency  float64 // seconds
	limit       float64
	windowStart time.Time

	// Of the current window: samples, failed ones, and the most requests in flight.
	count, failed, peak int
	latencySum          float64 // seconds, of requests that did not fail

	decreases             int     // consecutive windows in which latency lowered the limit
	limitBeforeDecrease   float64 // before the first of these decreases
	latencyBeforeDecrease float64 // seconds, mean before the first of these decreases
}

// NewGradient returns a Gradient.
func NewGradient() *Gradient {
	return &Gradient{limit: gradientInitialLimit}
}

// Limit implements Limiter.
func (g *Gradient) Limit() int {
	return int(g.limit)
}

// Observe implements Limiter.
func (g *Gradient) Observe(now time.Time, sample Sample) {
	if g.windowStart.IsZero() {
		g.windowStart = now
	}
	g.count++
	g.peak = max(g.peak, sample.InFlight)
	if sample.Failed {
		g.failed++
	} else {
		g.latencySum += sample.Latency.Seconds()
	}
	if g.count >= max(min(windowSamples, g.Limit()), minWindowSamples) && now.Sub(g.windowStart) >= minWindowTime {
		g.adapt(now)
	}
}

// adapt ends a window, updates the limit from it and starts the next one.
func (g *Gradient) adapt(now time.Time) {
	elapsed := now.Sub(g.windowStart)
	count, failed, peak, latencySum := g.count, g.failed, g.peak, g.latencySum
	g.windowStart = now
	g.count, g.failed, g.peak, g.latencySum = 0, 0, 0, 0
	if float64(failed) >= failureRatio*float64(count) {
		g.limit = math.Max(g.limit*failureFactor, gradientMinLimit)
		return
	}
	mean := latencySum / float64(count-failed)
	saturated := float64(peak) >= g.limit*saturatedRatio
	g.updateMinLatency(mean, elapsed, count-failed, saturated)
	factor := math.Max((latencyTolerance*g.minLatency+latencySlack)/mean, gradientMinFactor)
	if factor < 1 {
		g.decrease(mean, factor)
		return
	}
	g.decreases = 0
	if saturated {
		g.limit = math.Min(g.limit+math.Sqrt(g.limit)/2, gradientMaxLimit)
	}
}

// updateMinLatency updates the minimum latency from the mean of a window with
// count successful requests.
//
// A lower mean lowers the minimum and, in proportion, the limit: the upstream
// has become faster, and a queue at it may still hide how fast it is. The fewer
// requests a mean comes from, the less it lowers the minimum. A higher mean raises
// the minimum slowly, but not if the limit was saturated, as the latency may
// then include time in a queue.
func (g *Gradient) updateMinLatency(mean float64, elapsed time.Duration, count int, saturated bool) {
	switch {
	case g.minLatency == 0:
		g.minLatency = mean
		return
	case mean < g.minLatency:
		confidence := math.Min(float64(count)/windowSamples, 1)
		lowered := g.minLatency + (mean-g.minLatency)*minLatencyStep*confidence
		if mean < g.minLatency*speedupRatio && confidence == 1 {
			lowered = mean
		}
		g.limit = math.Max(g.limit*math.Max(lowered/g.minLatency, speedupMinFactor), gradientMinLimit)
		g.minLatency = lowered
		return
	case saturated:
		return
	}
	g.minLatency += (mean - g.minLatency) * math.Min(elapsed.Seconds()/minLatencyDecay.Seconds(), 1)
}

// decrease multiplies the limit by a factor. After maxDecreases decreases in a
// row, it checks whether the latency fell, in proportion, at least half as much as
// the limit. If not, it restores the limit instead and takes the mean latency as
// the minimum.
func (g *Gradient) decrease(mean, factor float64) {
	if g.decreases == 0 {
		g.limitBeforeDecrease, g.latencyBeforeDecrease = g.limit, mean
	}
	g.decreases++
	if g.decreases > maxDecreases {
		g.decreases = 0
		if expected := (1 + g.limit/g.limitBeforeDecrease) / 2; mean > g.latencyBeforeDecrease*expected {
			g.minLatency = mean
			g.limit = g.limitBeforeDecrease
			return
		}
	}
	g.limit = math.Max(g.limit*factor, gradientMinLimit)
}
