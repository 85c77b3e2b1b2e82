package relay

import (
	"sync"
	"time"
)

const (
	// durationWindow is the time after which a duration is forgotten, or twice that at most.
	durationWindow = 15 * time.Second
	// finishMargin is how much earlier than at the end of a stop a request should end, so
	// that its response still reaches its caller.
	finishMargin = 150 * time.Millisecond
)

// durations are the longest times that requests lately took, by route or service. No other
// lock is acquired while its lock is held.
type durations struct {
	mu       sync.Mutex
	byName   map[string]time.Duration // since begunAt
	previous map[string]time.Duration // in the window before
	begunAt  time.Time
}

func newDurations() *durations {
	return &durations{byName: make(map[string]time.Duration), previous: make(map[string]time.Duration)}
}

// record takes how long a request took.
func (d *durations) record(now time.Time, name string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	d.byName[name] = max(d.byName[name], took)
}

// longest returns the longest time that a request lately took, or false if there was none.
func (d *durations) longest(now time.Time, name string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advance(now)
	current, known := d.byName[name]
	previous, knownBefore := d.previous[name]
	return max(current, previous), known || knownBefore
}

// advance begins a new window if the current one is over. The caller holds the lock.
func (d *durations) advance(now time.Time) {
	age := now.Sub(d.begunAt)
	if age < durationWindow {
		return
	}
	d.previous, d.byName = d.byName, make(map[string]time.Duration)
	if age >= 2*durationWindow {
		d.previous = make(map[string]time.Duration)
	}
	d.begunAt = now
}

// FinishBy makes the relay refuse new requests that would probably not end before a time.
func (r *Relay) FinishBy(end time.Time) {
	r.finishBy.Store(&end)
}

// mayFinish reports whether a request that takes at most the time limit ends before the
// node does, judged by the longest time that those of the same name lately took. Without
// any, the limit counts.
func (r *Relay) mayFinish(now time.Time, lately *durations, name string, limit time.Duration) bool {
	end := r.finishBy.Load()
	if end == nil {
		return true
	}
	expected := limit
	if longest, known := lately.longest(now, name); known {
		expected = min(limit, longest)
	}
	return !now.Add(expected + finishMargin).After(*end)
}

// mayFinishRoot reports whether a request of a caller ends before the node does. One that may
// be a sub-call ends with the request that it is made for, so its limit does not count, but
// the times that requests of its route lately took do: it may be a caller's after all.
func (r *Relay) mayFinishRoot(now time.Time, p *policy, info CallerInfo) bool {
	if _, known := r.rootDurations.longest(now, p.route); p.subCall && !known {
		return true
	}
	return r.mayFinish(now, r.rootDurations, p.route, p.longest(info))
}
