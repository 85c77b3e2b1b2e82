package quota

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/claims"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// Lease decides whether a node may grant tokens as the allocator of a shard.
//
// The holder grants tokens only if, at some time within the last LeaseDuration,
// it knew that no other node had taken over: from a read of the record in the
// platform's store, or from the promises of all other candidates.
//
// A candidate takes over by a conditional write of the record. It grants tokens
// only after another LeaseDuration, when the earlier holder has stopped by its
// own clock. Until the grants of that holder have expired too, it holds back as
// many tokens as they may contain.
//
// No lock but the allocator's is acquired while the lock of a Lease is held.
type Lease struct {
	self netip.AddrPort

	mu                sync.Mutex
	allocator         *Allocator // nil if the node is not the holder
	confirmedInOutage bool       // the last confirmation was by promises in an outage
	confirmed         time.Time  // no other node had taken over at this time
	outageAt          time.Time  // last time an earlier holder may have continued without the platform; zero for never
	outageConfirmed   time.Time  // last confirmation by promises in an outage
	promisedUntil     time.Time  // the node promised to grant no tokens before this time
	outagePromised    time.Time  // last promise in an outage
	takeoverAfter     time.Time  // the node does not try to take over before this time
	proposal          *proposal
	record            kinds.Allocator
	releasedTerm      uint64    // last term that the node gave up
	missedAnswers     int       // questions in a row without a positive answer of the holder
	handover          *Handover // state from the holder of an earlier term
	version           uint64    // of the record
}

// proposal is a change of the candidates whose outcome is not known yet.
type proposal struct {
	candidates []netip.AddrPort
	expected   uint64 // version of the record before the change
}

// NewLease returns the Lease of a node that starts. It assumes that an earlier
// process of the node made a promise in an outage just before, as promises are
// not stored.
func NewLease(now time.Time, self netip.AddrPort) *Lease {
	return &Lease{self: self, promisedUntil: now.Add(LeaseDuration), outagePromised: now, takeoverAfter: now.Add(LeaseDuration)}
}

// Confirm applies a record that the node read from the platform's store or
// wrote to it, and the version of the record. The call was sent at the time
// sent, and its answer arrived at the time received.
func (l *Lease) Confirm(sent, received time.Time, record *kinds.Allocator, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = *record
	l.version = version
	if l.proposal != nil && l.proposal.expected != version {
		l.proposal = nil
	}
	if record.Holder != l.self || record.Term <= l.releasedTerm {
		l.allocator = nil
		return
	}
	if l.allocator == nil || l.allocator.Term() != record.Term {
		l.allocator = l.startTerm(received, record.Term)
	}
	if sent.After(l.confirmed) {
		l.confirmed = sent
		l.confirmedInOutage = false
	}
}

// Observe applies a record that may be out of date. It can only end the node's
// term: if the record has a later term, or another holder of the same term.
func (l *Lease) Observe(record *kinds.Allocator) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return
	}
	term := l.allocator.Term()
	if record.Term > term || (record.Term == term && record.Holder != l.self) {
		l.allocator = nil
	}
}

// Propose records that the node is about to write a record with these
// candidates, on the condition that the version of the stored record is still
// the expected one.
func (l *Lease) Propose(candidates []netip.AddrPort, expected uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposal = &proposal{candidates: candidates, expected: expected}
}

