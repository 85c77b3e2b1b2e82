// Package quota keeps each customer within its rate and burst over all hosts.
//
// Each availability zone owns a fixed share of every rate and burst. Customers
// are divided into shards, and in each zone one node holds the allocator of a
// shard. The allocator adds tokens at the zone's share of the rate and grants
// them to nodes in any zone. Grants expire after a short time. Each admitted
// request uses one token of the node that admits it.
//
// A node asks for two kinds of tokens: immediate tokens, for requests that wait
// for the answer, and held tokens, which it keeps for later requests.
package quota

import (
	"hash/fnv"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Durations of grants and leases.
const (
	// GrantTTL is how long an allocator counts held tokens as unused.
	GrantTTL = 2 * time.Second
	// LeaseDuration is how long an allocator may grant tokens after its holder
	// last knew that no other node had taken over.
	LeaseDuration = 600 * time.Millisecond
	// ImmediateGrantTTL is how long an allocator counts immediate tokens as
	// unused, unless the node has to wait longer for the answer.
	ImmediateGrantTTL = 200 * time.Millisecond
	// askTimeout is how long a node waits for the answer to an Ask, unless the holder
	// lately took longer. It is shorter than ImmediateGrantTTL to allow for clock drift
	// between nodes.
	askTimeout = ImmediateGrantTTL * 9 / 10
	// nodeGrantTTL is how long a node uses held tokens after it asked for them.
	// It is shorter than GrantTTL to allow for clock drift between nodes.
	nodeGrantTTL = GrantTTL * 9 / 10
)

// maxAskTokens is the largest number of tokens in an Ask.
const maxAskTokens = 4096

// grantRetention is how long an expired grant is kept, because its sequence
// number tells whether an Ask of the node arrives after a later one.
const grantRetention = time.Minute

// Limits on held tokens.
const (
	// maxHeldFraction is the fraction of a burst that all nodes together may
	// hold or get as immediate tokens that count for longer than ImmediateGrantTTL.
	maxHeldFraction = 1.0 / 2
	// maxGrantFraction is the fraction of the tokens in a bucket that one node
	// may get to hold in one grant.
	maxGrantFraction = 1.0 / 8
)

// Key identifies the requests that share a rate: a row's route, and a
// customer.
type Key struct {
	Customer string
	Route    string
}

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	Burst float64
	Rate  float64
}

// ZoneShare returns the share of the limit that an availability zone owns,
// given the zone's index and the number of zones. The burst is split into whole
// tokens; which zones get the remainder differs from key to key. The rate is
// split in proportion to the burst.
func (l Limit) ZoneShare(key Key, zone, zones int) Limit {
	whole := int(l.Burst)
	h := fnv.New32a()
	_, _ = h.Write([]byte(key.Customer + "\x00" + key.Route))
	position := (zone + int(h.Sum32()%uint32(zones))) % zones
	burst := whole / zones
	if position < whole%zones {
		burst++
	}
	return Limit{Burst: float64(burst), Rate: l.Rate * float64(burst) / float64(whole)}
}

// Ask is a node's request for tokens to an allocator.
type Ask struct {
	// Below says that the node has used or discarded all immediate tokens of
	// its Asks with a lower NowSeq.
	Below uint64 `cbor:",omitempty"`
	Key   Key
	// Held is the number of unused tokens that the node holds from earlier
	// grants of the allocator. It is ignored if Seq is 0.
	Held int `cbor:",omitempty"`
	// Now is the number of immediate tokens. The node uses them as soon as the
	// answer arrives, or never.
	Now int `cbor:",omitempty"`
	// NowSeq increases with each Ask of a node for immediate tokens.
	NowSeq uint64 `cbor:",omitempty"`
	// Patience is how long the node waits for the answer, 0 for askTimeout. Nodes of
	// earlier versions ignore it.
	Patience time.Duration `cbor:",omitempty"`
	// Seq increases with each Ask of a node for tokens to hold. It is 0 in
	// other Asks.
	Seq uint64 `cbor:",omitempty"`
	// Shard is the shard of the key's customer.
	Shard int
	// Want is the number of tokens to hold in addition to Held.
	Want int `cbor:",omitempty"`
	// Zone is the availability zone of the allocator.
	Zone string
}

// Check implements wire.Checker.
func (a *Ask) Check() error {
	if a.Held < 0 || a.Now < 0 || a.Want < 0 || a.Now+a.Want > maxAskTokens || a.Patience < 0 || a.Shard < 0 || a.Zone == "" || a.Key.Route == "" {
		return trace.BadParameter("Ask: want a key, a zone, a shard and a number of tokens")
	}
	return nil
}

