package member

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// Times of the agent.
const (
	// isolatedAfter is how long no node answers until the node takes itself as
	// cut off from the others.
	isolatedAfter = 1500 * time.Millisecond
	joinInterval  = 2 * time.Second
	pingInterval  = time.Second
	pingTimeout   = 800 * time.Millisecond
	rejoinEvery   = 5 * time.Second
	syncAfter     = 2 // pings with differing digests
)

// deltaBytes bounds the objects in one answer to a pull.
const deltaBytes = 256 << 10

// Mesh carries messages between nodes.
type Mesh interface {
	Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error
	Handle(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
	Reset(to netip.AddrPort)
	Send(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) error
}

// Agent spreads the membership and the configuration among the nodes. Its
// lock is taken before the locks of the tables.
type Agent struct {
	feeds []*snaps.Holder
	log   zerolog.Logger
	mesh  Mesh
	table *Table

	asked chan struct{} // tells that the node was asked to watch
	wake  chan struct{}

	mu        sync.Mutex
	askedHops int            // how far the question to watch had come
	askedTill time.Time      // the node watches the platform for others
	delegated time.Time      // when others were asked last
	ahead     netip.AddrPort // a peer with a newer configuration
	differing map[netip.AddrPort]int
	heardAt   time.Time // of the last answer to a ping
	outbox    []Record  // news to pass on
	silent    map[netip.AddrPort]int
}

// NewAgent returns an Agent of the feeds of the platform's store that the nodes
// pass on, and sets its handlers on the mesh.
func NewAgent(mesh Mesh, table *Table, log zerolog.Logger, feeds ...*snaps.Holder) *Agent {
	a := &Agent{
		asked:     make(chan struct{}, 1),
		differing: make(map[netip.AddrPort]int),
		feeds:     feeds,
		log:       log,
		mesh:      mesh,
		silent:    make(map[netip.AddrPort]int),
		table:     table,
		wake:      make(chan struct{}, 1),
	}
	mesh.Handle(wire.KindNews, a.handleNews)
	mesh.Handle(wire.KindPing, a.handlePing)
	mesh.Handle(wire.KindPull, a.handlePull)
	mesh.Handle(wire.KindSync, a.handleSync)
	mesh.Handle(wire.KindWatch, a.handleWatch)
	return a
}

// Run pings neighbours and passes news on until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var workers conc.WaitGroup
	workers.Go(func() { a.pingLoop(ctx) })
	workers.Go(func() { a.passLoop(ctx) })
	workers.Wait()
}

func (a *Agent) pingLoop(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastRejoin := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.round(ctx)
			a.Queue(a.table.Expire(now))
			if now.Sub(lastRejoin) >= rejoinEvery {
				lastRejoin = now
				a.rejoin(ctx, now)
			}
		}
	}
}

func (a *Agent) passLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
			a.passOn(ctx)
		}
	}
}

// Join merges the tables with those of a node.
func (a *Agent) Join(ctx context.Context, peer netip.AddrPort) error {
	if err := a.sync(ctx, peer); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.ping(ctx, peer))
}

// Spread sends records to the neighbours and waits for it.
func (a *Agent) Spread(ctx context.Context, records []Record) {
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
	for _, peer := range a.table.View().Neighbours(a.table.Self().Peers) {
		workers.Go(func() { _ = a.mesh.Send(ctx, peer, wire.KindNews, News{Records: records}) })
	}
	workers.Wait()
}

// Queue has records sent to the neighbours without waiting for it.
func (a *Agent) Queue(records []Record) {
	if len(records) > 0 {
		a.later(netip.AddrPort{}, records)
	}
}

// passOn does what the handlers left to do.
func (a *Agent) passOn(ctx context.Context) {
	a.mu.Lock()
	ahead, news := a.ahead, a.outbox
	a.ahead, a.outbox = netip.AddrPort{}, nil
	a.mu.Unlock()
	a.Spread(ctx, news)
	if !ahead.IsValid() {
		return
	}
	pullCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if a.pullAll(pullCtx, ahead) {
		a.Announce(ctx)
	}
}

// pullAll pulls all feeds from a peer and reports whether one of them was behind.
func (a *Agent) pullAll(ctx context.Context, peer netip.AddrPort) bool {
	news := false
	for i, feed := range a.feeds {
		before := feed.Snapshot().Revision()
		if err := a.pull(ctx, peer, i); err != nil {
			a.log.Debug().Err(err).Stringer("Peer", peer).Int("Feed", i).Msg("peer did not hand over its newer state")
		}
		news = news || feed.Snapshot().Revision() > before
	}
	return news
}

// later notes work for passOn.
func (a *Agent) later(ahead netip.AddrPort, news []Record) {
	a.mu.Lock()
	if ahead.IsValid() {
		a.ahead = ahead
	}
	a.outbox = append(a.outbox, news...)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Agent) round(ctx context.Context) {
	var workers conc.WaitGroup
	for _, peer := range a.table.View().Neighbours(a.table.Self().Peers) {
		workers.Go(func() { a.probe(ctx, peer) })
	}
	workers.Wait()
}

// probe pings a neighbour. A link that stays silent is replaced once before
// the neighbour is suspected.
func (a *Agent) probe(ctx context.Context, peer netip.AddrPort) {
	if err := a.ping(ctx, peer); err == nil {
		a.countSilent(peer, 0)
		return
	}
	if ctx.Err() != nil {
		return
	}
	a.mesh.Reset(peer)
	if a.countSilent(peer, 1) < 2 {
		return
	}
	a.countSilent(peer, 0)
	if r, ok := a.table.Suspect(time.Now(), peer); ok {
		a.Queue([]Record{r})
	}
}

