package gates

import (
	"math"
	"time"
)

const (
	// waitTimeConstant is the time constant of the average. It is several times
	// the service time of short requests, so that a single slow request does not
	// look like a queue.
	waitTimeConstant = 100 * time.Millisecond
	// waitDecayDelay is how long after the last observation the average starts
	// to decay.
	waitDecayDelay = 200 * time.Millisecond
	// gapSmoothing is the weight of one gap between observations in their average.
	gapSmoothing = 0.2
	// decayDelayGaps is the number of average gaps after which an average of rare
	// observations starts to decay.
	decayDelayGaps = 2
)

// WaitAverage is an exponentially weighted moving average of the time that requests
// waited. It is not safe for concurrent use.
type WaitAverage struct {
	at            time.Time     // of the last observation
	gap           time.Duration // average between observations
	maxDecayDelay time.Duration
	mean          float64 // seconds
}

// WaitAverageOption configures a WaitAverage in NewWaitAverage.
type WaitAverageOption func(*WaitAverage)

// WithMaxDecayDelay makes an average of rare observations keep its value until the
// next one is overdue, but for d at most.
func WithMaxDecayDelay(d time.Duration) WaitAverageOption {
	return func(w *WaitAverage) { w.maxDecayDelay = d }
}

// NewWaitAverage returns a WaitAverage without observations.
func NewWaitAverage(options ...WaitAverageOption) *WaitAverage {
	w := &WaitAverage{maxDecayDelay: waitDecayDelay}
	for _, option := range options {
		option(w)
	}
	return w
}

// Observe adds the time that a request waited to the average.
func (w *WaitAverage) Observe(now time.Time, waited time.Duration) {
	gap := now.Sub(w.at)
	if !w.at.IsZero() {
		w.gap += time.Duration(gapSmoothing * float64(min(gap, w.maxDecayDelay)-w.gap))
	}
	weight := 1 - math.Exp(-max(gap.Seconds(), minWaitInterval)/waitTimeConstant.Seconds())
	w.mean += (waited.Seconds() - w.mean) * weight
	w.at = now
}

// decayDelay returns how long after the last observation the average starts to decay.
func (w *WaitAverage) decayDelay() time.Duration {
	return max(waitDecayDelay, min(decayDelayGaps*w.gap, w.maxDecayDelay))
}

// minWaitInterval is the shortest time since the previous observation, in seconds,
// by which an observation is weighted, so that several at the same time all count.
const minWaitInterval = 0.0005

// Value returns the average. It decays to zero while nothing is observed.
func (w *WaitAverage) Value(now time.Time) time.Duration {
	idle := now.Sub(w.at) - w.decayDelay()
	if idle <= 0 {
		return time.Duration(w.mean * float64(time.Second))
	}
	return time.Duration(w.mean * math.Exp(-idle.Seconds()/waitTimeConstant.Seconds()) * float64(time.Second))
}
