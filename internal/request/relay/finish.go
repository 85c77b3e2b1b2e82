package relay

import (
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/pkg/refuse"
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

// finish tells when a stopping node ends.
type finish struct {
	by         time.Time // requests in flight are then cut
	provenFrom time.Time // requests received from then on are accepted only if their time limit ends before by
}

// FinishBy makes the relay refuse new requests that would probably not end before a time, and
// from provenFrom on all whose time limit ends later.
func (r *Relay) FinishBy(by, provenFrom time.Time) {
	r.finish.Store(&finish{by: by, provenFrom: provenFrom})
}

// mayFinish reports whether a request that takes at most the time limit ends before the
// node does, judged by the longest time that those of the same name lately took. Without
// any, and for a request that was received when the node accepts only what certainly ends in
// time, the limit counts.
func (r *Relay) mayFinish(now, received time.Time, lately *durations, name string, limit time.Duration) bool {
	end := r.finish.Load()
	if end == nil {
		return true
	}
	expected := limit
	if longest, known := lately.longest(now, name); known && received.Before(end.provenFrom) {
		expected = min(limit, longest)
	}
	return !now.Add(expected + finishMargin).After(end.by)
}

// mayFinishRoot reports whether a request of a caller ends before the node does. One that may
// be a sub-call was begun by a request in flight, which fails without it: it is judged only by
// the times that requests of its route lately took, as it may be a caller's after all, and
// limitSubCall shortens its time.
func (r *Relay) mayFinishRoot(now time.Time, p *policy, info CallerInfo) bool {
	if !p.subCall {
		return r.mayFinish(now, now, r.rootDurations, p.route, p.longest(info))
	}
	_, known := r.rootDurations.longest(now, p.route)
	return !known || r.mayFinish(now, time.Time{}, r.rootDurations, p.route, p.longest(info))
}

// limitSubCall shortens the time limit of what may be a sub-call so that it ends before the node
// does, once the node accepts only requests that certainly end in time. The upstream that
// runs it then gives up in time for the answer to reach the caller.
func (r *Relay) limitSubCall(now time.Time, p *policy) {
	if p.subCall && r.acceptsOnlyProven(now) {
		p.timeout = min(p.timeout, max(r.finish.Load().by.Sub(now)-finishMargin, 0))
	}
}

// acceptsOnlyProven reports whether the node is about to stop and accepts only requests that
// certainly end in time.
func (r *Relay) acceptsOnlyProven(now time.Time) bool {
	end := r.finish.Load()
	return end != nil && !now.Before(end.provenFrom)
}

// mayStillFinish reports whether a request that was accepted earlier, and has waited since,
// still ends before the node does. Sub-calls end with their root requests.
func (s *session) mayStillFinish(now time.Time) bool {
	return s.route == "" || s.relay.mayFinish(now, s.received, s.relay.rootDurations, s.route, s.deadline.Sub(now))
}

// endsTooEarlyRefusal returns the refusal of a request for which mayFinishRoot or mayStillFinish
// is false.
func endsTooEarlyRefusal() *refuse.Refusal {
	return refuse.New(refuse.Draining, defaultRetryAfter, "the node ends before the request would")
}
