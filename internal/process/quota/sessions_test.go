package quota

import (
	"fmt"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// TestSessions runs the sessions of testdata/sessions: decisions of leases,
// allocators and caches, step by step with the time given. At the end of each
// the tokens used must be within the bound.
func TestSessions(t *testing.T) {
	steps.Run(t, "testdata/sessions/*.txtar", func() steps.Session { return newQuotaSession() })
}

// quotaSession is the state of a session.
type quotaSession struct {
	steps.Clock
	key    Key
	leases map[string]*Lease
	limit  Limit
	caches map[string]*Cache
	start  time.Time
	used   []time.Time
}

func newQuotaSession() *quotaSession {
	clock := steps.NewClock()
	return &quotaSession{
		Clock:  clock,
		key:    Key{Customer: "amis", Route: testRoute},
		leases: make(map[string]*Lease),
		caches: make(map[string]*Cache),
		start:  clock.Now,
	}
}

// End implements steps.Session.
func (s *quotaSession) End(t *testing.T) {
	assert.Check(t, withinBound(s.used, s.limit), "more than the rate and burst was used")
}

// Step implements steps.Session.
func (s *quotaSession) Step(t *testing.T, words []string) {
	number := func(i int) int {
		n, err := strconv.Atoi(words[i])
		assert.NilError(t, err)
		return n
	}
	switch words[0] {
	case "limit": // limit RATE BURST
		s.limit = Limit{Rate: float64(number(1)), Burst: float64(number(2))}
	case "lease": // lease NODE
		s.leases[words[1]] = NewLease(s.Now, address(words[1]))
	case "confirm": // confirm NODE TERM HOLDER CANDIDATE...
		record := &kinds.Allocator{Candidates: addresses(words[4:]), Holder: address(words[3]), Term: uint64(number(2)), Zone: "zone"}
		s.leases[words[1]].Confirm(s.Now, s.Now, record, uint64(number(2)))
	case "promise": // promise NODE TERM HOLDER CANDIDATE...
		record := &kinds.Allocator{Candidates: addresses(words[4:]), Holder: address(words[3]), Term: uint64(number(2)), Zone: "zone"}
		fmt.Fprintf(&s.Out, ": %t", s.leases[words[1]].Promise(s.Now, record.Term, record, true))
	case "promised": // promised NODE TERM
		s.leases[words[1]].ConfirmByPromises(s.Now, uint64(number(2)), true)
	case "take-over": // take-over NODE CANDIDATE...
		record := &kinds.Allocator{Candidates: addresses(words[2:])}
		fmt.Fprintf(&s.Out, ": %t", s.leases[words[1]].MayTakeOver(s.Now, record))
	case "hand-over": // hand-over FROM TO
		state, _, _ := s.leases[words[1]].Release(s.Now)
		s.leases[words[2]].Receive(s.Now, state)
	case "use": // use NODE ALLOCATOR N: tokens for use at once
		grant, dealt := s.deal(words[2], words[1], &Ask{Key: s.key, Now: number(3), NowSeq: uint64(s.Now.UnixNano()), Zone: "zone"})
		s.spend(grant.Now)
		fmt.Fprintf(&s.Out, ": %s", shown(dealt, grant.Now))
	case "hold": // hold NODE ALLOCATOR N: tokens to hold
		s.hold(words[1], words[2], number(3))
	case "spend": // spend NODE N: tokens held
		n := 0
		for n < number(2) && s.cache(words[1]).Take(s.Now, s.key, s.limit) {
			n++
		}
		s.spend(n)
		fmt.Fprintf(&s.Out, ": %d", n)
	default:
		t.Fatalf("the step %q is unknown", words)
	}
}

func (s *quotaSession) deal(allocator, node string, ask *Ask) (Grant, bool) {
	a := s.leases[allocator].Allocator(s.Now)
	if a == nil || !a.Started(s.Now) {
		return Grant{}, false
	}
	return a.Deal(s.Now, address(node), ask, s.limit), true
}

// hold asks an allocator for as many tokens to hold as it gives.
func (s *quotaSession) hold(node, allocator string, times int) {
	total, dealt := 0, false
	for range times {
		cache := s.cache(node)
		for range 100 {
			cache.Take(s.Now, Key{Customer: "nobody", Route: testRoute}, s.limit)
		}
		ask := &Ask{Key: s.key, Want: maxHeld, Zone: "zone"}
		cache.mu.Lock()
		e := cache.entry(s.Now, s.key)
		if !s.Now.Before(e.expires) {
			e.tokens = 0
		}
		cache.seq++
		e.limit = s.limit
		ask.Held, ask.Seq = e.tokens, cache.seq
		cache.mu.Unlock()
		var grant Grant
		if grant, dealt = s.deal(allocator, node, ask); !dealt {
			break
		}
		cache.Settle(s.Now, s.Now, ask, &grant)
		total += grant.Held
	}
	fmt.Fprintf(&s.Out, ": %s", shown(dealt, total))
}

func (s *quotaSession) cache(node string) *Cache {
	if s.caches[node] == nil {
		s.caches[node] = NewCache(s.start)
	}
	return s.caches[node]
}

func (s *quotaSession) spend(n int) {
	for range n {
		s.used = append(s.used, s.Now)
	}
}

func shown(dealt bool, n int) string {
	if !dealt {
		return "not dealt"
	}
	return strconv.Itoa(n)
}

func address(name string) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, name[0]}), 1)
}

func addresses(names []string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, name := range names {
		all = append(all, address(name))
	}
	return all
}
