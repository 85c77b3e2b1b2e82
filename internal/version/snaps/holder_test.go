package snaps

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

func rowObject(tb testing.TB, i int, rate float64, version uint64) store.Object {
	tb.Helper()
	row := rows.Default(fmt.Sprintf("GET /service%d/path%d", i%180, i), "customer")
	row.Rate = rate
	value, err := kinds.Encode(&kinds.RowObject{Edits: []kinds.Edit{{ID: "ABCDEFGHIJKLMNOPQRSTUVWXYZ"}}, Row: row})
	assert.NilError(tb, err)
	return store.Object{Key: kinds.RowKey(row.Route, row.Customer), Value: value, Version: version}
}

func rateOf(h *Holder, i int) float64 {
	row, _ := h.Snapshot().Match("GET", fmt.Sprintf("/service%d/path%d", i%180, i), "customer")
	if row == nil {
		return 0
	}
	return row.Rate
}

// TestHolderNeverReverts checks that an older delta and a delta after a gap do
// not change the snapshot, and that a version that cannot be decoded leaves the
// last valid one in force.
func TestHolderNeverReverts(t *testing.T) {
	h := NewHolder()
	for _, step := range []struct {
		name     string
		delta    Delta
		applied  bool
		rate     float64
		revision uint64
		rejected int
	}{
		{"first", Delta{Objects: []store.Object{rowObject(t, 1, 10, 5)}, Revision: 5}, true, 10, 5, 0},
		{"newer", Delta{From: 5, Objects: []store.Object{rowObject(t, 1, 20, 7)}, Revision: 7}, true, 20, 7, 0},
		{"stale peer", Delta{Objects: []store.Object{rowObject(t, 1, 10, 5)}, Revision: 5}, false, 20, 7, 0},
		{"stale object in a newer delta", Delta{Objects: []store.Object{rowObject(t, 1, 10, 5)}, Revision: 8}, true, 20, 8, 0},
		{"gap", Delta{From: 9, Objects: []store.Object{rowObject(t, 1, 30, 10)}, Revision: 10}, false, 20, 8, 0},
		{"invalid value", Delta{From: 8, Objects: []store.Object{{Key: rowObject(t, 1, 1, 1).Key, Value: []byte(`{"Row":{"Rate":-1}}`), Version: 9}}, Revision: 9}, true, 20, 9, 1},
		{"repaired", Delta{From: 9, Objects: []store.Object{rowObject(t, 1, 40, 11)}, Revision: 11}, true, 40, 11, 1},
	} {
		assert.Equal(t, h.Apply(step.delta), step.applied, step.name)
		assert.Equal(t, rateOf(h, 1), step.rate, step.name)
		assert.Equal(t, h.Snapshot().Revision(), step.revision, step.name)
		assert.Equal(t, h.Rejected(), step.rejected, step.name)
	}
}

// editedRow returns a row's object that was last edited at the given second.
func editedRow(tb testing.TB, rate float64, second int64, version uint64) store.Object {
	tb.Helper()
	row := rows.Default("GET /service1/path1", "customer")
	row.Rate = rate
	value, err := kinds.Encode(&kinds.RowObject{Edits: []kinds.Edit{{ID: strconv.FormatInt(second, 10), Time: time.Unix(second, 0)}}, Row: row})
	assert.NilError(tb, err)
	return store.Object{Key: kinds.RowKey(row.Route, row.Customer), Value: value, Version: version}
}

// TestHolderRestored guards against a row that reverts to an older edit, or is not
// replaced by a newer one, after the store was restored from an older copy. Versions of
// the two eras do not compare.
func TestHolderRestored(t *testing.T) {
	h := NewHolder()
	for _, step := range []struct {
		name     string
		delta    Delta
		applied  bool
		rate     float64
		position store.Position
		retained int
	}{
		{"before", Delta{Objects: []store.Object{editedRow(t, 20, 2, 7)}, Revision: 9}, true, 20, store.Position{Revision: 9}, 0},
		{"changes of the next era without its copy", Delta{Era: 1, From: 4, Objects: []store.Object{editedRow(t, 40, 4, 8)}, Revision: 8}, false, 20, store.Position{Revision: 9}, 0},
		{"copy with an older edit", Delta{Era: 1, Objects: []store.Object{editedRow(t, 10, 1, 3)}, Revision: 4}, true, 20, store.Position{Era: 1, Revision: 4}, 1},
		{"peer in the earlier era", Delta{Objects: []store.Object{editedRow(t, 20, 2, 7)}, Revision: 12}, false, 20, store.Position{Era: 1, Revision: 4}, 1},
		{"lost edit written again", Delta{Era: 1, From: 4, Objects: []store.Object{editedRow(t, 20, 3, 5)}, Revision: 5}, true, 20, store.Position{Era: 1, Revision: 5}, 1},
		{"newer edit at a lower version than before", Delta{Era: 1, From: 5, Objects: []store.Object{editedRow(t, 30, 4, 6)}, Revision: 6}, true, 30, store.Position{Era: 1, Revision: 6}, 1},
	} {
		assert.Equal(t, h.Apply(step.delta), step.applied, step.name)
		assert.Equal(t, rateOf(h, 1), step.rate, step.name)
		assert.Equal(t, h.Snapshot().Position(), step.position, step.name)
		assert.Equal(t, h.Retained(), step.retained, step.name)
	}
}

