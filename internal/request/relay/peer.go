package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/spans"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// answerMargin is kept of the time that an upstream is given, so that its last
// answer reaches the caller in time.
const answerMargin = 5 * time.Millisecond

// Times around crashes.
const (
	// probeTime bounds the probe of an upstream that may have crashed.
	probeTime = 50 * time.Millisecond
	// suspectRetry is when to come back to a node that runs another suspect.
	suspectRetry = 100 * time.Millisecond
)

// ServePeer serves a call of another node to the upstream beside this one.
func (r *Relay) ServePeer(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if !fleet.Verify(req.Header, r.proofFor(r.Self)) {
		http.Error(w, "the fleet's secret is wrong", http.StatusForbidden)
		return
	}
	c, err := chain.Decode(req.Header.Get(chain.Header))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header()[chain.HeaderAnswer] = []string{answerID(c)}
	p, refusal := r.enter(req.Context(), now, c)
	if refusal != nil {
		r.answerRefusal(w, c, c.Retries, refusal)
		return
	}
	request, u := r.incoming(w, req, p.cancel)
	if u != nil {
		defer u.shut()
	}
	beat := startHeartbeat(w)
	a, left, refusal := p.call(request)
	beat.stop()
	if refusal != nil {
		r.answerRefusal(w, c, left, refusal)
		return
	}
	w.Header()[chain.HeaderLeft] = []string{strconv.Itoa(left)}
	w.Header()[chain.HeaderLoad] = []string{formatLoad(r.load(time.Now(), c.Route))}
	r.stream(w, a)
}

// answerRefusal answers a call of another node by a refusal.
func (r *Relay) answerRefusal(w http.ResponseWriter, c *chain.Chain, left int, refusal *refuse.Refusal) {
	w.Header()[chain.HeaderLeft] = []string{strconv.Itoa(left)}
	w.Header()[chain.HeaderLoad] = []string{formatLoad(r.load(time.Now(), c.Route))}
	r.Stats.Refusals.Add("Gate"+string(refusal.Cause), 1)
	refusal.WriteTo(w)
}

// load returns the load of the upstream beside the node, as requests of a route
// see it: with what was turned away, and with the waits at what the upstream
// calls.
func (r *Relay) load(now time.Time, route string) gates.Load {
	load := r.Gate.Load(now)
	if route == "" {
		return load
	}
	load.Wait = max(load.Wait, r.shortage.lately(now))
	for _, callee := range r.callees.all(now) {
		load.Wait = max(load.Wait, r.admission.Wait(now, callee))
	}
	return load
}

// incoming returns the request to send to the upstream, and its body if there
// is one.
func (r *Relay) incoming(w http.ResponseWriter, req *http.Request, cancel context.CancelCauseFunc) (*http.Request, *upload) {
	request := &http.Request{
		ContentLength: req.ContentLength,
		Header:        r.forwardRequest(req.Header),
		Host:          req.Host,
		Method:        req.Method,
		URL:           &url.URL{ForceQuery: req.URL.ForceQuery, Opaque: strings.TrimPrefix(rawPath(req), PathCall), RawQuery: req.URL.RawQuery},
	}
	if req.ContentLength == 0 {
		return request, nil
	}
	u := newUpload(w, req, r.Idle, 0, cancel)
	request.Trailer = u.trailer
	request.Body = u
	// An empty read asks the other node for the body.
	_, _ = req.Body.Read(nil)
	return request, u
}

// placement is a request that the gate let through to the upstream.
type placement struct {
	address  netip.AddrPort
	cancel   context.CancelCauseFunc
	ctx      context.Context
	deadline time.Time
	instance string // of the upstream, empty for unknown
	relay    *Relay
	running  *chain.Running
	span     trace.Span
	ticket   *gates.Ticket
	token    string
}