// countSilent adds to the number of pings in a row without an answer and
// returns it; 0 resets it.
func (a *Agent) countSilent(peer netip.AddrPort, add int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if add == 0 {
		delete(a.silent, peer)
		return 0
	}
	a.silent[peer] += add
	return a.silent[peer]
}

func (a *Agent) ping(ctx context.Context, peer netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	sent := time.Now()
	var answer Ping
	if err := a.mesh.Call(ctx, peer, wire.KindPing, a.state(sent), &answer); err != nil {
		return trace.Wrap(err)
	}
	a.mu.Lock()
	a.heardAt = time.Now()
	a.mu.Unlock()
	a.compareDigests(ctx, peer, answer.Digest)
	for i, state := range answer.Feeds[:min(len(answer.Feeds), len(a.feeds))] {
		if state.Revision > a.feeds[i].Snapshot().Revision() {
			if err := a.pull(ctx, peer, i); err != nil {
				return trace.Wrap(err)
			}
		}
		if state.Age >= 0 {
			a.feeds[i].MarkFresh(state.Revision, sent.Add(-state.Age))
		}
	}
	return nil
}

// Isolated reports whether no node has answered for some pings.
func (a *Agent) Isolated(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.heardAt) >= isolatedAfter
}

func (a *Agent) compareDigests(ctx context.Context, peer netip.AddrPort, digest uint64) {
	a.mu.Lock()
	if digest == a.table.Digest() {
		delete(a.differing, peer)
		a.mu.Unlock()
		return
	}
	a.differing[peer]++
	due := a.differing[peer] >= syncAfter
	if due {
		delete(a.differing, peer)
	}
	a.mu.Unlock()
	if due {
		_ = a.sync(ctx, peer)
	}
}

// sync exchanges the records of the parts that differ, both ways.
func (a *Agent) sync(ctx context.Context, peer netip.AddrPort) error {
	var theirs SyncAnswer
	if err := a.mesh.Call(ctx, peer, wire.KindSync, Sync{Digests: a.table.Digests()}, &theirs); err != nil {
		return trace.Wrap(err)
	}
	mine := a.table.Differing(theirs.Digests)
	news := a.table.Merge(time.Now(), theirs.Records)
	if len(mine) > 0 {
		if err := a.mesh.Send(ctx, peer, wire.KindNews, News{Records: mine}); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(news) <= buckets {
		a.Spread(ctx, news)
	}
	return nil
}

// pull fetches the changes of a feed that a peer has.
func (a *Agent) pull(ctx context.Context, peer netip.AddrPort, feed int) error {
	for {
		from := a.feeds[feed].Snapshot().Revision()
		var delta snaps.Delta
		if err := a.mesh.Call(ctx, peer, wire.KindPull, Pull{Feed: feed, From: from}, &delta); err != nil {
			return trace.Wrap(err)
		}
		if !a.feeds[feed].Apply(delta) {
			return nil
		}
	}
}

// rejoin tries one node that is thought dead, so that parts of the fleet that
// were cut from each other meet again.
func (a *Agent) rejoin(ctx context.Context, now time.Time) {
	dead := a.table.Dead()
	if len(dead) == 0 {
		return
	}
	peer := dead[int(now.Unix()/int64(rejoinEvery/time.Second))%len(dead)]
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_ = a.sync(ctx, peer)
}

func (a *Agent) state(now time.Time) Ping {
	p := Ping{Digest: a.table.Digest(), Feeds: make([]FeedState, len(a.feeds))}
	for i, feed := range a.feeds {
		p.Feeds[i] = FeedState{Age: -1, Revision: feed.Snapshot().Revision()}
		if age, ok := feed.Age(now); ok {
			p.Feeds[i].Age = age
		}
	}
	return p
}

func (a *Agent) handlePing(from netip.AddrPort, body []byte) (any, error) {
	var ping Ping
	if err := wire.Decode(body, &ping); err != nil {
		return nil, trace.Wrap(err)
	}
	for i, state := range ping.Feeds[:min(len(ping.Feeds), len(a.feeds))] {
		if state.Revision > a.feeds[i].Snapshot().Revision() {
			a.later(from, nil)
		}
	}
	return a.state(time.Now()), nil
}

func (a *Agent) handleNews(_ netip.AddrPort, body []byte) (any, error) {
	var news News
	if err := wire.Decode(body, &news); err != nil {
		return nil, trace.Wrap(err)
	}
	a.Queue(a.table.Merge(time.Now(), news.Records))
	return nil, nil
}

func (a *Agent) handlePull(_ netip.AddrPort, body []byte) (any, error) {
	var pull Pull
	if err := wire.Decode(body, &pull); err != nil {
		return nil, trace.Wrap(err)
	}
	if pull.Feed >= len(a.feeds) {
		return nil, trace.NotFound("the feed %d is not followed here", pull.Feed)
	}
	return a.feeds[pull.Feed].Since(pull.From, deltaBytes), nil
}

func (a *Agent) handleSync(_ netip.AddrPort, body []byte) (any, error) {
	var sync Sync
	if err := wire.Decode(body, &sync); err != nil {
		return nil, trace.Wrap(err)
	}
	return SyncAnswer{Digests: a.table.Digests(), Records: a.table.Differing(sync.Digests)}, nil
}
