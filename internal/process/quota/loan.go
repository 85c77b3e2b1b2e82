package quota

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// minLoan is the smallest rate that a node may borrow, in tokens per second.
const minLoan = 0.1

// loan is a part of a bucket's rate that a node may use without asking. The node adds
// tokens at that rate to a bucket of its own, which holds at most one.
type loan struct {
	expires time.Time
	node    netip.AddrPort
	rate    float64 // in tokens per second
	seq     uint64  // BorrowSeq of the Ask
}

// borrower is a node that lately asked for loans. It uses one of those that it got, but
// the allocator may not know which, and counts the highest.
type borrower struct {
	loans  []*loan // in the order of the Asks, with a rate of 0 where nothing was lent
	rate   float64 // highest of the loans
	wanted float64 // rate that the node asked for last
}

// loans are the loans from a bucket that nodes may still use, and the recent Asks for
// others.
type loans struct {
	borrowers map[netip.AddrPort]*borrower
	order     []*loan // by expiry
	rate      float64 // sum over the borrowers
	users     int     // borrowers with a rate
	wanted    float64 // sum over the borrowers
}

// add records a loan. Its expiry must not be before that of an earlier one.
func (ls *loans) add(l *loan, wanted float64) {
	if ls.borrowers == nil {
		ls.borrowers = make(map[netip.AddrPort]*borrower)
	}
	b := ls.borrowers[l.node]
	if b == nil {
		b = &borrower{}
		ls.borrowers[l.node] = b
	}
	b.loans = append(b.loans, l)
	ls.order = append(ls.order, l)
	ls.wanted += wanted - b.wanted
	b.wanted = wanted
	ls.recount(l.node, b)
}

// confirm records that a node uses the loan with a sequence number, and none with a
// lower one any more.
func (ls *loans) confirm(node netip.AddrPort, seq uint64) {
	b := ls.borrowers[node]
	if b == nil {
		return
	}
	b.loans = slices.DeleteFunc(b.loans, func(l *loan) bool { return l.seq < seq })
	ls.recount(node, b)
}

// expire removes the loans that have expired.
func (ls *loans) expire(now time.Time) {
	for len(ls.order) > 0 && !now.Before(ls.order[0].expires) {
		expired := ls.order[0]
		ls.order = ls.order[1:]
		if b := ls.borrowers[expired.node]; b != nil {
			b.loans = slices.DeleteFunc(b.loans, func(l *loan) bool { return l == expired })
			ls.recount(expired.node, b)
		}
	}
}

// recount updates the sums after a change of a borrower's loans, and removes a borrower
// that has none.
func (ls *loans) recount(node netip.AddrPort, b *borrower) {
	rate := 0.0
	for _, l := range b.loans {
		rate = math.Max(rate, l.rate)
	}
	ls.rate += rate - b.rate
	if b.rate > 0 {
		ls.users--
	}
	if rate > 0 {
		ls.users++
	}
	b.rate = rate
	if len(b.loans) > 0 {
		return
	}
	ls.wanted -= b.wanted
	delete(ls.borrowers, node)
	if len(ls.borrowers) == 0 {
		ls.rate, ls.wanted = 0, 0 // without rounding errors
	}
}

// unused returns the number of tokens that borrowers may have: one each.
func (ls *loans) unused(now time.Time) int {
	ls.expire(now)
	return ls.users
}

// nextExpiry returns when the first of the loans expires, or the given time if there are
// none.
func (ls *loans) nextExpiry(none time.Time) time.Time {
	if len(ls.order) == 0 {
		return none
	}
	return ls.order[0].expires
}

// lendable returns the part of the rate that nodes may borrow if answers take a time. It
// is what immediate tokens cannot carry: those count towards maxHeldFraction of the burst
// until their use is confirmed, which takes as long as an answer.
func (l Limit) lendable(trip time.Duration) float64 {
	if trip <= 0 {
		return 0
	}
	return l.Rate - l.Burst*maxHeldFraction/trip.Seconds()
}

// lend lends a part of the rate to a node and returns it, 0 for none. Where nodes want
// more than is lendable, each gets a share in proportion. It lends nothing for an Ask that
// arrives after a later one, and only counts what is wanted unless allowed is true.
func (b *bucket) lend(now time.Time, node netip.AddrPort, ask *Ask, allowed bool) float64 {
	own := b.loans.borrowers[node]
	if own == nil {
		own = &borrower{}
	}
	if slices.ContainsFunc(own.loans, func(l *loan) bool { return l.seq >= ask.BorrowSeq }) {
		return 0
	}
	lendable := b.limit.lendable(ask.Trip)
	share := math.Min(1, lendable/(b.loans.wanted-own.wanted+ask.Rate))
	rate := math.Min(ask.Rate*share, lendable-(b.loans.rate-own.rate))
	if !allowed || !(rate >= minLoan) || own.rate == 0 && !b.hasRoomToLend(now) {
		rate = 0
	}
	b.loans.add(&loan{expires: now.Add(GrantTTL), node: node, rate: rate, seq: ask.BorrowSeq}, ask.Rate)
	return rate
}

// hasRoomToLend reports whether the token that a further borrower may have fits into the
// burst, of which borrowers get no more than may not be held.
func (b *bucket) hasRoomToLend(now time.Time) bool {
	return b.unused(now) < int(b.limit.Burst) && float64(b.loans.users) < b.limit.Burst*(1-maxHeldFraction)
}
