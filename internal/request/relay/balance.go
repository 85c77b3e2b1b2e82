package relay

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// Parameters of load balancing and outlier ejection. A load is the fraction of a
// node's concurrency limit that is in use, plus a penalty for failures.
const (
	// minEjection is how long a node is ejected after its first failure. Each
	// further failure doubles the time.
	minEjection = time.Second
	// maxEjection is the maximum time for which a node is ejected.
	maxEjection = 16 * time.Second
	// maxLoadAge is the age from which the load that a node reported is ignored.
	maxLoadAge = time.Second
	// spillThreshold is the load of the node picked in the own availability zone
	// from which nodes in other zones are considered.
	spillThreshold = 0.9
	// failureTolerance is how far a node's failure rate may exceed the lowest rate
	// without a penalty, because such differences arise by chance.
	failureTolerance = 0.15
	// failurePenalty is the load added per unit of failure rate above the
	// tolerance. A node that fails half of its calls while others fail none is
	// treated as fully loaded.
	failurePenalty = 3
	// maxFailureAge is how long after a node's last call its failure rate counts.
	// After that time the node is tried again.
	maxFailureAge = 4 * time.Second
	// failureSmoothing is the weight of one call in the moving average of the
	// failure rate.
	failureSmoothing = 0.03
	// unknownFailureRate is the failure rate assumed for a node without recent
	// calls, both in minFailureRate and as the start of its moving average.
	unknownFailureRate = 0.3
	// spillFactor is the fraction of the load in the own availability zone below
	// which a node in another zone is preferred.
	spillFactor = 0.8
)

// defaultLimit is the concurrency limit assumed for a node that has not reported
// one recently.
const defaultLimit = 16

// Balancer chooses the nodes that calls are sent to, from the loads that they
// report and the results that this node observes. No other lock is
// acquired while its lock is held.
type Balancer struct {
	self netip.AddrPort
	zone string

	mu    sync.Mutex
	nodes map[netip.AddrPort]*nodeStats
}

// nodeStats are the statistics of a node.
type nodeStats struct {
	ejectedUntil time.Time
	failureRate  float64   // moving average, 0 to 1
	resultAt     time.Time // when failureRate was updated
	ejections    int       // since the last response
	inFlight     int
	load         gates.Load // as last reported
	loadAt       time.Time
	usedAt       time.Time // when the last call began
}

// NewBalancer returns a Balancer for a node in an availability zone.
func NewBalancer(self netip.AddrPort, zone string) *Balancer {
	return &Balancer{nodes: make(map[netip.AddrPort]*nodeStats), self: self, zone: zone}
}

// Choose returns the node to send a call to, or false if all were tried. It prefers
// nodes in the own availability zone, unless they are loaded and a node in another
// zone is clearly less so. If all untried nodes are ejected, it chooses one of them.
func (b *Balancer) Choose(now time.Time, nodes []member.Record, tried []netip.AddrPort) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sameZoneNode, sameZoneLoad, ok := b.pickNode(now, nodes, tried, true)
	if ok && sameZoneLoad < spillThreshold {
		return sameZoneNode, true
	}
	otherZoneNode, otherZoneLoad, otherZoneOK := b.pickNode(now, nodes, tried, false)
	if otherZoneOK && (!ok || otherZoneLoad < sameZoneLoad*spillFactor) {
		return otherZoneNode, true
	}
	if ok {
		return sameZoneNode, true
	}
	return b.anyUntried(nodes, tried)
}

// Begin records the start of a call to a node.
func (b *Balancer) Begin(now time.Time, node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.inFlight++
	s.usedAt = now
}

// End records the end of a call to a node. Begin must have been called for it.
func (b *Balancer) End(node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node(node).inFlight--
}

// Observe records the load that a node reported with a response, and resets its
// ejection count.
func (b *Balancer) Observe(now time.Time, node netip.AddrPort, load gates.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.ejections = 0
	s.load = load
	s.loadAt = now
}

// RecordResult records whether a call to a node failed at its upstream.
func (b *Balancer) RecordResult(now time.Time, node netip.AddrPort, failed bool) {
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
	s.resultAt = now
}

// recentFailureRate returns the failure rate of the recent calls to a node. If there
// were none, it returns unknownFailureRate and false. The receiver may be nil.
func (s *nodeStats) recentFailureRate(now time.Time) (rate float64, known bool) {
	if s == nil || s.resultAt.IsZero() || now.Sub(s.resultAt) >= maxFailureAge {
		return unknownFailureRate, false
	}
	return s.failureRate, true
}

// MayBeRateLimited reports whether the rate of requests to a node's upstream was limited
// when the node last reported its load, or whether it has not reported any lately.
func (b *Balancer) MayBeRateLimited(now time.Time, node netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.nodes[node]
	return s == nil || now.Sub(s.loadAt) >= maxLoadAge || s.load.RateLimited
}

// Eject excludes a node from the choice for a time that doubles with each ejection.
func (b *Balancer) Eject(now time.Time, node netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.node(node)
	s.ejectedUntil = now.Add(min(minEjection<<min(s.ejections, 10), maxEjection))
	s.ejections++
}

// Prune drops nodes without calls in flight that were not called for the time idle.
func (b *Balancer) Prune(now time.Time, idle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for node, s := range b.nodes {
		if s.inFlight == 0 && now.Sub(s.usedAt) >= idle {
			delete(b.nodes, node)
		}
	}
}

// minFailureRate returns the lowest failure rate among the nodes. Only failures
// above it count against a node: a failure that affects all of them, such as that of
// a service they call, is no reason to prefer one.
func (b *Balancer) minFailureRate(now time.Time, nodes []member.Record) float64 {
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

// pickNode returns the less loaded of two random nodes, and its load. It picks from
// the node's own availability zone if sameZone is set, else from all other zones. It
// returns false if no node there is eligible.
func (b *Balancer) pickNode(now time.Time, nodes []member.Record, tried []netip.AddrPort, sameZone bool) (node netip.AddrPort, load float64, ok bool) {
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

// anyUntried returns a random node that was not tried, ejected or not.
func (b *Balancer) anyUntried(nodes []member.Record, tried []netip.AddrPort) (netip.AddrPort, bool) {
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

// load returns a node's load: the fraction of its limit in use, plus a penalty if
// its failure rate exceeds lowestRate by more than failureTolerance.
func (b *Balancer) load(now time.Time, node netip.AddrPort, lowestRate float64) float64 {
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

// isEjected reports whether a node is excluded from the choice. After its ejection,
// a node gets only one call at a time until it responds.
func (b *Balancer) isEjected(now time.Time, node netip.AddrPort) bool {
	s := b.nodes[node]
	return s != nil && (now.Before(s.ejectedUntil) || s.ejections > 0 && s.inFlight > 0)
}

// node returns the statistics of a node, and creates them if there are none. The
// caller holds the lock.
func (b *Balancer) node(node netip.AddrPort) *nodeStats {
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
