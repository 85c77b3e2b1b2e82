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
	Span     SpanID
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

// End ends a token.
func (t *Tokens) End(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, token)
}
