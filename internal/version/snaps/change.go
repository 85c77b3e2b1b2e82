package snaps

import (
	"maps"
	"strings"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// change is a snapshot in the making. It shares with the one before what the
// changed objects leave alone.
type change struct {
	snapshot *Snapshot

	allocators, keys, rows bool            // copied already
	paths                  map[string]bool // copied already
}

// change begins the next snapshot.
func (s *Snapshot) change(revision uint64) *change {
	next := *s
	next.revision = revision
	return &change{paths: make(map[string]bool), snapshot: &next}
}

// put puts an object's value in force. It reports false for a value that does
// not decode, which leaves the earlier one in force. Objects of kinds that this
// version does not know, and deleted ones, are passed over.
func (c *change) put(object store.Object) bool {
	switch {
	case object.Value == nil:
		return true
	case c.snapshot.isCatalog(object.Key):
		return c.putCatalog(object)
	case strings.HasPrefix(object.Key, kinds.PrefixAllocators):
		return c.putAllocator(object)
	case strings.HasPrefix(object.Key, kinds.PrefixKeys):
		return c.putKey(object)
	case strings.HasPrefix(object.Key, kinds.PrefixRows):
		return c.putRow(object)
	}
	return true
}

func (c *change) putAllocator(object store.Object) bool {
	var a kinds.Allocator
	if kinds.Decode(object.Value, &a) != nil {
		return false
	}
	own(&c.allocators, &c.snapshot.allocators)
	c.snapshot.allocators[shardID{a.Zone, a.Shard}] = a
	return true
}

func (c *change) putKey(object store.Object) bool {
	var k kinds.KeyObject
	if kinds.Decode(object.Value, &k) != nil || kinds.KeyKey(k.Hash) != object.Key {
		return false
	}
	own(&c.keys, &c.snapshot.keys)
	c.snapshot.keys[k.Hash] = k
	return true
}

func (c *change) putRow(object store.Object) bool {
	var r kinds.RowObject
	if kinds.Decode(object.Value, &r) != nil || kinds.RowKey(r.Row.Route, r.Row.Customer) != object.Key {
		return false
	}
	own(&c.rows, &c.snapshot.rows)
	path := r.Row.Path()
	if !c.paths[path] {
		c.paths[path] = true
		c.snapshot.rows[path] = maps.Clone(c.snapshot.rows[path])
	}
	index := c.snapshot.rows[path]
	id := rowID{r.Row.Method(), r.Row.Customer}
	switch {
	case !r.Deleted && index == nil:
		c.snapshot.rows[path] = map[rowID]*rows.Row{id: &r.Row}
	case !r.Deleted:
		index[id] = &r.Row
	default:
		delete(index, id)
	}
	if len(c.snapshot.rows[path]) == 0 {
		delete(c.snapshot.rows, path)
	}
	return true
}

// own copies a map before its first change.
func own[K comparable, V any](copied *bool, m *map[K]V) {
	if !*copied {
		*copied = true
		*m = maps.Clone(*m)
	}
}
