package store_test

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

// TestCounted checks the names under which calls are counted, and that the calls reach
// the other Store with their options.
func TestCounted(t *testing.T) {
	platform := objapi.New()
	counted := store.NewCounted(platform.NewMemoryStore())
	ctx := t.Context()
	version, err := counted.Put(ctx, "Kind/a", []byte("1"), 0)
	assert.NilError(t, err)
	_, err = counted.Put(ctx, "Kind/a", []byte("2"), 0)
	assert.ErrorIs(t, err, store.ErrConflict)
	_, err = counted.Get(ctx, "Kind/b", store.WithStale())
	assert.ErrorIs(t, err, store.ErrNotFound)
	_, err = counted.Get(ctx, "Kind/a")
	assert.NilError(t, err)
	_, err = counted.List(ctx, "Other/")
	assert.NilError(t, err)
	platform.SetFaults(objapi.Faults{Forget: version + 1})
	_, err = counted.Watch(ctx, "Kind/", version, time.Second)
	assert.ErrorIs(t, err, store.ErrGone)
	platform.SetFaults(objapi.Faults{Down: true})
	assert.Check(t, counted.Delete(ctx, "Kind/a", version) != nil)

	var calls map[string]int
	assert.NilError(t, json.Unmarshal([]byte(counted.Calls().String()), &calls))
	assert.DeepEqual(t, calls, map[string]int{
		"Delete Kind Failed":     1,
		"Get Kind OK":            1,
		"List Other OK":          1,
		"Put Kind Conflict":      1,
		"Put Kind OK":            1,
		"StaleGet Kind NotFound": 1,
		"Watch Kind Gone":        1,
	})
	assert.DeepEqual(t, platform.Counts(), objapi.Counts{Reads: 2, Refused: 1, StaleReads: 1, Watches: 1, Writes: 2})
}
