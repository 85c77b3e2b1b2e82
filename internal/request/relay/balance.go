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
	minEjection = time.Second
	// ejectMost is the longest time for which a node is passed over.
	maxEjection = 16 * time.Second
	// loadAge is how long a gate's word about its load counts.
	maxLoadAge = time.Second
	// spillBelow is the load of a node in the same availability zone above
	// which nodes in others are considered.
	spillThreshold = 0.9
	// failAlike is how much more of its calls a node may fail than others and still
	// count as well as they are: chance makes such differences.
	failureTolerance = 0.15
	// failCost is the load that a node which fails all calls counts for: one that
	// fails half of its calls where others fail none is as good as full.
	failurePenalty = 3
	// failTime is how long the failures of a node count when no call follows, so
	// that it is tried again, and failWeight the weight of a call in their part.
	maxFailureAge    = 4 * time.Second
	failureSmoothing = 0.03
	// failUnknown is the part that a node without calls is taken to fail where
	// others fail more.
	unknownFailureRate = 0.3
	// spillFactor is the part of that load that a node in another availability
	// zone must be below.
	spillFactor = 0.8
)

// unknownLimit is the limit assumed of a gate that has not told its own.
const defaultLimit = 16

// Balance chooses the nodes to send calls to, by what this node has itself
// seen of them. Its lock is a leaf.
type Balance struct {
	self netip.AddrPort
	zone string

	mu    sync.Mutex
	nodes map[netip.AddrPort]*nodeStats
}

// seen is what is known of a node.
type nodeStats struct {
	ejectedUntil time.Time
	failureRate  float64 // of the calls lately
	failedAt     time.Time
	failures     int
	inFlight     int
	load         gates.Load
	loadAt       time.Time
	usedAt       time.Time
}

// NewBalance returns a Balance for a node in an availability zone.
func NewBalance(self netip.AddrPort, zone string) *Balance {
	return &Balance{nodes: make(map[netip.AddrPort]*nodeStats), self: self, zone: zone}
}

// Choose returns the node to send a call to, or false if all were tried. Nodes
// of the same availability zone come first, unless they are loaded and another
// is not.
func (b *Balance) Choose(now time.Time, nodes []member.Record, tried []netip.AddrPort) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	local, localLoad, ok := b.pickNode(now, nodes, tried, true)
	if ok && localLoad < spillThreshold {
		return local, true
	}
	remote, remoteLoad, remoteOK := b.pickNode(now, nodes, tried, false)
	if remoteOK && (!ok || remoteLoad < localLoad*spillFactor) {
		return remote, true
	}
	if ok {
		return local, true
	}
	return b.anyUntried(nodes, tried)
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
	rate, _ := s.recentFailureRate(now)
	if failed {
		rate += (1 - rate) * failureSmoothing
	} else {
		rate -= rate * failureSmoothing
	}
	s.failureRate = rate
	s.failedAt = now
}

// failing returns the part of the calls to a node that failed lately, or false if
// there were none.
func (s *nodeStats) recentFailureRate(now time.Time) (rate float64, known bool) {
	if s == nil || s.failedAt.IsZero() || now.Sub(s.failedAt) >= maxFailureAge {
		return unknownFailureRate, false
	}
	return s.failureRate, true
}

// Eject passes over a node for a while.
func (b *Balance) Eject(now time.Time, node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.ejectedUntil = now.Add(min(minEjection<<min(s.failures, 10), maxEjection))
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
func (b *Balance) minFailureRate(now time.Time, nodes []member.Record) float64 {
	lowest := 1.0
	for i := range nodes {
		if lowest == 0 {
			break
		}
		rate, _ := b.nodes[nodes[i].Peers].recentFailureRate(now)
		lowest = min(lowest, rate)
	}
	return lowest
}

// best returns the less loaded of two random nodes that are inside or outside
// of the node's availability zone. A node that fails more calls than others
// counts as more loaded.
func (b *Balance) pickNode(now time.Time, nodes []member.Record, tried []netip.AddrPort, sameZone bool) (node netip.AddrPort, load float64, ok bool) {
	var picks [2]netip.AddrPort
	eligible := 0
	for i := range nodes {
		n := &nodes[i]
		if (n.Zone == b.zone) != sameZone || contains(tried, n.Peers) || b.isEjected(now, n.Peers) {
			continue
		}
		eligible++
		if eligible <= len(picks) {
			picks[eligible-1] = n.Peers
		} else if k := rand.IntN(eligible); k < len(picks) {
			picks[k] = n.Peers
		}
	}
	if eligible == 0 {
		return netip.AddrPort{}, 0, false
	}
	lowestRate := b.minFailureRate(now, nodes)
	node, load = picks[0], b.load(now, picks[0], lowestRate)
	if eligible > 1 {
		if other := b.load(now, picks[1], lowestRate); other < load || (other == load && rand.IntN(2) == 0) {
			node, load = picks[1], other
		}
	}
	return node, load, true
}

// ejected returns a random node that was not tried, passed over or not.
func (b *Balance) anyUntried(nodes []member.Record, tried []netip.AddrPort) (netip.AddrPort, bool) {
	var node netip.AddrPort
	eligible := 0
	for i := range nodes {
		if contains(tried, nodes[i].Peers) {
			continue
		}
		eligible++
		if rand.IntN(eligible) == 0 {
			node = nodes[i].Peers
		}
	}
	return node, eligible > 0
}

// load returns the part of a node's limit that is in use, and what it fails beyond
// what all fail.
func (b *Balance) load(now time.Time, node netip.AddrPort, lowestRate float64) float64 {
	s := b.nodes[node]
	if s == nil {
		return 0
	}
	inFlight, limit := s.inFlight, defaultLimit
	if now.Sub(s.loadAt) < maxLoadAge {
		inFlight = max(inFlight, s.load.InFlight+s.load.Waiting)
		limit = max(s.load.Limit, 1)
	}
	load := float64(inFlight) / float64(limit)
	if rate, known := s.recentFailureRate(now); known {
		load += failurePenalty * max(rate-lowestRate-failureTolerance, 0)
	}
	return load
}

// isEjected reports whether a node is passed over. One that failed and has not
// answered since gets one call at a time.
func (b *Balance) isEjected(now time.Time, node netip.AddrPort) bool {
	s := b.nodes[node]
	return s != nil && (now.Before(s.ejectedUntil) || s.failures > 0 && s.inFlight > 0)
}

func (b *Balance) node(node netip.AddrPort) *nodeStats {
	s := b.nodes[node]
	if s == nil {
		s = &nodeStats{}
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
