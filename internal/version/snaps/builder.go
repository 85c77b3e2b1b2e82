package snaps

import (
	"maps"
	"strings"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// builder builds a snapshot from the previous one. The two share the maps that do
// not change; a map is cloned before its first change.
type builder struct {
	snapshot *Snapshot

	allocators, keys, rows bool            // whether the map has been cloned
	paths                  map[string]bool // paths whose index has been cloned
}

// newBuilder returns a builder of the snapshot of a later revision.
func (s *Snapshot) newBuilder(revision uint64) *builder {
	next := *s
	next.revision = revision
	return &builder{paths: make(map[string]bool), snapshot: &next}
}

// apply decodes an object and adds it to the snapshot. It returns false if the
// value is invalid; the object's previous value then stays in force. Deleted
// objects, and objects of kinds that this version does not know, are ignored.
func (b *builder) apply(object store.Object) bool {
	switch {
	case object.Value == nil:
		return true
	case b.snapshot.isCatalog(object.Key):
		return b.putCatalog(object)
	case strings.HasPrefix(object.Key, kinds.PrefixAllocators):
		return b.putAllocator(object)
	case strings.HasPrefix(object.Key, kinds.PrefixKeys):
		return b.putKey(object)
	case strings.HasPrefix(object.Key, kinds.PrefixRows):
		return b.putRow(object)
	}
	return true
}

func (b *builder) putAllocator(object store.Object) bool {
	var a kinds.Allocator
	if kinds.Decode(object.Value, &a) != nil {
		return false
	}
	cloneOnce(&b.allocators, &b.snapshot.allocators)
	b.snapshot.allocators[shardID{a.Zone, a.Shard}] = a
	return true
}

func (b *builder) putKey(object store.Object) bool {
	var k kinds.KeyObject
	if kinds.Decode(object.Value, &k) != nil || kinds.KeyObjectKey(k.Hash) != object.Key {
		return false
	}
	cloneOnce(&b.keys, &b.snapshot.keys)
	b.snapshot.keys[k.Hash] = k
	return true
}

func (b *builder) putRow(object store.Object) bool {
	var r kinds.RowObject
	if kinds.Decode(object.Value, &r) != nil || kinds.RowKey(r.Row.Route, r.Row.Customer) != object.Key {
		return false
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
	return true
}

// cloneOnce clones a map unless it has been cloned already.
func cloneOnce[K comparable, V any](cloned *bool, m *map[K]V) {
	if !*cloned {
		*cloned = true
		*m = maps.Clone(*m)
	}
}
