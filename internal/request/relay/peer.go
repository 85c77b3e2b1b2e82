package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/spans"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// responseMargin is subtracted from the time that an upstream is given, so that a
// response sent at the last moment still reaches the caller in time.
const responseMargin = 5 * time.Millisecond

// ServePeer serves a call of another node to the local upstream.
func (r *Relay) ServePeer(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	// The secret may become known at any time. It is read once, so that no call passes unverified.
	secretKnown := r.Secret.Known()
	if secretKnown && !fleet.Verify(req.Header, r.proofFor(r.Self)) {
		http.Error(w, "the fleet's secret is wrong", http.StatusForbidden)
		return
	}
	c, err := chain.Decode(req.Header.Get(chain.Header))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header()[chain.HeaderAnswer] = []string{callID(c)}
	if !secretKnown {
		// The sender is not verified, but may be told that nothing has run here.
		r.refusePeer(w, c, c.Retries, refuse.New(refuse.NoUpstream, defaultRetryAfter, "the node has just started and does not know the fleet's secret"))
		return
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	if req.ContentLength != 0 {
		defer watchCaller(ctx, cancel).stop()
	}
	hb := startHeartbeat(w)
	defer hb.stop() // also after a panic
	lc, refusal := r.enterGate(ctx, now, c, req.Header.Get(chain.HeaderAlternative) != "")
	if refusal != nil {
		hb.stop()
		r.refusePeer(w, c, c.Retries, refusal)
		return
	}
	request, body := lc.upstreamRequest(w, req)
	if body != nil {
		defer body.stop()
	}
	if req.Header.Get("Expect") != "" {
		hb.sendContinue()
		if body != nil {
			// An empty read waits for the first chunk of a body without a length. An
			// error cancels the call.
			_, _ = body.Read(nil)
		}
		if refusal := lc.recheck(time.Now()); refusal != nil {
			hb.stop()
			body.beginRefusal(w.Header())
			r.refusePeer(w, c, c.Retries, refusal)
			return
		}
	}
	pending, left, refusal := lc.call(request)
	hb.stop()
	if refusal != nil {
		body.beginRefusal(w.Header())
		r.refusePeer(w, c, left, refusal)
		return
	}
	w.Header()[chain.HeaderRetriesLeft] = []string{strconv.Itoa(left)}
	w.Header()[chain.HeaderLoad] = []string{formatLoad(r.load(time.Now(), c.Route))}
	r.stream(w, req, c, pending, body)
}

// refusePeer refuses a call of another node. The response gives back left retries.
func (r *Relay) refusePeer(w http.ResponseWriter, c *chain.Chain, left int, refusal *refuse.Refusal) {
	if r.keepAlivesDisabled.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	w.Header()[chain.HeaderRetriesLeft] = []string{strconv.Itoa(left)}
	w.Header()[chain.HeaderLoad] = []string{formatLoad(r.load(time.Now(), c.Route))}
	r.Stats.Refusals.Add("Gate"+string(refusal.Cause), 1)
	refusal.WriteTo(w)
}

// load returns the load of the local upstream. For a route of the catalog, the wait
// is raised to that of the denied retries, and the wait and the cold time to those of the
// routes that the upstream calls, if these are longer.
func (r *Relay) load(now time.Time, route string) gates.Load {
	load := r.Gate.Load(now)
	if route == "" {
		return load
	}
	load.Wait = max(load.Wait, r.deniedRetries.recentWait(now))
	for _, callee := range r.callees.recent(now) {
		load.Wait = max(load.Wait, r.admission.Wait(now, callee))
		load.ColdFor = max(load.ColdFor, r.admission.ColdFor(now, callee))
	}
	return load
}

// localCall is a call to the local upstream that the gate has admitted.
type localCall struct {
	address  netip.AddrPort
	cancel   context.CancelCauseFunc
	ctx      context.Context
	deadline time.Time
	// enteredAt is when the call came to the gate.
	enteredAt time.Time
	instance  string // ID of the upstream's instance, empty if unknown
	// mayStillRun is set when the call ends without a whole response although the upstream
	// may still run the request.
	mayStillRun bool
	relay       *Relay
	run         *crash.Run
	running     *chain.RunningRequest
	span        trace.Span
	ticket      *gates.Ticket
	token       string
}

// enterGate waits until the gate admits a call, or returns a refusal. The parameter
// alternative tells whether the call can be sent to another node. The method call
// must be called on the result, because it frees the slot at the gate.
func (r *Relay) enterGate(ctx context.Context, now time.Time, c *chain.Chain, alternative bool) (*localCall, *refuse.Refusal) {
	if r.gateClosed.Load() {
		return nil, refuse.New(refuse.Draining, defaultRetryAfter, "the upstream's node is leaving")
	}
	if !r.mayFinish(now, now, r.callDurations, durationName(c), c.Remaining) {
		return nil, refuse.New(refuse.Draining, defaultRetryAfter, "the upstream's node ends before the request would")
	}
	address, instance, ok := r.Local.Upstream(c.Service)
	if !ok {
		return nil, refuse.New(refuse.NoUpstream, defaultRetryAfter, "the upstream takes no requests")
	}
	deadline := now.Add(c.Remaining)
	if wait := r.Crashes.QuarantineLeft(now, c.Fingerprint); wait > 0 {
		return nil, refuse.New(refuse.Quarantined, wait, "the request crashed the upstreams that ran it")
	}
	ticket := &gates.Ticket{Customer: c.Customer, Deadline: deadline, Depth: c.Depth, HasAlternative: alternative, Importance: c.Importance, Weight: c.Weight}
	if c.HasObjective {
		ticket.Due = now.Add(c.Due)
	}
	if refusal := r.Gate.Enter(ctx, now, ticket); refusal != nil {
		return nil, refusal
	}
	if admitted := time.Now(); callerLeft(ctx, admitted, now) {
		r.Gate.Abandon(admitted, ticket)
		return nil, callerLeftRefusal()
	}
	if admitted := time.Now(); admitted.Sub(now) >= minCallerWait && !r.Local.Accepts(admitted, instance) {
		r.Gate.Abandon(admitted, ticket)
		return nil, refuse.New(refuse.NoUpstream, defaultRetryAfter, "the upstream left while the request waited")
	}
	run := r.Crashes.Begin(now, c.Fingerprint, c.Suspect)
	if run == nil {
		r.Gate.Abandon(time.Now(), ticket)
		return nil, refuse.New(refuse.Overloaded, suspectRetryAfter, "another request that may crash the upstream runs there")
	}
	lc := &localCall{address: address, deadline: deadline, enteredAt: now, instance: instance, relay: r, run: run, ticket: ticket}
	ctx, lc.cancel = context.WithCancelCause(ctx)
	lc.ctx, lc.span = r.Tracer.Start(spans.Context(ctx, c), "upstream")
	lc.running = &chain.RunningRequest{Budget: chain.NewBudget(c.Retries), Chain: *c, Context: lc.ctx, Deadline: deadline}
	if lc.span.IsRecording() {
		lc.running.Span = chain.SpanID(lc.span.SpanContext().SpanID())
	}
	lc.token = r.tokens.Grant(lc.running)
	r.Stats.Calls.Add(c.Service, 1)
	if !c.Repeat {
		r.localRetries.RecordFirstAttempt(now, c.Service)
	}
	return lc, nil
}

// accepted reports whether the admitted call may still be sent to the upstream, or once more:
// neither has begun to leave, the upstream or its node, their zone is not evacuated, and the
// node does not end before the call would.
func (lc *localCall) accepted(now time.Time) bool {
	r := lc.relay
	return !r.gateClosed.Load() && !r.Gate.Closed() && r.Local.Accepts(now, lc.instance) &&
		r.mayFinish(now, now, r.callDurations, durationName(&lc.running.Chain), lc.deadline.Sub(now))
}

// recheck returns a refusal if the upstream has begun to leave, or the gate was closed, while
// the body of an admitted call was awaited. The call has then ended.
func (lc *localCall) recheck(now time.Time) *refuse.Refusal {
	if lc.accepted(now) {
		return nil
	}
	r := lc.relay
	r.tokens.Revoke(lc.token)
	lc.cancel(nil)
	r.Crashes.End(now, lc.run, false)
	r.Gate.Abandon(now, lc.ticket)
	lc.span.End()
	return refuse.New(refuse.NoUpstream, defaultRetryAfter, "the upstream or its node left while the body of the request was awaited")
}

// upstreamRequest returns the request to send to the upstream, and its body, which
// is nil if it has none.
func (lc *localCall) upstreamRequest(w http.ResponseWriter, req *http.Request) (*http.Request, *upload) {
	request := &http.Request{
		ContentLength: req.ContentLength,
		Header:        lc.relay.forwardRequestHeader(req.Header),
		Host:          req.Host,
		Method:        req.Method,
		URL:           &url.URL{ForceQuery: req.URL.ForceQuery, Opaque: strings.TrimPrefix(rawPath(req), PathCall), RawQuery: req.URL.RawQuery},
	}
	if req.ContentLength == 0 {
		return request, nil
	}
	u := newUpload(w, req, lc.deadline, lc.relay.Idle, 0, lc.cancel)
	body := u.newAttempt(lc.relay.Stats.Bodies)
	body.fromNode = true
	request.Trailer = body.trailer
	request.Body = body
	return request, u
}

// durationName returns the name under which the durations of a call are kept.
func durationName(c *chain.Chain) string {
	if c.Route != "" {
		return c.Route
	}
	return c.Service
}

// call sends the request to the upstream, and retries it where mayRetryError or
// mayRetryResponse allows. It returns the response, or a refusal, and the unused
// retries.
func (lc *localCall) call(request *http.Request) (*pendingResponse, int, *refuse.Refusal) {
	var info ResponseInfo
	var response *http.Response
	var err error
	mayHaveRun := false // in an earlier try
	tries := 1
	for ; ; tries++ {
		response, info, err = lc.send(request, tries > 1)
		if err != nil && lc.mayRetryError(time.Now(), request, err, tries) {
			mayHaveRun = true
			lc.relay.Stats.Retries.Add("Forgotten", 1)
			continue
		}
		if err != nil || !lc.mayRetryResponse(time.Now(), request, response, info, tries) {
			break
		}
		mayHaveRun = mayHaveRun || !info.NotRun
		lc.relay.Stats.Retries.Add("Repeated", 1)
		if err = discard(response); err != nil {
			break
		}
	}
	left := lc.running.Budget.Close()
	if err != nil {
		return nil, left, lc.fail(request, err, tries).After(mayHaveRun)
	}
	if refusal := lc.refusalForResponse(info); refusal != nil {
		if err := discard(response); err != nil {
			lc.relay.Stats.Answers.Add("Cut", 1)
			refusal.Crashed = lc.checkCrash(err)
		}
		lc.logNotServed(time.Now(), lc.relay.Dialect.RequestID(request.Header), string(refusal.Cause), tries)
		lc.finish(true)
		return nil, left, refusal.After(mayHaveRun)
	}
	if err := awaitBody(response); err != nil {
		return nil, left, lc.fail(request, err, tries).After(mayHaveRun)
	}
	response.Header = lc.relay.forwardHeader(response.Header)
	failed := response.StatusCode >= http.StatusInternalServerError
	finish := func(err error) {
		var cut *bodyReadError
		switch {
		case errors.As(err, &cut):
			lc.checkCrash(cut.Err)
		case err != nil:
			lc.mayStillRun = true
		}
		lc.finish(failed || err != nil)
	}
	return &pendingResponse{finish: finish, response: response}, left, nil
}

// fail ends a call whose response did not come, or broke off before a part of its body did, and
// returns the refusal.
func (lc *localCall) fail(request *http.Request, err error, tries int) *refuse.Refusal {
	crashed := lc.checkCrash(err)
	lc.logNotServed(time.Now(), lc.relay.Dialect.RequestID(request.Header), err.Error(), tries)
	lc.finish(true)
	refusal := lc.refusalForError(err)
	refusal.Crashed = crashed
	return refusal
}

// send sends the request to the upstream once, or once more.
func (lc *localCall) send(request *http.Request, again bool) (*http.Response, ResponseInfo, error) {
	var info ResponseInfo
	lc.setHeaders(request)
	response, err := lc.relay.Pool.Do(lc.ctx, &pool.Call{
		Accept: func(response *http.Response) pool.Match {
			info = lc.relay.Dialect.ReadResponse(request.Header, response)
			return info.match()
		},
		Deadline:        lc.deadline,
		MaxIdleTime:     lc.maxIdleTime(),
		BodyIdleTimeout: lc.relay.Idle,
		Request:         request,
		HeaderTimeout:   lc.relay.FirstByte,
		Repeatable:      lc.running.Chain.Idempotent,
		Resent:          again,
		To:              lc.address,
		AllowUnframed:   lc.relay.Catalog != nil,
	})
	if err == nil && !info.AddressReused {
		lc.relay.Gate.Answered(time.Now(), lc.ticket)
		if now := time.Now(); lc.relay.Gate.SetRate(now, info.MaxRate) {
			lc.logMaxRate(now, info.MaxRate)
		}
		if info.Leaving {
			lc.relay.Local.MarkLeaving(time.Now(), lc.instance)
		}
	}
	return response, info, err
}

// maxIdleTimeUnsafe is the maximum idle time of a connection that is reused for a
// request that is not idempotent. If the upstream has already dropped the connection,
// such a request cannot be sent again and fails. A new connection takes only about a
// millisecond.
const maxIdleTimeUnsafe = 100 * time.Millisecond

// maxIdleTime returns the maximum idle time of a connection that the request may
// reuse; zero means the pool's own limit.
func (lc *localCall) maxIdleTime() time.Duration {
	if lc.running.Chain.Idempotent {
		return 0
	}
	return maxIdleTimeUnsafe
}

// mayRetryError reports whether a request that failed with err is sent again, because
// the upstream seems to have dropped the reused connection without having crashed, or its
// response did not name the request.
// This applies to idempotent requests without a body, within the retry limits.
func (lc *localCall) mayRetryError(now time.Time, request *http.Request, err error, tries int) bool {
	c := &lc.running.Chain
	var sendErr *pool.SendError
	if !errors.As(err, &sendErr) || !sendErr.StaleConnection && !errors.Is(err, pool.ErrUnnamed) || !c.Idempotent || request.Body != nil || tries >= maxLocalTries || lc.ctx.Err() != nil {
		return false
	}
	return lc.accepted(now) && lc.relay.acceptsConnections(lc.address) && lc.relay.localRetries.TakeRetry(now, c.Service, retryReserve(c)) && lc.relay.Gate.TakeRepeat(now)
}

// maxLocalTries is the maximum number of times that one request is sent to the
// upstream. If the upstream rejects half of all tries, less than one request in a
// hundred is still rejected after seven.
const maxLocalTries = 7

// mayRetryResponse reports whether a request is sent again because the upstream
// rejected it without running it, or because it failed, is idempotent, has a catalog
// route and the upstream makes no sub-calls. The gate admits no more requests than
// the upstream has slots, so an upstream that rejects some still has free slots.
func (lc *localCall) mayRetryResponse(now time.Time, request *http.Request, response *http.Response, info ResponseInfo, tries int) bool {
	c := &lc.running.Chain
	shed := info.NotRun && !info.AddressReused
	failed := response.StatusCode == http.StatusInternalServerError && c.Idempotent && c.Route != "" && len(lc.relay.callees.recent(now)) == 0
	if !shed && !failed || request.Body != nil || tries >= maxLocalTries || lc.ctx.Err() != nil || !lc.accepted(now) {
		lc.relay.deniedRetries.observe(now, false)
		return false
	}
	allowed := lc.relay.localRetries.TakeRetry(now, c.Service, retryReserve(c)) && lc.relay.Gate.TakeRepeat(now)
	lc.relay.deniedRetries.observe(now, !allowed)
	return allowed
}

// rootRetryReserve is the share of a retry burst that is reserved for root requests.
// A root request is complete after one success, while a sub-call is only one of
// several that its root request needs.
const rootRetryReserve = 0.15

// retryReserve returns the share of a retry burst that a call must leave unused.
func retryReserve(c *chain.Chain) float64 {
	if c.Depth > 0 {
		return rootRetryReserve
	}
	return 0
}

// setHeaders adds the information for the upstream to the header of a request.
func (lc *localCall) setHeaders(request *http.Request) {
	c := &lc.running.Chain
	lc.relay.Dialect.SetHeaders(request.Header, UpstreamInfo{
		Caller:    c.Caller,
		Customer:  c.Customer,
		Instance:  lc.instance,
		Remaining: lc.deadline.Sub(time.Now()) - responseMargin,
		Token:     lc.token,
	})
}

// refusalForResponse returns the refusal for a request that the upstream did not run,
// or nil if it did.
func (lc *localCall) refusalForResponse(info ResponseInfo) *refuse.Refusal {
	switch {
	case info.AddressReused:
		lc.relay.Local.MarkDown(lc.instance)
		return refuse.New(refuse.NoUpstream, defaultRetryAfter, "another upstream has taken the address")
	case info.NotRun:
		return refuse.New(refuse.Shed, defaultRetryAfter, "the upstream turned the request away")
	}
	return nil
}

// finish ends the call: it revokes its token, cancels its context and frees its slot
// at the gate.
func (lc *localCall) finish(failed bool) {
	lc.relay.tokens.Revoke(lc.token)
	lc.cancel(nil)
	now := time.Now()
	lc.endRun(now, failed)
	lc.relay.Gate.Leave(now, lc.ticket, failed)
	lc.relay.callDurations.record(now, durationName(&lc.running.Chain), now.Sub(lc.enteredAt))
	lc.span.End()
}

// refusalForError returns the refusal for a request to which the upstream did not
// respond.
func (lc *localCall) refusalForError(err error) *refuse.Refusal {
	var sendErr *pool.SendError
	switch {
	case errors.As(err, &sendErr) && !sendErr.Sent:
		return refuse.New(refuse.UpstreamFailed, defaultRetryAfter, "no connection to the upstream")
	case !time.Now().Before(lc.deadline):
		return refuse.Uncertain(refuse.DeadlineExceeded, "the deadline passed before the upstream answered")
	case errors.Is(err, pool.ErrUnframed):
		return refuse.Uncertain(refuse.BadAnswer, "%v", pool.ErrUnframed)
	}
	return refuse.Uncertain(refuse.UpstreamFailed, "the upstream did not answer")
}
