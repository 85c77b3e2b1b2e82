// Package node assembles a node: its listeners, tables and loops.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/conn/links"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/claims"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
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
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// Times of the node.
const (
	drainPoll     = 20 * time.Millisecond
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	probePoll     = 100 * time.Millisecond
	pruneInterval = time.Minute
	reapInterval  = time.Second
	// retryBoundsPoll is how often the retries are divided among the nodes anew.
	retryBoundsPoll = time.Second
	shutdownExtra   = time.Second
	upstreamPoll    = 300 * time.Millisecond
)

// upstreamPart is the part of the lame-duck time in which the upstream beside a
// node that stops goes on taking calls.
const upstreamPart = 0.92

// Node is one process of the system.
type Node struct {
	agent      *member.Agent
	background conc.WaitGroup // work that requests of other nodes begin
	cancel     context.CancelFunc
	claims     *claims.Client
	config     *snaps.Holder
	conns      *conns.Tracker // of callers
	catalog    *snaps.Holder  // nil for a configuration by the table
	crashes    *crash.Agent
	ctx        context.Context // ends all work of the node
	dialect    relay.Dialect   // nil for the product's own
	feeds      []feed
	leaving    atomic.Bool
	gate       *gates.Gate
	log        zerolog.Logger
	mesh       *links.Mesh
	notes      *relay.Notes
	pool       *pool.Pool
	quota      *quota.Client
	relay      *relay.Relay
	settings   atomic.Pointer[setup.Settings]
	shutdown   func(context.Context) error
	stats      *stats.Stats
	store      store.Store
	// storeLost tells that the last call to the platform's store failed.
	storeLost atomic.Bool
	table     *member.Table
	upstream  *upstream
	version   string

	catalogDecoder    snaps.CatalogDecoder
	catalogKey        string
	catalogPrefix     string
	probe             Probe // nil for none
	readyPath         string
	secretStored      bool                     // in the platform's store, and in no setting
	upstreamInterface func(*Node) http.Handler // nil for the product's own
}

// Option changes a Node when it is made.
type Option func(*Node)

// WithCatalog lets the operators configure the node by a catalog, which stands
// in the object of a key in the platform's store.
func WithCatalog(prefix, key string, decode snaps.CatalogDecoder) Option {
	return func(n *Node) {
		n.catalogDecoder = decode
		n.catalogKey = key
		n.catalogPrefix = prefix
	}
}

// WithDialect sets the form in which callers and the upstream speak with the
// node.
func WithDialect(dialect relay.Dialect) Option {
	return func(n *Node) { n.dialect = dialect }
}

// WithProbe lets a node that starts ask the upstream beside it who it is, at the
// health path of its service, instead of waiting until it announces itself.
func WithProbe(probe Probe) Option {
	return func(n *Node) { n.probe = probe }
}

// Probe asks the upstream beside a node who it is.
type Probe func(ctx context.Context, settings *setup.Settings, path string) (admin.Announcement, error)

// WithReadyPath sets a path at which the node tells whether it takes requests,
// besides admin.PathReady.
func WithReadyPath(path string) Option {
	return func(n *Node) { n.readyPath = path }
}

// WithUpstreamInterface sets the handler of what the upstream tells the node of
// itself.
func WithUpstreamInterface(handler func(*Node) http.Handler) Option {
	return func(n *Node) { n.upstreamInterface = handler }
}

// New returns a Node that keeps what must last in a store. Run must follow.
func New(settings *setup.Settings, version string, log zerolog.Logger, platform store.Store, options ...Option) (*Node, error) {
	now := time.Now()
	tracer, shutdown, err := spans.Tracer(settings.Spans)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	descriptors, err := conns.Descriptors()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		conns:    conns.NewTracker(descriptors),
		cancel:   cancel,
		config:   snaps.NewHolder(),
		ctx:      ctx,
		gate:     gates.NewGate(gates.NewGradient()),
		log:      log,
		mesh:     links.NewMesh(ctx, settings.Peers, settings.Secret, links.WithSource(settings.Source)),
		pool:     pool.New(pool.WithSource(settings.Source)),
		shutdown: shutdown,
		stats:    stats.New(),
		store:    platform,
		table:    member.NewTable(now, member.Record{Peers: settings.Peers, Readiness: member.Absent, Zone: settings.Zone}),
		version:  version,
	}
	n.settings.Store(settings)
	n.secretStored = !settings.Secret.Known()
	for _, option := range options {
		option(n)
	}
	n.feeds = []feed{{holder: n.config, prefix: kinds.Root, wait: recordsWait, watchers: watchers}}
	if n.catalogDecoder != nil {
		n.catalog = snaps.NewHolder(snaps.WithCatalog(n.catalogKey, n.catalogDecoder))
		n.feeds = append(n.feeds, feed{holder: n.catalog, prefix: n.catalogPrefix, wait: catalogWait, watchers: watchers})
	}
	holders := make([]*snaps.Holder, len(n.feeds))
	for i, f := range n.feeds {
		holders[i] = f.holder
	}
	n.upstream = newUpstream(n.gate, settings.Expiry)
	n.agent = member.NewAgent(n.mesh, n.table, log, holders...)
	n.crashes = crash.NewAgent(n.mesh, n.table, log)
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
		Config:   n.config,
		Mesh:     n.mesh,
		Self:     settings.Peers,
		Shards:   settings.Shards,
		Standing: n.quota.LeaseState,
		Store:    n.store,
		Zone:     settings.Zone,
		Zones:    settings.Zones,
	})
	n.notes = relay.NewNotes(log)
	n.relay = relay.New(relay.Options{
		Admitter:  n.quota,
		Catalog:   n.catalog,
		Claimer:   n.claims,
		Config:    n.config,
		Conns:     n.conns,
		Crashes:   n.crashes,
		Dialect:   n.dialect,
		FirstByte: settings.FirstByte,
		Gate:      n.gate,
		Idle:      settings.Idle,
		InFlight:  settings.InFlight,
		Local:     n.upstream,
		Notes:     n.notes,
		Pool:      n.pool,
		Secret:    settings.Secret,
		Self:      settings.Peers,
		Service:   settings.Service,
		Stats:     n.stats,
		Table:     n.table,
		Tracer:    tracer,
		Zone:      settings.Zone,
	})
	return n, nil
}