// OtherCandidates returns the term that the node holds, and all other nodes
// that could take over. They include the candidates of a proposal that may have
// taken effect without the node's knowledge. It returns 0 and nil if the node
// is not the holder.
func (l *Lease) OtherCandidates() (uint64, []netip.AddrPort) {
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

// ConfirmByPromises records that all other candidates of a term promised not to
// grant tokens, in answer to requests sent at the time sent. The parameter
// outage tells whether the holder continues without the platform.
func (l *Lease) ConfirmByPromises(sent time.Time, term uint64, outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator != nil && l.allocator.Term() == term && sent.After(l.confirmed) {
		l.confirmed = sent
		l.confirmedInOutage = outage
		if outage {
			l.outageConfirmed = sent
		}
	}
}

// Promise promises the holder of a term that this node grants no tokens for
// LeaseDuration. It returns false, without a promise, if the node is the
// holder, knows another term or is not a candidate. The parameter outage tells
// whether the holder continues without the platform; if so, the node does not
// try to take over either while the promise lasts.
func (l *Lease) Promise(now time.Time, term uint64, known *kinds.Allocator, outage bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator != nil || known.Term != term || !slices.Contains(known.Candidates, l.self) {
		return false
	}
	l.promisedUntil = now.Add(LeaseDuration)
	if outage {
		l.outagePromised = now
		l.takeoverAfter = l.promisedUntil
	}
	return true
}

// MayTakeOver reports whether the node is a candidate that may try to become
// the holder. It may not while a promise lasts that it made in an outage. While
// any other promise lasts it may, but it grants no tokens until the promise has
// ended.
func (l *Lease) MayTakeOver(now time.Time, known *kinds.Allocator) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.takeoverAfter) && slices.Contains(known.Candidates, l.self)
}

// CountMissedAnswers records whether the holder answered that it holds the
// allocator. It returns the number of times in a row that the holder did not.
func (l *Lease) CountMissedAnswers(answered bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		l.missedAnswers = 0
	} else {
		l.missedAnswers++
	}
	return l.missedAnswers
}

// Holds reports whether the node holds the allocator, even if it may not grant
// tokens at the moment.
func (l *Lease) Holds() bool {
	return l.Term() != 0
}

// Term returns the term that the node holds, or 0 if it is not the holder.
func (l *Lease) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return 0
	}
	return l.allocator.Term()
}

// Allocator returns the allocator, or nil if the node is not the holder or has
// had no confirmation within LeaseDuration.
func (l *Lease) Allocator(now time.Time) *Allocator {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || now.Sub(l.confirmed) >= LeaseDuration {
		return nil
	}
	return l.allocator
}

// Release permanently gives up the node's term. It returns the state to hand
// over to the next holder, and the record with its version. The state is nil if
// the node does not hold the allocator.
func (l *Lease) Release(now time.Time) (*Handover, kinds.Allocator, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return nil, kinds.Allocator{}, 0
	}
	state := l.allocator.Export(now)
	state.Shard = l.record.Shard
	state.Zone = l.record.Zone
	if last := later(l.outageAt, l.outageConfirmed); !last.IsZero() {
		state.OutageAge = max(now.Sub(last), 1)
	}
	l.releasedTerm = l.allocator.Term()
	l.allocator = nil
	return state, l.record, l.version
}

// ReceiveHandover stores the state that the holder of a term hands over. It is
// used only if the node becomes the holder of the next term.
func (l *Lease) ReceiveHandover(now time.Time, state *Handover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state.receivedAt = now
	l.handover = state
}

// State describes how the node holds the allocator. It returns false if the
// node is not the holder or has had no confirmation within LeaseDuration.
func (l *Lease) State(now time.Time) (claims.LeaseState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || now.Sub(l.confirmed) >= LeaseDuration {
		return claims.LeaseState{}, false
	}
	return claims.LeaseState{ByPromises: l.confirmedInOutage, OutageAt: l.outageAt, Start: l.allocator.start, Term: l.allocator.term}, true
}

// startTerm returns the allocator of a term that begins. If the holder of the
// previous term handed over its state, it has stopped granting tokens, so the
// allocator starts at once.
func (l *Lease) startTerm(received time.Time, term uint64) *Allocator {
	l.outageAt = time.Time{}
	if state := l.handover; state != nil && state.Term+1 == term {
		if state.OutageAge > 0 {
			l.outageAt = state.receivedAt.Add(-state.OutageAge)
		}
		return NewAllocatorFromHandover(received, term, state)
	}
	if term > 1 {
		l.outageAt = l.outagePromised
	}
	return NewAllocator(term, l.startTime(received, term))
}

// startTime returns the time from which the node grants tokens in a term that
// begins without a handover: LeaseDuration after the record was received, or
// when the node's promise ends if that is later. The first term starts at once.
func (l *Lease) startTime(received time.Time, term uint64) time.Time {
	if term == 1 {
		return received
	}
	if start := received.Add(LeaseDuration); start.After(l.promisedUntil) {
		return start
	}
	return l.promisedUntil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
