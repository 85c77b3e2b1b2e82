package relay

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/trace"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/spans"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// errRootEnded means that the request that made a sub-call has ended.
var errRootEnded = errors.New("the request that made the sub-call has ended")

// session is a call and its caller's connection.
type session struct {
	*call
	ctx     context.Context
	header  http.Header
	kept    []byte // a small body
	retried bool   // whether a call that may have run was sent again
	// sentBefore tells that the call has reached an upstream.
	sentBefore bool
	suspect    bool // whether the call may have crashed an upstream
	relay      *Relay
	request    *http.Request
	span       trace.Span
	upload     *upload // nil without a body
	writer     http.ResponseWriter
}

// answer is the head of an answer. Its body is unread.
type answer struct {
	finish   func(whole bool)
	response *http.Response
}

// serve carries a call out and writes its answer. It returns the refusal that
// was the answer, or else the status of the upstream's answer.
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
		defer s.upload.shut()
	}
	c.chain.Fingerprint = s.identity()
	if wait := r.Crashes.QuarantineLeft(time.Now(), c.chain.Fingerprint); wait > 0 {
		return s.refuse(refuse.New(refuse.Quarantined, wait, "the request crashed the upstreams that ran it"))
	}
	a, refusal := s.attempts()
	if refusal != nil {
		return s.refuse(s.explain(refusal))
	}
	status := a.response.StatusCode
	r.stream(w, a)
	return nil, status
}

// refuse answers by a refusal. A claim is given up if nothing ran.
func (s *session) refuse(refusal *refuse.Refusal) (*refuse.Refusal, int) {
	if s.release != nil && refusal.Ran == refuse.NotRun {
		s.release()
	}
	s.relay.refuse(s.writer, s.chain.Customer, refusal)
	return refusal, 0
}

// prepare takes in the request's header, and its body if it is small.
func (s *session) prepare(cancel context.CancelCauseFunc) *refuse.Refusal {
	s.header = s.relay.forwardRequest(s.request.Header)
	length := s.request.ContentLength
	if s.maxBody > 0 && length > s.maxBody {
		return s.tooLarge()
	}
	if length == 0 {
		return nil
	}
	u := newUpload(s.writer, s.request, s.relay.Idle, s.maxBody, cancel)
	if length < 0 || length > replayable {
		s.upload = u
		return nil
	}
	kept, err := readSmall(u, length)
	if err != nil {
		return refuse.New(refuse.BadRequest, 0, "the body is cut")
	}
	s.kept = kept
	return nil
}

func (s *session) tooLarge() *refuse.Refusal {
	return refuse.New(refuse.BodyTooLarge, 0, "the row allows %d bytes", s.maxBody)
}

// identity returns the fingerprint of the call: equal for calls of a customer
// that are sent again.
func (s *session) identity() crash.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{s.chain.Customer, s.request.Method, s.request.URL.RequestURI(), s.request.Header.Get(headerIdempotency), strconv.FormatInt(s.request.ContentLength, 10)} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.Write(s.kept)
	return crash.Fingerprint(d.Sum64())
}

// attempts sends the call to one node after the other until one answers. A
// refusal tells whether any of them may have run it.
func (s *session) attempts() (*answer, *refuse.Refusal) {
	var last, refusal *refuse.Refusal
	var tried []netip.AddrPort
	reached := 0
	ran := refuse.NotRun
	for range maxSends {
		now := time.Now()
		if !now.Before(s.deadline) || s.ctx.Err() != nil || reached >= s.call.attempts {
			break
		}
		nodes := s.relay.Table.View().Service(s.chain.Service)
		node, ok := s.relay.balance.Choose(now, nodes, tried)
		if !ok || (refusal != nil && !s.mayMoveOn(refusal)) {
			break
		}
		var a *answer
		if a, refusal = s.send(now, node); refusal == nil {
			return a, nil
		}
		last = worse(last, refusal)
		tried = append(tried, node)
		if refusal.Ran == refuse.MayHaveRun {
			ran = refuse.MayHaveRun
		}
		if refusal.Ran == refuse.MayHaveRun || refusal.Cause == refuse.Shed {
			reached++
			s.sentBefore = true
		}
	}
	if last == nil {
		last = refuse.New(refuse.NoUpstream, graceRetry, "no upstream takes requests of the service")
	}
	last.Ran = ran
	return nil, last
}

