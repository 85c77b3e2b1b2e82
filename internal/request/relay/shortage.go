package relay

import (
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
)

const (
	// shortageWait is the wait that counts for as much as a call that was turned
	// away for good: one in a hundred and fifty holds back the less important.
	deniedRetryWait = 3 * time.Second
	// shortageMost is less than the wait that admit allows the two highest ranks:
	// refusing them too would not help those that are left, as retries become
	// fewer along with requests.
	maxDeniedRetryWait = 40 * time.Millisecond
)

// shortage tells how many requests were turned away for good because the retries
// were used up, in the form of a wait, so that fewer requests are let in. Its
// lock is a leaf.
type deniedRetries struct {
	mu   sync.Mutex
	wait *gates.Wait
}

func newDeniedRetries() *deniedRetries {
	return &deniedRetries{wait: gates.NewWait()}
}

// observe takes in whether a request was turned away for good.
func (s *deniedRetries) observe(now time.Time, denied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Duration(0)
	if denied {
		wait = deniedRetryWait
	}
	s.wait.Observe(now, wait)
}

// lately returns the wait that stands for what was turned away lately.
func (s *deniedRetries) recentWait(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.wait.Lately(now), maxDeniedRetryWait)
}
