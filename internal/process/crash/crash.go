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

// Table holds the suspects, the quarantined requests and the requests in flight
// at the local upstream. No other lock is acquired while its lock is held.
type Table struct {
	mu              sync.Mutex
	crashedAt       time.Time
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
		changed = add(t.suspects, f, now, suspectTime) || changed
	}
	for _, f := range report.Guilty {
		delete(t.suspects, f)
		changed = add(t.quarantined, f, now, QuarantineTime) || changed
	}
	return changed
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
