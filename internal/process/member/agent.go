package member

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

const (
	// isolatedAfter is the time without an answer to any ping after which the node
	// considers itself cut off from the other nodes.
	isolatedAfter = 1500 * time.Millisecond
	// newsDelay is how long a node collects records before it sends them on together.
	newsDelay    = 10 * time.Millisecond
	pingInterval = time.Second
	// pingTimeout limits the wait for an answer. At a peer that lately took longer, it is
	// slowFactor times that, and at most maxPingTimeout.
	pingTimeout    = 800 * time.Millisecond
	maxPingTimeout = 3 * time.Second
	slowFactor     = 3
	rejoinInterval = 5 * time.Second
	// syncAfter is the number of consecutive pings with differing digests after
	// which the tables are synced.
	syncAfter = 2
)

// maxDeltaBytes limits the size of the objects in one answer to a pull. The last
// object may exceed it.
const maxDeltaBytes = 256 << 10

// Mesh sends messages to other nodes and dispatches those received.
type Mesh interface {
	Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error
	Handle(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
	Reset(to netip.AddrPort)
	// RoundTrip returns how long a node lately took to answer, 0 if that is unknown.
	RoundTrip(to netip.AddrPort) time.Duration
	Send(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) error
}

// Shared is state that all nodes have in common and that no feed carries. A node that has
// started, was cut off or has missed a message takes over from its neighbours what it lacks.
type Shared interface {
	// Digest returns a hash of the state at the time now. It is not 0.
	Digest(now time.Time) uint64
	// Exchange exchanges the state with a node in both directions.
	Exchange(ctx context.Context, peer netip.AddrPort) error
	// Lacks reports whether the state may lack what a node has whose digest is the given
	// one, or the other way round.
	Lacks(now time.Time, digest uint64) bool
}

// Agent exchanges the membership table and the feeds of the platform's store with
// other nodes. Its lock is acquired before the locks of the table and the feeds.
type Agent struct {
	feeds  []*snaps.Holder
	log    zerolog.Logger
	mesh   Mesh
	shared Shared // nil for none
	table  *Table

	lagged        chan int      // receives the index of a feed that began to lag
	watchRequests chan struct{} // receives when the node is asked to watch
	wake          chan struct{} // receives when there is work for processPending

	mu          sync.Mutex
	watchHops   int                    // hops of the watch request in effect
	watchUntil  time.Time              // end of the watch request in effect
	delegatedAt time.Time              // when this node last asked others to watch
	aheadPeer   netip.AddrPort         // a peer with newer feeds to pull, if valid
	mismatches  map[netip.AddrPort]int // consecutive pings with differing digests
	answeredAt  time.Time              // of the last answer to a ping
	outbox      []Record               // records to send to the neighbours
	failedPings map[netip.AddrPort]int // consecutive failed pings
	lags        []lag                  // by feed
}

// lag says that nodes of other availability zones have a newer position of a feed than
// the node.
type lag struct {
	peer     netip.AddrPort // a node that is ahead
	position store.Position // the node's own
	pullAt   time.Time      // from when the node may pull from another zone
}

// NewAgent returns an Agent and registers its handlers on the mesh. The feeds must
// be the same, in the same order, on all nodes.
func NewAgent(mesh Mesh, table *Table, log zerolog.Logger, feeds ...*snaps.Holder) *Agent {
	a := &Agent{
		watchRequests: make(chan struct{}, 1),
		mismatches:    make(map[netip.AddrPort]int),
		feeds:         feeds,
		log:           log,
		mesh:          mesh,
		failedPings:   make(map[netip.AddrPort]int),
		lagged:        make(chan int, maxFeeds),
		lags:          make([]lag, len(feeds)),
		table:         table,
		wake:          make(chan struct{}, 1),
	}
	mesh.Handle(wire.KindNews, a.handleNews)
	mesh.Handle(wire.KindPing, a.handlePing)
	mesh.Handle(wire.KindPull, a.handlePull)
	mesh.Handle(wire.KindSync, a.handleSync)
	mesh.Handle(wire.KindWatch, a.handleWatch)
	return a
}

// Share makes the agent compare and exchange shared state with its neighbours. It must be
// called before the agent is used.
func (a *Agent) Share(shared Shared) {
	a.shared = shared
}

// Run pings the neighbours, expires failed nodes, forwards updates and pulls feeds until
// the context ends.
func (a *Agent) Run(ctx context.Context) {
	var workers conc.WaitGroup
	for name, loop := range map[string]func(context.Context){"lag of feeds": a.lagLoop, "news": a.pendingLoop, "pings": a.pingLoop} {
		workers.Go(func() { guard.Loop(ctx, a.log, name, loop) })
	}
	workers.Wait()
}

// pingLoop pings the neighbours and expires failed nodes at each pingInterval, and
// tries to rejoin a dead node at each rejoinInterval.
func (a *Agent) pingLoop(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastRejoin := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.pingNeighbours(ctx)
			a.QueueForNeighbours(a.table.Expire(now))
			if now.Sub(lastRejoin) >= rejoinInterval {
				lastRejoin = now
				a.rejoin(ctx, now)
			}
		}
	}
}

