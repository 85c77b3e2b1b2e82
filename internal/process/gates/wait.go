package gates

import (
	"math"
	"time"
)

const (
	// waitTime is the time over which waits are averaged. It is some times the
	// service time of short requests, so that one slow request is no queue.
	waitTime = 100 * time.Millisecond
	// waitIdle is how long an average counts in full when nothing follows.
	waitIdle = 200 * time.Millisecond
)

// Wait is an average of how long requests waited, in which later ones count
// for more. It has no lock.
type Wait struct {
	at   time.Time // of the last observation
	mean float64   // seconds
}

// NewWait returns a Wait without observations.
func NewWait() *Wait {
	return &Wait{}
}

// Observe takes in how long a request waited.
func (w *Wait) Observe(now time.Time, waited time.Duration) {
	part := 1 - math.Exp(-max(now.Sub(w.at).Seconds(), waitLeast)/waitTime.Seconds())
	w.mean += (waited.Seconds() - w.mean) * part
	w.at = now
}

// waitLeast is the least time in seconds that an observation counts for, so that
// several at one moment have a weight.
const waitLeast = 0.0005

// Lately returns the average, which fades when nothing follows.
func (w *Wait) Lately(now time.Time) time.Duration {
	idle := now.Sub(w.at) - waitIdle
	if idle <= 0 {
		return time.Duration(w.mean * float64(time.Second))
	}
	return time.Duration(w.mean * math.Exp(-idle.Seconds()/waitTime.Seconds()) * float64(time.Second))
}
