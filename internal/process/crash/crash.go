// Package crash detects requests that crash the upstreams that run them, and
// quarantines them.
//
// When an upstream crashes, the requests in flight at it become suspects, and
// its node reports them to all nodes. A suspect that is in flight at a second
// crash is quarantined. Requests that merely ran at the same time as the one that
// caused the crash must not be quarantined with it. A node therefore runs only
// one suspect at a time, clears a suspect once it succeeds there, and does not
// suspect a request if an equal one recently succeeded there.
package crash

import (
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// QuarantineTime is how long a quarantined request is refused.
	QuarantineTime = 10 * time.Minute
	// crashDebounce is the time within which failures count as the same crash.
	crashDebounce = time.Second
	// suspectTime is how long a request stays a suspect.
	suspectTime = 10 * time.Minute
	// minExchanged is the minimum time for which an entry must be valid to be exchanged. It
	// is longer than the differences between nodes in when the same entry ends, so that
	// an entry that has ended does not come back from another node.
	minExchanged = 30 * time.Second
)

// Bounds on the number of fingerprints.
const (
	maxEntries       = 16384 // of suspects, quarantined and succeeded requests each
	maxReportEntries = 4096  // in a Report
)

// Fingerprint identifies a request of a customer. Equal requests have the same
// Fingerprint.
type Fingerprint uint64

// Report lists the requests that were in flight at a crash, for other nodes.
type Report struct {
	// Guilty are the requests to quarantine. Suspects are those that were in flight
	// at a crash for the first time.
	Guilty, Suspects []Fingerprint
}

// Check implements wire.Checker.
func (r *Report) Check() error {
	if len(r.Guilty)+len(r.Suspects) > maxReportEntries {
		return trace.BadParameter("crash report has more than %d fingerprints", maxReportEntries)
	}
	return nil
}

// Entry is a fingerprint that a node holds.
type Entry struct {
	Fingerprint Fingerprint
	// Left is for how much longer the node holds it.
	Left time.Duration
}

// Check returns an error if Left is negative or longer than any entry is held.
func (e *Entry) Check() error {
	if e.Left < 0 || e.Left > max(QuarantineTime, suspectTime) {
		return trace.BadParameter("crash state: an entry is left for %v", e.Left)
	}
	return nil
}

