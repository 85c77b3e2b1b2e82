package quota

import (
	"net/netip"
	"time"
)

// A successor must know that nodes may use loans of the earlier holder, and hold back the
// whole rate until these have ended. A holder therefore lends only while all other
// candidates lately told that they would. Those of earlier builds never do.
//
// The holder answers their questions with a loan stamp, a reading of its own clock, when
// nodes ask for loans. A candidate that receives one holds back the rate if it takes over
// within reserveTime, and returns the stamp with its next question.
const (
	// loanAckTTL is how long after a stamp that a candidate returned a holder lends.
	loanAckTTL = 3 * time.Second
	// loanInterest is how long a holder gives out stamps after a node asked for a loan.
	loanInterest = 5 * time.Second
	// loanStopTime is how long a holder lends nothing after StopLoans.
	loanStopTime = time.Second
	// reserveTime is longer than the loans last that a holder grants because of a stamp,
	// to allow for clock drift between nodes.
	reserveTime = (loanAckTTL + GrantTTL) * 10 / 9
)

// loanLease is the part of a Lease that is about loans.
type loanLease struct {
	acks         map[netip.AddrPort]time.Time // last stamp that a candidate returned
	epoch        time.Time                    // start of the node, from which stamps count
	heard        uint64                       // last stamp from the holder of heardTerm, 0 for none
	heardTerm    uint64
	reserveUntil time.Time // if the node takes over before, it holds back the rate
	stoppedUntil time.Time // the holder lends nothing before
}

// newLoanLease returns the loanLease of a node that starts. It assumes that an earlier
// process of the node received a stamp just before.
func newLoanLease(now time.Time) loanLease {
	return loanLease{acks: make(map[netip.AddrPort]time.Time), epoch: now, reserveUntil: now.Add(reserveTime)}
}

// LoanStamp returns the stamp for a candidate that asks the holder of a term. It returns 0 if
// the node is not that holder or no loans are wanted.
func (l *Lease) LoanStamp(now time.Time, term uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil || l.allocator.Term() != term || now.Before(l.loans.stoppedUntil) || !l.allocator.loansWantedAfter(now.Add(-loanInterest)) {
		return 0
	}
	return uint64(l.loans.epoch.UnixNano()) + uint64(now.Sub(l.loans.epoch))
}

// AckLoans records the stamp that a candidate returned to the holder of a term. It ignores
// stamps of an earlier process of the node.
func (l *Lease) AckLoans(now time.Time, from netip.AddrPort, term, stamp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := uint64(l.loans.epoch.UnixNano())
	if l.allocator == nil || l.allocator.Term() != term || stamp < first {
		return
	}
	at := l.loans.epoch.Add(time.Duration(stamp - first))
	if at.After(now) || !at.After(l.loans.acks[from]) {
		return
	}
	l.loans.acks[from] = at
	l.updateLending(now)
}

// HearLoans records the stamp that the holder of a term answered, 0 for none.
func (l *Lease) HearLoans(now time.Time, term, stamp uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loans.heard, l.loans.heardTerm = stamp, term
	if stamp != 0 {
		l.loans.reserveUntil = now.Add(reserveTime)
	}
}

// HeardStamp returns the stamp to return to the holder of a term, 0 for none.
func (l *Lease) HeardStamp(term uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loans.heardTerm != term {
		return 0
	}
	return l.loans.heard
}

// StopLoans makes the holder lend nothing for loanStopTime, and returns when its loans and
// those of earlier holders have ended.
func (l *Lease) StopLoans(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allocator == nil {
		return time.Time{}
	}
	l.loans.stoppedUntil = now.Add(loanStopTime)
	return l.allocator.lendUntil(time.Time{})
}

// updateLending lets the holder lend while all other candidates hold back the rate if they
// take over. The caller holds the lock.
func (l *Lease) updateLending(now time.Time) {
	if l.allocator == nil {
		return
	}
	var until time.Time
	if !now.Before(l.loans.stoppedUntil) {
		for i, peer := range l.otherCandidates() {
			if last := l.loans.acks[peer].Add(loanAckTTL); i == 0 || last.Before(until) {
				until = last
			}
		}
	}
	l.allocator.lendUntil(until)
}

// reserve makes the allocator of a term that begins hold back the rate while nodes may use
// loans of an earlier holder.
func (l *Lease) reserve(a *Allocator) {
	if until := earlier(a.start.Add(GrantTTL), l.loans.reserveUntil); until.After(a.start) {
		a.reserveUntil = until
	}
}

// loansWantedAfter reports whether a node asked for a loan after the given time.
func (a *Allocator) loansWantedAfter(at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.loansWanted.After(at)
}

// lendUntil makes the allocator lend until the given time, and returns when its loans and
// those of earlier holders have ended.
func (a *Allocator) lendUntil(until time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lendsUntil = until
	return later(a.loansEnd, a.reserveUntil)
}

// answerLoan answers an Ask to borrow a part of the rate of a bucket. The caller holds the
// lock.
func (a *Allocator) answerLoan(now time.Time, b *bucket, node netip.AddrPort, ask *Ask) float64 {
	if ask.BorrowSeq == 0 || b.limit.lendable(ask.Trip) <= 0 {
		return 0
	}
	a.loansWanted = now
	rate := b.lend(now, node, ask, now.Before(a.lendsUntil))
	if rate > 0 {
		a.loansEnd = now.Add(GrantTTL)
	}
	return rate
}
