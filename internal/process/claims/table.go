// Package claims ensures that a request that is not idempotent, but has an
// idempotency key from its caller, runs at most once in the whole fleet.
//
// Before such a request runs, its key is claimed at the node that holds the
// allocator of the customer's shard, in the availability zone that the key is
// hashed to. The holder writes claims to the platform's store, many in one
// object, before it grants them, and the next holder reads them from there.
//
// While the platform does not answer, the other candidates for the allocator may
// promise the holder not to take over. The holder then keeps granting claims, but
// only in its memory. A candidate that made such a promise and takes over later
// refuses all keys until those claims have expired.
package claims

import (
	"crypto/sha256"
	"maps"
	"slices"
	"sync"
	"time"
)

// Lifetime is how long a claim is kept.
const Lifetime = 5 * time.Minute

// ID identifies a customer's idempotency key.
type ID [16]byte

// NewID returns the ID of a customer's idempotency key.
func NewID(customer, key string) ID {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return ID(sum[:16])
}

// claim records which attempt claimed a key, and when.
type claim struct {
	at      time.Time
	attempt uint64
}

// Table holds the claims of a shard in memory. No other lock is acquired while
// its lock is held.
type Table struct {
	mu     sync.Mutex
	claims map[ID]claim
	order  []ID // by time, oldest first
	// released are the attempts that were released without a claim, and when. Their claims
	// may still arrive.
	released      map[uint64]time.Time
	releasedOrder []uint64 // by time, oldest first
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{claims: make(map[ID]claim), released: make(map[uint64]time.Time)}
}

// Claim claims a key for an attempt. It returns false if another attempt has
// claimed the key, or the attempt has been released.
func (t *Table) Claim(now time.Time, id ID, attempt uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if _, ok := t.released[attempt]; ok {
		return false
	}
	if c, ok := t.claims[id]; ok {
		return c.attempt == attempt
	}
	t.claims[id] = claim{at: now, attempt: attempt}
	t.order = append(t.order, id)
	return true
}

// Release deletes the claim of an attempt that did not run. If there is none, it keeps the
// attempt from claiming a key later.
func (t *Table) Release(now time.Time, id ID, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if c, ok := t.claims[id]; ok && c.attempt == attempt {
		delete(t.claims, id)
		return
	}
	if _, ok := t.released[attempt]; !ok {
		t.released[attempt] = now
		t.releasedOrder = append(t.releasedOrder, attempt)
	}
}

// IDs returns the claimed keys.
func (t *Table) IDs() []ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.claims))
}

// Len returns the number of claims.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.claims)
}

// expire deletes the claims and the released attempts that are older than Lifetime. A key
// that was released and claimed again is in the order twice, and its claim has the time of
// the second entry. While it has not expired, its first entry keeps expire from reaching the
// entries behind it, whose claims may then be kept longer than Lifetime.
func (t *Table) expire(now time.Time) {
	for len(t.releasedOrder) > 0 && now.Sub(t.released[t.releasedOrder[0]]) >= Lifetime {
		delete(t.released, t.releasedOrder[0])
		t.releasedOrder = t.releasedOrder[1:]
	}
	for len(t.order) > 0 {
		c, ok := t.claims[t.order[0]]
		if ok && now.Sub(c.at) < Lifetime {
			return
		}
		if ok {
			delete(t.claims, t.order[0])
		}
		t.order = t.order[1:]
	}
}