// enter waits at the gate. After a refusal of nil, call must follow.
func (r *Relay) enter(ctx context.Context, now time.Time, c *chain.Chain) (*placement, *refuse.Refusal) {
	if r.closed.Load() {
		return nil, refuse.New(refuse.Draining, graceRetry, "the upstream's node is leaving")
	}
	address, instance, ok := r.Local.Upstream(c.Service)
	if !ok {
		return nil, refuse.New(refuse.NoUpstream, graceRetry, "the upstream takes no requests")
	}
	deadline := now.Add(c.Remaining)
	if wait := r.Crashes.QuarantineLeft(now, c.Fingerprint); wait > 0 {
		return nil, refuse.New(refuse.Quarantined, wait, "the request crashed the upstreams that ran it")
	}
	ticket := &gates.Ticket{Customer: c.Customer, Deadline: deadline, Depth: c.Depth, Importance: c.Importance, Weight: c.Weight}
	if c.Objective {
		ticket.Due = now.Add(c.Due)
	}
	if refusal := r.Gate.Enter(ctx, now, ticket); refusal != nil {
		return nil, refusal
	}
	if ctx.Err() != nil {
		r.Gate.Abandon(time.Now(), ticket)
		return nil, refuse.New(refuse.DeadlineExceeded, 0, "the caller left before the request ran")
	}
	if !r.Crashes.Begin(now, c.Fingerprint, c.Suspect) {
		r.Gate.Abandon(time.Now(), ticket)
		return nil, refuse.New(refuse.Overloaded, suspectRetry, "another request that may crash the upstream runs there")
	}
	p := &placement{address: address, deadline: deadline, instance: instance, relay: r, ticket: ticket}
	ctx, p.cancel = context.WithCancelCause(ctx)
	p.ctx, p.span = r.Tracer.Start(spans.Context(ctx, c), "upstream")
	p.running = &chain.Running{Budget: chain.NewBudget(c.Retries), Chain: *c, Context: p.ctx, Deadline: deadline}
	if p.span.IsRecording() {
		p.running.Span = chain.SpanID(p.span.SpanContext().SpanID())
	}
	p.token = r.tokens.Grant(p.running)
	r.Stats.Calls.Add(c.Service, 1)
	if !c.Repeat {
		r.repeats.First(now, c.Service)
	}
	return p, nil
}

// call sends the request to the upstream, and sends it again where that may help
// and the retries allow it. It returns the retries that the call did not use.
func (p *placement) call(request *http.Request) (*answer, int, *refuse.Refusal) {
	var verdict Verdict
	var response *http.Response
	var err error
	ran := false // an earlier try ran and failed
	tries := 1
	for ; ; tries++ {
		response, verdict, err = p.send(request)
		if err != nil && p.forgotten(time.Now(), request, err, tries) {
			ran = true
			p.relay.Stats.Retries.Add("Forgotten", 1)
			continue
		}
		if err != nil || !p.mayRepeat(time.Now(), request, response, verdict, tries) {
			break
		}
		ran = ran || !verdict.NotRun
		p.relay.Stats.Retries.Add("Repeated", 1)
		if err = discard(response); err != nil {
			break
		}
	}
	left := p.running.Budget.Close()
	if err != nil {
		crashed := p.checkCrash(err)
		p.noteTurnedAway(time.Now(), p.relay.Dialect.ID(request.Header), err.Error(), tries)
		p.leave(true)
		refusal := p.upstreamFailed(err)
		refusal.Crashed = crashed
		return nil, left, refusal.After(ran)
	}
	if refusal := p.turnedAway(verdict); refusal != nil {
		if err := discard(response); err != nil {
			p.relay.Stats.Answers.Add("Cut", 1)
		}
		p.noteTurnedAway(time.Now(), p.relay.Dialect.ID(request.Header), string(refusal.Cause), tries)
		p.leave(true)
		return nil, left, refusal.After(ran)
	}
	response.Header = p.relay.forward(response.Header)
	failed := response.StatusCode >= http.StatusInternalServerError
	return &answer{finish: func(whole bool) { p.leave(failed || !whole) }, response: response}, left, nil
}

// send sends the request to the upstream once.
func (p *placement) send(request *http.Request) (*http.Response, Verdict, error) {
	var verdict Verdict
	p.deliver(request)
	response, err := p.relay.Pool.Do(p.ctx, &pool.Call{
		Accept: func(response *http.Response) bool {
			verdict = p.relay.Dialect.Read(request.Header, response)
			return !verdict.Stray
		},
		Deadline: p.deadline,
		Fresh:    p.fresh(),
		Idle:     p.relay.Idle,
		Request:  request,
		Silence:  p.relay.FirstByte,
		To:       p.address,
		Unframed: p.relay.Catalog != nil,
	})
	return response, verdict, err
}

// freshTime is the longest rest of a connection on which a request is sent that
// must not run twice. If the upstream has forgotten the connection, such a request
// is lost, and a new connection takes about a millisecond.
const freshTime = 100 * time.Millisecond

// fresh returns the longest rest of the connection that the request may use, zero
// for the pool's own bound.
func (p *placement) fresh() time.Duration {
	if p.running.Chain.Idempotent {
		return 0
	}
	return freshTime
}

// forgotten reports whether a request is sent again because the upstream seems to
// have forgotten the connection on which it was sent, and has not crashed.
func (p *placement) forgotten(now time.Time, request *http.Request, err error, tries int) bool {
	c := &p.running.Chain
	var sendErr *pool.SendError
	if !errors.As(err, &sendErr) || !sendErr.Forgotten || !c.Idempotent || request.Body != nil || tries >= maxRepeats || p.ctx.Err() != nil {
		return false
	}
	return listens(p.address) && p.relay.repeats.Retry(now, c.Service, repeatsLeft(c))
}

