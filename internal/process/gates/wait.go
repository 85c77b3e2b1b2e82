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
)

// WaitAverage is an exponentially weighted moving average of the time that requests
// waited. It is not safe for concurrent use.
type WaitAverage struct {
	at   time.Time // of the last observation
	mean float64   // seconds
}

// NewWaitAverage returns a WaitAverage without observations.
func NewWaitAverage() *WaitAverage {
	return &WaitAverage{}
}

// Observe adds the time that a request waited to the average.
func (w *WaitAverage) Observe(now time.Time, waited time.Duration) {
	weight := 1 - math.Exp(-max(now.Sub(w.at).Seconds(), minWaitInterval)/waitTimeConstant.Seconds())
	w.mean += (waited.Seconds() - w.mean) * weight
	w.at = now
}

// minWaitInterval is the shortest time since the previous observation, in seconds,
// by which an observation is weighted, so that several at the same time all count.
const minWaitInterval = 0.0005

// Value returns the average. It decays to zero while nothing is observed.
func (w *WaitAverage) Value(now time.Time) time.Duration {
	idle := now.Sub(w.at) - waitDecayDelay
	if idle <= 0 {
		return time.Duration(w.mean * float64(time.Second))
	}
	return time.Duration(w.mean * math.Exp(-idle.Seconds()/waitTimeConstant.Seconds()) * float64(time.Second))
}
