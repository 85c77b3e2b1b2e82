// Package relay forwards requests of callers and upstreams to the upstream that
// runs them, through that upstream's node, and streams the responses back.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
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

// PathCall is the path prefix on the peers' listener for calls to the local
// upstream, which is the one beside the node.
const PathCall = "/call"

// Timing of calls between nodes.
const (
	// heartbeatInterval is the interval between interim responses to a peer
	// whose call is still running. Most calls end sooner and need none.
	heartbeatInterval = 400 * time.Millisecond
	// peerHeaderTimeout is the longest wait for the header of a peer's response,
	// final or interim.
	peerHeaderTimeout = 3 * heartbeatInterval
	// defaultRetryAfter is the retry delay in refusals for which no better
	// estimate exists.
	defaultRetryAfter = time.Second
)

// Limits on the attempts for one call.
const (
	// maxAttempts is the maximum number of upstreams that a call is sent to,
	// unless the configuration sets another.
	maxAttempts = 3
	// maxSends is the maximum number of nodes that a call is sent to. It also
	// counts nodes that refuse the call before it reaches their upstream.
	maxSends = 5
)

// Admitter enforces the customers' rates.
type Admitter interface {
	// Admit takes one request from a customer's rate, or returns a refusal.
	// within is the longest retry delay that is of use to the caller, 0 if
	// unknown.
	Admit(ctx context.Context, now time.Time, key quota.Key, limit quota.Limit, within time.Duration) *refuse.Refusal
}

// Claimer ensures that a request with an idempotency key runs at most once.
type Claimer interface {
	// Claim claims a customer's idempotency key, or returns a refusal. If the
	// request does not run, release must be called.
	Claim(ctx context.Context, customer, key string) (release func(), refusal *refuse.Refusal)
}

// CrashDetector detects requests that crash upstreams.
type CrashDetector interface {
	// Begin records that a request is about to run. It returns nil if the request is a
	// suspect and must not run beside another suspect.
	Begin(now time.Time, f crash.Fingerprint, suspect bool) *crash.Run
	// End records that a request has ended. One that succeeded is no longer a
	// suspect.
	End(now time.Time, run *crash.Run, succeeded bool)
	// Innocent reports whether a request has succeeded recently, so that it is no suspect.
	Innocent(now time.Time, f crash.Fingerprint) bool
	// QuarantineLeft returns how long a request stays quarantined, 0 if it is not.
	QuarantineLeft(now time.Time, f crash.Fingerprint) time.Duration
	// ReportCrash records that the upstream crashed, and informs the other nodes.
	ReportCrash(now time.Time)
}

// LocalUpstream gives access to the local upstream, which is the one beside the
// node.
type LocalUpstream interface {
	// Accepts reports whether a request that has waited for a slot at an instance of the
	// upstream may still be sent to it. An instance that leaves takes such requests for a
	// short time.
	Accepts(now time.Time, instance string) bool
	// Leaving reports whether an instance of the upstream has said that it is about to end.
	Leaving(instance string) bool
	// MarkDown marks an instance of the upstream as down until it announces itself again.
	MarkDown(instance string)
	// MarkLeaving marks an instance of the upstream as about to end. It takes no new
	// requests.
	MarkLeaving(now time.Time, instance string)
	// Upstream returns the address of the upstream and the ID of its instance,
	// or false if it does not accept requests for the service.
	Upstream(service string) (address netip.AddrPort, instance string, ok bool)
}

// Options are the settings and dependencies of a Relay.
type Options struct {
	Admitter Admitter
	// Background ends the work that outlasts requests; it defaults to one that never ends.
	Background context.Context
	// Catalog holds the catalog of the platform. If it is nil, the table in
	// Config applies.
	Catalog *snaps.Holder
	Claimer Claimer
	Config  *snaps.Holder
	Crashes CrashDetector
	// Conns reports whether so many connections are open that callers should
	// close theirs; nil means never.
	Conns *conns.Tracker
	// Dialect defaults to the native one.
	Dialect Dialect
	// Dialer opens the connections by which the local upstream is probed; it defaults to a
	// net.Dialer.
	Dialer pool.Dialer
	// FirstByte bounds the wait for the header of an upstream's response.
	FirstByte time.Duration
	Gate      *gates.Gate
	// Idle bounds each pause within a request or response body.
	Idle time.Duration
	// InFlight is the maximum number of requests in flight. Above it, only
	// requests of callers are refused.
	InFlight int
	Local    LocalUpstream
	// Log records decisions on requests; nil disables it.
	Log  *RequestLog
	Pool *pool.Pool
	// Regions are the regions of the availability zones.
	Regions map[string]string
	Secret  *fleet.Secret
	// Self is the address of the node's listener for peers.
	Self netip.AddrPort
	// Service is the service of the local upstream, empty if it is not
	// configured.
	Service string
	Stats   *stats.Stats
	Table   *member.Table
	Tracer  trace.Tracer
	// Zone is the node's availability zone.
	Zone string
	// Zones holds which availability zones are evacuated; nil for none.
	Zones *snaps.Holder
}