// maxRepeats bounds the times that one request is sent to the upstream: of half
// of the requests turned away, less than one in a hundred is left.
const maxRepeats = 7

// mayRepeat reports whether a request that was turned away, or failed without
// calls of its own, is sent to the upstream again. The gate lets in no more
// requests than the upstream has slots, so one that turns requests away has room
// for them all the same.
func (p *placement) mayRepeat(now time.Time, request *http.Request, response *http.Response, verdict Verdict, tries int) bool {
	c := &p.running.Chain
	shed := verdict.NotRun && !verdict.Moved
	failed := response.StatusCode == http.StatusInternalServerError && c.Idempotent && c.Route != "" && len(p.relay.callees.all(now)) == 0
	if !shed && !failed || request.Body != nil || tries >= maxRepeats || p.ctx.Err() != nil {
		p.relay.shortage.observe(now, false)
		return false
	}
	allowed := p.relay.repeats.Retry(now, c.Service, repeatsLeft(c))
	p.relay.shortage.observe(now, !allowed)
	return allowed
}

// leftByDeep is the part of the retries that calls within a chain leave to root
// requests. A root request is done with one success, and a call within a chain
// is one of several that its root needs.
const leftByDeep = 0.15

// repeatsLeft returns the part of the retries that a call leaves to others.
func repeatsLeft(c *chain.Chain) float64 {
	if c.Depth > 0 {
		return leftByDeep
	}
	return 0
}

// deliver completes the header of a request to the upstream.
func (p *placement) deliver(request *http.Request) {
	c := &p.running.Chain
	p.relay.Dialect.Deliver(request.Header, Delivery{
		Caller:    c.Caller,
		Customer:  c.Customer,
		Instance:  p.instance,
		Remaining: p.deadline.Sub(time.Now()) - answerMargin,
		Token:     p.token,
	})
}

// turnedAway returns the refusal of a request that the upstream did not run, or
// nil if it did.
func (p *placement) turnedAway(verdict Verdict) *refuse.Refusal {
	switch {
	case verdict.Moved:
		p.relay.Local.Crashed()
		return refuse.New(refuse.NoUpstream, graceRetry, "another upstream has taken the address")
	case verdict.NotRun:
		return refuse.New(refuse.Shed, graceRetry, "the upstream turned the request away")
	}
	return nil
}

// checkCrash finds out whether the upstream is gone, and reports whether it
// crashed while it worked on the request.
func (p *placement) checkCrash(err error) bool {
	var sendErr *pool.SendError
	switch {
	case !errors.As(err, &sendErr) || p.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		return false
	case !sendErr.Sent:
		p.relay.Local.Crashed()
		return false
	case !listens(p.address):
		p.relay.Local.Crashed()
		p.relay.Crashes.ReportCrash(time.Now())
		return true
	}
	return false
}

// listens reports whether a process takes connections at an address. A process
// that is ending may still have a listener; it does not keep its connections.
func listens(address netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp", address.String(), probeTime)
	if err != nil {
		return false
	}
	defer c.Close()
	if err := c.SetReadDeadline(time.Now().Add(probeTime)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// leave ends the request's place at the gate and its token.
func (p *placement) leave(failed bool) {
	p.relay.tokens.End(p.token)
	p.cancel(nil)
	p.relay.Crashes.End(p.running.Chain.Fingerprint, !failed)
	p.relay.Gate.Leave(time.Now(), p.ticket, failed)
	p.span.End()
}

func (p *placement) upstreamFailed(err error) *refuse.Refusal {
	var sendErr *pool.SendError
	switch {
	case errors.As(err, &sendErr) && !sendErr.Sent:
		return refuse.New(refuse.UpstreamFailed, graceRetry, "no connection to the upstream")
	case !time.Now().Before(p.deadline):
		return refuse.Uncertain(refuse.DeadlineExceeded, "the deadline passed before the upstream answered")
	case errors.Is(err, pool.ErrUnframed):
		return refuse.Uncertain(refuse.BadAnswer, "%v", pool.ErrUnframed)
	}
	return refuse.Uncertain(refuse.UpstreamFailed, "the upstream did not answer")
}

// beat sends interim answers until the answer comes, so that the other node can
// tell a slow upstream from a connection that went silent. Its lock guards the
// writer against the handler.
type beat struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	writer  http.ResponseWriter
}

func startHeartbeat(w http.ResponseWriter) *beat {
	b := &beat{writer: w}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timer = time.AfterFunc(heartbeat, b.send)
	return b
}

func (b *beat) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.writer.WriteHeader(http.StatusProcessing)
	b.timer.Reset(heartbeat)
}

func (b *beat) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	b.timer.Stop()
}
