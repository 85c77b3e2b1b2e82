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

// TestSessions runs the sessions of testdata/sessions: steps at given times
// that call leases, allocators and caches. At the end of each session, the
// tokens used must be within the rate and burst.
func TestSessions(t *testing.T) {
	steps.Run(t, "testdata/sessions/*.txtar", func() steps.Session { return newQuotaSession() })
}

// quotaSession is the state of a session. Nodes are named by one letter.
type quotaSession struct {
	steps.ScriptState
	created bool // whether the record exists
	key     Key
	leases  map[string]*Lease
	limit   Limit
	caches  map[string]*Cache
	start   time.Time
	used    []time.Time
}

func newQuotaSession() *quotaSession {
	state := steps.NewScriptState()
	return &quotaSession{
		ScriptState: state,
		key:         Key{Customer: "amis", Route: testRoute},
		leases:      make(map[string]*Lease),
		caches:      make(map[string]*Cache),
		start:       state.Now,
	}
}

// End implements steps.Session.
func (s *quotaSession) End(t *testing.T) {
	assert.Check(t, withinLimit(s.used, s.limit), "more tokens were used than the rate and burst allow")
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
	case "confirm": // confirm NODE TERM HOLDER CANDIDATE...: the first one creates the record
		record := &kinds.Allocator{Candidates: addresses(words[4:]), Holder: address(words[3]), Term: uint64(number(2)), Zone: "zone"}
		if !s.created {
			s.created = true
			s.leases[words[1]].Propose(record.Candidates, 0)
		}
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
		s.leases[words[2]].ReceiveHandover(s.Now, state)
	case "use": // use NODE ALLOCATOR N: asks for N immediate tokens and uses those granted
		grant, granted := s.askAllocator(words[2], words[1], &Ask{Key: s.key, Now: number(3), NowSeq: uint64(s.Now.UnixNano()), Zone: "zone"})
		s.recordUse(grant.Now)
		fmt.Fprintf(&s.Out, ": %s", formatTokens(granted, grant.Now))
	case "hold": // hold NODE ALLOCATOR N: asks N times for tokens to hold
		s.hold(words[1], words[2], number(3))
	case "spend": // spend NODE N: uses up to N held tokens
		n := 0
		for n < number(2) && s.cache(words[1]).Take(s.Now, s.key, s.limit) {
			n++
		}
		s.recordUse(n)
		fmt.Fprintf(&s.Out, ": %d", n)
	default:
		t.Fatalf("unknown step %q", words)
	}
}

// askAllocator passes an Ask to the allocator that a node holds. It returns
// false if the node may not grant tokens.
func (s *quotaSession) askAllocator(allocator, node string, ask *Ask) (Grant, bool) {
	a := s.leases[allocator].Allocator(s.Now)
	if a == nil || !a.Started(s.Now) {
		return Grant{}, false
	}
	return a.GrantTokens(s.Now, address(node), ask, s.limit), true
}

// hold asks an allocator several times for as many tokens as a node may hold.
func (s *quotaSession) hold(node, allocator string, times int) {
	total, granted := 0, false
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
		if grant, granted = s.askAllocator(allocator, node, ask); !granted {
			break
		}
		cache.ApplyGrant(s.Now, s.Now, ask, &grant)
		total += grant.Held
	}
	fmt.Fprintf(&s.Out, ": %s", formatTokens(granted, total))
}

func (s *quotaSession) cache(node string) *Cache {
	if s.caches[node] == nil {
		s.caches[node] = NewCache(s.start)
	}
	return s.caches[node]
}

// recordUse records the use of n tokens at the current time.
func (s *quotaSession) recordUse(n int) {
	for range n {
		s.used = append(s.used, s.Now)
	}
}

// formatTokens formats a number of granted tokens for the transcript.
func formatTokens(granted bool, n int) string {
	if !granted {
		return "not granted"
	}
	return strconv.Itoa(n)
}

// address returns the address of a node, given its name.
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
