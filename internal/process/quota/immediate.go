package quota

import (
	"net/netip"
	"slices"
	"time"
)

// immediateGrant is a number of immediate tokens granted by one answer.
type immediateGrant struct {
	expires time.Time
	seq     uint64 // NowSeq of the Ask
	settled bool   // no longer counted as unused
	tokens  int
}

// immediateGrants are the immediate tokens granted from a bucket that may still
// be used.
type immediateGrants struct {
	byNode map[netip.AddrPort][]*immediateGrant // in the order granted, until the node settles them
	order  []*immediateGrant                    // in the order granted, until they expire
	sum    int                                  // tokens of the grants that are not settled
}

func newImmediateGrants() immediateGrants {
	return immediateGrants{byNode: make(map[netip.AddrPort][]*immediateGrant)}
}

// add records tokens that were granted to a node.
func (gs *immediateGrants) add(node netip.AddrPort, g immediateGrant) {
	gs.byNode[node] = append(gs.byNode[node], &g)
	gs.order = append(gs.order, &g)
	gs.sum += g.tokens
}

// settle records that a node has used or discarded the tokens of its Asks with
// a sequence number lower than below.
func (gs *immediateGrants) settle(node netip.AddrPort, below uint64) {
	pending, ok := gs.byNode[node]
	if !ok {
		return
	}
	remaining := slices.DeleteFunc(pending, func(g *immediateGrant) bool {
		done := g.settled || g.seq < below
		gs.end(g, done)
		return done
	})
	if len(remaining) == 0 {
		delete(gs.byNode, node)
		return
	}
	gs.byNode[node] = remaining
}

// unused returns the number of tokens that may still be used.
func (gs *immediateGrants) unused(now time.Time) int {
	for len(gs.order) > 0 && !now.Before(gs.order[0].expires) {
		gs.end(gs.order[0], true)
		gs.order = gs.order[1:]
	}
	return gs.sum
}

// nextExpiry returns when the first of the grants expires, or the given time if there are
// none.
func (gs *immediateGrants) nextExpiry(none time.Time) time.Time {
	if len(gs.order) == 0 {
		return none
	}
	return gs.order[0].expires
}

// end marks a grant as settled if done is true, so that its tokens no longer
// count as unused. It has no effect on a grant that is settled already.
func (gs *immediateGrants) end(g *immediateGrant, done bool) {
	if done && !g.settled {
		g.settled = true
		gs.sum -= g.tokens
	}
}
