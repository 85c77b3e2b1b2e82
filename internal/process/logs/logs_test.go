package logs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudget checks that a budget starts anew each second and counts what it
// leaves out.
func TestBudget(t *testing.T) {
	b := NewBudget(2)
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {time.Millisecond, true}, {2 * time.Millisecond, false}, {999 * time.Millisecond, false}, {time.Second, true}} {
		assert.Equal(t, b.Take(start.Add(c.after)), c.want, "after %v", c.after)
	}
	assert.Equal(t, b.LeftOut(), 2)
	assert.Equal(t, b.LeftOut(), 0)
}

// blocked is a writer that never returns.
type blocked chan struct{}

// Write implements io.Writer.
func (b blocked) Write([]byte) (int, error) {
	<-b
	return 0, nil
}

// TestNewNeverBlocks checks that lines are dropped if nobody reads them.
func TestNewNeverBlocks(t *testing.T) {
	stuck := make(blocked)
	log, closer := New(stuck, func(int) {})
	for range 10 * buffered {
		log.Info().Msg("line")
	}
	close(stuck)
	assert.NilError(t, closer.Close())
}
