// Package logs writes structured log lines without ever blocking the program, and
// limits the rate of lines of one kind.
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
	// bufferedLines is the number of lines that can wait to be written. If there are
	// more, new lines overwrite old ones.
	bufferedLines = 1000
	// flushInterval is how often all waiting lines are written.
	flushInterval = 200 * time.Millisecond
)

// New returns a logger that writes to w in the background until it is closed. Lines are
// dropped if w does not accept them fast enough. If dropped is not nil, it is called
// with their number.
func New(w io.Writer, dropped func(lines int)) (zerolog.Logger, io.Closer) {
	writer := diode.NewWriter(w, bufferedLines, flushInterval, dropped)
	return zerolog.New(writer).With().Timestamp().Logger(), writer
}

// Budget limits the lines of one kind per second. No other lock is acquired while its
// lock is held.
type Budget struct {
	perSecond int

	mu      sync.Mutex
	dropped int   // lines since the last call of LeftOut
	second  int64 // of the last line, in Unix time
	used    int   // lines in that second
}

// NewBudget returns a Budget that allows perSecond lines in each second of the clock.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond}
}

// Take reports whether a line may be written now. If not, it counts the line as dropped.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second = second
		b.used = 0
	}
	if b.used >= b.perSecond {
		b.dropped++
		return false
	}
	b.used++
	return true
}

// LeftOut returns the number of lines dropped since its last call.
func (b *Budget) LeftOut() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

// reportInterval is how often the number of dropped lines is logged.
const reportInterval = 5 * time.Second

// Report regularly logs how many lines each budget dropped, until the context ends. The
// budgets are given by the kind of their lines.
func Report(ctx context.Context, log zerolog.Logger, budgets map[string]*Budget) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for kind, budget := range budgets {
				if n := budget.LeftOut(); n > 0 {
					log.Warn().Str("Kind", kind).Int("Lines", n).Msg("log lines dropped")
				}
			}
		}
	}
}
