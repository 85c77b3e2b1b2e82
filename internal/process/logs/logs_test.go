package logs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimiter checks that a limiter allows as many lines again in each new second, and
// that it counts the dropped lines.
func TestLimiter(t *testing.T) {
	l := NewLimiter(2)
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {time.Millisecond, true}, {2 * time.Millisecond, false}, {999 * time.Millisecond, false}, {time.Second, true}} {
		assert.Equal(t, l.Allow(start.Add(c.after)), c.want, "after %v", c.after)
	}
	assert.Equal(t, l.TakeDropped(), 2)
	assert.Equal(t, l.TakeDropped(), 0)
}

// blockingWriter is an io.Writer whose Write blocks until the channel is closed.
type blockingWriter chan struct{}

// Write implements io.Writer.
func (w blockingWriter) Write([]byte) (int, error) {
	<-w
	return 0, nil
}

// TestNewNeverBlocks checks that logging does not block when the writer does.
func TestNewNeverBlocks(t *testing.T) {
	writer := make(blockingWriter)
	log, closer := New(writer, func(int) {})
	for range 10 * bufferedLines {
		log.Info().Msg("line")
	}
	close(writer)
	assert.NilError(t, closer.Close())
}