// pendingLoop runs processPending whenever enqueue has added work.
func (a *Agent) pendingLoop(ctx context.Context) {
	var senders conc.WaitGroup
	defer senders.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			if pause.For(ctx, newsDelay) != nil {
				return
			}
			a.processPending(ctx, &senders)
		}
	}
}

// Join exchanges the membership table and the feeds with a node.
func (a *Agent) Join(ctx context.Context, peer netip.AddrPort) error {
	if err := a.sync(ctx, peer); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.ping(ctx, peer))
}

// SendToNeighbours sends records to the nodes that pass them on, and returns when all
// of them are sent, or after pingTimeout. It logs the nodes that the records declare
// dead.
func (a *Agent) SendToNeighbours(ctx context.Context, records []Record) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		if r.Health == Dead {
			a.log.Info().Stringer("Peers", r.Peers).Str("Zone", r.Zone).Msg("node is dead")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var workers conc.WaitGroup
	self := a.table.Self()
	own := slices.ContainsFunc(records, func(r Record) bool { return r.Peers == self.Peers })
	for _, peer := range a.table.View().newsPeers(&self, own) {
		workers.Go(func() { _ = a.mesh.Send(ctx, peer, wire.KindNews, News{Records: records}) })
	}
	workers.Wait()
}

// QueueForNeighbours schedules records to be sent to the neighbours and returns at
// once.
func (a *Agent) QueueForNeighbours(records []Record) {
	if len(records) > 0 {
		a.enqueue(netip.AddrPort{}, records)
	}
}

// processPending sends the records of the outbox, and pulls the feeds from a peer
// that is ahead. If this brought changes, it announces them. It does not wait until
// records and announcements are sent, as peers that do not answer would delay the
// next pull.
func (a *Agent) processPending(ctx context.Context, senders *conc.WaitGroup) {
	a.mu.Lock()
	ahead, records := a.aheadPeer, a.outbox
	a.aheadPeer, a.outbox = netip.AddrPort{}, nil
	a.mu.Unlock()
	if len(records) > 0 {
		senders.Go(func() { a.SendToNeighbours(ctx, records) })
	}
	if !ahead.IsValid() {
		return
	}
	pullCtx, cancel := context.WithTimeout(ctx, a.pullTimeout(ahead))
	defer cancel()
	if a.pullAll(pullCtx, ahead) {
		senders.Go(func() { a.Announce(ctx) })
	}
}

// pullAll pulls all feeds from a peer and reports whether one of them changed.
func (a *Agent) pullAll(ctx context.Context, peer netip.AddrPort) bool {
	changed := false
	for i, feed := range a.feeds {
		before := feed.Snapshot().Position()
		if !a.sameZone(peer) && !a.lagsLong(time.Now(), i) {
			continue
		}
		if err := a.pull(ctx, peer, i); err != nil {
			a.log.Debug().Err(err).Stringer("Peer", peer).Int("Feed", i).Msg("pulling a feed from a peer failed")
		}
		changed = changed || before.Before(feed.Snapshot().Position())
	}
	return changed
}

