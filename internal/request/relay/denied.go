package relay

import (
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
)

const (
	// deniedRetryWait is the wait that a denied retry is recorded as. At this value,
	// one denied retry in 150 calls throttles the less important requests.
	deniedRetryWait = 3 * time.Second
	// maxDeniedRetryWait is below the wait that admit allows for the two highest
	// importances. Refusing those too would not help the remaining requests,
	// because the number of allowed retries falls with the number of requests.
	maxDeniedRetryWait = 40 * time.Millisecond
)

// deniedRetries measures how often a request got no retry because the allowed
// retries were used up. It expresses this as a wait, so that admission control admits
// fewer requests. No other lock is acquired while its lock is held.
type deniedRetries struct {
	mu   sync.Mutex
	wait *gates.WaitAverage
}

func newDeniedRetries() *deniedRetries {
	return &deniedRetries{wait: gates.NewWaitAverage()}
}

// observe records whether a request was denied a retry.
func (d *deniedRetries) observe(now time.Time, denied bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wait := time.Duration(0)
	if denied {
		wait = deniedRetryWait
	}
	d.wait.Observe(now, wait)
}

// recentWait returns the wait that represents the recently denied retries.
func (d *deniedRetries) recentWait(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.wait.Value(now), maxDeniedRetryWait)
}
