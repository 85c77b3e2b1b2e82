package snaps

import (
	"errors"
	"maps"
	"strings"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// builder builds a snapshot from the previous one. The two share the maps that do
// not change; a map is cloned before its first change.
type builder struct {
	snapshot *Snapshot

	allocators, crashes, evacuated, keys, rows bool            // whether the map has been cloned
	paths                                      map[string]bool // paths whose index has been cloned
}

// newBuilder returns a builder of the snapshot of a later position.
func (s *Snapshot) newBuilder(position store.Position) *builder {
	next := *s
	next.position = position
	return &builder{paths: make(map[string]bool), snapshot: &next}
}

// errSuperseded means that the value held for a key is newer than an applied one, and stays
// in force.
var errSuperseded = errors.New("the value held is newer")

// apply decodes an object and adds it to the snapshot, unless its value is invalid or
// older than the one held for its key. Objects of kinds that this version does not know are
// ignored, and so are deleted ones, except that a deleted evacuation ends. The error says why
// the value held stays in force.
func (b *builder) apply(object, held store.Object) error {
	switch {
	case b.snapshot.isEvacuation(object.Key):
		return b.putEvacuation(object)
	case object.Value == nil:
		return nil
	case b.snapshot.isCatalog(object.Key):
		return b.putCatalog(object)
	case strings.HasPrefix(object.Key, kinds.PrefixAllocators):
		return b.putAllocator(object, held)
	case strings.HasPrefix(object.Key, kinds.PrefixCrashes):
		return b.putCrashes(object)
	case strings.HasPrefix(object.Key, kinds.PrefixKeys):
		return b.putKey(object, held)
	case strings.HasPrefix(object.Key, kinds.PrefixRows):
		return b.putRow(object, held)
	}
	return nil
}

// ordered is a kind of object whose values tell which of two is the older one.
type ordered[T any] interface {
	*T
	kinds.Checker
	Before(other *T) bool
}

// isSuperseded reports whether the value held for a key is newer than another one. Only
// a value that is held from an earlier era can be.
func isSuperseded[T any, P ordered[T]](value P, held store.Object) bool {
	if held.Version != 0 || held.Value == nil {
		return false
	}
	var newer T
	return kinds.Decode(held.Value, P(&newer)) == nil && value.Before(&newer)
}

func (b *builder) putAllocator(object, held store.Object) error {
	var a kinds.Allocator
	if err := kinds.DecodeAllocator(object.Key, object.Value, &a); err != nil {
		return trace.Wrap(err)
	}
	if isSuperseded(&a, held) {
		return errSuperseded
	}
	cloneOnce(&b.allocators, &b.snapshot.allocators)
	b.snapshot.allocators[shardID{a.Zone, a.Shard}] = a
	return nil
}

func (b *builder) putCrashes(object store.Object) error {
	var c kinds.Crashes
	if err := kinds.DecodeCrashes(object.Key, object.Value, &c); err != nil {
		return trace.Wrap(err)
	}
	cloneOnce(&b.crashes, &b.snapshot.crashes)
	b.snapshot.crashes[c.Zone] = c
	return nil
}

func (b *builder) putKey(object, held store.Object) error {
	var k kinds.KeyObject
	if err := kinds.Decode(object.Value, &k); err != nil {
		return trace.Wrap(err)
	}
	if kinds.KeyObjectKey(k.Hash) != object.Key {
		return trace.BadParameter("the key object is of another key")
	}
	if isSuperseded(&k, held) {
		return errSuperseded
	}
	cloneOnce(&b.keys, &b.snapshot.keys)
	b.snapshot.keys[k.Hash] = k
	return nil
}

func (b *builder) putRow(object, held store.Object) error {
	var r kinds.RowObject
	if err := kinds.Decode(object.Value, &r); err != nil {
		return trace.Wrap(err)
	}
	if kinds.RowKey(r.Row.Route, r.Row.Customer) != object.Key {
		return trace.BadParameter("the row is that of route %q and customer %q", r.Row.Route, r.Row.Customer)
	}
	if isSuperseded(&r, held) {
		return errSuperseded
	}
	cloneOnce(&b.rows, &b.snapshot.rows)
	path := r.Row.Path()
	if !b.paths[path] {
		b.paths[path] = true
		b.snapshot.rows[path] = maps.Clone(b.snapshot.rows[path])
	}
	index := b.snapshot.rows[path]
	id := rowID{r.Row.Method(), r.Row.Customer}
	switch {
	case !r.Deleted && index == nil:
		b.snapshot.rows[path] = map[rowID]*rows.Row{id: &r.Row}
	case !r.Deleted:
		index[id] = &r.Row
	default:
		delete(index, id)
	}
	if len(b.snapshot.rows[path]) == 0 {
		delete(b.snapshot.rows, path)
	}
	return nil
}

// cloneOnce clones a map unless it has been cloned already.
func cloneOnce[K comparable, V any](cloned *bool, m *map[K]V) {
	if !*cloned {
		*cloned = true
		*m = maps.Clone(*m)
	}
}
