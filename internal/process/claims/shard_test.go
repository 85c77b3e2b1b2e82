package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
)

// TestRewrite guards against a request that runs twice after the platform's store was
// restored from an older copy: the claim of its first run is lost there, and the next
// holder of the shard reads its claims from the store.
func TestRewrite(t *testing.T) {
	for _, c := range []struct {
		name string
		// down is how long the store fails after the restore.
		down time.Duration
	}{
		{"store answers", 0},
		{"store fails at first", 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := objapi.New()
				newShard := func(term uint64) *ShardClaims {
					return NewShardClaims(platform.NewMemoryStore(), "zone0", 0, func(time.Time) (LeaseState, bool) { return LeaseState{Term: term}, true })
				}
				holder := newShard(1)
				backup := platform.Copy()
				for i := range byte(100) {
					granted, err := holder.Claim(t.Context(), ID{i}, 7)
					assert.NilError(t, err)
					assert.Check(t, granted)
				}
				platform.Restore(backup)
				platform.SetFaults(objapi.Faults{Down: c.down > 0})
				go holder.Rewrite(t.Context())
				time.Sleep(c.down)
				platform.SetFaults(objapi.Faults{})
				time.Sleep(5 * time.Second)

				next := newShard(2)
				for i := range byte(100) {
					granted, err := next.Claim(t.Context(), ID{i}, 8)
					assert.NilError(t, err)
					assert.Check(t, !granted, "claim %d is granted again", i)
				}
			})
		})
	}
}
