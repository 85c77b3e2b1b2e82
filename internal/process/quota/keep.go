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

// Run keeps the leases until the context ends.
func (c *Client) Run(ctx context.Context) {
	defer c.workers.Wait()
	now := time.Now()
	for round := 1; ; round++ {
		if !c.awaitRound(ctx, now) {
			return
		}
		now = time.Now()
		var shards conc.WaitGroup
		for shard, lease := range c.leases {
			shards.Go(func() { c.keep(ctx, now, shard, lease) })
		}
		shards.Wait()
		if round%pruneEvery == 0 {
			c.prune(now)
		}
	}
}

// awaitRound waits for the next round of the lease loop after one that began at a
// time. It is sooner after a handover. It reports false if the context ended.
func (c *Client) awaitRound(ctx context.Context, begun time.Time) bool {
	interval := leaseInterval
	if c.quickly.Load() > 0 {
		c.quickly.Add(-1)
		interval /= quickRounds
	}
	timer := time.NewTimer(time.Until(begun.Add(interval)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c.hurry:
	case <-timer.C:
	}
	return true
}

// prune forgets what was not used for long.
func (c *Client) prune(now time.Time) {
	for _, lease := range c.leases {
		if a := lease.Allocator(now); a != nil {
			a.Prune(now, forgetAccount)
		}
	}
	c.cache.Prune(now)
}

// Leave hands the allocators that the node holds to other nodes. While the
// platform does not answer it goes on dealing, as nobody could take over.
func (c *Client) Leave(ctx context.Context) {
	for shard, lease := range c.leases {
		for lease.Holds() && !c.platformAnswers(ctx, shard) {
			if pause.For(ctx, leaveInterval) != nil {
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
		callCtx, cancel := context.WithTimeout(ctx, writeTime)
		var answer promised
		_ = c.Mesh.Call(callCtx, next, wire.KindHandover, state, &answer)
		cancel()
		record.Holder = next
		record.Term++
		if !slices.Contains(record.Candidates, next) {
			record.Candidates = append(slices.Clone(record.Candidates), next)
		}
		c.handOver(ctx, shard, &record, version)
	}
}

// leaveInterval is how often a node that leaves asks whether the platform
// answers.
const leaveInterval = 300 * time.Millisecond

// platformAnswers reports whether the platform answers in time.
func (c *Client) platformAnswers(ctx context.Context, shard int) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	_, err := c.Store.Get(ctx, kinds.AllocatorKey(c.Zone, shard))
	return err == nil
}

// successor returns the node to hand a shard's allocator to.
func (c *Client) successor(shard int) (netip.AddrPort, bool) {
	for _, r := range c.rank(shard) {
		if r.Peers != c.Self {
			return r.Peers, true
		}
	}
	return netip.AddrPort{}, false
}

func (c *Client) handOver(ctx context.Context, shard int, record *kinds.Allocator, version uint64) {
	value, err := kinds.Encode(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	if _, err := c.Store.Put(ctx, kinds.AllocatorKey(c.Zone, shard), value, version); err == nil {
		c.Log.Info().Int("Shard", shard).Stringer("To", record.Holder).Msg("handed over the allocator")
	}
}

func (c *Client) handleHandover(_ netip.AddrPort, body []byte) (any, error) {
	var state Handover
	if err := wire.Decode(body, &state); err != nil {
		return nil, trace.Wrap(err)
	}
	if state.Zone != c.Zone || state.Shard >= len(c.leases) {
		return nil, trace.NotFound("the shard is not here")
	}
	c.leases[state.Shard].Receive(time.Now(), &state)
	c.quickly.Store(quickTime)
	select {
	case c.hurry <- struct{}{}:
	default:
	}
	return promised{OK: true}, nil
}

// keep confirms, takes over or gives up a shard's allocator.
func (c *Client) keep(ctx context.Context, now time.Time, shard int, lease *Lease) {
	record, known := c.Config.Snapshot().Allocator(c.Zone, shard)
	switch {
	case known && record.Holder == c.Self:
		c.confirm(ctx, shard, lease)
	case !known && c.first(shard):
		first := kinds.Allocator{Candidates: []netip.AddrPort{c.Self}, Holder: c.Self, Shard: shard, Term: 1, Zone: c.Zone}
		c.write(ctx, shard, lease, &first, 0)
	case known:
		lease.Observe(&record)
		if slices.Contains(record.Candidates, c.Self) {
			c.guard(ctx, now, lease, &record)
		}
	}
}

// confirm learns from the other candidates, or else from the platform, that the
// node still holds the allocator. Promises cost messages within the
// availability zone, and reads are priced, so the platform is only asked where
// promises do not do.
func (c *Client) confirm(ctx context.Context, shard int, lease *Lease) {
	sent := time.Now()
	term, peers := lease.Promisers()
	if term != 0 && c.sameCandidates(shard, peers) && c.allPromise(ctx, promise{Shard: shard, Term: term, Zone: c.Zone}, peers) {
		lease.ConfirmByPromises(sent, term, false)
		return
	}
	sent = time.Now()
	callCtx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	object, err := c.Store.Get(callCtx, kinds.AllocatorKey(c.Zone, shard))
	var current kinds.Allocator
	if err == nil {
		err = kinds.Decode(object.Value, &current)
	}
	if err == nil {
		lease.Confirm(sent, time.Now(), &current, object.Version)
		if current.Holder == c.Self {
			c.updateCandidates(ctx, shard, lease, &current, object.Version)
		}
		return
	}
	sent = time.Now()
	if term, peers := lease.Promisers(); term != 0 && c.allPromise(ctx, promise{Outage: true, Shard: shard, Term: term, Zone: c.Zone}, peers) {
		lease.ConfirmByPromises(sent, term, true)
	}
}

// sameCandidates reports whether the nodes that promise are still those that
// should be candidates.
func (c *Client) sameCandidates(shard int, peers []netip.AddrPort) bool {
	wanted := c.wantedCandidates(shard)
	return len(peers)+1 == len(wanted) && !slices.ContainsFunc(peers, func(p netip.AddrPort) bool { return !slices.Contains(wanted, p) })
}

// wantedCandidates returns the node and those that should be able to take over
// from it, sorted.
func (c *Client) wantedCandidates(shard int) []netip.AddrPort {
	wanted := []netip.AddrPort{c.Self}
	for _, r := range c.rank(shard) {
		if r.Peers != c.Self && len(wanted) < candidates {
			wanted = append(wanted, r.Peers)
		}
	}
	slices.SortFunc(wanted, netip.AddrPort.Compare)
	return wanted
}

// updateCandidates records the nodes that may take over, if they changed.
func (c *Client) updateCandidates(ctx context.Context, shard int, lease *Lease, record *kinds.Allocator, version uint64) {
	next := c.wantedCandidates(shard)
	if slices.Equal(next, record.Candidates) {
		return
	}
	changed := *record
	changed.Candidates = next
	c.write(ctx, shard, lease, &changed, version)
}

// guard asks the holder of a shard whether it holds it still, and takes over
// if it did not say so several times in a row. The candidates do so one after
// the other.
func (c *Client) guard(ctx context.Context, now time.Time, lease *Lease, record *kinds.Allocator) {
	callCtx, cancel := context.WithTimeout(ctx, leaseInterval)
	defer cancel()
	var answer promised
	err := c.Mesh.Call(callCtx, record.Holder, wire.KindHolding, promise{Shard: record.Shard, Term: record.Term, Zone: record.Zone}, &answer)
	silent := lease.CountSilent(err == nil && answer.OK)
	if silent >= silentMost*c.turn(record) && lease.MayTakeOver(now, record) {
		c.takeOver(ctx, lease, record)
	}
}

// turn returns the node's place among the candidates other than the holder,
// from 1.
func (c *Client) turn(record *kinds.Allocator) int {
	turn := 1
	for _, candidate := range record.Candidates {
		if candidate == c.Self {
			break
		}
		if candidate != record.Holder {
			turn++
		}
	}
	return turn
}

func (c *Client) takeOver(ctx context.Context, lease *Lease, record *kinds.Allocator) {
	next := *record
	next.Holder = c.Self
	next.Term++
	version := c.Config.Object(kinds.AllocatorKey(c.Zone, record.Shard)).Version
	if c.write(ctx, record.Shard, lease, &next, version) {
		c.Log.Info().Int("Shard", record.Shard).Uint64("Term", next.Term).Msg("took over the allocator")
	}
}

func (c *Client) write(ctx context.Context, shard int, lease *Lease, record *kinds.Allocator, version uint64) bool {
	value, err := kinds.Encode(record)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTime)
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

// promise asks a candidate not to take over from the holder of a term, or the
// holder whether it holds it.
type promise struct {
	// Outage tells that the holder goes on although the platform does not
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

// promised answers a promise or a question.
type promised struct {
	OK bool
}

// Check implements wire.Checker.
func (p *promised) Check() error {
	return nil
}

// allPromise reports whether all of the nodes promise.
func (c *Client) allPromise(ctx context.Context, request promise, peers []netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	workers := pool.New().WithContext(ctx).WithCancelOnError()
	for _, peer := range peers {
		workers.Go(func(ctx context.Context) error {
			var answer promised
			if err := c.Mesh.Call(ctx, peer, wire.KindPromise, request, &answer); err != nil {
				return trace.Wrap(err)
			}
			if !answer.OK {
				return trace.AccessDenied("%v does not promise", peer)
			}
			return nil
		})
	}
	return workers.Wait() == nil
}

func (c *Client) handleHolding(_ netip.AddrPort, body []byte) (any, error) {
	var p promise
	if err := wire.Decode(body, &p); err != nil {
		return nil, trace.Wrap(err)
	}
	holds := p.Zone == c.Zone && p.Shard < len(c.leases) && c.leases[p.Shard].Term() >= p.Term
	return promised{OK: holds}, nil
}

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

// rank returns the living nodes of the availability zone in an order that
// differs from shard to shard.
func (c *Client) rank(shard int) []member.Record {
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

// first reports whether the node is the one to hold a new allocator.
func (c *Client) first(shard int) bool {
	rank := c.rank(shard)
	return len(rank) > 0 && rank[0].Peers == c.Self
}
