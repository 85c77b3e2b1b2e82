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
	var added kinds.Crashes
	for _, f := range report.Guilty {
		added.Quarantined = append(added.Quarantined, kinds.NewCrashEntry(uint64(f), now.Add(QuarantineTime)))
	}
	for _, f := range report.Suspects {
		added.Suspects = append(added.Suspects, kinds.NewCrashEntry(uint64(f), now.Add(suspectTime)))
	}
	stored.Quarantined = latest(now, append(added.Quarantined, stored.Quarantined...), maxStoredQuarantined)
	guilty := make(map[string]bool, len(stored.Quarantined))
	for _, e := range stored.Quarantined {
		guilty[e.Fingerprint] = true
	}
	suspects := append(added.Suspects, stored.Suspects...)
	stored.Suspects = latest(now, slices.DeleteFunc(suspects, func(e kinds.CrashEntry) bool { return guilty[e.Fingerprint] }), maxStoredSuspects)
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
