// Package node assembles a node from its parts: it opens the listeners, runs the
// background loops, follows the platform's store and stops gracefully.
package node

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/conn/links"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/claims"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/guard"
	"github.com/wasabibend/wasabibend/internal/process/logs"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/spans"
	"github.com/wasabibend/wasabibend/internal/process/stats"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/request/relay"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

const (
	drainPoll = 20 * time.Millisecond
	// lastNewsTimeout limits how long a node that has drained waits for neighbours that do
	// not take its last messages, and for the store, as it is killed when the grace time is
	// over.
	lastNewsTimeout = 300 * time.Millisecond
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	// probePoll is the interval of the checks whether the upstream can be probed,
	// and of the probes.
	probePoll     = 100 * time.Millisecond
	pruneInterval = time.Minute
	reapInterval  = time.Second
	// retryBoundsInterval is how often this node's share of the fleet's retries is
	// recomputed.
	retryBoundsInterval = time.Second
	// spansFlushTimeout limits the writing of the last spans after the node has
	// stopped.
	spansFlushTimeout = time.Second
	// upstreamPoll is how often the node checks whether the upstream's announcement
	// has expired.
	upstreamPoll = 300 * time.Millisecond
)

// upstreamLameDuckShare is the share of the lame-duck time during which a stopping
// node still sends calls to the upstream beside it.
const upstreamLameDuckShare = 0.92

// estimateTime is for how long a stopping node accepts requests that end in time if they take
// no longer than others of their route lately took. The platform's rules allow that a stop cuts
// requests that were sent by then, and none that was sent later.
const estimateTime = 3 * time.Second

// Node is one process of the fleet, which runs beside an upstream.
type Node struct {
	agent       *member.Agent
	evacuations evacuations
	background  conc.WaitGroup // running announcements and joins
	cancel      context.CancelFunc
	checkNeeded chan struct{} // receives when a start of the upstream needs a health check
	claims      *claims.Client
	config      *snaps.Holder
	conns       *conns.Tracker // callers' connections
	catalog     *snaps.Holder  // nil if the table is the configuration
	crashes     *crash.Agent
	ctx         context.Context // canceled when the node stops
	dialect     relay.Dialect   // nil for the native dialect
	feeds       []feed
	leaving     atomic.Bool
	// loggedCatalog is the version of the catalog's object whose problems were logged last.
	loggedCatalog atomic.Uint64
	gate          *gates.Gate
	log           zerolog.Logger
	mesh          *links.Mesh
	offers        *offers
	requestLog    *relay.RequestLog
	pool          *pool.Pool
	quota         *quota.Client
	relay         *relay.Relay
	reloaded      atomic.Pointer[reloadState]
	saver         *crash.Saver
	settings      atomic.Pointer[setup.Settings]
	flushSpans    func(context.Context) error
	stats         *stats.Stats
	store         *store.Counted
	// startWaitOver is true once the node no longer waits for what it must know at its start.
	startWaitOver atomic.Bool
	// storeFailed is true if the last call to the platform's store failed.
	storeFailed atomic.Bool
	table       *member.Table
	upstream    *upstream
	// upstreamCold is true if the upstream was last logged as cold.
	upstreamCold atomic.Bool
	version      string
	zones        *snaps.Holder // which availability zones are evacuated; nil if they cannot be

	catalogDecoder     snaps.CatalogDecoder
	catalogKey         string
	catalogPrefix      string
	evacuationsPrefix  string
	probe              Probe // nil to wait for the upstream's announcement
	readyPath          string
	secretStored       bool                     // the secret is kept in the platform's store, not in the settings
	newUpstreamHandler func(*Node) http.Handler // nil for the native one
}

// Option configures a Node in New.
type Option func(*Node)

// WithCatalog makes the node take its configuration from a catalog instead of the
// table. The catalog is the value of one key in the platform's store; the node
// follows the keys with the given prefix.
func WithCatalog(prefix, key string, decode snaps.CatalogDecoder) Option {
	return func(n *Node) {
		n.catalogDecoder = decode
		n.catalogKey = key
		n.catalogPrefix = prefix
	}
}

// WithEvacuations makes the node follow which availability zones are evacuated. A zone is
// while the platform's store has an object whose key is the given prefix and its name.
func WithEvacuations(prefix string) Option {
	return func(n *Node) { n.evacuationsPrefix = prefix }
}

