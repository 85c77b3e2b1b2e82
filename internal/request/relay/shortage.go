package relay

import (
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
)

const (
	// shortageWait is the wait that counts for as much as a call that was turned
	// away for good: one in a hundred and fifty holds back the less important.
	shortageWait = 3 * time.Second
	// shortageMost is less than the wait that admit allows the two highest ranks:
	// refusing them too would not help those that are left, as retries become
	// fewer along with requests.
	shortageMost = 40 * time.Millisecond
)

// shortage tells how many requests were turned away for good because the retries
// were used up, in the form of a wait, so that fewer requests are let in. Its
// lock is a leaf.
type shortage struct {
	mu   sync.Mutex
	wait *gates.WaitAverage
}

func newShortage() *shortage {
	return &shortage{wait: gates.NewWaitAverage()}
}

// observe takes in whether a request was turned away for good.
func (s *shortage) observe(now time.Time, denied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := time.Duration(0)
	if denied {
		wait = shortageWait
	}
	s.wait.Observe(now, wait)
}

// lately returns the wait that stands for what was turned away lately.
func (s *shortage) lately(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(s.wait.Value(now), shortageMost)
}
