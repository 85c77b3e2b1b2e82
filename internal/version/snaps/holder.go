package snaps

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
)

// Delta holds the objects that changed in the store between two revisions.
type Delta struct {
	// From is the exclusive lower bound: all changes after it are included.
	From uint64
	// Objects are the last versions of the changed objects.
	Objects []store.Object
	// Revision is the inclusive upper bound: all changes up to it are included.
	Revision uint64
}

// Check implements wire.Checker.
func (d *Delta) Check() error {
	if d.Revision < d.From {
		return trace.BadParameter("Revision %d: want at least %d, the delta's From", d.Revision, d.From)
	}
	for i := range d.Objects {
		if v := d.Objects[i].Version; v <= d.From || v > d.Revision {
			return trace.BadParameter("Objects: version %d is not between From and Revision", v)
		}
	}
	return nil
}

// Holder holds the objects of the configuration and the snapshot in force. It is
// safe for concurrent use. No other lock is acquired while its lock is held.
type Holder struct {
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	freshAt  time.Time               // when revision was last known to be the store's current one
	objects  map[string]store.Object // by key, the last version of each
	rejected int                     // versions that could not be decoded
	revision uint64
}

// NewHolder returns a Holder with an empty snapshot.
func NewHolder(options ...Option) *Holder {
	h := &Holder{objects: make(map[string]store.Object)}
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

// Apply applies a delta and reports whether the revision increased. A delta that
// begins after the current revision would leave a gap, and one that does not end
// after it has nothing new: both are ignored.
func (h *Holder) Apply(delta Delta) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if delta.From > h.revision || delta.Revision <= h.revision {
		return false
	}
	next := h.snapshot.Load().newBuilder(delta.Revision)
	for _, object := range delta.Objects {
		if object.Version <= h.objects[object.Key].Version {
			continue
		}
		h.objects[object.Key] = object
		if !next.apply(object) {
			h.rejected++
		}
	}
	h.revision = delta.Revision
	h.snapshot.Store(next.snapshot)
	return true
}

// Since returns the changes after a revision. The delta ends early with the
// object whose key and value take the total size past limit bytes; the caller
// gets the rest by calling Since with the delta's revision.
func (h *Holder) Since(revision uint64, limit int) Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	delta := Delta{From: revision, Revision: max(h.revision, revision)}
	for _, object := range h.objects {
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

// MarkFresh records that the given revision was the store's current one at a time.
// It has no effect if the Holder has not reached that revision, or has recorded a
// later time already.
func (h *Holder) MarkFresh(revision uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.revision && at.After(h.freshAt) {
		h.freshAt = at
	}
}

// Age returns the time since the Holder was last known to be up to date with
// the store, or false if it never was.
func (h *Holder) Age(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.freshAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(h.freshAt), 0), true
}

// Object returns the last version of an object, even if its value could not be
// decoded. It returns a zero Object for an unknown key.
func (h *Holder) Object(key string) store.Object {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.objects[key]
}

// Rejected returns the number of object versions that could not be decoded.
func (h *Holder) Rejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}