// WithDialect sets the HTTP dialect that the node uses with callers and with the
// upstream, instead of the native one.
func WithDialect(dialect relay.Dialect) Option {
	return func(n *Node) { n.dialect = dialect }
}

// WithProbe makes a starting node probe the upstream beside it at the health path
// of its service, instead of waiting for the upstream's announcement. Unless this is the
// first start of the fleet, each start of the upstream must pass such a probe before it
// gets requests.
func WithProbe(probe Probe) Option {
	return func(n *Node) { n.probe = probe }
}

// WithReadyPath sets a second path, besides admin.PathReady, at which the node
// reports whether it is ready.
func WithReadyPath(path string) Option {
	return func(n *Node) { n.readyPath = path }
}

// WithUpstreamHandler sets the constructor of the handler for the upstream's
// listener, at which the upstream announces and deregisters itself.
func WithUpstreamHandler(handler func(*Node) http.Handler) Option {
	return func(n *Node) { n.newUpstreamHandler = handler }
}

// New returns a Node that keeps its persistent state in the platform's store. The
// caller must call Run, which releases the node's resources. New fails if the file
// for spans cannot be opened or the limit of descriptors cannot be read.
func New(settings *setup.Settings, version string, log zerolog.Logger, platform store.Store, options ...Option) (*Node, error) {
	now := time.Now()
	tracer, flushSpans, err := spans.Tracer(settings.Spans)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	descriptors, err := conns.Descriptors()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		conns:       conns.NewTracker(descriptors, idleTimeout),
		cancel:      cancel,
		checkNeeded: make(chan struct{}, 1),
		ctx:         ctx,
		gate:        gates.NewGate(gates.NewGradient()),
		log:         log,
		offers:      newOffers(),
		pool:        pool.New(pool.WithLog(log), pool.WithSource(settings.Source)),
		flushSpans:  flushSpans,
		stats:       stats.New(),
		store:       store.NewCounted(platform),
		table:       member.NewTable(now, member.Record{Peers: settings.Peers, Readiness: member.Absent, Zone: settings.Zone}),
		version:     version,
	}
	n.mesh = links.NewMesh(ctx, settings.Peers, settings.Secret, links.WithLog(log), links.WithSource(settings.Source),
		links.WithRefused(func(peer netip.AddrPort) { n.linkRefused(time.Now(), peer) }))
	n.config = snaps.NewHolder(snaps.WithRestored(n.storeRestored), snaps.WithRejected(n.logRejection), snaps.WithChanged(func() { n.applyCrashes(time.Now()) }))
	n.settings.Store(settings)
	n.reloaded.Store(&reloadState{at: now})
	n.secretStored = !settings.Secret.Known()
	for _, option := range options {
		option(n)
	}
	n.feeds = []feed{{holder: n.config, prefix: kinds.Root, wait: pollWait, watchers: watchersPerZone}}
	if n.catalogDecoder != nil {
		n.catalog = snaps.NewHolder(snaps.WithCatalog(n.catalogKey, n.catalogDecoder), snaps.WithRejected(n.logRejection), snaps.WithChanged(func() { n.catalogChanged(time.Now()) }))
		n.feeds = append(n.feeds, feed{checked: true, holder: n.catalog, prefix: n.catalogPrefix, wait: pollWait, watchers: watchersPerZone})
	}
	if n.evacuationsPrefix != "" {
		n.zones = snaps.NewHolder(snaps.WithEvacuations(n.evacuationsPrefix), snaps.WithChanged(func() { n.applyEvacuations(time.Now()) }))
		n.feeds = append(n.feeds, feed{firstStartDelay: evacuationsDelay, holder: n.zones, prefix: n.evacuationsPrefix, wait: evacuationsPollWait, watchers: watchersPerZone})
	}
	n.gate.SetClosed(!n.knowsStart())
	holders := make([]*snaps.Holder, len(n.feeds))
	for i, f := range n.feeds {
		holders[i] = f.holder
	}
	n.upstream = newUpstream(n.gate, settings.Expiry, n.coldStart)
	n.upstream.checked = n.checksUpstream() && !settings.FirstStart
	n.agent = member.NewAgent(n.mesh, n.table, log, holders...)
	n.saver = crash.NewSaver(settings.Zone, n.store, n.storedCrashes, log)
	n.crashes = crash.NewAgent(n.mesh, n.table, log, crash.WithSaver(n.saver))
	n.agent.Share(n.crashes)
	n.quota = quota.NewClient(now, quota.Options{
		Config: n.config,
		Limits: n.limitOf,
		Log:    log,
		Mesh:   n.mesh,
		Self:   settings.Peers,
		Shards: settings.Shards,
		Store:  n.store,
		Table:  n.table,
		Zone:   settings.Zone,
		Zones:  settings.Zones,
	})
	n.claims = claims.NewClient(claims.Options{
		Config:     n.config,
		Mesh:       n.mesh,
		Self:       settings.Peers,
		Shards:     settings.Shards,
		LeaseState: n.quota.LeaseState,
		Log:        log,
		Store:      n.store,
		Zone:       settings.Zone,
		Zones:      settings.Zones,
	})
	n.requestLog = relay.NewRequestLog(log)
	n.relay = relay.New(relay.Options{
		Admitter:   n.quota,
		Background: ctx,
		Catalog:    n.catalog,
		Claimer:    n.claims,
		Config:     n.config,
		Conns:      n.conns,
		Crashes:    n.crashes,
		Dialect:    n.dialect,
		FirstByte:  settings.FirstByte,
		Gate:       n.gate,
		Idle:       settings.Idle,
		InFlight:   settings.InFlight,
		Local:      n.upstream,
		Log:        n.requestLog,
		Pool:       n.pool,
		Regions:    settings.Regions,
		Secret:     settings.Secret,
		Self:       settings.Peers,
		Service:    settings.Service,
		Stats:      n.stats,
		Table:      n.table,
		Tracer:     tracer,
		Zone:       settings.Zone,
		Zones:      n.zones,
	})
	return n, nil
}

