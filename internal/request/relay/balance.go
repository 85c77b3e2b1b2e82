package relay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// Bounds of the choice of upstreams.
const (
	// ejectFirst is how long a node is passed over after its first failure;
	// each further failure doubles it.
	ejectFirst = time.Second
	// ejectMost is the longest time for which a node is passed over.
	ejectMost = 16 * time.Second
	// loadAge is how long a gate's word about its load counts.
	loadAge = time.Second
	// spillBelow is the load of a node in the same availability zone above
	// which nodes in others are considered.
	spillBelow = 0.9
	// failAlike is how much more of its calls a node may fail than others and still
	// count as well as they are: chance makes such differences.
	failAlike = 0.15
	// failCost is the load that a node which fails all calls counts for: one that
	// fails half of its calls where others fail none is as good as full.
	failCost = 3
	// failTime is how long the failures of a node count when no call follows, so
	// that it is tried again, and failWeight the weight of a call in their part.
	failTime   = 4 * time.Second
	failWeight = 0.03
	// failUnknown is the part that a node without calls is taken to fail where
	// others fail more.
	failUnknown = 0.3
	// spillFactor is the part of that load that a node in another availability
	// zone must be below.
	spillFactor = 0.8
)

// unknownLimit is the limit assumed of a gate that has not told its own.
const unknownLimit = 16

// Balance chooses the nodes to send calls to, by what this node has itself
// seen of them. Its lock is a leaf.
type Balance struct {
	self netip.AddrPort
	zone string

	mu    sync.Mutex
	nodes map[netip.AddrPort]*seen
}

// seen is what is known of a node.
type seen struct {
	ejectedUntil time.Time
	failedPart   float64 // of the calls lately
	failedAt     time.Time
	failures     int
	inFlight     int
	load         gates.Load
	loadAt       time.Time
	usedAt       time.Time
}

// NewBalance returns a Balance for a node in an availability zone.
func NewBalance(self netip.AddrPort, zone string) *Balance {
	return &Balance{nodes: make(map[netip.AddrPort]*seen), self: self, zone: zone}
}

// Choose returns the node to send a call to, or false if all were tried. Nodes
// of the same availability zone come first, unless they are loaded and another
// is not.
func (b *Balance) Choose(now time.Time, nodes []member.Record, tried []netip.AddrPort) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	near, nearLoad, ok := b.best(now, nodes, tried, true)
	if ok && nearLoad < spillBelow {
		return near, true
	}
	far, farLoad, farOK := b.best(now, nodes, tried, false)
	if farOK && (!ok || farLoad < nearLoad*spillFactor) {
		return far, true
	}
	if ok {
		return near, true
	}
	return b.ejected(nodes, tried)
}

// Begin counts a call to a node.
func (b *Balance) Begin(now time.Time, node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.inFlight++
	s.usedAt = now
}

// End counts the end of a call to a node.
func (b *Balance) End(node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node(node).inFlight--
}

// Observe takes in a gate's word about its load.
func (b *Balance) Observe(now time.Time, node netip.AddrPort, load gates.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.failures = 0
	s.load = load
	s.loadAt = now
}

// Result takes in whether a call to a node failed at its upstream.
func (b *Balance) Result(now time.Time, node netip.AddrPort, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	part, _ := s.failing(now)
	if failed {
		part += (1 - part) * failWeight
	} else {
		part -= part * failWeight
	}
	s.failedPart = part
	s.failedAt = now
}

// failing returns the part of the calls to a node that failed lately, or false if
// there were none.
func (s *seen) failing(now time.Time) (part float64, known bool) {
	if s == nil || s.failedAt.IsZero() || now.Sub(s.failedAt) >= failTime {
		return failUnknown, false
	}
	return s.failedPart, true
}

// Eject passes over a node for a while.
func (b *Balance) Eject(now time.Time, node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.ejectedUntil = now.Add(min(ejectFirst<<min(s.failures, 10), ejectMost))
	s.failures++
}

// Prune forgets nodes that are not in use.
func (b *Balance) Prune(now time.Time, idle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, s := range b.nodes {
		if s.inFlight == 0 && now.Sub(s.usedAt) >= idle {
			delete(b.nodes, node)
		}
	}
}

// leastFailing returns the least part of failed calls among nodes. What all of
// them fail, such as calls to a service below, is no reason to prefer one.
func (b *Balance) leastFailing(now time.Time, nodes []member.Record) float64 {
	least := 1.0
	for i := range nodes {
		if least == 0 {
			break
		}
		part, _ := b.nodes[nodes[i].Peers].failing(now)
		least = min(least, part)
	}
	return least
}

// best returns the less loaded of two random nodes that are inside or outside
// of the node's availability zone. A node that fails more calls than others
// counts as more loaded.
func (b *Balance) best(now time.Time, nodes []member.Record, tried []netip.AddrPort, inside bool) (node netip.AddrPort, load float64, ok bool) {
	var picks [2]netip.AddrPort
	fit := 0
	for i := range nodes {
		n := &nodes[i]
		if (n.Zone == b.zone) != inside || contains(tried, n.Peers) || b.isEjected(now, n.Peers) {
			continue
		}
		fit++
		if fit <= len(picks) {
			picks[fit-1] = n.Peers
		} else if k := rand.IntN(fit); k < len(picks) {
			picks[k] = n.Peers
		}
	}
	if fit == 0 {
		return netip.AddrPort{}, 0, false
	}
	failing := b.leastFailing(now, nodes)
	node, load = picks[0], b.load(now, picks[0], failing)
	if fit > 1 {
		if other := b.load(now, picks[1], failing); other < load || (other == load && rand.IntN(2) == 0) {
			node, load = picks[1], other
		}
	}
	return node, load, true
}

// ejected returns a random node that was not tried, passed over or not.
func (b *Balance) ejected(nodes []member.Record, tried []netip.AddrPort) (netip.AddrPort, bool) {
	var node netip.AddrPort
	fit := 0
	for i := range nodes {
		if contains(tried, nodes[i].Peers) {
			continue
		}
		fit++
		if rand.IntN(fit) == 0 {
			node = nodes[i].Peers
		}
	}
	return node, fit > 0
}

// load returns the part of a node's limit that is in use, and what it fails beyond
// what all fail.
func (b *Balance) load(now time.Time, node netip.AddrPort, failing float64) float64 {
	s := b.nodes[node]
	if s == nil {
		return 0
	}
	inFlight, limit := s.inFlight, unknownLimit
	if now.Sub(s.loadAt) < loadAge {
		inFlight = max(inFlight, s.load.InFlight+s.load.Waiting)
		limit = max(s.load.Limit, 1)
	}
	load := float64(inFlight) / float64(limit)
	if part, known := s.failing(now); known {
		load += failCost * max(part-failing-failAlike, 0)
	}
	return load
}

// isEjected reports whether a node is passed over. One that failed and has not
// answered since gets one call at a time.
func (b *Balance) isEjected(now time.Time, node netip.AddrPort) bool {
	s := b.nodes[node]
	return s != nil && (now.Before(s.ejectedUntil) || s.failures > 0 && s.inFlight > 0)
}

func (b *Balance) node(node netip.AddrPort) *seen {
	s := b.nodes[node]
	if s == nil {
		s = &seen{}
		b.nodes[node] = s
	}
	return s
}

func contains(all []netip.AddrPort, one netip.AddrPort) bool {
	for _, a := range all {
		if a == one {
			return true
		}
	}
	return false
}
