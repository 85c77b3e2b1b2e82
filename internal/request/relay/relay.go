// Package relay carries requests from callers and upstreams over the nodes to
// the upstream that runs them, and their answers back.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/admit"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/process/stats"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// PathCall is the path of the peers' listener below which calls go to the
// upstream beside the node.
const PathCall = "/call"

// Times of calls between nodes.
const (
	// heartbeat is the interval of interim answers of a gate. Most answers are
	// there sooner.
	heartbeat = 400 * time.Millisecond
	// silence is the pause after which a connection between nodes is given up.
	silence = 3 * heartbeat
	// graceRetry is when to come back to a route that has no upstream.
	graceRetry = time.Second
)

// Bounds of the tries for one call.
const (
	// maxAttempts is the number of upstreams that may be sent a call, where the
	// configuration does not say it.
	maxAttempts = 3
	// maxSends is the number of nodes that may be sent a call, with those that
	// refuse it before it reaches an upstream.
	maxSends = 5
)

// Admitter admits requests within their customers' rates.
type Admitter interface {
	Admit(ctx context.Context, now time.Time, key quota.Key, limit quota.Limit, within time.Duration) *refuse.Refusal
}

// Claimer lets a request with an idempotency key run at most once.
type Claimer interface {
	// Claim claims a customer's idempotency key. The function returned gives the
	// claim up if the request did not run.
	Claim(ctx context.Context, customer, key string) (release func(), refusal *refuse.Refusal)
}

// Crashes recognises requests that crash upstreams.
type Crashes interface {
	Begin(now time.Time, f crash.Fingerprint, suspect bool) bool
	End(f crash.Fingerprint, succeeded bool)
	QuarantineLeft(now time.Time, f crash.Fingerprint) time.Duration
	ReportCrash(now time.Time)
}

// Local is the upstream beside the node.
type Local interface {
	// Crashed marks the upstream as gone until it announces itself again.
	Crashed()
	// Upstream returns the address of the upstream of a service that takes
	// requests and what identifies its start, or false.
	Upstream(service string) (address netip.AddrPort, instance string, ok bool)
}

// Options are what a Relay works with.
type Options struct {
	Admitter Admitter
	// Catalog holds the catalog that takes the place of the table, nil for none.
	Catalog *snaps.Holder
	Claimer Claimer
	Config  *snaps.Holder
	Crashes Crashes
	// Conns tells whether callers should close their connections; nil for never.
	Conns *conns.Tracker
	// Dialect is the product's own if it is nil.
	Dialect   Dialect
	FirstByte time.Duration
	Gate      *gates.Gate
	Idle      time.Duration
	InFlight  int
	Local     Local
	// Notes log decisions on requests; nil for none.
	Notes  *Notes
	Pool   *pool.Pool
	Secret *fleet.Secret
	Self   netip.AddrPort
	// Service is the service of the upstream beside the node, where it is known
	// beforehand.
	Service string
	Stats   *stats.Stats
	Table   *member.Table
	Tracer  trace.Tracer
	Zone    string
}

// Relay carries requests. Lock order: the locks of its parts are leaves.
type Relay struct {
	Options
	admission *admit.Limits
	balance   *Balance
	calls     atomic.Uint64
	callees   *callees
	inFlight  atomic.Int64
	closed    atomic.Bool
	ended     atomic.Bool
	leaving   atomic.Bool
	proofs    sync.Map // from netip.AddrPort to string
	ratios    *chain.Ratios
	repeats   *chain.Ratios // of calls to the upstream beside the node
	shares    *shares
	shortage  *shortage
	tokens    *chain.Tokens
}

// New returns a Relay.
func New(options Options) *Relay {
	if options.Dialect == nil {
		options.Dialect = native{}
	}
	if options.Notes == nil {
		options.Notes = NewNotes(zerolog.Nop())
	}
	r := &Relay{
		Options:   options,
		admission: admit.New(),
		balance:   NewBalance(options.Self, options.Zone),
		callees:   newCallees(),
		ratios:    chain.NewRatios(),
		repeats:   chain.NewRatios(),
		shares:    newShares(),
		shortage:  newShortage(),
		tokens:    chain.NewTokens(),
	}
	r.calls.Store(rand.Uint64())
	return r
}

// Leave makes the relay ask callers to use other connections.
func (r *Relay) Leave() {
	r.leaving.Store(true)
}

// Leaving reports whether Leave was called.
func (r *Relay) Leaving() bool {
	return r.leaving.Load()
}

// Close makes the relay refuse new requests for the upstream beside the node.
// Requests of callers, and sub-calls of requests in flight, go on to others.
func (r *Relay) Close() {
	r.closed.Store(true)
}

// Closed reports whether Close was called.
func (r *Relay) Closed() bool {
	return r.closed.Load()
}

// End makes the relay refuse new requests of callers too. The calls that the
// upstream makes for requests in flight still go on to others.
func (r *Relay) End() {
	r.ended.Store(true)
}

// Prune forgets nodes that were not called for a time.
func (r *Relay) Prune(now time.Time, idle time.Duration) {
	r.balance.Prune(now, idle)
}

// Parts of the retries to a service that are made at its upstreams, where a
// request that was turned away has cost least, and by the nodes that call them.
// What is left over covers calls that retries bring about.
const (
	repeatPart = 0.65
	retryPart  = 0.15
)

