package claims

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

// TestOddClaims runs the cases of testdata/odd.csv in virtual time. It guards against one
// object that cannot be read and keeps a shard from granting any claim for good, and against
// a request that runs twice because its claim could not be read.
func TestOddClaims(t *testing.T) {
	steps.Cases(t, "testdata/odd.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) { runOddClaims(t, record) })
	})
}

// runOddClaims runs one record, whose fields the file describes.
func runOddClaims(t *testing.T, record []string) {
	age, err := time.ParseDuration(record[1])
	assert.NilError(t, err)
	repeat, err := strconv.Atoi(record[4])
	assert.NilError(t, err)
	value := strings.Repeat(record[3], repeat) + record[5] + strings.Repeat(record[6], repeat)
	platform := objapi.New()
	platformStore := platform.NewMemoryStore()
	newShard := func(term uint64) *ShardClaims {
		return NewShardClaims(platformStore, "zone0", 0, zerolog.Nop(), func(time.Time) (LeaseState, bool) { return LeaseState{Term: term}, true })
	}
	claim := func(s *ShardClaims, id byte) string {
		granted, err := s.Claim(t.Context(), ID{id}, 7)
		assert.NilError(t, err)
		if granted {
			return "granted"
		}
		return "held"
	}
	assert.Equal(t, claim(newShard(1), 1), "granted")
	name := record[2]
	if name == "own" {
		name = strconv.FormatInt(time.Now().Add(-age).UnixNano(), 16) + "-01020304"
	}
	key := newShard(1).prefix + name
	_, err = platformStore.Put(t.Context(), key, []byte(value), 0)
	assert.NilError(t, err)

	next := newShard(2)
	assert.Equal(t, claim(next, 2), record[7])
	assert.Equal(t, claim(next, 3), record[7])
	assert.Equal(t, newClaim(t, next, 1), false, "a claim is granted again")
	time.Sleep(Lifetime)
	assert.Equal(t, claim(next, 4), record[8])
	time.Sleep(Lifetime)
	for id := range byte(4) {
		assert.Equal(t, claim(next, 5+id), record[8])
	}
	_, err = platformStore.Get(t.Context(), key)
	if record[9] == "true" {
		assert.NilError(t, err)
		return
	}
	assert.ErrorIs(t, err, store.ErrNotFound)
}

// newClaim reports whether another attempt than the first one claims a key.
func newClaim(t *testing.T, s *ShardClaims, id byte) bool {
	granted, err := s.Claim(t.Context(), ID{id}, 8)
	assert.NilError(t, err)
	return granted
}