// limitOf returns the limit of a key of rates by the configuration in force.
func (n *Node) limitOf(key quota.Key) (quota.Limit, bool) {
	if n.catalog == nil {
		row := n.config.Snapshot().Row(key.Route, key.Customer)
		if row == nil {
			return quota.Limit{}, false
		}
		return quota.Limit{Burst: row.Burst, Rate: row.Rate}, true
	}
	customer, ok := n.catalog.Snapshot().CustomerNamed(key.Customer)
	if !ok || customer.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Burst: customer.Burst, Rate: customer.Rate}, true
}

// Ready reports whether the node takes requests: it knows its configuration and
// does not leave.
func (n *Node) Ready() bool {
	if n.leaving.Load() {
		return false
	}
	if n.catalog != nil {
		return n.catalog.Snapshot().CatalogVersion() > 0 && n.settings.Load().Secret.Known()
	}
	return n.config.Snapshot().Revision() > 0
}

// Settings returns the node's settings, which must not be changed.
func (n *Node) Settings() *setup.Settings {
	return n.settings.Load()
}

// Run serves until a context ends, then finishes what is in flight and ends all
// work of the node.
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
	for _, loop := range []func(context.Context){n.adopt, n.agent.Run, n.crashes.Run, n.followAll, n.gate.Run, n.keepRetryBounds, n.pool.Run, n.probeUpstream, n.prune, n.quota.Run, n.reapConns, n.reportNotes, n.seed, n.watchUpstream} {
		workers.Go(func() { loop(n.ctx) })
	}
	n.log.Info().Stringer("Callers", n.settings.Load().Callers).Stringer("Peers", n.settings.Load().Peers).Msg("node serves")
	<-stop.Done()
	n.drain(n.ctx, servers)
	n.cancel()
	for _, s := range servers {
		_ = s.http.Close()
	}
	workers.Wait()
	n.background.Wait()
	n.claims.Wait()
	n.mesh.Wait()
	n.log.Info().Msg("node stopped")
	flushCtx, flushCancel := context.WithTimeout(context.Background(), shutdownExtra)
	defer flushCancel()
	return trace.Wrap(n.shutdown(flushCtx))
}

// drain ends the node's work without cutting any. It goes on serving all while
// callers learn that it leaves, then lets the others know that the upstream
// beside it takes nothing more, refuses callers that come all the same, and waits
// for the requests in flight, which the upstream's own calls are part of.
func (n *Node) drain(ctx context.Context, servers []*server) {
	n.log.Info().Dur("Within", n.settings.Load().Drain).Msg("node leaves")
	drainCtx, cancel := context.WithTimeout(ctx, n.settings.Load().Drain)
	defer cancel()
	n.leaving.Store(true)
	n.relay.Leave()
	n.agent.Spread(ctx, []member.Record{n.table.AnnounceLeave(time.Now())})
	var handover conc.WaitGroup
	defer handover.Wait()
	handover.Go(func() { n.quota.HandOver(drainCtx) })
	lameDuck := n.settings.Load().LameDuck
	upstreamDuck := time.Duration(upstreamPart * float64(lameDuck))
	sleep(drainCtx, upstreamDuck)
	n.relay.Close()
	if r, changed := n.table.SetSelf(time.Now(), n.table.Self().Service, member.Draining); changed {
		n.agent.Spread(ctx, []member.Record{r})
	}
	sleep(drainCtx, lameDuck-upstreamDuck)
	if n.catalog != nil {
		// The upstream's own calls come to the callers' listener.
		n.relay.End()
		n.awaitIdle(drainCtx)
	}
	for _, s := range servers {
		if s.drains {
			if err := n.shutdownServer(drainCtx, s); err != nil {
				n.log.Warn().Err(err).Int("InFlight", n.relay.InFlight()).Msg("requests were still in flight at the end of the drain time")
			}
		}
	}
	n.awaitIdle(drainCtx)
	n.agent.Spread(ctx, []member.Record{n.table.Leave(time.Now())})
}

