package chain

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Running is a request that the upstream beside the node works on.
type Running struct {
	Budget   *Budget
	Chain    Chain
	Context  context.Context
	Deadline time.Time
	// Due is when the answer of the root request should be there, zero for
	// unknown.
	Due  time.Time
	Span SpanID
	// Told is the deadline that the upstream was told, which it passes on with
	// its sub-calls.
	Told time.Time
}

// Tokens are the requests that the upstream works on, by the tokens that it
// was given. Its lock is a leaf.
type Tokens struct {
	mu      sync.Mutex
	running map[string]*Running
}

// NewTokens returns an empty table.
func NewTokens() *Tokens {
	return &Tokens{running: make(map[string]*Running)}
}

// Grant returns a new token for a request.
func (t *Tokens) Grant(running *Running) string {
	token := strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[token] = running
	return token
}

// Lookup returns the request of a token, or nil if the token was not granted
// here or has ended.
func (t *Tokens) Lookup(token string) *Running {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running[token]
}

// Nearest returns the request whose upstream was told the deadline nearest to
// that of a sub-call, or nil if none is within a tolerance.
func (t *Tokens) Nearest(deadline time.Time, tolerance time.Duration) *Running {
	t.mu.Lock()
	defer t.mu.Unlock()
	var nearest *Running
	for _, running := range t.running {
		if off := running.Told.Sub(deadline).Abs(); off <= tolerance {
			nearest = running
			tolerance = off
		}
	}
	return nearest
}

// End ends a token.
func (t *Tokens) End(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, token)
}
