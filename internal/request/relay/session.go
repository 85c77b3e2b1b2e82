package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/admit"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/spans"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// errRootEnded means that the request that made a sub-call has ended.
var errRootEnded = errors.New("the request that made the sub-call has ended")

// session holds the state of a call while it is sent to nodes, and the request and
// response writer of its caller.
type session struct {
	*call
	ctx             context.Context
	header          http.Header // to forward
	smallBody       []byte      // buffered body; empty if there is none or it is streamed
	retried         bool        // the call was sent again after it may have run
	reachedUpstream bool        // an attempt reached an upstream, or may have
	suspect         bool        // the call may have crashed an upstream
	relay           *Relay
	request         *http.Request
	span            trace.Span
	upload          *upload // body to stream; nil if there is none or it is buffered
	writer          http.ResponseWriter
}

// pendingResponse is a response whose body has not been passed on. finish must be called at
// the end of the body, with the error that ended it unless it was complete: a *bodyReadError if
// it broke off.
type pendingResponse struct {
	finish   func(err error)
	response *http.Response
}

// serve sends a call to the nodes and writes the response. It returns the refusal,
// if that was the response, or else the status of the upstream's response.
func (r *Relay) serve(w http.ResponseWriter, req *http.Request, c *call) (*refuse.Refusal, int) {
	ctx, cancel := context.WithCancelCause(req.Context())
	defer cancel(nil)
	if c.context != nil {
		stop := context.AfterFunc(c.context, func() { cancel(errRootEnded) })
		defer stop()
	}
	watch := watchCaller(ctx, cancel)
	defer watch.stop()
	ctx, span := r.Tracer.Start(spans.Context(ctx, &c.chain), "entry")
	defer span.End()
	if span.IsRecording() {
		c.chain.Parent = chain.SpanID(span.SpanContext().SpanID())
	}
	s := &session{call: c, ctx: ctx, relay: r, request: req, span: span, writer: w}
	if refusal := s.prepare(cancel); refusal != nil {
		return s.refuse(refusal)
	}
	if s.upload != nil {
		defer s.upload.stop()
	}
	c.chain.Fingerprint = s.crashFingerprint()
	if wait := r.Crashes.QuarantineLeft(time.Now(), c.chain.Fingerprint); wait > 0 {
		return s.refuse(refuse.New(refuse.Quarantined, wait, "the request crashed the upstreams that ran it"))
	}
	if refusal := s.awaitUpload(); refusal != nil {
		return s.refuse(refusal)
	}
	pending, refusal := s.tryNodes()
	if refusal != nil {
		return s.refuse(s.withEndReason(refusal))
	}
	status := pending.response.StatusCode
	r.stream(w, req, &c.chain, pending, s.upload)
	return nil, status
}

// refuse writes a refusal as the response, and releases the claim of the
// idempotency key if the call did not run.
func (s *session) refuse(refusal *refuse.Refusal) (*refuse.Refusal, int) {
	s.upload.beginRefusal(s.writer.Header())
	if s.release != nil && refusal.Ran == refuse.NotRun {
		s.release()
	}
	if refusal.Cause == refuse.UpstreamLimited {
		refusal.RetryAfter += rand.N(limitedJitter)
	}
	s.relay.refuse(s.writer, s.chain.Customer, refusal)
	return refusal, 0
}

// limitedJitter is the longest time that is added to the retry delay of a request that the
// rate of an upstream holds back, as all of them may come back when the limit ends.
const limitedJitter = 500 * time.Millisecond

// crashFingerprint returns the fingerprint by which crash detection recognizes the
// call. Calls that a customer sends again have the same one.
func (s *session) crashFingerprint() crash.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{s.chain.Customer, s.request.Method, s.request.URL.RequestURI(), s.request.Header.Get(headerIdempotency), strconv.FormatInt(s.request.ContentLength, 10)} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(s.smallBody)
	return crash.Fingerprint(d.Sum64())
}

