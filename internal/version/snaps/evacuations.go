package snaps

import (
	"maps"
	"slices"
	"strings"

	"github.com/wasabibend/wasabibend/internal/process/store"
)

// WithEvacuations makes the Holder read from the objects whose keys have the given prefix
// which availability zones are evacuated. The rest of a key is the name of a zone, which
// is evacuated for as long as the object exists.
func WithEvacuations(prefix string) Option {
	return func(h *Holder) {
		next := *h.snapshot.Load()
		next.evacuationsPrefix = prefix
		h.snapshot.Store(&next)
	}
}

// Evacuated reports whether an availability zone is evacuated: no request may be sent to
// its upstreams.
func (s *Snapshot) Evacuated(zone string) bool {
	return s.evacuated[zone]
}

// AnyEvacuated reports whether any availability zone is evacuated.
func (s *Snapshot) AnyEvacuated() bool {
	return len(s.evacuated) > 0
}

// Evacuations returns the evacuated availability zones, sorted.
func (s *Snapshot) Evacuations() []string {
	return slices.Sorted(maps.Keys(s.evacuated))
}

// isEvacuation reports whether the object with the given key tells that a zone is
// evacuated.
func (s *Snapshot) isEvacuation(key string) bool {
	return s.evacuationsPrefix != "" && strings.HasPrefix(key, s.evacuationsPrefix)
}

// putEvacuation records that a zone is evacuated, or no longer if the object is deleted.
func (b *builder) putEvacuation(object store.Object) error {
	if b.snapshot.evacuated == nil {
		b.snapshot.evacuated = make(map[string]bool)
	}
	cloneOnce(&b.evacuated, &b.snapshot.evacuated)
	zone := strings.TrimPrefix(object.Key, b.snapshot.evacuationsPrefix)
	if object.Value == nil {
		delete(b.snapshot.evacuated, zone)
		return nil
	}
	b.snapshot.evacuated[zone] = true
	return nil
}

// addRemoved adds to a delta from the beginning of the store's history the evacuations
// that it no longer has. A listing does not contain deleted objects. The caller holds the
// lock.
func (h *Holder) addRemoved(delta *Delta) {
	if delta.From > 0 {
		return
	}
	for key, held := range h.objects {
		if held.Value == nil || held.Version > delta.Revision || !h.snapshot.Load().isEvacuation(key) {
			continue
		}
		if !slices.ContainsFunc(delta.Objects, func(o store.Object) bool { return o.Key == key }) {
			delta.Objects = append(delta.Objects, store.Object{Key: key, Version: delta.Revision})
		}
	}
}
