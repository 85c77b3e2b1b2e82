package quota

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// Run runs the lease loop until the context ends. Each round maintains the
// leases of all shards but those that an earlier round still maintains.
func (c *Client) Run(ctx context.Context) {
	defer c.workers.Wait()
	var shards conc.WaitGroup
	defer shards.Wait()
	lastRound := time.Now()
	for round := 1; ; round++ {
		if !c.awaitRound(ctx, lastRound) {
			return
		}
		now := time.Now()
		lastRound = now
		for shard, lease := range c.leases {
			if !c.busy[shard].CompareAndSwap(false, true) {
				continue
			}
			shards.Go(func() {
				defer c.busy[shard].Store(false)
				c.maintain(ctx, now, shard, lease)
			})
		}
		if round%pruneRounds == 0 {
			c.prune(now)
		}
	}
}

// awaitRound waits for the next round of the lease loop, given when the last
// one began. Rounds follow more quickly for a time after a handover is
// received. It returns false if the context ended.
func (c *Client) awaitRound(ctx context.Context, lastRound time.Time) bool {
	interval := leaseInterval
	if c.fastRounds.Load() > 0 {
		c.fastRounds.Add(-1)
		interval /= fastRoundDivisor
	}
	timer := time.NewTimer(time.Until(lastRound.Add(interval)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.wakeLoop:
	case <-timer.C:
	}
	return true
}

// prune removes the state of keys that have been unused for a long time.
func (c *Client) prune(now time.Time) {
	for _, lease := range c.leases {
		if a := lease.Allocator(now); a != nil {
			a.Prune(now, entryRetention)
		}
	}
	c.cache.Prune(now)
}

// HandOver hands the allocators that the node holds over to other nodes. While
// the platform does not answer, the node continues to grant tokens, because no
// other node could take over. HandOver returns early if the context ends while
// it waits for the platform.
func (c *Client) HandOver(ctx context.Context) {
	for shard, lease := range c.leases {
		for lease.Holds() && !c.platformAnswers(ctx, shard) {
			if pause.For(ctx, outagePollInterval) != nil {
				return
			}
		}
		next, ok := c.successor(shard)
		if !ok {
			continue
		}
		state, record, version := lease.Release(time.Now())
		if state == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		var answer promised
		_ = c.Mesh.Call(callCtx, next, wire.KindHandover, state, &answer)
		cancel()
		record.Holder = next
		record.Term++
		if !slices.Contains(record.Candidates, next) {
			record.Candidates = append(slices.Clone(record.Candidates), next)
		}
		c.writeHandover(ctx, shard, &record, version)
	}
}

// outagePollInterval is how often a leaving node checks whether the platform
// answers again.
const outagePollInterval = 300 * time.Millisecond

// platformAnswers reports whether the platform returns a shard's record within
// confirmTimeout.
func (c *Client) platformAnswers(ctx context.Context, shard int) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := c.Store.Get(ctx, kinds.AllocatorKey(c.Zone, shard))
	return err == nil
}

// successor returns the node to which a shard's allocator is handed over. It
// returns false if no other node of the availability zone could hold it.
func (c *Client) successor(shard int) (netip.AddrPort, bool) {
	for _, r := range c.rankNodes(shard) {
		if r.Peers != c.Self {
			return r.Peers, true
		}
	}
	return netip.AddrPort{}, false
}

