package edits_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/version/edits"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestOddObjects guards against one object that is not valid and keeps the table or the
// keys from being listed, or its own row from being written anew. It runs the cases of
// testdata/odd.csv.
func TestOddObjects(t *testing.T) {
	steps.Cases(t, "testdata/odd.csv", func(t *testing.T, record []string) {
		repeat, err := strconv.Atoi(record[2])
		assert.NilError(t, err)
		odd := strings.Repeat(record[1], repeat) + strings.ReplaceAll(record[3], `\xff\xfe`, "\xff\xfe") + strings.Repeat(record[4], repeat)
		ctx, now := t.Context(), time.Unix(1000, 0)
		store := objapi.New().NewMemoryStore()
		editor := edits.New(store)
		for _, route := range []string{"* /a", "* /z"} {
			assert.NilError(t, editor.PutRow(ctx, now, rows.Default(route, "amis"), 0))
		}
		_, err = editor.GrantKey(ctx, now, "amis")
		assert.NilError(t, err)
		rowKey, keyKey := kinds.RowKey("* /odd", "amis"), kinds.KeyObjectKey(strings.Repeat("5", 64))
		for _, key := range []string{rowKey, keyKey} {
			_, err := store.Put(ctx, key, []byte(odd), 0)
			assert.NilError(t, err)
		}

		table, unreadable, err := editor.Rows(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(table), 2)
		assert.DeepEqual(t, unreadable, []string{rowKey})
		keys, unreadable, err := editor.Keys(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(keys), 1)
		assert.DeepEqual(t, unreadable, []string{keyKey})

		_, err = editor.SetRow(ctx, now, "* /odd", "amis", 0, func(row *rows.Row) error { return row.Set("Importance", "7") })
		assert.Check(t, err != nil, "columns that cannot be read are replaced by defaults")
		assert.NilError(t, editor.PutRow(ctx, now, rows.Default("* /odd", "amis"), 0))
		table, unreadable, err = editor.Rows(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(table), 3)
		assert.Equal(t, len(unreadable), 0)
	})
}
