package snaps

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
)

// Delta holds the objects that changed in the store between two revisions of an era.
type Delta struct {
	// Era is the store's era.
	Era uint64 `cbor:",omitempty"`
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
//
// A store that is restored from an older copy begins a new era. Its objects then replace
// those of the earlier era, except where the value held is newer by the order of its own
// kind: that stays in force until the store has one that is as new again.
type Holder struct {
	onChanged  func()          // nil for none
	onRejected func(Rejection) // nil for none
	onRestored func()          // nil for none
	snapshot   atomic.Pointer[Snapshot]

	mu       sync.Mutex
	freshAt  time.Time               // when position was last known to be the store's current one
	objects  map[string]store.Object // by key, the last version of each; version 0 if not seen in this era
	position store.Position
	rejected int // versions that could not be decoded
	retained int // versions that were older than the value held
}

// Rejection tells of a version of an object that could not be decoded. The one before it, if
// any, stays in force.
type Rejection struct {
	Err     error
	Key     string
	Version uint64
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

// WithRestored makes the Holder call a function each time it moves to a later era of the
// store.
func WithRestored(f func()) Option {
	return func(h *Holder) { h.onRestored = f }
}

// WithChanged makes the Holder call a function after each change of its position.
func WithChanged(f func()) Option {
	return func(h *Holder) { h.onChanged = f }
}

// WithRejected makes the Holder call a function for each version of an object that could not
// be decoded.
func WithRejected(f func(Rejection)) Option {
	return func(h *Holder) { h.onRejected = f }
}

// Snapshot returns the snapshot in force.
func (h *Holder) Snapshot() *Snapshot {
	return h.snapshot.Load()
}

// Apply applies a delta and reports whether the position increased. A delta that
// begins after the current revision would leave a gap, and one that does not end
// after it has nothing new: both are ignored. A delta of a later era must begin at 0.
func (h *Holder) Apply(delta Delta) bool {
	h.mu.Lock()
	if !h.continues(&delta) {
		h.mu.Unlock()
		return false
	}
	restored := h.position.Revision > 0 && delta.Era != h.position.Era
	rejections := h.apply(delta)
	h.mu.Unlock()
	if h.onRejected != nil {
		for _, r := range rejections {
			h.onRejected(r)
		}
	}
	if restored && h.onRestored != nil {
		h.onRestored()
	}
	if h.onChanged != nil {
		h.onChanged()
	}
	return true
}

// apply applies a delta that continues the current position, and returns the objects that
// could not be decoded. The caller holds the lock.
func (h *Holder) apply(delta Delta) []Rejection {
	if delta.Era != h.position.Era {
		h.clearVersions()
	}
	h.addRemoved(&delta)
	h.position = store.Position{Era: delta.Era, Revision: delta.Revision}
	next := h.snapshot.Load().newBuilder(h.position)
	var rejections []Rejection
	for _, object := range delta.Objects {
		held := h.objects[object.Key]
		if object.Version <= held.Version {
			continue
		}
		if err := next.apply(object, held); errors.Is(err, errSuperseded) {
			h.retained++
			object.Value = held.Value
		} else if err != nil {
			h.rejected++
			rejections = append(rejections, Rejection{Err: err, Key: object.Key, Version: object.Version})
		}
		h.objects[object.Key] = object
	}
	h.snapshot.Store(next.snapshot)
	return rejections
}

// continues reports whether a delta leads from the current position to a later one
// without a gap. The caller holds the lock.
func (h *Holder) continues(delta *Delta) bool {
	if delta.Era != h.position.Era {
		return delta.Era > h.position.Era && delta.From == 0
	}
	return delta.From <= h.position.Revision && delta.Revision > h.position.Revision
}

// clearVersions removes the versions of the objects held, because those of the next era
// do not compare with them. The caller holds the lock.
func (h *Holder) clearVersions() {
	for key, object := range h.objects {
		object.Version = 0
		h.objects[key] = object
	}
}

// Since returns the changes after a position, or all objects if that is of an earlier
// era. The delta ends early with the object whose key and value take the total size
// past limit bytes; the caller gets the rest by calling Since with the delta's position.
func (h *Holder) Since(from store.Position, limit int) Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision := from.Revision
	switch {
	case h.position.Before(from):
		return Delta{Era: from.Era, From: revision, Revision: revision}
	case from.Era != h.position.Era:
		revision = 0
	}
	delta := Delta{Era: h.position.Era, From: revision, Revision: h.position.Revision}
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

// MarkFresh records that the given position was the store's current one at a time.
// It has no effect if the Holder has not reached that position, or has recorded a
// later time already.
func (h *Holder) MarkFresh(position store.Position, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.position.Before(position) && at.After(h.freshAt) {
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

// Retained returns the number of object versions that did not replace the value held,
// because that is newer.
func (h *Holder) Retained() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.retained
}

// Rejected returns the number of object versions that could not be decoded.
func (h *Holder) Rejected() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rejected
}