// Relay forwards requests. No other lock is acquired while the lock of one of
// its parts is held.
type Relay struct {
	Options
	admission          *admit.Limits
	balancer           *Balancer
	calls              atomic.Uint64 // number of the last call, see callID
	callees            *callees
	crashWatch         *crashWatch
	inFlight           atomic.Int64
	gateClosed         atomic.Bool
	entryClosed        atomic.Bool
	callDurations      *durations             // of calls to the local upstream, by route or service
	finish             atomic.Pointer[finish] // nil before the node stops
	rootDurations      *durations             // of callers' requests, by route
	keepAlivesDisabled atomic.Bool
	proofs             sync.Map            // of the fleet's secret: netip.AddrPort to string
	callRetries        *chain.RetryLimiter // of calls to nodes
	localRetries       *chain.RetryLimiter // of calls to the local upstream
	weightedRoundRobin *weightedRoundRobin
	deniedRetries      *deniedRetries
	tokens             *chain.Tokens
}

// New returns a Relay.
func New(options Options) *Relay {
	if options.Background == nil {
		options.Background = context.Background()
	}
	if options.Dialect == nil {
		options.Dialect = native{}
	}
	if options.Dialer == nil {
		options.Dialer = &net.Dialer{}
	}
	if options.Log == nil {
		options.Log = NewRequestLog(zerolog.Nop())
	}
	r := &Relay{
		Options:            options,
		admission:          admit.New(),
		balancer:           NewBalancer(options.Self, options.Zone),
		callDurations:      newDurations(),
		callees:            newCallees(),
		callRetries:        chain.NewRetryLimiter(),
		localRetries:       chain.NewRetryLimiter(),
		weightedRoundRobin: newWeightedRoundRobin(),
		deniedRetries:      newDeniedRetries(),
		rootDurations:      newDurations(),
		tokens:             chain.NewTokens(),
	}
	r.calls.Store(rand.Uint64())
	r.crashWatch = &crashWatch{ctx: options.Background, relay: r}
	return r
}

// Wait waits for the work that outlasts requests. The context Background must have ended.
func (r *Relay) Wait() {
	r.crashWatch.workers.Wait()
}

// DisableKeepAlives makes the relay ask callers to close their connections after
// the next response.
func (r *Relay) DisableKeepAlives() {
	r.keepAlivesDisabled.Store(true)
}

// KeepAlivesDisabled reports whether DisableKeepAlives was called.
func (r *Relay) KeepAlivesDisabled() bool {
	return r.keepAlivesDisabled.Load()
}

// CloseGate makes the relay refuse new requests for the local upstream. Requests
// of callers, and sub-calls of requests in flight, are still sent to other nodes.
func (r *Relay) CloseGate() {
	r.gateClosed.Store(true)
}

// GateClosed reports whether CloseGate was called.
func (r *Relay) GateClosed() bool {
	return r.gateClosed.Load()
}

// CloseEntry makes the relay refuse new requests of callers too. Sub-calls that
// the local upstream makes for requests in flight are still sent to other nodes.
func (r *Relay) CloseEntry() {
	r.entryClosed.Store(true)
}

// Prune drops the statistics of nodes that were not called for the time idle.
func (r *Relay) Prune(now time.Time, idle time.Duration) {
	r.balancer.Prune(now, idle)
}

// Shares of a service's allowed retries. localRetryShare is for the nodes beside
// the service's upstreams, where retrying a rejected request costs least, and
// callRetryShare for the nodes that call them. The remainder covers further calls
// that the retries cause.
const (
	localRetryShare = 0.65
	callRetryShare  = 0.15
)

// SetRetryBounds sets this node's share of the retries that all nodes together may
// make to a service: ratio times its requests, plus slack. The slack for calls to
// nodes is divided by nodes, the number of nodes, and the slack for calls to the
// local upstream by upstreams, the number of upstreams of its service. Each node
// gets at least one retry of either.
func (r *Relay) SetRetryBounds(ratio, slack float64, nodes, upstreams int) {
	r.callRetries.SetBounds(ratio*callRetryShare, max(slack*callRetryShare/float64(max(nodes, 1)), 1))
	r.localRetries.SetBounds(ratio*localRetryShare, max(slack*localRetryShare/float64(max(upstreams, 1)), 1))
}

// InFlight returns the number of requests in flight.
func (r *Relay) InFlight() int {
	return int(r.inFlight.Load())
}

