package quota

import (
	"maps"
	"net/netip"
	"time"

	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// A successor must know that nodes may use loans of the earlier holder, and hold back the
// whole rate until these have ended. A holder therefore lends only while the record in the
// store says so. As a candidate takes over by a write on the condition that the record has not
// changed, it knows, even if it has just started. Candidates of earlier builds ignore that
// part of the record: those of this one tell that they read it in their questions to the
// holder, which lends only while all did so lately.
const (
	// loanAckTTL is how long after such a question of a candidate a holder lends.
	loanAckTTL = 3 * time.Second
	// loanInterest is how long the record says that the holder lends after a node asked for
	// a loan.
	loanInterest = 5 * time.Second
	// loanStopTime is how long a holder lends nothing after StopLoans.
	loanStopTime = time.Second
	// lendsMemory is how long a candidate remembers that the record said that the holder
	// lends. A store that is restored from an older copy may have forgotten it.
	lendsMemory = (loanAckTTL + GrantTTL) * 10 / 9
)

// loanLease is the part of a Lease that is about loans.
type loanLease struct {
	acks         map[netip.AddrPort]time.Time // last question of a candidate that reads Lends
	lentUntil    time.Time                    // end of lendsMemory
	stoppedUntil time.Time                    // the holder lends nothing before
}

// AckLoans records a question of a candidate that reads in the record that the holder lends.
func (l *Lease) AckLoans(now time.Time, from netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.loans.acks, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= loanAckTTL })
	l.loans.acks[from] = now
	l.updateLending(now)
}

// WantsLoans reports whether the node is the holder and lately was asked for loans.
func (l *Lease) WantsLoans(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator != nil && l.allocator.loansWantedAfter(now.Add(-loanInterest))
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

// MayBeLent reports whether nodes may use loans of a holder, according to a record or to
// those seen lately.
func (l *Lease) MayBeLent(now time.Time, record *kinds.Allocator) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mayBeLent(now, record)
}

// mayBeLent is MayBeLent for callers that hold the lock.
func (l *Lease) mayBeLent(now time.Time, record *kinds.Allocator) bool {
	return record.Lends || now.Before(l.loans.lentUntil)
}

// updateLending lets the holder lend while the record says so, is not about to change, and
// all other candidates lately told that they read it. The caller holds the lock.
func (l *Lease) updateLending(now time.Time) {
	if l.allocator == nil {
		return
	}
	var until time.Time
	if l.record.Lends && l.proposal == nil && !now.Before(l.loans.stoppedUntil) {
		for i, peer := range l.otherCandidates() {
			if last := l.loans.acks[peer].Add(loanAckTTL); i == 0 || last.Before(until) {
				until = last
			}
		}
	}
	l.allocator.lendUntil(until)
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

// hasLoans reports whether nodes may use loans of a lease's allocator or of an earlier
// holder, and makes the allocator lend no more.
func (c *Client) hasLoans(lease *Lease) bool {
	now := time.Now()
	return now.Before(lease.StopLoans(now))
}

// lendsAsRecorded reports whether a shard's record says that the holder lends just while
// nodes want that.
func (c *Client) lendsAsRecorded(shard int, lease *Lease) bool {
	record, known := c.Config.Snapshot().Allocator(c.Zone, shard)
	return known && record.Lends == lease.WantsLoans(time.Now())
}