// tryNodes sends the call to one node after another until one responds. The refusal
// that it returns otherwise says whether any of them may have run the call.
func (s *session) tryNodes() (*pendingResponse, *refuse.Refusal) {
	var last, refusal *refuse.Refusal
	var tried []netip.AddrPort
	reached := 0
	ran := refuse.NotRun
	for range maxSends {
		now := time.Now()
		if !now.Before(s.deadline) || reached >= s.call.maxAttempts {
			break
		}
		if callerLeft(s.ctx, now, s.received) {
			last = callerLeftRefusal()
			break
		}
		if !s.mayStillFinish(now) {
			last = moreSpecific(last, endsTooEarlyRefusal())
			break
		}
		nodes, none := s.relay.candidates(s.chain.Service, s.regions)
		if none != nil {
			last = moreSpecific(last, none)
			break
		}
		nodes = s.relay.preferStaying(nodes, tried)
		node, ok := s.relay.balancer.Choose(now, nodes, tried)
		if !ok || (refusal != nil && !s.mayTryNextNode(refusal)) {
			break
		}
		var pending *pendingResponse
		alternative := len(tried)+1 < min(len(nodes), maxSends) && s.relay.balancer.MayBeRateLimited(now, node)
		if pending, refusal = s.send(now, node, alternative); refusal == nil {
			return pending, nil
		}
		last = moreSpecific(last, refusal)
		tried = append(tried, node)
		if refusal.Ran == refuse.MayHaveRun {
			ran = refuse.MayHaveRun
		}
		if refusal.Ran == refuse.MayHaveRun || refusal.Cause == refuse.Shed {
			reached++
			s.reachedUpstream = true
		}
	}
	if last == nil {
		last = noUpstreamRefusal()
	}
	last.Ran = ran
	return nil, last
}

// candidates returns the nodes whose upstreams may serve a service: those that accept
// requests, are not in an evacuated availability zone and are in one of the given regions,
// of which nil stands for all. If there are none, it returns the refusal.
func (r *Relay) candidates(service string, regions []string) ([]member.Record, *refuse.Refusal) {
	nodes := r.Table.View().Service(service)
	evacuated := r.Zones != nil && r.Zones.Snapshot().AnyEvacuated()
	if evacuated || regions != nil {
		nodes = r.filter(nodes, regions)
	}
	switch {
	case len(nodes) > 0:
		return nodes, nil
	case regions != nil:
		return nil, refuse.New(refuse.NoUpstream, defaultRetryAfter, "no upstream takes requests of the service in the allowed regions %v", regions)
	case evacuated:
		return nil, refuse.New(refuse.Evacuated, defaultRetryAfter, "all availability zones with upstreams of the service are evacuated")
	}
	return nil, noUpstreamRefusal()
}

// noUpstreamRefusal returns the refusal of a request for whose service no node has an upstream.
func noUpstreamRefusal() *refuse.Refusal {
	return refuse.New(refuse.NoUpstream, defaultRetryAfter, "no upstream takes requests of the service")
}

// filter returns the nodes that are not in an evacuated availability zone and are in one
// of the given regions, of which nil stands for all.
func (r *Relay) filter(nodes []member.Record, regions []string) []member.Record {
	var kept []member.Record
	for i := range nodes {
		zone := nodes[i].Zone
		if r.Zones != nil && r.Zones.Snapshot().Evacuated(zone) || regions != nil && !slices.Contains(regions, r.Regions[zone]) {
			continue
		}
		kept = append(kept, nodes[i])
	}
	return kept
}

// preferStaying returns, at a node that is about to stop, the nodes that are not and this one: a
// node that stops earlier than this one would cut a call that this one still has time to
// answer. It returns all nodes if no other one stays that was not tried.
func (r *Relay) preferStaying(nodes []member.Record, tried []netip.AddrPort) []member.Record {
	if r.finish.Load() == nil {
		return nodes
	}
	var kept []member.Record
	staying := false
	for i := range nodes {
		if nodes[i].Leaving && nodes[i].Peers != r.Self {
			continue
		}
		staying = staying || !nodes[i].Leaving && !contains(tried, nodes[i].Peers)
		kept = append(kept, nodes[i])
	}
	if !staying {
		return nodes
	}
	return kept
}

// saysUnavailable reports whether a refusal only says that a node sends no requests to its
// upstream at the time.
func saysUnavailable(refusal *refuse.Refusal) bool {
	return refusal.Cause == refuse.NoUpstream || refusal.Cause == refuse.Draining || refusal.Cause == refuse.Evacuated
}

// moreSpecific returns the more informative of two refusals: the later one, unless
// that only says that a node has no upstream or is draining. An earlier refusal
// then tells more, for example that another node was overloaded.
func moreSpecific(earlier, later *refuse.Refusal) *refuse.Refusal {
	if earlier != nil && saysUnavailable(later) {
		return earlier
	}
	return later
}

