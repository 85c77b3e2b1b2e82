// Package logs writes structured log lines that never hold the program up and
// whose number is bounded.
package logs

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// buffered is the number of lines that wait to be written. Later ones take
	// the place of those that nobody reads in time.
	buffered = 1000
	// flushEvery is how often the lines are written. One write takes many lines.
	flushEvery = 200 * time.Millisecond
)

// New returns a logger that writes to w in the background until it is closed. A
// line that does not fit is counted and left out.
func New(w io.Writer, missed func(lines int)) (zerolog.Logger, io.Closer) {
	writer := diode.NewWriter(w, buffered, flushEvery, missed)
	return zerolog.New(writer).With().Timestamp().Logger(), writer
}

// Budget bounds the lines of one kind. Its lock is a leaf.
type Budget struct {
	perSecond int

	mu      sync.Mutex
	leftOut int // since the last report
	second  int64
	used    int
}

// NewBudget returns a Budget of a number of lines a second.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond}
}

// Take reports whether a line may be written now, and counts it if it may not.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second = second
		b.used = 0
	}
	if b.used >= b.perSecond {
		b.leftOut++
		return false
	}
	b.used++
	return true
}

// LeftOut returns the number of lines left out since it was called last.
func (b *Budget) LeftOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.leftOut
	b.leftOut = 0
	return n
}

// reportEvery is how often lines that were left out are told of.
const reportEvery = 5 * time.Second

// Report logs the number of lines that budgets left out until the context ends.
func Report(ctx context.Context, log zerolog.Logger, budgets map[string]*Budget) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for kind, budget := range budgets {
				if n := budget.LeftOut(); n > 0 {
					log.Warn().Str("Kind", kind).Int("Lines", n).Msg("lines were left out")
				}
			}
		}
	}
}