// worse returns the refusal that tells more: that a node has no upstream, or
// leaves, tells less than that another had no room.
func worse(earlier, later *refuse.Refusal) *refuse.Refusal {
	if earlier != nil && (later.Cause == refuse.NoUpstream || later.Cause == refuse.Draining) {
		return earlier
	}
	return later
}

// mayMoveOn reports whether a call that was refused may go to another node. A
// call that may have run only does if it is idempotent, and as a retry, and only
// once, for it may be what makes upstreams crash.
func (s *session) mayMoveOn(refusal *refuse.Refusal) bool {
	if s.upload != nil && s.upload.touched.Load() {
		return false
	}
	switch {
	case refusal.Ran == refuse.MayHaveRun:
		if !s.idempotent || s.retried || refusal.Cause != refuse.UpstreamFailed {
			return false
		}
		if !s.relay.ratios.Retry(time.Now(), s.chain.Service, 0) || !s.budget.Take() {
			return false
		}
		s.retried = true
		s.relay.Stats.Retries.Add("Failed", 1)
		return true
	case refusal.Cause == refuse.Overloaded, refusal.Cause == refuse.Shed:
		if !s.relay.ratios.Retry(time.Now(), s.chain.Service, 0) {
			return false
		}
		s.relay.Stats.Retries.Add(string(refusal.Cause), 1)
		return true
	case refusal.Cause == refuse.Draining, refusal.Cause == refuse.NoUpstream, refusal.Cause == refuse.UpstreamFailed:
		s.relay.Stats.Retries.Add("NotRun", 1)
		return true
	}
	return false
}

// explain replaces a refusal by the reason for which the call was ended.
func (s *session) explain(refusal *refuse.Refusal) *refuse.Refusal {
	if refusal.Ran == refuse.NotRun && s.ctx.Err() == nil {
		return refusal
	}
	better := *refusal
	switch cause := context.Cause(s.ctx); {
	case errors.Is(cause, errBodyTooLarge):
		better.Cause = refuse.BodyTooLarge
		better.Detail = s.tooLarge().Detail
	case errors.Is(cause, errRootEnded), !time.Now().Before(s.deadline):
		better.Cause = refuse.DeadlineExceeded
		better.Detail = "the deadline passed before the whole answer came"
	}
	return &better
}

// send sends the call to a node.
func (s *session) send(now time.Time, node netip.AddrPort) (*answer, *refuse.Refusal) {
	part := s.budget.Split()
	c := s.chain
	c.Call = s.relay.calls.Add(1)
	c.Idempotent = s.idempotent
	c.Remaining = s.deadline.Sub(now)
	c.Repeat = c.Repeat || s.sentBefore
	if c.Objective = !s.due.IsZero(); c.Objective {
		c.Due = s.due.Sub(now)
	}
	c.Retries = part
	c.Suspect = s.suspect
	s.relay.balance.Begin(now, node)
	var a *answer
	var left int
	var refusal *refuse.Refusal
	if node == s.relay.Self {
		a, left, refusal = s.sendLocal(now, &c)
	} else {
		a, left, refusal = s.sendPeer(node, &c)
	}
	s.budget.Return(min(left, part))
	if refusal != nil {
		s.relay.balance.End(node)
		if refusal.Cause == refuse.Shed || refusal.Cause == refuse.UpstreamFailed {
			s.relay.balance.Result(time.Now(), node, true)
		}
		s.noteAttempt(time.Now(), node, &c, refusal)
		return nil, refusal
	}
	finish := a.finish
	failed := a.response.StatusCode >= http.StatusInternalServerError
	a.finish = func(whole bool) {
		finish(whole)
		s.relay.balance.End(node)
		// A caller that leaves says nothing of the upstream.
		if whole || s.ctx.Err() == nil {
			s.relay.balance.Result(time.Now(), node, failed || !whole)
		}
	}
	return a, nil
}