// ServeCaller serves a request of a caller. It admits the request, sends it to an
// upstream of its service and writes the response or a refusal.
func (r *Relay) ServeCaller(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	defer r.inFlight.Add(-1)
	if r.inFlight.Add(1) > int64(r.Options.InFlight) {
		r.reject(w, req, "", refuse.New(refuse.Overloaded, defaultRetryAfter, "the node holds too many requests"))
		return
	}
	if r.keepAlivesDisabled.Load() || r.Conns != nil && r.Conns.NearLimit() {
		w.Header()["Connection"] = []string{"close"}
	}
	id := r.Dialect.RequestID(req.Header)
	info, refusal := r.Dialect.ReadRequest(req)
	if refusal != nil {
		r.rejectCaller(w, req, id, &policy{}, refusal)
		return
	}
	p, refusal := r.identify(now, req, info)
	if refusal != nil {
		r.rejectCaller(w, req, id, &p, refusal)
		return
	}
	if callerClosed(req.Context()) {
		panic(http.ErrAbortHandler)
	}
	if r.entryClosed.Load() && !p.subCall {
		r.rejectCaller(w, req, id, &p, refuse.New(refuse.Draining, defaultRetryAfter, "the node is about to end"))
		return
	}
	if !r.mayFinishRoot(now, &p, info) {
		r.rejectCaller(w, req, id, &p, endsTooEarlyRefusal())
		return
	}
	r.limitSubCall(now, &p)
	done, refusal := r.admitCaller(req.Context(), now, &p)
	if refusal != nil {
		r.rejectCaller(w, req, id, &p, refusal)
		return
	}
	defer done()
	r.Stats.Admitted.Add(p.customer, 1)
	c := r.rootCall(now, &p, info)
	c.id = id
	if p.subCall {
		r.callees.record(now, p.route)
	}
	r.callRetries.RecordFirstAttempt(now, p.service)
	if key := req.Header.Get(headerIdempotency); key != "" && !c.idempotent && p.customer != "" && r.Catalog == nil {
		release, refusal := r.Claimer.Claim(req.Context(), p.customer, key)
		if refusal != nil {
			r.rejectCaller(w, req, id, &p, refusal)
			return
		}
		c.release = release
	}
	refusal, status := r.serve(w, req, c)
	took := time.Since(now)
	r.Stats.Observe(p.route, p.customer, took)
	if refusal == nil {
		r.rootDurations.record(now.Add(took), p.route, took)
	}
	if refusal != nil {
		r.logRefused(now.Add(took), id, &p, refusal)
		return
	}
	r.logServed(now.Add(took), id, &p, c, status, took)
}

// admitCaller admits a request of a caller if its route is below its concurrency
// limit and its customer's rate allows it. The concurrency limit is checked
// first, so that a request refused for overload uses none of the rate. If the
// request is admitted, done must be called when it has ended.
func (r *Relay) admitCaller(ctx context.Context, now time.Time, p *policy) (done func(), refusal *refuse.Refusal) {
	done = func() {}
	if !p.subCall && r.Catalog != nil {
		after, ok := r.admission.Enter(now, admit.Request{Importance: p.importance, Objective: p.objective, Route: p.route})
		if !ok {
			return nil, refuse.New(refuse.Overloaded, after, "the route leads to a service without room")
		}
		done = func() { r.admission.Leave(time.Now(), p.route) }
	}
	if p.limit.Rate > 0 {
		if refusal := r.Admitter.Admit(ctx, now, p.rateKey, p.limit, admit.MaxRetryAfter(p.objective)); refusal != nil {
			done()
			return nil, refusal
		}
	}
	return done, nil
}

// ServeUpstream serves a sub-call that the local upstream makes with the token of
// a request in flight.
func (r *Relay) ServeUpstream(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	running := r.tokens.Lookup(req.Header.Get(chain.HeaderToken))
	if running == nil {
		r.reject(w, req, "", refuse.New(refuse.TokenRejected, 0, "the token is unknown or its request has ended"))
		return
	}
	call, refusal := r.subCall(now, req, running)
	if refusal != nil {
		r.reject(w, req, running.Chain.Customer, refusal)
		return
	}
	r.callRetries.RecordFirstAttempt(now, call.chain.Service)
	if refusal, status := r.serve(w, req, call); refusal != nil || status >= http.StatusInternalServerError {
		running.Budget.RecordFailure(call.fingerprint)
	}
}

// proofFor returns the proof of the fleet's secret to send to a node, empty while
// the secret is unknown. It caches proofs.
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

// rejectCaller refuses a request of a caller before it is sent anywhere, and logs
// the refusal.
func (r *Relay) rejectCaller(w http.ResponseWriter, req *http.Request, id string, p *policy, refusal *refuse.Refusal) {
	r.reject(w, req, p.customer, refusal)
	r.logRefused(time.Now(), id, p, refusal)
}

// reject refuses a request whose body has not been read. The HTTP server reads the body
// before it sends the refusal, for discardTime at most.
func (r *Relay) reject(w http.ResponseWriter, req *http.Request, customer string, refusal *refuse.Refusal) {
	if req.ContentLength != 0 {
		limitDiscard(w, time.Now())
	}
	r.refuse(w, customer, refusal)
}

// refuse writes a refusal as the response and counts it.
func (r *Relay) refuse(w http.ResponseWriter, customer string, refusal *refuse.Refusal) {
	r.Stats.Refusals.Add(string(refusal.Cause), 1)
	if customer != "" {
		r.Stats.Refused.Add(customer, 1)
	}
	r.Dialect.Refuse(w, refusal)
}