// enqueue adds work for processPending: a peer to pull from, if ahead is valid,
// and records to send.
func (a *Agent) enqueue(ahead netip.AddrPort, records []Record) {
	a.mu.Lock()
	if ahead.IsValid() {
		a.aheadPeer = ahead
	}
	a.outbox = append(a.outbox, records...)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// pingNeighbours probes all neighbours at the same time and waits for the results.
func (a *Agent) pingNeighbours(ctx context.Context) {
	var workers conc.WaitGroup
	for _, peer := range a.table.View().Neighbours(a.table.Self().Peers) {
		workers.Go(func() { a.probe(ctx, peer) })
	}
	workers.Wait()
}

// probe pings a neighbour. If the ping fails, it closes the link, so that the next
// ping opens a new one. After two failures in a row it suspects the neighbour.
func (a *Agent) probe(ctx context.Context, peer netip.AddrPort) {
	if err := a.ping(ctx, peer); err == nil {
		a.countFailedPings(peer, 0)
		return
	}
	if ctx.Err() != nil {
		return
	}
	a.mesh.Reset(peer)
	if a.countFailedPings(peer, 1) < 2 {
		return
	}
	a.countFailedPings(peer, 0)
	if r, ok := a.table.Suspect(time.Now(), peer); ok {
		a.QueueForNeighbours([]Record{r})
	}
}

// countFailedPings adds to the number of consecutive failed pings of a peer and
// returns the sum. Adding 0 resets the number to 0.
func (a *Agent) countFailedPings(peer netip.AddrPort, add int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if add == 0 {
		delete(a.failedPings, peer)
		return 0
	}
	a.failedPings[peer] += add
	return a.failedPings[peer]
}

// answerTimeout returns how long to wait for an answer of a peer.
func (a *Agent) answerTimeout(peer netip.AddrPort) time.Duration {
	return max(pingTimeout, min(slowFactor*a.mesh.RoundTrip(peer), maxPingTimeout))
}

// pullTimeout returns how long the pulls of all feeds from a peer may take: two calls each.
func (a *Agent) pullTimeout(peer netip.AddrPort) time.Duration {
	return max(pingTimeout, min(time.Duration(2*len(a.feeds)*slowFactor)*a.mesh.RoundTrip(peer), maxPingTimeout))
}

// ping exchanges the states of the tables with a peer and takes over what the peer has and
// the node lacks. It returns an error if the peer does not answer the ping; a peer that
// answers is alive even if the rest takes too long.
func (a *Agent) ping(ctx context.Context, peer netip.AddrPort) error {
	pingCtx, cancel := context.WithTimeout(ctx, a.answerTimeout(peer))
	defer cancel()
	sent := time.Now()
	var answer Ping
	if err := a.mesh.Call(pingCtx, peer, wire.KindPing, a.newPing(sent), &answer); err != nil {
		return trace.Wrap(err)
	}
	a.mu.Lock()
	a.answeredAt = time.Now()
	a.mu.Unlock()
	pullCtx, cancelPulls := context.WithTimeout(ctx, a.pullTimeout(peer))
	defer cancelPulls()
	if err := a.takeOver(pullCtx, sent, peer, &answer); err != nil {
		a.log.Debug().Err(err).Stringer("Peer", peer).Msg("pulling a feed from a peer failed")
	}
	return nil
}

// takeOver pulls the feeds in which a peer is ahead by its answer to a ping, exchanges the
// shared state if that differs, and syncs the membership tables if they keep differing.
func (a *Agent) takeOver(ctx context.Context, sent time.Time, peer netip.AddrPort, answer *Ping) error {
	a.compareShared(ctx, peer, answer.Shared)
	a.compareDigests(ctx, peer, answer.Digest)
	for i, state := range answer.Feeds[:min(len(answer.Feeds), len(a.feeds))] {
		if a.mayPull(sent, peer, i, state.Position()) {
			if err := a.pull(ctx, peer, i); err != nil {
				return trace.Wrap(err)
			}
		}
		if state.Age >= 0 {
			a.feeds[i].MarkFresh(state.Position(), sent.Add(-state.Age))
		}
	}
	return nil
}

// Isolated reports whether no node has answered a ping within isolatedAfter. It is
// true until the first answer.
func (a *Agent) Isolated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.answeredAt) >= isolatedAfter
}

