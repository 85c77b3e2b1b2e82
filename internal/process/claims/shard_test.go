package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/store"
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
					return NewShardClaims(platform.NewMemoryStore(), "zone0", 0, zerolog.Nop(), func(time.Time) (LeaseState, bool) { return LeaseState{Term: term}, true })
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

// panickingStore is a Store whose writes end with an unexpected error.
type panickingStore struct {
	store.Store
}

// Put implements store.Store.
func (panickingStore) Put(context.Context, string, []byte, uint64) (uint64, error) {
	panic("unexpected")
}

// TestClaimWithUnexpectedError guards against a claim that counts as written, or a process
// that ends, after an unexpected error in the goroutine that writes it.
func TestClaimWithUnexpectedError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewShardClaims(panickingStore{objapi.New().NewMemoryStore()}, "zone0", 0, zerolog.Nop(), func(time.Time) (LeaseState, bool) { return LeaseState{Term: 1}, true })
		granted, err := s.Claim(t.Context(), ID{1}, 7)
		assert.Check(t, !granted)
		assert.ErrorContains(t, err, "unexpected error")
	})
}

// TestLateClaim guards against a key that nobody can use: the claim of an attempt arrives
// after its release, as both are handled at the same time or come on different links, and
// other attempts are then told that the key was used.
func TestLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shard := NewShardClaims(objapi.New().NewMemoryStore(), "zone0", 0, zerolog.Nop(), func(time.Time) (LeaseState, bool) { return LeaseState{Term: 1}, true })
		granted, err := shard.Claim(t.Context(), ID{1}, 7)
		assert.NilError(t, err)
		assert.Check(t, granted)

		shard.Release(time.Now(), ID{2}, 8)
		granted, err = shard.Claim(t.Context(), ID{2}, 8)
		assert.NilError(t, err)
		assert.Check(t, !granted, "the attempt has been given up")
		granted, err = shard.Claim(t.Context(), ID{2}, 9)
		assert.NilError(t, err)
		assert.Check(t, granted, "the key is claimed by an attempt that has been given up")
	})
}