// Ready reports whether the node accepts requests: it has a configuration and is not
// leaving. With a catalog it must have the secret of the fleet, too.
func (n *Node) Ready() bool {
	if n.leaving.Load() {
		return false
	}
	if n.catalog != nil {
		return n.catalog.Snapshot().CatalogVersion() > 0 && n.settings.Load().Secret.Known()
	}
	return n.config.Snapshot().Revision() > 0
}

// Settings returns the settings in force, which must not be modified.
func (n *Node) Settings() *setup.Settings {
	return n.settings.Load()
}

// Run serves until the context stop is done, then drains the node and stops all its
// goroutines. It returns an error if a listener cannot be opened or if the last
// spans cannot be written.
func (n *Node) Run(stop context.Context) error {
	defer n.cancel()
	servers, err := n.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	var workers conc.WaitGroup
	for _, s := range servers {
		workers.Go(s.serve)
	}
	for name, loop := range map[string]func(context.Context){
		"announcements of the upstream": n.monitorUpstream,
		"connections of callers":        n.reapConns,
		"connections to nodes":          n.pool.Run,
		"crashes":                       n.crashes.Run,
		"crashes in the store":          n.saver.Run,
		"evacuations":                   n.openGate,
		"feeds":                         n.followAll,
		"gate":                          n.gate.Run,
		"log":                           n.reportDroppedLines,
		"membership":                    n.agent.Run,
		"offers of the secret":          n.offerSecrets,
		"probe of the upstream":         n.probeUpstream,
		"rates":                         n.quota.Run,
		"retries":                       n.updateRetryBounds,
		"seeds":                         n.maintainSeeds,
		"statistics":                    n.prune,
	} {
		workers.Go(func() { guard.Loop(n.ctx, n.log, name, loop) })
	}
	n.log.Info().Stringer("Callers", n.settings.Load().Callers).Stringer("Peers", n.settings.Load().Peers).Msg("node is serving")
	<-stop.Done()
	n.drain(n.ctx, servers)
	n.cancel()
	for _, s := range servers {
		_ = s.http.Close()
	}
	workers.Wait()
	n.relay.Wait()
	n.pool.Wait()
	n.background.Wait()
	n.claims.Wait()
	n.mesh.Wait()
	n.log.Info().RawJSON("ClosedConns", []byte(n.conns.Closed().String())).Msg("node stopped")
	flushCtx, flushCancel := context.WithTimeout(context.Background(), spansFlushTimeout)
	defer flushCancel()
	return trace.Wrap(n.flushSpans(flushCtx))
}

// spawn runs a function in the background. Run waits for it at its end.
func (n *Node) spawn(name string, f func()) {
	n.background.Go(func() { guard.Run(n.log, name, f) })
}

