package snaps

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
)

// Delta is what changed in the store between two revisions.
type Delta struct {
	// From is the revision after which the changes are complete.
	From uint64
	// Objects are the changed objects.
	Objects []store.Object
	// Revision is the revision up to which the changes are complete.
	Revision uint64
}

// Check implements wire.Checker.
func (d *Delta) Check() error {
	if d.Revision < d.From {
		return trace.BadParameter("Revision %d: want at least From %d", d.Revision, d.From)
	}
	for i := range d.Objects {
		if v := d.Objects[i].Version; v <= d.From || v > d.Revision {
			return trace.BadParameter("Objects: version %d is outside of the delta", v)
		}
	}
	return nil
}

// Holder holds the objects of the configuration and the snapshot in force.
// Its lock is a leaf: nothing else is locked under it.
type Holder struct {
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	fresh    time.Time
	last     map[string]store.Object // last versions
	rejected int
	revision uint64
}

// NewHolder returns a Holder with an empty snapshot.
func NewHolder(options ...Option) *Holder {
	h := &Holder{last: make(map[string]store.Object)}
	h.snapshot.Store(newSnapshot())
	for _, option := range options {
		option(h)
	}
	return h
}

// Snapshot returns the snapshot in force.
func (h *Holder) Snapshot() *Snapshot {
	return h.snapshot.Load()
}

// Apply puts a delta in force and reports whether the revision rose. A delta
// that begins past the held revision, or ends before it, changes nothing.
func (h *Holder) Apply(delta Delta) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delta.From > h.revision || delta.Revision <= h.revision {
		return false
	}
	next := h.snapshot.Load().change(delta.Revision)
	for _, object := range delta.Objects {
		if object.Version <= h.last[object.Key].Version {
			continue
		}
		h.last[object.Key] = object
		if !next.put(object) {
			h.rejected++
		}
	}
	h.revision = delta.Revision
	h.snapshot.Store(next.snapshot)
	return true
}

// Since returns the changes after a revision, at most about a number of bytes
// of them.
func (h *Holder) Since(revision uint64, limit int) Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	delta := Delta{From: revision, Revision: max(h.revision, revision)}
	for _, object := range h.last {
		if object.Version > revision {
			delta.Objects = append(delta.Objects, object)
		}
	}
	slices.SortFunc(delta.Objects, func(a, b store.Object) int {
		if a.Version < b.Version {
			return -1
		}
		return 1
	})
	size := 0
	for i := range delta.Objects {
		size += len(delta.Objects[i].Key) + len(delta.Objects[i].Value)
		if size > limit && i+1 < len(delta.Objects) {
			delta.Objects = delta.Objects[:i+1]
			delta.Revision = delta.Objects[i].Version
			break
		}
	}
	return delta
}

// MarkFresh records that the held revision was the store's current one at a
// time.
func (h *Holder) MarkFresh(revision uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.revision && at.After(h.fresh) {
		h.fresh = at
	}
}

// Age returns how long ago the held revision was known to be the store's
// current one, or false if it never was.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fresh.IsZero() {
		return 0, false
	}
	return max(now.Sub(h.fresh), 0), true
}

// Object returns the last version of an object, which may be one that does not
// decode.
func (h *Holder) Object(key string) store.Object {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last[key]
}

// Rejected returns the number of versions that did not decode.
func (h *Holder) Rejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}