// Grant is an allocator's answer to an Ask.
type Grant struct {
	// Held is the number of tokens granted to hold.
	Held int `cbor:",omitempty"`
	// Now is the number of immediate tokens granted.
	Now int `cbor:",omitempty"`
	// Term is the allocator's term.
	Term uint64
	// Valid is how long the allocator counts the immediate tokens as unused, 0 for
	// ImmediateGrantTTL.
	Valid time.Duration `cbor:",omitempty"`
	// Wait is the time until the next token is available, if fewer immediate
	// tokens were granted than asked for.
	Wait time.Duration `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (g *Grant) Check() error {
	if g.Held < 0 || g.Now < 0 || g.Valid < 0 || g.Wait < 0 {
		return trace.BadParameter("Grant: want no negative numbers")
	}
	return nil
}

// usableFor returns how long after its Ask a node may use the immediate tokens. It is
// shorter than the time for which the allocator counts them, to allow for clock drift.
func (g *Grant) usableFor() time.Duration {
	if g.Valid > 0 {
		return g.Valid * 9 / 10
	}
	return askTimeout
}

// Allocator grants the tokens of one shard during one term. No other lock is
// acquired while its lock is held.
type Allocator struct {
	mu        sync.Mutex
	buckets   map[Key]*bucket
	firstTerm bool // no earlier holder can have granted tokens
	start     time.Time
	term      uint64
}

// NewAllocator returns the Allocator of a term. It grants tokens from start on,
// when the previous holder has stopped. Its buckets are empty at that time, but
// full in a shard's first term.
func NewAllocator(term uint64, start time.Time) *Allocator {
	return &Allocator{buckets: make(map[Key]*bucket), firstTerm: term == 1, start: start, term: term}
}

// Term returns the allocator's term.
func (a *Allocator) Term() uint64 {
	return a.term
}

// GrantTokens answers a node's Ask. The limit is the zone's share of the key's
// limit; if its burst is less than 1, no tokens are granted. If the Ask is for
// more immediate tokens than the bucket has, the answer grants those that it
// has, with a Wait, and no tokens to hold.
func (a *Allocator) GrantTokens(now time.Time, node netip.AddrPort, ask *Ask, limit Limit) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit.Burst < 1 {
		return Grant{Term: a.term}
	}
	b := a.buckets[ask.Key]
	if b == nil {
		b = a.newBucket(limit)
		a.buckets[ask.Key] = b
	}
	b.limit = limit
	// The tokens that the node reports as used may have been used just now, so they make
	// no room for the tokens that were due before.
	b.refill(now)
	b.applyReport(now, node, ask)
	answer := Grant{Term: a.term}
	answer.Now, answer.Valid = b.grantImmediate(now, node, ask)
	if answer.Now < ask.Now {
		answer.Wait = b.timeToNextToken()
		return answer
	}
	answer.Held = b.grantHeld(now, node, ask)
	return answer
}

// Started reports whether the allocator's start time has passed, so that it may
// grant tokens.
func (a *Allocator) Started(now time.Time) bool {
	return !now.Before(a.start)
}

// Prune removes the buckets that have been unused for at least idle, and for so
// long that they are full and all their grants have expired. It returns the
// number that remain.
func (a *Allocator) Prune(now time.Time, idle time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, b := range a.buckets {
		fillTime := time.Duration(b.limit.Burst / b.limit.Rate * float64(time.Second))
		if now.Sub(b.updated) >= max(idle, fillTime, 2*GrantTTL) {
			delete(a.buckets, key)
		}
	}
	return len(a.buckets)
}

// newBucket returns the bucket of a key that is new in this term. After the
// first term, it reserves the whole burst for tokens that the previous holder
// may have granted, because it does not know how many there are.
func (a *Allocator) newBucket(limit Limit) *bucket {
	b := &bucket{grants: make(map[netip.AddrPort]*grant), limit: limit, immediate: newImmediateGrants(), slow: newImmediateGrants(), updated: a.start}
	if a.firstTerm {
		b.tokens = limit.Burst
		return b
	}
	held := int(limit.Burst * maxHeldFraction)
	b.grants[netip.AddrPort{}] = &grant{expires: a.start.Add(GrantTTL), tokens: held}
	b.immediate.add(netip.AddrPort{}, immediateGrant{expires: a.start.Add(ImmediateGrantTTL), tokens: int(limit.Burst) - held})
	return b
}