// drain stops serving without interrupting requests, within the drain time of the
// settings. First the node keeps serving for the lame-duck time, while callers and
// other nodes learn that it is leaving; near its end it marks the upstream beside
// it as draining and sends it no new requests. All the while it refuses requests that
// would probably not end within the drain time, and after estimateTime all whose time
// limit does not. Then it refuses new requests of callers and waits for those in flight,
// which include the calls that the upstream makes to serve them. Meanwhile it hands its
// allocators over to other nodes. At the end it tells its neighbours that it is dead.
func (n *Node) drain(ctx context.Context, servers []*server) {
	n.log.Info().Dur("Within", n.settings.Load().Drain).Msg("node is draining")
	began := time.Now()
	drainCtx, cancel := context.WithDeadline(ctx, began.Add(n.settings.Load().Drain))
	defer cancel()
	n.leaving.Store(true)
	if end, ok := drainCtx.Deadline(); ok {
		n.relay.FinishBy(end, began.Add(estimateTime))
	}
	n.relay.DisableKeepAlives()
	n.agent.SendToNeighbours(ctx, []member.Record{n.table.SetSelfLeaving(time.Now())})
	var handover conc.WaitGroup
	defer handover.Wait()
	handover.Go(func() { n.quota.HandOver(drainCtx) })
	lameDuck := n.settings.Load().LameDuck
	upstreamLameDuck := time.Duration(upstreamLameDuckShare * float64(lameDuck))
	sleep(drainCtx, upstreamLameDuck)
	n.relay.CloseGate()
	if r, changed := n.table.SetSelf(time.Now(), n.table.Self().Service, member.Draining); changed {
		n.agent.SendToNeighbours(ctx, []member.Record{r})
	}
	sleep(drainCtx, lameDuck-upstreamLameDuck)
	if n.catalog != nil {
		// The upstream sends its own calls to the callers' listener, which must
		// stay open until the requests in flight are done.
		n.relay.CloseEntry()
		n.awaitIdle(drainCtx)
	}
	for _, s := range servers {
		if s.drains {
			if err := n.shutdownServer(drainCtx, s); err != nil {
				n.log.Warn().Err(err).Int("InFlight", n.relay.InFlight()).Msg("drain time ended with requests in flight")
			}
		}
	}
	n.awaitIdle(drainCtx)
	lastCtx, cancelLast := context.WithTimeout(ctx, lastNewsTimeout)
	defer cancelLast()
	n.agent.SendToNeighbours(lastCtx, []member.Record{n.table.SetSelfDead(time.Now())})
	n.crashes.Flush(lastCtx)
}

// shutdownServer shuts down the callers' server without losing requests. It accepts
// the connections that are still queued in the kernel, and then waits until all have
// ended.
func (n *Node) shutdownServer(ctx context.Context, s *server) error {
	if err := s.listener.Quiesce(ctx); err != nil {
		n.log.Info().Err(err).Msg("queued connections may be closed before they are accepted")
	}
	return trace.Wrap(n.conns.Shutdown(ctx, s.http))
}

// awaitIdle waits until no request is in flight or the context ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.relay.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
}

// reapConns closes idle connections of callers until the context ends.
func (n *Node) reapConns(ctx context.Context) {
	for sleep(ctx, reapInterval) {
		n.updateIdleTimeout()
		n.conns.CloseIdle(time.Now())
	}
}

// reportDroppedLines logs how many log lines about requests were dropped, until the
// context ends.
func (n *Node) reportDroppedLines(ctx context.Context) {
	logs.ReportDropped(ctx, n.log, n.requestLog.Limiters())
}

// prune removes the relay's state of nodes that it has not called for
// pruneInterval, until the context ends.
func (n *Node) prune(ctx context.Context) {
	for sleep(ctx, pruneInterval) {
		n.relay.Prune(time.Now(), pruneInterval)
	}
}

// updateRetryBounds regularly recomputes this node's share of the fleet's retries from
// the current numbers of nodes and upstreams, unless RetrySlack is 0.
func (n *Node) updateRetryBounds(ctx context.Context) {
	for {
		if n.settings.Load().RetrySlack > 0 {
			view := n.table.View()
			n.relay.SetRetryBounds(n.settings.Load().RetryRatio, n.settings.Load().RetrySlack, view.Size(), len(view.Service(n.table.Self().Service)))
		}
		if !sleep(ctx, retryBoundsInterval) {
			return
		}
	}
}
