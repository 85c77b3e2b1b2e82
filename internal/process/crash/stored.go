package crash

import (
	"slices"
	"time"

	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// Bounds on the entries of an availability zone in the platform's store. The entries that
// end last are kept.
const (
	maxStoredQuarantined = 1024
	maxStoredSuspects    = 256
)

// MergeStored adds what the platform's store has of the crashes of an availability zone, and
// reports how many quarantined requests were new. A suspect counts once, so that one that
// has been cleared since does not come back.
func (t *Table) MergeStored(now time.Time, stored *kinds.Crashes) int {
	state := State{
		Cleared:     storedEntries(now, stored.Cleared, QuarantineTime),
		Quarantined: storedEntries(now, stored.Quarantined, QuarantineTime),
		Suspects:    storedEntries(now, stored.Suspects, suspectTime),
	}
	state.Suspects = slices.DeleteFunc(state.Suspects, func(e Entry) bool { return t.hasHeard(now, e.Fingerprint) })
	return t.MergeState(now, &state, true)
}

// hasHeard reports whether other nodes or the store have told of a suspect.
func (t *Table) hasHeard(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.heard[f]
	return ok && now.Sub(at) < suspectTime
}

// storedEntries returns the entries that can be read and have not ended. The time of day of
// the node that wrote them may differ, so none is left for longer than its lifetime.
func storedEntries(now time.Time, stored []kinds.CrashEntry, lifetime time.Duration) []Entry {
	var entries []Entry
	for i := range stored {
		f, ok := stored[i].Number()
		if left := min(stored[i].Until.Sub(now), lifetime); ok && left > 0 {
			entries = append(entries, Entry{Fingerprint: Fingerprint(f), Left: left})
		}
	}
	return entries
}

// addReport adds a report at the time now to what is stored of the crashes of a zone, and
// leaves out what has ended.
func addReport(now time.Time, stored *kinds.Crashes, report *Report) {
	entriesOf := func(fingerprints []Fingerprint, lifetime time.Duration) []kinds.CrashEntry {
		var entries []kinds.CrashEntry
		for _, f := range fingerprints {
			entries = append(entries, kinds.NewCrashEntry(uint64(f), now.Add(lifetime)))
		}
		return entries
	}
	stored.Cleared = latest(now, append(entriesOf(report.Cleared, QuarantineTime), stored.Cleared...), maxStoredQuarantined)
	quarantined := append(entriesOf(report.Guilty, QuarantineTime), stored.Quarantined...)
	stored.Quarantined = latest(now, without(quarantined, stored.Cleared), maxStoredQuarantined)
	suspects := append(entriesOf(report.Suspects, suspectTime), stored.Suspects...)
	stored.Suspects = latest(now, without(without(suspects, stored.Cleared), stored.Quarantined), maxStoredSuspects)
}

// without returns the entries whose fingerprints are not among others.
func without(entries, others []kinds.CrashEntry) []kinds.CrashEntry {
	return slices.DeleteFunc(entries, func(e kinds.CrashEntry) bool {
		return slices.ContainsFunc(others, func(o kinds.CrashEntry) bool { return o.Fingerprint == e.Fingerprint })
	})
}

// latest returns up to limit entries that have not ended, those that end last first, and each
// fingerprint once.
func latest(now time.Time, entries []kinds.CrashEntry, limit int) []kinds.CrashEntry {
	slices.SortStableFunc(entries, func(a, b kinds.CrashEntry) int { return b.Until.Compare(a.Until) })
	seen := make(map[string]bool, len(entries))
	var kept []kinds.CrashEntry
	for _, e := range entries {
		if e.Until.After(now) && !seen[e.Fingerprint] && len(kept) < limit {
			seen[e.Fingerprint] = true
			kept = append(kept, e)
		}
	}
	return kept
}
