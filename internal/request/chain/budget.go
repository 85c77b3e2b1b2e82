package chain

import "sync"

// Budget is the retry budget of a call. Each sub-call takes a part of the budget
// along and returns what it did not use, so that all calls of a chain together
// never make more retries than the root request allows. No other lock is acquired
// while its lock is held.
type Budget struct {
	mu     sync.Mutex
	closed bool
	failed map[uint64]struct{} // fingerprints of sub-calls that failed
	left   int
}

// NewBudget returns a Budget with the given number of retries.
func NewBudget(retries int) *Budget {
	return &Budget{left: retries}
}

// Take uses one retry. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take()
}

// Begin starts a sub-call. If an earlier sub-call with the same fingerprint
// failed, the new one is a retry and uses one from the budget. Begin returns false
// if none is left for it.
func (b *Budget) Begin(fingerprint uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, retry := b.failed[fingerprint]; retry {
		return b.take()
	}
	return true
}

// RecordFailure records that a sub-call failed, so that the next one with the same
// fingerprint counts as a retry.
func (b *Budget) RecordFailure(fingerprint uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed == nil {
		b.failed = make(map[uint64]struct{})
	}
	b.failed[fingerprint] = struct{}{}
}

// Split takes half of the remaining retries, rounded up, out of the budget and
// returns their number. They are the budget of a sub-call.
func (b *Budget) Split() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := (b.left + 1) / 2
	b.left -= part
	return part
}

// Return adds the retries that a sub-call did not use. It ignores negative numbers
// and does nothing after Close.
func (b *Budget) Return(retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.left += max(retries, 0)
	}
}

// Close empties the budget and returns the number of retries that were left.
func (b *Budget) Close() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.left
	b.left = 0
	b.closed = true
	return left
}

// take uses one retry, or returns false if none is left. The caller holds the
// lock.
func (b *Budget) take() bool {
	if b.left <= 0 {
		return false
	}
	b.left--
	return true
}
