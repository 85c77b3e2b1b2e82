package quota

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// maxHandoverBuckets is the largest number of buckets in a handover. The
// buckets of the remaining keys start empty.
const maxHandoverBuckets = 4096

// Handover is the state of an allocator that a leaving holder sends to the next
// one after it has stopped granting tokens.
type Handover struct {
	Buckets []HandoverBucket
	// OutageAge is how long ago a holder last continued without the platform.
	// It is 0 if none ever did.
	OutageAge time.Duration `cbor:",omitempty"`
	Shard     int
	Term      uint64
	Zone      string

	receivedAt time.Time
}

// HandoverBucket is the state of a key's bucket.
type HandoverBucket struct {
	Key Key
	// Limit is the limit that applied at the bucket's last refill.
	Limit Limit
	// Tokens is the number of tokens in the bucket.
	Tokens float64
	// Unused is the number of granted tokens that nodes may still use.
	Unused int
}

// Check implements wire.Checker.
func (h *Handover) Check() error {
	if h.Shard < 0 || h.Term == 0 || h.Zone == "" || len(h.Buckets) > maxHandoverBuckets {
		return trace.BadParameter("Handover: want a zone, a shard, a term and at most %d keys", maxHandoverBuckets)
	}
	for i := range h.Buckets {
		b := &h.Buckets[i]
		if !(b.Tokens >= 0) || b.Unused < 0 || b.Key.Route == "" || !(b.Limit.Rate > 0) {
			return trace.BadParameter("Handover: want no negative numbers and no empty keys")
		}
	}
	return nil
}

// Export returns the allocator's state to hand over. If there are more than
// maxHandoverBuckets keys, it contains those used last.
func (a *Allocator) Export(now time.Time) *Handover {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := &Handover{Term: a.term}
	keys := make([]Key, 0, len(a.buckets))
	for key := range a.buckets {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y Key) int { return a.buckets[y].updated.Compare(a.buckets[x].updated) })
	for _, key := range keys[:min(len(keys), maxHandoverBuckets)] {
		b := a.buckets[key]
		b.refill(now)
		h.Buckets = append(h.Buckets, HandoverBucket{Key: key, Limit: b.limit, Tokens: b.tokens, Unused: b.unused(now)})
	}
	return h
}

// NewAllocatorFromHandover returns the Allocator of a term that continues from
// the state of the previous term. It grants tokens from now on. The tokens that
// nodes may still use count as held for GrantTTL.
func NewAllocatorFromHandover(now time.Time, term uint64, state *Handover) *Allocator {
	a := NewAllocator(term, now)
	for _, h := range state.Buckets {
		a.buckets[h.Key] = &bucket{
			grants:    map[netip.AddrPort]*grant{{}: {expires: now.Add(GrantTTL), tokens: h.Unused}},
			limit:     h.Limit,
			tokens:    h.Tokens,
			immediate: newImmediateGrants(),
			slow:      newImmediateGrants(),
			updated:   now,
		}
	}
	return a
}
