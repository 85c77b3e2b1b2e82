// Package logs writes structured log lines without ever blocking the program, and
// limits the rate of log lines of each kind.
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

// Limiter limits the lines of one kind per second. No other lock is acquired while its
// lock is held.
type Limiter struct {
	perSecond int

	mu      sync.Mutex
	dropped int   // lines since the last call of TakeDropped
	second  int64 // of the last line, in Unix time
	used    int   // lines in that second
}

// NewLimiter returns a Limiter that allows perSecond lines in each second of the clock.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{perSecond: perSecond}
}

// Allow reports whether a line may be written now. If not, it counts the line as dropped.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second = second
		l.used = 0
	}
	if l.used >= l.perSecond {
		l.dropped++
		return false
	}
	l.used++
	return true
}

// TakeDropped returns the number of lines dropped since its last call, and resets it to 0.
func (l *Limiter) TakeDropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.dropped
	l.dropped = 0
	return n
}

// reportInterval is how often the number of dropped lines is logged.
const reportInterval = 5 * time.Second

// ReportDropped regularly logs how many lines each limiter dropped, until the context
// ends. The limiters are keyed by the kind of their lines.
func ReportDropped(ctx context.Context, log zerolog.Logger, limiters map[string]*Limiter) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for kind, limiter := range limiters {
				if n := limiter.TakeDropped(); n > 0 {
					log.Warn().Str("Kind", kind).Int("Lines", n).Msg("log lines dropped")
				}
			}
		}
	}
}