// writeHandover writes the record with a shard's new holder to the platform.
func (c *Client) writeHandover(ctx context.Context, shard int, record *kinds.Allocator, version uint64) {
	value, err := kinds.Encode(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := c.Store.Put(ctx, kinds.AllocatorKey(c.Zone, shard), value, version); err == nil {
		c.Log.Info().Int("Shard", shard).Stringer("To", record.Holder).Msg("handed over the allocator")
	}
}

// handleHandover stores the state that a leaving holder sends, and speeds up
// the lease loop so that the node soon notices that it is the next holder.
func (c *Client) handleHandover(_ netip.AddrPort, body []byte) (any, error) {
	var state Handover
	if err := wire.Decode(body, &state); err != nil {
		return nil, trace.Wrap(err)
	}
	if state.Zone != c.Zone || state.Shard >= len(c.leases) {
		return nil, trace.NotFound("the shard is not here")
	}
	c.leases[state.Shard].ReceiveHandover(time.Now(), &state)
	c.fastRounds.Store(fastRoundCount)
	select {
	case c.wakeLoop <- struct{}{}:
	default:
	}
	return promised{OK: true}, nil
}

// maintain confirms, creates, takes over or gives up a shard's allocator,
// depending on the current record.
func (c *Client) maintain(ctx context.Context, now time.Time, shard int, lease *Lease) {
	record, known := c.Config.Snapshot().Allocator(c.Zone, shard)
	switch {
	case known && record.Holder == c.Self:
		c.confirm(ctx, shard, lease)
	case !known && c.mayCreate(now, shard):
		first := kinds.Allocator{Candidates: []netip.AddrPort{c.Self}, Holder: c.Self, Shard: shard, Term: 1, Zone: c.Zone}
		if !c.writeRecord(ctx, shard, lease, &first, 0) {
			c.createAfter[shard] = now.Add(createBackoff)
		}
	case known:
		lease.Observe(&record)
		if slices.Contains(record.Candidates, c.Self) {
			c.monitor(ctx, now, lease, &record)
		}
	}
}

// confirm checks with the other candidates, or else with the platform, that the
// node still holds the allocator. Reads from the platform are charged, while
// promises only cost messages within the availability zone. The platform is
// therefore asked only if the node has not begun its term yet, or if the
// candidates have to change, do not all promise or answer too slowly for that. If the platform does not
// answer, it suffices that all other candidates promise, even if the candidates
// have to change. So it does if the stored record cannot be read, which is then replaced.
func (c *Client) confirm(ctx context.Context, shard int, lease *Lease) {
	sent := time.Now()
	term, peers := lease.OtherCandidates()
	if term != 0 && !c.recordUnreadable(shard) && c.sameCandidates(shard, peers) && c.allFast(peers) && c.allPromise(ctx, promise{Shard: shard, Term: term, Zone: c.Zone}, peers) {
		lease.ConfirmByPromises(sent, term, false)
		return
	}
	sent = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	object, err := c.Store.Get(callCtx, kinds.AllocatorKey(c.Zone, shard))
	unreadable := false
	var current kinds.Allocator
	if err == nil {
		err = kinds.DecodeAllocator(object.Key, object.Value, &current)
		unreadable = err != nil
	}
	if err == nil {
		lease.Confirm(sent, time.Now(), &current, object.Version)
		if current.Holder == c.Self {
			c.updateCandidates(ctx, shard, lease, &current, object.Version)
		}
		return
	}
	sent = time.Now()
	if term, peers := lease.OtherCandidates(); term != 0 && c.allPromise(ctx, promise{Outage: true, Shard: shard, Term: term, Zone: c.Zone}, peers) {
		lease.ConfirmByPromises(sent, term, true)
		if unreadable {
			c.replaceRecord(ctx, shard, lease, term, object.Version)
		}
	}
}

// recordUnreadable reports whether the last version of a shard's record cannot be read. The
// record before it stays in force, but nodes that start do not know it.
func (c *Client) recordUnreadable(shard int) bool {
	object := c.Config.Object(kinds.AllocatorKey(c.Zone, shard))
	var record kinds.Allocator
	return object.Value != nil && kinds.DecodeAllocator(object.Key, object.Value, &record) != nil
}

// replaceRecord writes the record in force again in place of one that cannot be read and
// has the given version. All other candidates have promised that they have not taken over
// from the node's term.
func (c *Client) replaceRecord(ctx context.Context, shard int, lease *Lease, term, version uint64) {
	record, known := c.Config.Snapshot().Allocator(c.Zone, shard)
	if !known || record.Holder != c.Self || record.Term != term {
		return
	}
	if c.writeRecord(ctx, shard, lease, &record, version) {
		c.Log.Warn().Int("Shard", shard).Uint64("Term", term).Msg("replaced a record of the allocator that could not be read")
	}
}

// allFast reports whether all peers lately answered within confirmTimeout.
func (c *Client) allFast(peers []netip.AddrPort) bool {
	return !slices.ContainsFunc(peers, func(p netip.AddrPort) bool { return c.Mesh.RoundTrip(p) >= confirmTimeout })
}

// sameCandidates reports whether this node and the peers are exactly the nodes
// that should be candidates now.
func (c *Client) sameCandidates(shard int, peers []netip.AddrPort) bool {
	wanted := c.wantedCandidates(shard)
	return len(peers)+1 == len(wanted) && !slices.ContainsFunc(peers, func(p netip.AddrPort) bool { return !slices.Contains(wanted, p) })
}

// wantedCandidates returns the nodes that should be candidates now, sorted:
// this node and those that should be able to take over from it.
func (c *Client) wantedCandidates(shard int) []netip.AddrPort {
	wanted := []netip.AddrPort{c.Self}
	for _, r := range c.rankNodes(shard) {
		if r.Peers != c.Self && len(wanted) < maxCandidates {
			wanted = append(wanted, r.Peers)
		}
	}
	slices.SortFunc(wanted, netip.AddrPort.Compare)
	return wanted
}

// updateCandidates writes a record with the wanted candidates to the platform,
// if they have changed.
func (c *Client) updateCandidates(ctx context.Context, shard int, lease *Lease, record *kinds.Allocator, version uint64) {
	next := c.wantedCandidates(shard)
	if slices.Equal(next, record.Candidates) {
		return
	}
	changed := *record
	changed.Candidates = next
	c.writeRecord(ctx, shard, lease, &changed, version)
}

// monitor asks the holder of a shard's allocator whether it still holds it. The
// first candidate takes over after maxMissedAnswers questions in a row without
// a positive answer. Each further candidate waits for as many more, so that the
// candidates try one after another. A holder that lately took long to answer gets more
// time, as one that is slow goes on granting tokens.
func (c *Client) monitor(ctx context.Context, now time.Time, lease *Lease, record *kinds.Allocator) {
	callCtx, cancel := context.WithTimeout(ctx, max(leaseInterval, min(slowFactor*c.Mesh.RoundTrip(record.Holder), maxPatience)))
	defer cancel()
	var answer promised
	err := c.Mesh.Call(callCtx, record.Holder, wire.KindHolding, promise{Shard: record.Shard, Term: record.Term, Zone: record.Zone}, &answer)
	missed := lease.CountMissedAnswers(err == nil && answer.OK)
	if missed >= maxMissedAnswers*c.takeoverPosition(record) && lease.MayTakeOver(now, record) {
		c.takeOver(ctx, lease, record)
	}
}

// takeoverPosition returns the node's position among the candidates other than
// the holder, counted from 1.
func (c *Client) takeoverPosition(record *kinds.Allocator) int {
	position := 1
	for _, candidate := range record.Candidates {
		if candidate == c.Self {
			break
		}
		if candidate != record.Holder {
			position++
		}
	}
	return position
}

// takeOver tries to make this node the holder of the next term.
func (c *Client) takeOver(ctx context.Context, lease *Lease, record *kinds.Allocator) {
	next := *record
	next.Holder = c.Self
	next.Term++
	version := c.Config.Object(kinds.AllocatorKey(c.Zone, record.Shard)).Version
	if c.writeRecord(ctx, record.Shard, lease, &next, version) {
		c.Log.Info().Int("Shard", record.Shard).Uint64("Term", next.Term).Msg("took over the allocator")
	}
}

// writeRecord writes a shard's record on the condition that the version of the
// stored record is still the given one, 0 if there is no record. If the write
// succeeds, writeRecord applies the record to the lease and returns true.
func (c *Client) writeRecord(ctx context.Context, shard int, lease *Lease, record *kinds.Allocator, version uint64) bool {
	value, err := kinds.Encode(record)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sent := time.Now()
	lease.Propose(record.Candidates, version)
	written, err := c.Store.Put(ctx, kinds.AllocatorKey(c.Zone, shard), value, version)
	if err != nil {
		return false
	}
	lease.Confirm(sent, time.Now(), record, written)
	return true
}

// promise asks a candidate to promise the holder of a term not to grant tokens,
// or asks the holder whether it still holds the allocator.
type promise struct {
	// Outage says that the holder continues although the platform does not
	// answer.
	Outage bool `cbor:",omitempty"`
	Shard  int
	Term   uint64
	Zone   string
}

// Check implements wire.Checker.
func (p *promise) Check() error {
	if p.Shard < 0 || p.Zone == "" || p.Term == 0 {
		return trace.BadParameter("promise: want a zone, a shard and a term")
	}
	return nil
}

// promised is the answer to a promise or a Handover.
type promised struct {
	OK bool
}

// Check implements wire.Checker.
func (p *promised) Check() error {
	return nil
}

// allPromise reports whether all peers promise within confirmTimeout.
func (c *Client) allPromise(ctx context.Context, request promise, peers []netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	workers := pool.New().WithContext(ctx).WithCancelOnError()
	for _, peer := range peers {
		workers.Go(func(ctx context.Context) error {
			var answer promised
			if err := c.Mesh.Call(ctx, peer, wire.KindPromise, request, &answer); err != nil {
				return trace.Wrap(err)
			}
			if !answer.OK {
				return trace.AccessDenied("%v refused to promise", peer)
			}
			return nil
		})
	}
	return workers.Wait() == nil
}

// handleHolding answers whether this node holds the allocator in the given term
// or a later one.
func (c *Client) handleHolding(_ netip.AddrPort, body []byte) (any, error) {
	var p promise
	if err := wire.Decode(body, &p); err != nil {
		return nil, trace.Wrap(err)
	}
	holds := p.Zone == c.Zone && p.Shard < len(c.leases) && c.leases[p.Shard].Term() >= p.Term
	return promised{OK: holds}, nil
}

// handlePromise answers a holder's request for a promise.
func (c *Client) handlePromise(_ netip.AddrPort, body []byte) (any, error) {
	var p promise
	if err := wire.Decode(body, &p); err != nil {
		return nil, trace.Wrap(err)
	}
	record, known := c.Config.Snapshot().Allocator(p.Zone, p.Shard)
	if !known || p.Zone != c.Zone || p.Shard >= len(c.leases) {
		return promised{}, nil
	}
	return promised{OK: c.leases[p.Shard].Promise(time.Now(), p.Term, &record, p.Outage)}, nil
}

// rankNodes returns the nodes of the availability zone that are alive and not
// leaving, in an order that differs between shards.
func (c *Client) rankNodes(shard int) []member.Record {
	var records []member.Record
	for _, r := range c.Table.View().All() {
		if r.Zone == c.Zone && r.Health == member.Alive && r.Readiness != member.Draining && !r.Leaving {
			records = append(records, r)
		}
	}
	weight := func(r member.Record) uint64 {
		return xxhash.Sum64String(r.Peers.String() + "/" + string(rune('A'+shard)))
	}
	slices.SortFunc(records, func(a, b member.Record) int {
		if weight(a) < weight(b) {
			return -1
		}
		return 1
	})
	return records
}

// mayCreate reports whether this node should create the allocator of a shard now. The
// records must have been read, and createBackoff must have passed since the last
// attempt: while a fleet starts, several nodes consider themselves the first holder.
func (c *Client) mayCreate(now time.Time, shard int) bool {
	_, read := c.Config.Age(now)
	return read && !now.Before(c.createAfter[shard]) && c.isFirstHolder(shard)
}

// isFirstHolder reports whether this node should create the allocator of a
// shard that has none.
func (c *Client) isFirstHolder(shard int) bool {
	ranked := c.rankNodes(shard)
	return len(ranked) > 0 && ranked[0].Peers == c.Self
}