// shutdownServer takes no more connections of callers, serves the first requests
// of those that it has, and waits for the requests in flight.
func (n *Node) shutdownServer(ctx context.Context, s *server) error {
	if err := s.listener.Quiesce(ctx); err != nil {
		n.log.Info().Err(err).Msg("connections that wait to be accepted may be cut")
	}
	for n.conns.Expecting(time.Now()) && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	return trace.Wrap(s.http.Shutdown(ctx))
}

// awaitIdle waits until no request is in flight.
func (n *Node) awaitIdle(ctx context.Context) {
	for n.relay.InFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
}

// reapConns closes callers' connections that are not used.
func (n *Node) reapConns(ctx context.Context) {
	for sleep(ctx, reapInterval) {
		idle := idleTimeout
		if n.catalog != nil {
			if limit := n.catalog.Snapshot().Limits().IdleTimeout; limit > 0 {
				idle = limit
			}
		}
		n.conns.Reap(time.Now(), idle)
	}
}

// reportNotes tells of lines on requests that were left out.
func (n *Node) reportNotes(ctx context.Context) {
	logs.Report(ctx, n.log, n.notes.Budgets())
}

func (n *Node) prune(ctx context.Context) {
	for sleep(ctx, pruneInterval) {
		n.relay.Prune(time.Now(), pruneInterval)
	}
}

// keepRetryBounds divides the retries that all nodes may make together among
// the nodes that there are.
func (n *Node) keepRetryBounds(ctx context.Context) {
	for {
		if n.settings.Load().RetrySlack > 0 {
			view := n.table.View()
			n.relay.SetRetryBounds(n.settings.Load().RetryRatio, n.settings.Load().RetrySlack, view.Size(), len(view.Service(n.table.Self().Service)))
		}
		if !sleep(ctx, retryBoundsPoll) {
			return
		}
	}
}

// server is one listener.
type server struct {
	drains   bool // waits for requests in flight when the node leaves
	http     *http.Server
	listener *conns.Listener
}

func (s *server) serve() {
	_ = s.http.Serve(s.listener)
}

// listen opens all listeners, or none.
func (n *Node) listen() ([]*server, error) {
	var servers []*server
	var errs []error
	listeners := []struct {
		address netip.AddrPort
		drains  bool
		handler http.Handler
	}{
		{n.settings.Load().Admin, false, n.adminHandler()},
		{n.settings.Load().Callers, true, http.HandlerFunc(n.relay.ServeCaller)},
		{n.settings.Load().PeersBind, false, n.peersHandler()},
		{n.settings.Load().Upstream, false, n.upstreamHandler()},
		{n.settings.Load().Ready, false, n.adminHandler()},
	}
	for _, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		listener, err := conns.Listen(n.ctx, l.address)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s := &server{
			drains:   l.drains,
			http:     &http.Server{ErrorLog: quiet(), Handler: l.handler, IdleTimeout: idleTimeout, MaxHeaderBytes: n.settings.Load().HeaderBytes, ReadHeaderTimeout: headerTimeout},
			listener: listener,
		}
		if l.drains {
			s.http.ConnContext = relay.CallerContext
			s.http.ConnState = func(conn net.Conn, state http.ConnState) { n.conns.Note(time.Now(), conn, state) }
		}
		servers = append(servers, s)
	}
	if len(errs) > 0 {
		for _, s := range servers {
			_ = s.listener.Close()
		}
		return nil, trace.Wrap(errors.Join(errs...))
	}
	return servers, nil
}

func (n *Node) peersHandler() http.Handler {
	router := httprouter.New()
	router.Handler(http.MethodGet, links.Path, n.mesh)
	router.POST(pathAdopt, n.handleAdopt)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, relay.PathCall+"/") {
			n.relay.ServePeer(w, r)
			return
		}
		router.ServeHTTP(w, r)
	})
}

func (n *Node) upstreamHandler() http.Handler {
	if n.upstreamInterface != nil {
		return n.upstreamInterface(n)
	}
	router := httprouter.New()
	router.PUT(admin.PathAnnounce, n.handleAnnounce)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == admin.PathAnnounce {
			router.ServeHTTP(w, r)
			return
		}
		n.relay.ServeUpstream(w, r)
	})
}