// State is what a node knows about requests that crash upstreams, for nodes that may lack
// some of it.
type State struct {
	Quarantined []Entry
	// Suspects are left out in a request.
	Suspects []Entry `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (s *State) Check() error {
	if len(s.Quarantined)+len(s.Suspects) > maxReportEntries {
		return trace.BadParameter("crash state has more than %d fingerprints", maxReportEntries)
	}
	for _, entries := range [][]Entry{s.Quarantined, s.Suspects} {
		for i := range entries {
			if err := entries[i].Check(); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// Table holds the suspects, the quarantined requests and the requests in flight
// at the local upstream. No other lock is acquired while its lock is held.
type Table struct {
	mu        sync.Mutex
	crashedAt time.Time
	// heard holds the suspects of which other nodes have told, or have been told, and when.
	heard           map[Fingerprint]time.Time
	quarantined     map[Fingerprint]time.Time // and when each was added
	inFlight        map[Fingerprint]int       // number of equal requests
	suspectInFlight *Fingerprint              // nil for none
	suspects        map[Fingerprint]time.Time // and when each was added
	// succeeded holds the requests that succeeded recently in two generations, the
	// newer one first.
	succeeded [2]map[Fingerprint]struct{}
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		heard:       make(map[Fingerprint]time.Time),
		quarantined: make(map[Fingerprint]time.Time),
		inFlight:    make(map[Fingerprint]int),
		suspects:    make(map[Fingerprint]time.Time),
		succeeded: [2]map[Fingerprint]struct{}{
			make(map[Fingerprint]struct{}),
			make(map[Fingerprint]struct{}),
		},
	}
}

// QuarantineLeft returns how long a request will still be refused, 0 if it is not
// quarantined.
func (t *Table) QuarantineLeft(now time.Time, f Fingerprint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.quarantined[f]
	if !ok {
		return 0
	}
	left := at.Add(QuarantineTime).Sub(now)
	if left <= 0 {
		delete(t.quarantined, f)
	}
	return max(left, 0)
}

// Begin counts a request as in flight at the upstream. The parameter suspect tells
// whether the calling node suspects the request. Begin returns false, and does not
// count the request, if it is a suspect and a suspect is already in flight.
func (t *Table) Begin(now time.Time, f Fingerprint, suspect bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspect && !t.succeededRecently(f) {
		add(t.suspects, f, now, suspectTime)
	}
	if t.isSuspect(now, f) {
		if t.suspectInFlight != nil {
			return false
		}
		t.suspectInFlight = &f
	}
	t.inFlight[f]++
	return true
}

func (t *Table) isSuspect(now time.Time, f Fingerprint) bool {
	at, ok := t.suspects[f]
	return ok && now.Sub(at) < suspectTime
}

// isSuspectInFlight reports whether a request is the one suspect in flight.
func (t *Table) isSuspectInFlight(f Fingerprint) bool {
	return t.suspectInFlight != nil && *t.suspectInFlight == f
}

// End counts a request as no longer in flight. If it succeeded, it is no longer a
// suspect.
func (t *Table) End(f Fingerprint, succeeded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[f]--; t.inFlight[f] <= 0 {
		delete(t.inFlight, f)
		if t.isSuspectInFlight(f) {
			t.suspectInFlight = nil
		}
	}
	if succeeded {
		delete(t.suspects, f)
		t.addSucceeded(f)
	}
}

// addSucceeded records a request that succeeded. When the newer generation is
// full, it replaces the older one.
func (t *Table) addSucceeded(f Fingerprint) {
	if len(t.succeeded[0]) >= maxEntries/2 {
		t.succeeded[0], t.succeeded[1] = make(map[Fingerprint]struct{}), t.succeeded[0]
	}
	t.succeeded[0][f] = struct{}{}
}

func (t *Table) succeededRecently(f Fingerprint) bool {
	_, newer := t.succeeded[0][f]
	_, older := t.succeeded[1][f]
	return newer || older
}

// RecordCrash records a crash of the upstream and returns the report for other
// nodes. It returns false if the crash is already known.
func (t *Table) RecordCrash(now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.crashedAt) < crashDebounce {
		return Report{}, false
	}
	t.crashedAt = now
	var report Report
	for f := range t.inFlight {
		if len(report.Guilty)+len(report.Suspects) == maxReportEntries {
			break
		}
		switch {
		case t.isSuspectInFlight(f):
			report.Guilty = append(report.Guilty, f)
		case !t.succeededRecently(f):
			report.Suspects = append(report.Suspects, f)
		}
	}
	t.merge(now, &report)
	return report, true
}

// Merge adds the report of another node, and reports whether any of it was new.
func (t *Table) Merge(now time.Time, report *Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, report)
}

func (t *Table) merge(now time.Time, report *Report) bool {
	changed := false
	for _, f := range report.Suspects {
		add(t.suspects, f, now, suspectTime)
		changed = add(t.heard, f, now, suspectTime) || changed
	}
	for _, f := range report.Guilty {
		delete(t.suspects, f)
		changed = add(t.quarantined, f, now, QuarantineTime) || changed
	}
	return changed
}

// State returns the entries that are worth exchanging, at most maxReportEntries of them.
func (t *Table) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s State
	s.Quarantined = exchanged(t.quarantined, now, QuarantineTime, maxReportEntries)
	s.Suspects = exchanged(t.suspects, now, suspectTime, maxReportEntries-len(s.Quarantined))
	return s
}

// MergeState adds the quarantined requests of another node, and reports how many of them
// were new. It adds the suspects, too, if suspects is true, except for requests that have
// succeeded here recently.
func (t *Table) MergeState(now time.Time, s *State, suspects bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := 0
	for _, e := range s.Quarantined {
		delete(t.suspects, e.Fingerprint)
		if add(t.quarantined, e.Fingerprint, now, QuarantineTime) {
			added++
			shorten(t.quarantined, e.Fingerprint, now.Add(e.Left-QuarantineTime))
		}
	}
	if !suspects {
		return added
	}
	for _, e := range s.Suspects {
		add(t.heard, e.Fingerprint, now, suspectTime)
		if !t.succeededRecently(e.Fingerprint) && add(t.suspects, e.Fingerprint, now, suspectTime) {
			shorten(t.suspects, e.Fingerprint, now.Add(e.Left-suspectTime))
		}
	}
	return added
}

// digest returns a hash of the quarantined requests that are worth exchanging.
func (t *Table) digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for f, at := range t.quarantined {
		if at.Add(QuarantineTime).Sub(now) >= minExchanged {
			sum ^= uint64(f)
		}
	}
	return sum
}

// exchanged returns up to limit entries that are valid for minExchanged or longer.
func exchanged(entries map[Fingerprint]time.Time, now time.Time, lifetime time.Duration, limit int) []Entry {
	var chosen []Entry
	for f, at := range entries {
		if left := at.Add(lifetime).Sub(now); left >= minExchanged && len(chosen) < limit {
			chosen = append(chosen, Entry{Fingerprint: f, Left: left})
		}
	}
	return chosen
}

// shorten makes an entry that was just added count from an earlier time. It has no effect
// if the map was full.
func shorten(entries map[Fingerprint]time.Time, f Fingerprint, at time.Time) {
	if _, ok := entries[f]; ok {
		entries[f] = at
	}
}

// add adds a fingerprint and reports whether it was missing or had expired. If
// the map is full of entries that have not expired, it drops the fingerprint, but
// still returns true.
func add(entries map[Fingerprint]time.Time, f Fingerprint, now time.Time, lifetime time.Duration) bool {
	if at, ok := entries[f]; ok && now.Sub(at) < lifetime {
		return false
	}
	if len(entries) >= maxEntries {
		for old, at := range entries {
			if now.Sub(at) >= lifetime {
				delete(entries, old)
			}
		}
	}
	if len(entries) < maxEntries {
		entries[f] = now
	}
	return true
}