// TestSinceRestored guards against a node that gets the restored store from a peer in
// parts: the values that it holds must stay in force until the part with their objects.
func TestSinceRestored(t *testing.T) {
	source, behind := NewHolder(), NewHolder()
	objects := func(rate float64, version uint64) []store.Object {
		var all []store.Object
		for i := range 100 {
			all = append(all, rowObject(t, i, rate, version+uint64(i)))
		}
		return all
	}
	assert.Check(t, behind.Apply(Delta{Objects: objects(5, 1001), Revision: 1100}))
	assert.Check(t, source.Apply(Delta{Era: 1, Objects: objects(6, 1), Revision: 100}))
	deltas := 0
	for behind.Apply(source.Since(behind.Snapshot().Position(), 4096)) {
		deltas++
		assert.Equal(t, len(behind.Snapshot().Rows()), 100)
	}
	assert.Check(t, deltas > 5, "%d deltas", deltas)
	for i := range 100 {
		assert.Equal(t, rateOf(behind, i), 6.0)
	}
	assert.Equal(t, len(behind.Since(store.Position{Era: 2, Revision: 1}, 4096).Objects), 0, "a peer in a later era needs nothing")
}

// TestSinceSplitsDeltas checks that a holder that is far behind gets all changes
// in several deltas of limited size.
func TestSinceSplitsDeltas(t *testing.T) {
	source, behind := NewHolder(), NewHolder()
	var delta Delta
	for i := range 100 {
		delta.Objects = append(delta.Objects, rowObject(t, i, 5, uint64(i+1)))
	}
	delta.Revision = 200
	assert.Check(t, source.Apply(delta))
	deltas := 0
	for behind.Apply(source.Since(behind.Snapshot().Position(), 4096)) {
		deltas++
	}
	assert.Check(t, deltas > 5, "%d deltas", deltas)
	assert.Equal(t, behind.Snapshot().Revision(), uint64(200))
	assert.Equal(t, len(behind.Snapshot().Rows()), 100)
}

// BenchmarkApply measures the time to apply a delta of one row, and the heap
// bytes per row held.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{100, 1000, 10000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h := NewHolder()
			var delta Delta
			for i := range size {
				delta.Objects = append(delta.Objects, rowObject(b, i, 5, uint64(i+1)))
			}
			delta.Revision = uint64(size)
			h.Apply(delta)
			delta = Delta{}
			runtime.GC()
			runtime.ReadMemStats(&after)
			revision := uint64(size)
			b.ResetTimer()
			for b.Loop() {
				revision++
				h.Apply(Delta{From: revision - 1, Objects: []store.Object{rowObject(b, 1, float64(revision), revision)}, Revision: revision})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/row")
		})
	}
}

// BenchmarkRestored measures the time to move to a later era with 10,000 rows.
func BenchmarkRestored(b *testing.B) {
	const size = 10000
	h := NewHolder()
	var delta Delta
	for i := range size {
		delta.Objects = append(delta.Objects, rowObject(b, i, 5, uint64(i+1)))
	}
	delta.Revision = size
	h.Apply(delta)
	for b.Loop() {
		delta.Era++
		h.Apply(delta)
	}
}

// BenchmarkMatch measures Match among 10,000 rows.
func BenchmarkMatch(b *testing.B) {
	h := NewHolder()
	var delta Delta
	for i := range 10000 {
		delta.Objects = append(delta.Objects, rowObject(b, i, 5, uint64(i+1)))
	}
	delta.Revision = 10000
	h.Apply(delta)
	b.ReportAllocs()
	for b.Loop() {
		h.Snapshot().Match("GET", "/service7/path7/a/b", "customer")
	}
}