// mayTryNextNode reports whether a refused call may be sent to another node. A call
// that may have run must be idempotent and within the retry limits, and is sent again
// only once, because it may be what crashes upstreams.
func (s *session) mayTryNextNode(refusal *refuse.Refusal) bool {
	if s.upload != nil && s.upload.isTaken() {
		return false
	}
	switch {
	case refusal.Ran == refuse.MayHaveRun:
		if !s.idempotent || s.retried || refusal.Cause != refuse.UpstreamFailed {
			return false
		}
		if !s.relay.callRetries.TakeRetry(time.Now(), s.chain.Service, 0) || !s.budget.Take() {
			return false
		}
		s.retried = true
		s.relay.Stats.Retries.Add("Failed", 1)
		return true
	case refusal.Cause == refuse.Overloaded, refusal.Cause == refuse.Shed:
		if !s.relay.callRetries.TakeRetry(time.Now(), s.chain.Service, 0) {
			return false
		}
		s.relay.Stats.Retries.Add(string(refusal.Cause), 1)
		return true
	case refusal.Cause == refuse.UpstreamLimited:
		s.relay.Stats.Retries.Add("Limited", 1)
		return true
	case saysUnavailable(refusal), refusal.Cause == refuse.UpstreamFailed:
		s.relay.Stats.Retries.Add("NotRun", 1)
		return true
	}
	return false
}

// withEndReason returns the refusal with the cause for which the call was ended, if
// that was a body above the limit, the end of the root request or the deadline.
func (s *session) withEndReason(refusal *refuse.Refusal) *refuse.Refusal {
	if refusal.Ran == refuse.NotRun && s.ctx.Err() == nil {
		return refusal
	}
	explained := *refusal
	switch cause := context.Cause(s.ctx); {
	case errors.Is(cause, errBodyTooLarge):
		explained.Cause = refuse.BodyTooLarge
		explained.Detail = s.bodyTooLarge().Detail
	case errors.Is(cause, errRootEnded), !time.Now().Before(s.deadline):
		explained.Cause = refuse.DeadlineExceeded
		explained.Detail = "the deadline passed before the whole answer came"
	}
	return &explained
}

// send sends the call to a node. It lets the node use a part of the call's retries
// and returns the unused ones to the budget. With an alternative, the call does not wait
// for the rate that the node's upstream takes.
func (s *session) send(now time.Time, node netip.AddrPort, alternative bool) (*pendingResponse, *refuse.Refusal) {
	part := s.budget.Split()
	c := s.chain
	c.Call = s.relay.calls.Add(1)
	c.Idempotent = s.idempotent
	c.Remaining = s.deadline.Sub(now)
	c.Repeat = c.Repeat || s.reachedUpstream
	if c.HasObjective = !s.due.IsZero(); c.HasObjective {
		c.Due = s.due.Sub(now)
	}
	c.Retries = part
	c.Suspect = s.suspect
	s.relay.balancer.Begin(now, node)
	var pending *pendingResponse
	var left int
	var refusal *refuse.Refusal
	if node == s.relay.Self {
		pending, left, refusal = s.sendLocal(now, &c, alternative)
	} else {
		pending, left, refusal = s.sendPeer(node, &c, alternative)
	}
	s.budget.Return(min(left, part))
	if refusal != nil {
		if s.upload != nil {
			s.upload.endAttempt()
		}
		s.relay.balancer.End(node)
		if refusal.Cause == refuse.Shed || refusal.Cause == refuse.UpstreamFailed {
			s.relay.balancer.RecordResult(time.Now(), node, true)
		}
		s.logFailedAttempt(time.Now(), node, &c, refusal)
		return nil, refusal
	}
	finish := pending.finish
	failed := pending.response.StatusCode >= http.StatusInternalServerError
	pending.finish = func(err error) {
		finish(err)
		s.relay.balancer.End(node)
		// If the caller closed its connection, the upstream is not at fault.
		if err == nil || s.ctx.Err() == nil {
			s.relay.balancer.RecordResult(time.Now(), node, failed || err != nil)
		}
	}
	return pending, nil
}

// sendLocal sends the call to the local upstream. It returns the unused retries.
func (s *session) sendLocal(now time.Time, c *chain.Chain, alternative bool) (*pendingResponse, int, *refuse.Refusal) {
	lc, refusal := s.relay.enterGate(s.ctx, now, c, alternative)
	if refusal != nil {
		return nil, c.Retries, refusal
	}
	pending, left, refusal := lc.call(s.outgoingRequest(""))
	s.suspect = s.suspect || refusal != nil && refusal.Crashed
	now = time.Now()
	s.observe(now, s.relay.Self, s.relay.load(now, c.Route))
	return pending, left, refusal
}

// MaxNodeFields is the maximum number of header fields that nodes add to a request or response
// for each other.
const MaxNodeFields = 32

// alternativeValue is the value of chain.HeaderAlternative.
var alternativeValue = []string{"1"}

