// Package crash detects requests that crash the upstreams that run them, and
// quarantines them.
//
// When an upstream crashes, the requests in flight at it become suspects, and
// its node reports them to all nodes. A suspect that is in flight at a second
// crash is quarantined. Requests that merely ran at the same time as the one that
// caused the crash must not be quarantined with it. A node therefore runs only
// suspects that are equal at a time, and does not suspect a request if an equal one
// recently succeeded there. A success anywhere in the fleet clears a suspect, and ends
// the quarantine of a request that was in flight elsewhere when it was quarantined:
// a request that crashes upstreams never succeeds.
package crash

import (
	"math/bits"
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
	// Cleared are the requests that have succeeded since.
	Cleared []Fingerprint `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (r *Report) Check() error {
	if len(r.Cleared)+len(r.Guilty)+len(r.Suspects) > maxReportEntries {
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
	// Cleared are the requests that were quarantined and have succeeded since.
	Cleared     []Entry `cbor:",omitempty"`
	Quarantined []Entry
	// Suspects are left out in a request.
	Suspects []Entry `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (s *State) Check() error {
	if len(s.Cleared)+len(s.Quarantined)+len(s.Suspects) > maxReportEntries {
		return trace.BadParameter("crash state has more than %d fingerprints", maxReportEntries)
	}
	for _, entries := range [][]Entry{s.Cleared, s.Quarantined, s.Suspects} {
		for i := range entries {
			if err := entries[i].Check(); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// Run is a request in flight at the local upstream.
type Run struct {
	fingerprint Fingerprint
	turn        *turn // nil if the request was no suspect when it began
}

// turn is the right to run a suspect, and requests equal to it, while no other suspect runs.
type turn struct {
	fingerprint Fingerprint
	runs        int  // in flight
	wanted      bool // another suspect was refused, so no more runs may begin
}

// Table holds the suspects, the quarantined requests and the requests in flight
// at the local upstream. No other lock is acquired while its lock is held.
type Table struct {
	onCleared func(now time.Time, f Fingerprint) // called when End clears a request; nil for none

	mu sync.Mutex
	// cleared holds the requests that were quarantined and have succeeded since, and when.
	cleared   map[Fingerprint]time.Time
	crashedAt time.Time
	// heard holds the suspects of which other nodes have told, or have been told, and when.
	heard       map[Fingerprint]time.Time
	inFlight    map[Fingerprint]int       // number of equal requests
	quarantined map[Fingerprint]time.Time // and when each was added
	// succeeded holds the requests that succeeded recently, here or by the report of another
	// node, in two generations, the newer one first.
	succeeded [2]map[Fingerprint]time.Time
	suspects  map[Fingerprint]time.Time // and when each was added
	turn      *turn                     // of the suspect in flight; nil for none
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		cleared:     make(map[Fingerprint]time.Time),
		heard:       make(map[Fingerprint]time.Time),
		inFlight:    make(map[Fingerprint]int),
		quarantined: make(map[Fingerprint]time.Time),
		succeeded:   [2]map[Fingerprint]time.Time{make(map[Fingerprint]time.Time), make(map[Fingerprint]time.Time)},
		suspects:    make(map[Fingerprint]time.Time),
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

// Begin counts a request as in flight at the upstream until End is called with the Run that
// it returns. The parameter suspect tells whether the calling node suspects the request. If
// the request is a suspect and another suspect is in flight, or waits for those that are
// equal to this one, Begin does not count it and returns nil.
func (t *Table) Begin(now time.Time, f Fingerprint, suspect bool) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspect && !t.isInnocent(now, f) {
		add(t.suspects, f, now, suspectTime)
	}
	run := &Run{fingerprint: f}
	if t.isSuspect(now, f) {
		if t.turn == nil {
			t.turn = &turn{fingerprint: f}
		}
		if t.turn.fingerprint != f || t.turn.wanted {
			t.turn.wanted = true
			return nil
		}
		t.turn.runs++
		run.turn = t.turn
	}
	t.inFlight[f]++
	return run
}

func (t *Table) isSuspect(now time.Time, f Fingerprint) bool {
	at, ok := t.suspects[f]
	return ok && now.Sub(at) < suspectTime
}

// Innocent reports whether a request has succeeded recently, so that it is no suspect.
func (t *Table) Innocent(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isInnocent(now, f)
}

// isInnocent is Innocent for a caller that holds the lock.
func (t *Table) isInnocent(now time.Time, f Fingerprint) bool {
	return t.succeededRecently(f) || t.isCleared(now, f)
}

func (t *Table) isCleared(now time.Time, f Fingerprint) bool {
	at, ok := t.cleared[f]
	return ok && now.Sub(at) < QuarantineTime
}

// wasReleased reports whether a request was cleared while it was quarantined.
func (t *Table) wasReleased(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCleared(now, f)
}

// End counts a request as no longer in flight. If it succeeded, it is no longer a suspect or
// quarantined.
func (t *Table) End(now time.Time, run *Run, succeeded bool) {
	if t.end(now, run, succeeded) && t.onCleared != nil {
		t.onCleared(now, run.fingerprint)
	}
}

// end does what End does, and reports whether the request was a suspect or quarantined.
func (t *Table) end(now time.Time, run *Run, succeeded bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := run.fingerprint
	if t.inFlight[f]--; t.inFlight[f] <= 0 {
		delete(t.inFlight, f)
	}
	if run.turn != nil {
		if run.turn.runs--; run.turn.runs == 0 && t.turn == run.turn {
			t.turn = nil
		}
	}
	return succeeded && t.clear(now, f)
}

// clear records that a request has succeeded, here or elsewhere. It reports whether it was a
// suspect or quarantined. The caller holds the lock.
func (t *Table) clear(now time.Time, f Fingerprint) bool {
	t.addSucceeded(now, f)
	_, suspected := t.suspects[f]
	delete(t.suspects, f)
	if t.turn != nil && t.turn.fingerprint == f {
		t.turn = nil
	}
	_, quarantined := t.quarantined[f]
	if quarantined {
		delete(t.quarantined, f)
		add(t.cleared, f, now, QuarantineTime)
	}
	return suspected || quarantined
}

// addSucceeded records a request that succeeded. When the newer generation is
// full, it replaces the older one.
func (t *Table) addSucceeded(now time.Time, f Fingerprint) {
	if len(t.succeeded[0]) >= maxEntries/2 {
		t.succeeded[0], t.succeeded[1] = make(map[Fingerprint]time.Time), t.succeeded[0]
	}
	t.succeeded[0][f] = now
}

func (t *Table) succeededRecently(f Fingerprint) bool {
	_, ok := t.succeededAt(f)
	return ok
}

// succeededAt returns when a request last succeeded, or false if it did not recently.
func (t *Table) succeededAt(f Fingerprint) (time.Time, bool) {
	for _, generation := range t.succeeded {
		if at, ok := generation[f]; ok {
			return at, true
		}
	}
	return time.Time{}, false
}

// isRefuted reports whether a request has succeeded since it became a suspect. The caller
// holds the lock.
func (t *Table) isRefuted(now time.Time, f Fingerprint) bool {
	heardAt, heard := t.heard[f]
	at, succeeded := t.succeededAt(f)
	return heard && succeeded && now.Sub(heardAt) < suspectTime && !at.Before(heardAt)
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
		case t.isInnocent(now, f):
		case t.turn != nil && t.turn.fingerprint == f:
			report.Guilty = append(report.Guilty, f)
		default:
			report.Suspects = append(report.Suspects, f)
		}
	}
	t.merge(now, &report)
	return report, true
}

// Merge adds the report of another node, and reports whether any of it was new. A request that
// it quarantines is cleared if it has succeeded here since it became a suspect: the report and
// the success have crossed.
func (t *Table) Merge(now time.Time, report *Report) bool {
	t.mu.Lock()
	changed := t.merge(now, report)
	var refuted []Fingerprint
	for _, f := range report.Guilty {
		if t.isRefuted(now, f) && t.clear(now, f) {
			refuted = append(refuted, f)
		}
	}
	t.mu.Unlock()
	if t.onCleared != nil {
		for _, f := range refuted {
			t.onCleared(now, f)
		}
	}
	return changed
}

func (t *Table) merge(now time.Time, report *Report) bool {
	changed := false
	for _, f := range report.Suspects {
		changed = add(t.heard, f, now, suspectTime) || changed
		if !t.isInnocent(now, f) {
			add(t.suspects, f, now, suspectTime)
		}
	}
	for _, f := range report.Guilty {
		changed = t.quarantine(now, f) || changed
	}
	for _, f := range report.Cleared {
		changed = t.clear(now, f) || changed
	}
	return changed
}

// quarantine adds a quarantined request unless it has been cleared, and reports whether it is
// new. The caller holds the lock.
func (t *Table) quarantine(now time.Time, f Fingerprint) bool {
	if t.isCleared(now, f) {
		return false
	}
	delete(t.suspects, f)
	return add(t.quarantined, f, now, QuarantineTime)
}

// State returns the entries that are worth exchanging, at most maxReportEntries of them.
func (t *Table) State(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s State
	s.Cleared = exchanged(t.cleared, now, QuarantineTime, maxReportEntries)
	s.Quarantined = exchanged(t.quarantined, now, QuarantineTime, maxReportEntries-len(s.Cleared))
	s.Suspects = exchanged(t.suspects, now, suspectTime, maxReportEntries-len(s.Cleared)-len(s.Quarantined))
	return s
}

// MergeState adds the quarantined and cleared requests of another node, and reports how many of
// the former were new. It adds the suspects, too, if suspects is true, except for requests that
// have succeeded recently.
func (t *Table) MergeState(now time.Time, s *State, suspects bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range s.Cleared {
		t.clear(now, e.Fingerprint)
		if add(t.cleared, e.Fingerprint, now, QuarantineTime) {
			shorten(t.cleared, e.Fingerprint, now.Add(e.Left-QuarantineTime))
		}
	}
	added := 0
	for _, e := range s.Quarantined {
		if t.quarantine(now, e.Fingerprint) {
			added++
			shorten(t.quarantined, e.Fingerprint, now.Add(e.Left-QuarantineTime))
		}
	}
	if !suspects {
		return added
	}
	for _, e := range s.Suspects {
		add(t.heard, e.Fingerprint, now, suspectTime)
		if !t.isInnocent(now, e.Fingerprint) && add(t.suspects, e.Fingerprint, now, suspectTime) {
			shorten(t.suspects, e.Fingerprint, now.Add(e.Left-suspectTime))
		}
	}
	return added
}

// digest returns a hash of the quarantined and cleared requests that are worth exchanging.
func (t *Table) digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for f, at := range t.quarantined {
		if at.Add(QuarantineTime).Sub(now) >= minExchanged {
			sum ^= uint64(f)
		}
	}
	for f, at := range t.cleared {
		if at.Add(QuarantineTime).Sub(now) >= minExchanged {
			sum ^= bits.RotateLeft64(uint64(f), 1)
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
