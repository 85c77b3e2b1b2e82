package chain

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// RunningRequest is a request that the upstream beside the node is processing. It
// supplies the context of the sub-calls that the upstream makes for it.
type RunningRequest struct {
	Budget   *Budget // of the sub-calls
	Chain    Chain
	Context  context.Context // ends when the request does
	Deadline time.Time
	Span     SpanID // parent of the spans of the sub-calls
}

// Tokens maps tokens to the requests that the upstream beside the node is processing.
// The upstream receives a token with each request and sends it with its sub-calls.
// No other lock is acquired while its lock is held.
type Tokens struct {
	mu      sync.Mutex
	running map[string]*RunningRequest
}

// NewTokens returns Tokens that hold no requests.
func NewTokens() *Tokens {
	return &Tokens{running: make(map[string]*RunningRequest)}
}

// Grant creates a token for a request. The token is valid until Revoke is called.
func (t *Tokens) Grant(running *RunningRequest) string {
	token := strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[token] = running
	return token
}

// Lookup returns the request of a token, or nil if the token is not valid.
func (t *Tokens) Lookup(token string) *RunningRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running[token]
}

// Revoke makes a token invalid.
func (t *Tokens) Revoke(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, token)
}

// AnyRunningAt reports whether a request whose token is valid has a deadline at the given
// time or later.
func (t *Tokens) AnyRunningAt(deadline time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, running := range t.running {
		if !running.Deadline.Before(deadline) {
			return true
		}
	}
	return false
}