// observe records the load of a node that responded, for load balancing and for the
// admission of the route.
func (s *session) observe(now time.Time, node netip.AddrPort, load gates.Load) {
	s.relay.balancer.Observe(now, node, load)
	if s.chain.Route != "" {
		s.relay.admission.Observe(now, s.chain.Route, admit.Observation{ColdFor: load.ColdFor, Wait: load.Wait})
	}
}

// sendPeer sends the call to another node. It returns the unused retries.
func (s *session) sendPeer(node netip.AddrPort, c *chain.Chain, alternative bool) (*pendingResponse, int, *refuse.Refusal) {
	encoded, err := c.Encode()
	if err != nil {
		return nil, c.Retries, refuse.New(refuse.BadRequest, 0, "%v", err)
	}
	request := s.outgoingRequest(PathCall)
	request.Header[chain.Header] = []string{encoded}
	request.Header[headerUserAgent] = noUserAgent
	request.Header[fleet.Header] = []string{s.relay.proofFor(node)}
	if alternative {
		request.Header[chain.HeaderAlternative] = alternativeValue
	}
	response, err := s.relay.Pool.Do(s.ctx, &pool.Call{
		AwaitContinue:   s.upload != nil,
		Deadline:        s.deadline,
		BodyIdleTimeout: s.relay.Idle,
		ExtraHeadLines:  MaxNodeFields,
		Request:         request,
		HeaderTimeout:   peerHeaderTimeout,
		OnSilence:       func() bool { return s.waitForSilent(node) },
		To:              node,
	})
	if err != nil {
		return nil, 0, s.peerRefusal(node, err)
	}
	if response.Header.Get(chain.HeaderAnswer) != callID(c) {
		_ = response.Body.Close()
		return nil, 0, refuse.Uncertain(refuse.BadAnswer, "the answer is for another call")
	}
	if load, ok := parseLoad(response.Header.Get(chain.HeaderLoad)); ok {
		s.observe(time.Now(), node, load)
	}
	left, _ := strconv.Atoi(response.Header.Get(chain.HeaderRetriesLeft))
	if refusal := refuse.Parse(response.Header); refusal != nil {
		if saysUnavailable(refusal) {
			s.relay.balancer.Eject(time.Now(), node)
		}
		s.suspect = s.suspect || refusal.Crashed
		_ = discard(response)
		return nil, left, refusal
	}
	return &pendingResponse{finish: func(error) {}, response: response}, left, nil
}

// waitForSilent ejects a node that has been silent for peerHeaderTimeout, and reports
// whether to wait on for its answer: the node may only be slow, and a call that is not
// idempotent cannot be sent to another one.
func (s *session) waitForSilent(node netip.AddrPort) bool {
	if s.idempotent {
		return false
	}
	s.relay.balancer.Eject(time.Now(), node)
	return true
}

// peerRefusal returns the refusal for a call to which a node did not respond. It
// ejects the node, unless the call had been cancelled or its deadline had passed.
func (s *session) peerRefusal(node netip.AddrPort, err error) *refuse.Refusal {
	if s.ctx.Err() == nil && time.Now().Before(s.deadline) {
		s.relay.balancer.Eject(time.Now(), node)
	}
	var sendErr *pool.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		return refuse.New(refuse.UpstreamFailed, defaultRetryAfter, "no connection to the upstream's node: %v", sendErr.Err)
	}
	return refuse.Uncertain(refuse.UpstreamFailed, "the upstream's node did not answer: %v", err)
}

// outgoingRequest returns the request to forward, with a prefix before its path. To
// another node, a streamed body is sent only once the node asks for it.
func (s *session) outgoingRequest(pathPrefix string) *http.Request {
	header := make(http.Header, len(s.header)+3)
	for name, values := range s.header {
		header[name] = values
	}
	request := &http.Request{
		ContentLength: int64(len(s.smallBody)),
		Header:        header,
		Host:          s.request.Host,
		Method:        s.request.Method,
		URL:           &url.URL{ForceQuery: s.request.URL.ForceQuery, Opaque: pathPrefix + rawPath(s.request), RawQuery: s.request.URL.RawQuery},
	}
	if body := smallBodyReader(s.smallBody); body != nil {
		request.Body = body
	}
	if s.upload != nil {
		body := s.upload.newAttempt(s.relay.Stats.Bodies)
		request.Body = body
		request.ContentLength = s.request.ContentLength
		if pathPrefix != "" {
			header["Expect"] = []string{"100-continue"}
			if request.ContentLength < 0 {
				body.addCount()
			}
		}
		request.Trailer = body.trailer
	}
	return request
}
