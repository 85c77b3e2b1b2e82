package chain

import (
	"sync"
	"time"
)

// Bounds of Ratios until SetBounds is called.
const (
	ratioPart  = 0.1 // retries to first tries
	ratioSlack = 10  // retries
)

// Times of Ratios.
const (
	// ratioStep is the length of a bucket of counts.
	ratioStep = 500 * time.Millisecond
	// RatioWindow is the time over which retries are bounded.
	RatioWindow = 10 * time.Second
)

// Retries are spread over the window, so that a service that turns requests away
// for long does not use them up in its first seconds: burstPart of those that a
// window allows, or burstLeast, may be made at once, and the others as time passes
// or as earlier ones leave the window.
const (
	burstLeast = 10
	burstPart  = 0.3
)

// Numbers of buckets. The first tries of a window, of the one before it and of
// the one between them are looked at, and whichever is most counts: after a fall
// of demand there are retries for what demand was.
const (
	windowSteps = int(RatioWindow / ratioStep)
	keptSteps   = 2*windowSteps + 1
)

// Ratios bound the retries that a node makes to a small part of its first
// tries, for each service. As they hold for each node, they hold for the fleet.
// Its lock is a leaf.
type Ratios struct {
	mu       sync.Mutex
	part     float64
	services map[string]*counts
	slack    float64
}

// counts are the tries of a service in steps of time, the latest first.
type counts struct {
	firsts, retries [keptSteps]int
	debt            float64 // retries that time has not made up for yet
	debtAt          time.Time
	step            int64 // of the latest
}

// NewRatios returns Ratios.
func NewRatios() *Ratios {
	return &Ratios{part: ratioPart, services: make(map[string]*counts), slack: ratioSlack}
}

// SetBounds sets the part of the first tries that may be retried, and the number
// of retries beyond.
func (r *Ratios) SetBounds(part, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.part = part
	r.slack = slack
}

// First counts a first try.
func (r *Ratios) First(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts(now, service).firsts[0]++
}

// Retry uses a retry, or reports false if the node has made too many. It leaves
// a part of the retries to others.
func (r *Ratios) Retry(now time.Time, service string, leave float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts(now, service)
	allowed := r.allowed(c)
	most := atOnce(allowed)
	c.pay(now, allowed)
	if float64(c.used()+1) > allowed || c.debt+1 > most*(1-leave) {
		return false
	}
	c.retries[0]++
	c.debt++
	return true
}

// allowed returns the number of retries that a window allows.
func (r *Ratios) allowed(c *counts) float64 {
	return r.part*float64(c.mostFirsts()) + r.slack
}

// atOnce returns the number of retries that may be made at once, where a window
// allows a number of them.
func atOnce(allowed float64) float64 {
	return max(allowed*burstPart, min(allowed, burstLeast))
}

// pay takes off the debt what the time since the last call makes up for.
func (c *counts) pay(now time.Time, allowed float64) {
	if elapsed := now.Sub(c.debtAt); elapsed > 0 {
		c.debt = max(c.debt-allowed*(1-burstPart)*elapsed.Seconds()/RatioWindow.Seconds(), 0)
		c.debtAt = now
	}
}

// used returns the retries of the window, which may begin within the oldest step.
func (c *counts) used() int {
	return sum(c.retries[:windowSteps+1])
}

// counts returns the counts of a service, moved on to now.
func (r *Ratios) counts(now time.Time, service string) *counts {
	step := now.UnixNano() / int64(ratioStep)
	c := r.services[service]
	if c == nil {
		c = &counts{step: step}
		r.services[service] = c
	}
	if passed := step - c.step; passed > 0 {
		c.step = step
		left := windowSteps + 1 - int(min(passed, int64(windowSteps+1)))
		c.debt = max(c.debt-float64(sum(c.retries[left:windowSteps+1])), 0)
		shift(&c.firsts, passed)
		shift(&c.retries, passed)
	}
	return c
}

func (c *counts) mostFirsts() int {
	most := 0
	for from := 0; from <= windowSteps; from += windowSteps / 2 {
		most = max(most, sum(c.firsts[from:from+windowSteps]))
	}
	return most
}

// shift makes room for a number of new steps.
func shift(steps *[keptSteps]int, passed int64) {
	n := int(min(passed, int64(keptSteps)))
	copy(steps[n:], steps[:keptSteps-n])
	clear(steps[:n])
}

func sum(steps []int) int {
	total := 0
	for _, n := range steps {
		total += n
	}
	return total
}