// sendLocal sends the call to the upstream beside the node.
func (s *session) sendLocal(now time.Time, c *chain.Chain) (*answer, int, *refuse.Refusal) {
	p, refusal := s.relay.enter(s.ctx, now, c)
	if refusal != nil {
		return nil, c.Retries, refusal
	}
	a, left, refusal := p.call(s.outgoing(""))
	now = time.Now()
	s.observe(now, s.relay.Self, s.relay.load(now, c.Route))
	return a, left, refusal
}

// observe takes in the load of a node that answered.
func (s *session) observe(now time.Time, node netip.AddrPort, load gates.Load) {
	s.relay.balance.Observe(now, node, load)
	if s.chain.Route != "" {
		s.relay.admission.Observe(now, s.chain.Route, load.Wait)
	}
}

// sendPeer sends the call to the gate of another node.
func (s *session) sendPeer(node netip.AddrPort, c *chain.Chain) (*answer, int, *refuse.Refusal) {
	encoded, err := c.Encode()
	if err != nil {
		return nil, c.Retries, refuse.New(refuse.BadRequest, 0, "%v", err)
	}
	request := s.outgoing(PathCall)
	request.Header[chain.Header] = []string{encoded}
	request.Header[headerUserAgent] = noUserAgent
	request.Header[fleet.Header] = []string{s.relay.proofFor(node)}
	response, err := s.relay.Pool.Do(s.ctx, &pool.Call{
		AwaitContinue: s.upload != nil,
		Deadline:      s.deadline,
		Idle:          s.relay.Idle,
		Request:       request,
		Silence:       silence,
		To:            node,
	})
	if err != nil {
		return nil, 0, s.peerFailed(node, err)
	}
	if response.Header.Get(chain.HeaderAnswer) != answerID(c) {
		_ = response.Body.Close()
		return nil, 0, refuse.Uncertain(refuse.BadAnswer, "the answer is for another call")
	}
	if load, ok := parseLoad(response.Header.Get(chain.HeaderLoad)); ok {
		s.observe(time.Now(), node, load)
	}
	left, _ := strconv.Atoi(response.Header.Get(chain.HeaderLeft))
	if refusal := refuse.Parse(response.Header); refusal != nil {
		if refusal.Cause == refuse.NoUpstream || refusal.Cause == refuse.Draining {
			s.relay.balance.Eject(time.Now(), node)
		}
		s.suspect = s.suspect || refusal.Crashed
		_ = discard(response)
		return nil, left, refusal
	}
	return &answer{finish: func(bool) {}, response: response}, left, nil
}

// peerFailed returns the refusal of a call that a node did not answer.
func (s *session) peerFailed(node netip.AddrPort, err error) *refuse.Refusal {
	if s.ctx.Err() == nil && time.Now().Before(s.deadline) {
		s.relay.balance.Eject(time.Now(), node)
	}
	var sendErr *pool.SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		return refuse.New(refuse.UpstreamFailed, graceRetry, "no connection to the upstream's node: %v", sendErr.Err)
	}
	return refuse.Uncertain(refuse.UpstreamFailed, "the upstream's node did not answer: %v", err)
}

// outgoing returns the request to send on, below a path.
func (s *session) outgoing(below string) *http.Request {
	header := make(http.Header, len(s.header)+3)
	for name, values := range s.header {
		header[name] = values
	}
	request := &http.Request{
		ContentLength: int64(len(s.kept)),
		Header:        header,
		Host:          s.request.Host,
		Method:        s.request.Method,
		URL:           &url.URL{ForceQuery: s.request.URL.ForceQuery, Opaque: below + rawPath(s.request), RawQuery: s.request.URL.RawQuery},
	}
	if body := small(s.kept); body != nil {
		request.Body = body
	}
	if s.upload != nil {
		request.Body = s.upload
		request.ContentLength = s.request.ContentLength
		request.Trailer = s.upload.trailer
		if below != "" {
			header["Expect"] = []string{"100-continue"}
		}
	}
	return request
}