// SetRetryBounds divides the retries that all nodes may make together: a part of
// a service's requests, and a number, among a number of nodes and of upstreams
// of the service beside this one.
func (r *Relay) SetRetryBounds(ratio, slack float64, nodes, upstreams int) {
	r.ratios.SetBounds(ratio*retryPart, max(slack*retryPart/float64(max(nodes, 1)), 1))
	r.repeats.SetBounds(ratio*repeatPart, max(slack*repeatPart/float64(max(upstreams, 1)), 1))
}

// InFlight returns the number of requests that the relay holds.
func (r *Relay) InFlight() int {
	return int(r.inFlight.Load())
}

// ServeCaller serves a request of a caller.
func (r *Relay) ServeCaller(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	defer r.inFlight.Add(-1)
	if r.inFlight.Add(1) > int64(r.Options.InFlight) {
		r.refuse(w, "", refuse.New(refuse.Overloaded, graceRetry, "the node holds too many requests"))
		return
	}
	if r.leaving.Load() || r.Conns != nil && r.Conns.Crowded() {
		w.Header()["Connection"] = []string{"close"}
	}
	id := r.Dialect.ID(req.Header)
	terms, refusal := r.Dialect.Terms(req)
	if refusal != nil {
		r.turnAway(w, id, &policy{}, refusal)
		return
	}
	p, refusal := r.identify(now, req, terms)
	if refusal != nil {
		r.turnAway(w, id, &p, refusal)
		return
	}
	// A call of the upstream was sent a moment ago, on a connection of its own.
	if !p.inner && gone(req.Context()) {
		panic(http.ErrAbortHandler)
	}
	if r.ended.Load() && !p.inner {
		r.turnAway(w, id, &p, refuse.New(refuse.Draining, graceRetry, "the node is about to end"))
		return
	}
	leave, refusal := r.letIn(req.Context(), now, &p)
	if refusal != nil {
		r.turnAway(w, id, &p, refusal)
		return
	}
	defer leave()
	r.Stats.Admitted.Add(p.customer, 1)
	c := r.rootCall(now, &p, terms)
	c.id = id
	if p.inner {
		r.callees.note(now, p.route)
	}
	r.ratios.First(now, p.service)
	if key := req.Header.Get(headerIdempotency); key != "" && !c.idempotent && p.customer != "" && r.Catalog == nil {
		release, refusal := r.Claimer.Claim(req.Context(), p.customer, key)
		if refusal != nil {
			r.turnAway(w, id, &p, refusal)
			return
		}
		c.release = release
	}
	refusal, status := r.serve(w, req, c)
	took := time.Since(now)
	r.Stats.Observe(p.route, p.customer, took)
	if refusal != nil {
		r.noteRefused(now.Add(took), id, &p, refusal)
		return
	}
	r.noteServed(now.Add(took), id, &p, c, status, took)
}

// letIn lets a request of a caller into the call graph if there is room for its
// route, and if its customer's rate allows it. The room is looked at first, so
// that what is refused for want of it uses nothing of the rate. If the request is
// let in, the function returned must be called when it has its answer.
func (r *Relay) letIn(ctx context.Context, now time.Time, p *policy) (leave func(), refusal *refuse.Refusal) {
	leave = func() {}
	if !p.inner && r.Catalog != nil {
		after, ok := r.admission.Enter(now, admit.Request{Importance: p.importance, Objective: p.objective, Route: p.route})
		if !ok {
			return nil, refuse.New(refuse.Overloaded, after, "the route leads to a service without room")
		}
		leave = func() { r.admission.Leave(time.Now(), p.route) }
	}
	if p.limit.Rate > 0 {
		if refusal := r.Admitter.Admit(ctx, now, p.rate, p.limit, admit.MaxRetryAfter(p.objective)); refusal != nil {
			leave()
			return nil, refusal
		}
	}
	return leave, nil
}

// ServeUpstream serves a sub-call of the upstream beside the node.
func (r *Relay) ServeUpstream(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	running := r.tokens.Lookup(req.Header.Get(chain.HeaderToken))
	if running == nil {
		r.refuse(w, "", refuse.New(refuse.TokenRejected, 0, "the token is unknown or its request has ended"))
		return
	}
	call, refusal := r.subCall(now, req, running)
	if refusal != nil {
		r.refuse(w, running.Chain.Customer, refusal)
		return
	}
	r.ratios.First(now, call.chain.Service)
	if refusal, status := r.serve(w, req, call); refusal != nil || status >= http.StatusInternalServerError {
		running.Budget.Fail(call.fingerprint)
	}
}

// proofFor returns the proof to send to another node.
func (r *Relay) proofFor(node netip.AddrPort) string {
	if proof, ok := r.proofs.Load(node); ok {
		return proof.(string)
	}
	proof := r.Secret.Proof(node)
	if proof != "" {
		r.proofs.Store(node, proof)
	}
	return proof
}

// turnAway refuses a request of a caller before anything was done for it.
func (r *Relay) turnAway(w http.ResponseWriter, id string, p *policy, refusal *refuse.Refusal) {
	r.refuse(w, p.customer, refusal)
	r.noteRefused(time.Now(), id, p, refusal)
}

// refuse writes a refusal as the whole answer and counts it.
func (r *Relay) refuse(w http.ResponseWriter, customer string, refusal *refuse.Refusal) {
	r.Stats.Refusals.Add(string(refusal.Cause), 1)
	if customer != "" {
		r.Stats.Refused.Add(customer, 1)
	}
	r.Dialect.Refuse(w, refusal)
}
