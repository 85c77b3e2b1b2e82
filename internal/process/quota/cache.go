package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of a cache.
const (
	// askAhead is the demand, in time, that a node asks to hold.
	askAhead = 500 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
	// forgetAccount is how long an unused account is kept.
	forgetAccount = time.Minute
	// maxHeld is the largest number of tokens that a node asks to hold of one
	// key.
	maxHeld = 256
	// maxEmpty bounds how long a node takes an allocator's word that no token
	// is left.
	maxEmpty = 250 * time.Millisecond
	// maxReturn bounds the time after which a caller that was refused is asked
	// back. Few callers wait for longer than this for all of an answer.
	maxReturn = time.Second
	// maxWaiting bounds the requests of one key that wait for a token.
	maxWaiting = 4
	// minDemand is the demand, in requests a second, below which no tokens are
	// held.
	minDemand = 0.5
	// renewBefore is how long before its end a grant is renewed.
	renewBefore = 500 * time.Millisecond
)

// Cache holds the tokens that were granted to a node. Its lock is a leaf.
type Cache struct {
	mu       sync.Mutex
	accounts map[Key]*account
	seq      uint64
}

// account holds the tokens of a key.
type account struct {
	admitted   float64 // requests a second
	asking     bool
	demand     float64 // requests a second
	emptyUntil time.Time
	ends       time.Time
	inTransit  map[string][]uint64 // Asks for use at once under way, by zone
	limit      Limit
	returnAt   time.Time // of the next caller that is refused
	term       uint64
	tokens     int
	updated    time.Time
	waiting    int // requests that wait for a token
}

// NewCache returns an empty Cache. Its sequence numbers are above those of
// earlier processes of the node.
func NewCache(now time.Time) *Cache {
	return &Cache{accounts: make(map[Key]*account), seq: uint64(now.UnixNano())}
}

// Take uses a token that the node holds, or reports false if it holds none.
// Tokens that were granted within another limit are dropped.
func (p *Cache) Take(now time.Time, key Key, limit Limit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(now, key)
	a.demand += 1 / demandTime.Seconds()
	if !now.Before(a.ends) || a.limit != limit {
		a.limit = limit
		a.tokens = 0
	}
	if a.tokens == 0 {
		return false
	}
	a.tokens--
	a.admitted += 1 / demandTime.Seconds()
	return true
}

// Admitted takes in that a request uses a token that was granted for use at
// once.
func (p *Cache) Admitted(now time.Time, key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(now, key).admitted += 1 / demandTime.Seconds()
}

// Return returns the time after which a caller that finds no token should come
// back, where the next token is there after a wait. Callers are asked back one
// after the other, in the order in which they were refused and as fast as the
// node's requests are admitted: if all came for the next token, all but one would
// be refused again. Those that cannot be told apart any more within the time in
// which coming back is useful, 0 for any, come back at random.
func (p *Cache) Return(now time.Time, key Key, wait, within time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(now, key)
	at := now.Add(wait)
	if a.returnAt.After(at) {
		at = a.returnAt
	}
	most := maxReturn
	if within > 0 {
		most = min(most, within)
	}
	after := at.Sub(now)
	if after > most {
		return max(wait, most/2+rand.N(most/2+1))
	}
	a.returnAt = at.Add(time.Duration(float64(time.Second) / max(a.admitted, 1/maxReturn.Seconds())))
	return after
}

// EmptyFor returns how long there will be no token, as far as allocators said.
func (p *Cache) EmptyFor(now time.Time, key Key) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.account(now, key).emptyUntil.Sub(now), 0)
}

// SetEmpty records that no token will be there for a time.
func (p *Cache) SetEmpty(now time.Time, key Key, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(now, key).emptyUntil = now.Add(min(wait, maxEmpty))
}

// BeginNow completes an Ask for use at once, which EndNow must follow.
func (p *Cache) BeginNow(now time.Time, ask *Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(now, ask.Key)
	p.seq++
	ask.NowSeq = p.seq
	ask.Below = p.seq
	under := a.inTransit[ask.Zone]
	if len(under) > 0 {
		ask.Below = under[0]
	}
	if a.inTransit == nil {
		a.inTransit = make(map[string][]uint64)
	}
	a.inTransit[ask.Zone] = append(under, ask.NowSeq)
}

// EndNow takes in that the tokens of an Ask were used or given up.
func (p *Cache) EndNow(ask *Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.accounts[ask.Key]; a != nil {
		a.inTransit[ask.Zone] = slices.DeleteFunc(a.inTransit[ask.Zone], func(seq uint64) bool { return seq == ask.NowSeq })
	}
}

// Queue takes a place among the requests of a key that wait for a token, or
// reports false if there are too many.
func (p *Cache) Queue(key Key) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.accounts[key]
	if a == nil || a.waiting >= maxWaiting {
		return false
	}
	a.waiting++
	return true
}

// Unqueue gives the place back.
func (p *Cache) Unqueue(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.accounts[key]; a != nil {
		a.waiting--
	}
}

// Plan completes an Ask with the tokens to hold. It reports false if none are
// wanted, or if such an Ask is under way already.
func (p *Cache) Plan(now time.Time, ask *Ask) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(now, ask.Key)
	if a.asking || a.demand < minDemand {
		return false
	}
	if !now.Before(a.ends) {
		a.tokens = 0
	}
	target := int(math.Ceil(math.Min(a.demand*askAhead.Seconds(), maxHeld)))
	if a.tokens > target/2 && a.ends.Sub(now) > renewBefore {
		return false
	}
	p.seq++
	a.asking = true
	ask.Held = a.tokens
	ask.Seq = p.seq
	ask.Want = max(target-a.tokens, 0)
	return true
}

// Settle takes in the answer to an Ask that Plan completed. The grant of an
// Ask that failed is nil. Tokens of an earlier term are dropped.
func (p *Cache) Settle(sent, now time.Time, ask *Ask, grant *Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(now, ask.Key)
	a.asking = false
	if grant == nil || now.Sub(sent) >= askTime {
		return
	}
	if grant.Term != a.term {
		a.tokens = 0
		a.term = grant.Term
	}
	a.tokens += grant.Held
	a.ends = sent.Add(useTime)
}

// Prune forgets keys that were not used for long and returns how many are
// left.
func (p *Cache) Prune(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, a := range p.accounts {
		if now.Sub(a.updated) >= forgetAccount && !a.asking && a.waiting == 0 {
			delete(p.accounts, key)
		}
	}
	return len(p.accounts)
}

func (p *Cache) account(now time.Time, key Key) *account {
	a := p.accounts[key]
	if a == nil {
		a = &account{updated: now}
		p.accounts[key] = a
	}
	if elapsed := now.Sub(a.updated); elapsed > 0 {
		fade := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		a.admitted *= fade
		a.demand *= fade
		a.updated = now
	}
	return a
}
