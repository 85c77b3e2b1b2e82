package quota

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/claims"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// Lease decides whether a node may deal as the allocator of a shard.
//
// The holder deals while it knows that nobody took over within the last
// LeaseTime: by a read of the record in the platform's store, or, while the
// platform does not answer, by the promises of all candidates. A candidate
// takes over by a conditional write and deals only after LeaseTime has passed,
// when the earlier holder has stopped by its own clock; until the grants of
// that holder have ended too it holds back as many tokens as they may be. Its
// lock is a leaf.
type Lease struct {
	self netip.AddrPort

	mu        sync.Mutex
	allocator *Allocator
	byPeers   bool      // whether the confirmation came by promises
	confirmed time.Time // the holder knows that nobody took over before
	outageAt  time.Time // an earlier holder may have gone on without the platform
	peersAt   time.Time // of the last confirmation by promises
	promised  time.Time // a candidate does not deal before
	promiseAt time.Time // of the last promise in an outage
	waitUntil time.Time // a candidate does not try to take over before
	proposal  *proposal
	record    kinds.Allocator
	released  uint64    // the last term that the node gave up
	silent    int       // questions in a row that the holder did not answer
	state     *Handover // what the holder of an earlier term handed over
	version   uint64    // of the record
}

// proposal is a change of the candidates whose outcome is not known yet.
type proposal struct {
	candidates []netip.AddrPort
	expected   uint64
}

// NewLease returns the Lease of a node that starts. What an earlier process of
// the node may have promised still holds.
func NewLease(now time.Time, self netip.AddrPort) *Lease {
	return &Lease{self: self, promised: now.Add(LeaseTime), promiseAt: now, waitUntil: now.Add(LeaseTime)}
}

// Confirm takes in the record that was read from the platform's store, or that
// a write of the node set there, with its version. The call was sent at a time,
// and its answer came at another.
func (l *Lease) Confirm(sent, received time.Time, record *kinds.Allocator, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = *record
	l.version = version
	if l.proposal != nil && l.proposal.expected != version {
		l.proposal = nil
	}
	if record.Holder != l.self || record.Term <= l.released {
		l.allocator = nil
		return
	}
	if l.allocator == nil || l.allocator.Term() != record.Term {
		l.allocator = l.begin(received, record.Term)
	}
	if sent.After(l.confirmed) {
		l.confirmed = sent
		l.byPeers = false
	}
}

// Observe takes in a record that may be out of date. It can only end the
// node's dealing.
func (l *Lease) Observe(record *kinds.Allocator) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return
	}
	held := l.allocator.Term()
	if record.Term > held || (record.Term == held && record.Holder != l.self) {
		l.allocator = nil
	}
}

// Propose records that the node is about to write other candidates, on the
// condition that the record's version is still the expected one.
func (l *Lease) Propose(next []netip.AddrPort, expected uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposal = &proposal{candidates: next, expected: expected}
}

// Promisers returns the term held and the other nodes that could take over
// from it, even if a proposal of the node took effect without its knowledge.
func (l *Lease) Promisers() (uint64, []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return 0, nil
	}
	peers := slices.Clone(l.record.Candidates)
	if l.proposal != nil {
		peers = append(peers, l.proposal.candidates...)
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	peers = slices.Compact(peers)
	return l.allocator.Term(), slices.DeleteFunc(peers, func(p netip.AddrPort) bool { return p == l.self })
}

// ConfirmByPromises takes in that all other candidates of a term promised not
// to take over, in answer to requests sent at a time, during an outage of the
// platform or not.
func (l *Lease) ConfirmByPromises(sent time.Time, term uint64, outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator != nil && l.allocator.Term() == term && sent.After(l.confirmed) {
		l.confirmed = sent
		l.byPeers = outage
		if outage {
			l.peersAt = sent
		}
	}
}

// Promise promises the holder of a term not to deal for LeaseTime. It
// refuses if the node knows of a later term or is the holder itself. In an
// outage the holder goes on without the platform.
func (l *Lease) Promise(now time.Time, term uint64, known *kinds.Allocator, outage bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator != nil || known.Term != term || !slices.Contains(known.Candidates, l.self) {
		return false
	}
	l.promised = now.Add(LeaseTime)
	if outage {
		l.promiseAt = now
		l.waitUntil = l.promised
	}
	return true
}

// MayTakeOver reports whether a candidate may try to become the holder. It may
// while its promise lasts, unless that was made in an outage: it then deals only
// once the promise has ended.
func (l *Lease) MayTakeOver(now time.Time, known *kinds.Allocator) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.waitUntil) && slices.Contains(known.Candidates, l.self)
}

// CountSilent takes in whether the holder answered that it holds the
// allocator, and returns the number of times in a row that it did not.
func (l *Lease) CountSilent(answered bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		l.silent = 0
	} else {
		l.silent++
	}
	return l.silent
}

// Holds reports whether the node holds the allocator, whether or not it may
// deal.
func (l *Lease) Holds() bool {
	return l.Term() != 0
}

// Term returns the term that the node holds, or 0.
func (l *Lease) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return 0
	}
	return l.allocator.Term()
}

// Allocator returns the allocator if the node may deal.
func (l *Lease) Allocator(now time.Time) *Allocator {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || now.Sub(l.confirmed) >= LeaseTime {
		return nil
	}
	return l.allocator
}

// Release makes the node give up its term for good. It returns the state to
// hand over to the next holder, and the record with its version, or nil if the
// node does not hold the allocator.
func (l *Lease) Release(now time.Time) (*Handover, kinds.Allocator, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return nil, kinds.Allocator{}, 0
	}
	state := l.allocator.Export(now)
	state.Shard = l.record.Shard
	state.Zone = l.record.Zone
	if last := latest(l.outageAt, l.peersAt); !last.IsZero() {
		state.OutageAge = max(now.Sub(last), 1)
	}
	l.released = l.allocator.Term()
	l.allocator = nil
	return state, l.record, l.version
}

// Receive takes in the state that the holder of a term hands over. It counts
// if the node becomes the holder of the next term.
func (l *Lease) Receive(now time.Time, state *Handover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state.receivedAt = now
	l.state = state
}

// Standing tells how the node holds the shard, or false if it does not.
func (l *Lease) Standing(now time.Time) (claims.LeaseState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || now.Sub(l.confirmed) >= LeaseTime {
		return claims.LeaseState{}, false
	}
	return claims.LeaseState{ByPromises: l.byPeers, OutageAt: l.outageAt, Start: l.allocator.start, Term: l.allocator.term}, true
}

// begin returns the allocator of a term that the node begins. The holder of the
// last term has stopped if it handed over its state.
func (l *Lease) begin(received time.Time, term uint64) *Allocator {
	l.outageAt = time.Time{}
	if state := l.state; state != nil && state.Term+1 == term {
		if state.OutageAge > 0 {
			l.outageAt = state.receivedAt.Add(-state.OutageAge)
		}
		return NewAllocatorFrom(received, term, state)
	}
	if term > 1 {
		l.outageAt = l.promiseAt
	}
	return NewAllocator(term, l.startOf(received, term))
}

// startOf returns the time from which the node deals in a term.
func (l *Lease) startOf(received time.Time, term uint64) time.Time {
	if term == 1 {
		return received
	}
	if start := received.Add(LeaseTime); start.After(l.promised) {
		return start
	}
	return l.promised
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
