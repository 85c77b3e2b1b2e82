package links

import (
	"net/netip"
	"sync"
	"time"
)

// roundTripWeight is the weight of a new time in the next estimate.
const roundTripWeight = 1.0 / 8

// lateAnswerTime is how long an answer is awaited for its time after the call has ended.
const lateAnswerTime = 5 * time.Second

// roundTrips are estimates of how long other nodes take to answer: one for each, and one
// for all of them together, because a node that is slow itself, or whose links all are,
// would otherwise find that out peer by peer. A longer time replaces the estimate for a
// peer at once, and shorter ones lower it step by step. No other lock is acquired while its
// lock is held.
type roundTrips struct {
	mu     sync.Mutex
	all    time.Duration
	byPeer map[netip.AddrPort]time.Duration
}

func newRoundTrips() *roundTrips {
	return &roundTrips{byPeer: make(map[netip.AddrPort]time.Duration)}
}

// record takes the time of one answer of a peer.
func (t *roundTrips) record(peer netip.AddrPort, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = smooth(t.all, took)
	t.byPeer[peer] = max(smooth(t.byPeer[peer], took), took)
}

// smooth returns the estimate that follows another one and a new time.
func smooth(estimate, took time.Duration) time.Duration {
	return estimate + time.Duration(float64(took-estimate)*roundTripWeight)
}

// of returns the estimate for a peer, or that for all if that is longer. It is 0 if both
// are unknown.
func (t *roundTrips) of(peer netip.AddrPort) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.byPeer[peer], t.all)
}