// compareShared exchanges the shared state with a peer whose digest differs. A digest of 0
// is that of a node without such state.
func (a *Agent) compareShared(ctx context.Context, peer netip.AddrPort, digest uint64) {
	if a.shared == nil || digest == 0 || !a.shared.Lacks(time.Now(), digest) {
		return
	}
	if err := a.shared.Exchange(ctx, peer); err != nil {
		a.log.Debug().Err(err).Stringer("Peer", peer).Msg("exchanging the shared state with a peer failed")
	}
}

// compareDigests syncs the membership table with a peer after syncAfter consecutive
// pings with differing digests. A single difference may be due to updates that are
// still on their way.
func (a *Agent) compareDigests(ctx context.Context, peer netip.AddrPort, digest uint64) {
	a.mu.Lock()
	if digest == a.table.Digest() {
		delete(a.mismatches, peer)
		a.mu.Unlock()
		return
	}
	a.mismatches[peer]++
	due := a.mismatches[peer] >= syncAfter
	if due {
		delete(a.mismatches, peer)
	}
	a.mu.Unlock()
	if due {
		_ = a.sync(ctx, peer)
	}
}

// sync exchanges with a peer, in both directions, the records of the buckets whose
// digests differ. It forwards what it learned to the neighbours unless that is
// more than digestBuckets records, as when a node joins.
func (a *Agent) sync(ctx context.Context, peer netip.AddrPort) error {
	var theirs SyncAnswer
	if err := a.mesh.Call(ctx, peer, wire.KindSync, Sync{Digests: a.table.Digests()}, &theirs); err != nil {
		return trace.Wrap(err)
	}
	ours := a.table.DifferingRecords(theirs.Digests)
	updates := a.table.Merge(time.Now(), theirs.Records)
	if len(ours) > 0 {
		if err := a.mesh.Send(ctx, peer, wire.KindNews, News{Records: ours}); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(updates) <= digestBuckets {
		a.SendToNeighbours(ctx, updates)
	}
	return nil
}

// pull fetches the changes of a feed from a peer until the peer has none that are
// newer. An answer that exceeds maxDeltaBytes ends with an older position, from which
// the next call continues.
func (a *Agent) pull(ctx context.Context, peer netip.AddrPort, feed int) error {
	for {
		held := a.feeds[feed].Snapshot().Position()
		var delta snaps.Delta
		if err := a.mesh.Call(ctx, peer, wire.KindPull, Pull{Era: held.Era, Feed: feed, From: held.Revision}, &delta); err != nil {
			return trace.Wrap(err)
		}
		if !a.feeds[feed].Apply(delta) {
			return nil
		}
	}
}

// rejoin tries to sync with one of the dead nodes, each of them in turn. This reunites
// the parts of the fleet after a network partition.
func (a *Agent) rejoin(ctx context.Context, now time.Time) {
	dead := a.table.Dead()
	if len(dead) == 0 {
		return
	}
	peer := dead[int(now.Unix()/int64(rejoinInterval/time.Second))%len(dead)]
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_ = a.sync(ctx, peer)
}

// newPing returns a Ping with the state of the node's tables.
func (a *Agent) newPing(now time.Time) Ping {
	p := Ping{Digest: a.table.Digest(), Feeds: make([]FeedState, len(a.feeds))}
	for i, feed := range a.feeds {
		held := feed.Snapshot().Position()
		p.Feeds[i] = FeedState{Age: -1, Era: held.Era, Revision: held.Revision}
		if age, ok := feed.Age(now); ok {
			p.Feeds[i].Age = age
		}
	}
	return p
}
