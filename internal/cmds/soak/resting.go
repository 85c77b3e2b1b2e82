package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Resting describes callers that keep a connection and rest between their requests.
type Resting struct {
	// BlindFraction is the fraction of callers that notice the end of their connection only
	// when they send the next request.
	BlindFraction float64
	// BurstFraction is the fraction of callers that send all at the same times.
	BurstFraction float64
	// Callers is the number of callers at each host.
	Callers int
	// EagerFraction is the fraction of callers that connect again as soon as their
	// connection has ended, and not only when they send. A planned stop waits for the first
	// requests on their connections, up to the end of the drain time.
	EagerFraction float64
	// MinRest and MaxRest limit the rests, which are distributed uniformly.
	MinRest, MaxRest time.Duration
	// PipelinedFraction is the fraction of times at which a caller sends a second request
	// without waiting for the response to the first.
	PipelinedFraction float64
}

// mixedCallers rest for times up to and past the idle timeouts of LowerIdle.
var mixedCallers = Resting{BlindFraction: 0.2, BurstFraction: 0.3, Callers: 150, EagerFraction: 0.2, MinRest: 400 * time.Millisecond, MaxRest: 5 * time.Second, PipelinedFraction: 0.1}

// Times of resting callers.
const (
	// burstInterval is the time between two bursts. It is not a multiple of the interval at
	// which a node closes idle connections, so that bursts meet it at different times.
	burstInterval = 2300 * time.Millisecond
	dialTimeout   = time.Second
	// maxDialPause limits the wait before a caller connects again.
	maxDialPause = 200 * time.Millisecond
	// restPoll is the interval at which a resting caller checks whether the run has ended.
	restPoll = 500 * time.Millisecond
)

// Reached is how far a request came whose connection ended without a response.
type Reached string

// Values of Reached.
const (
	// ReachedProcess means that the node read the request before it closed the connection.
	ReachedProcess Reached = "read by the node"
	// ReachedKernel means that the request had arrived when the node closed the
	// connection, and that the node had not read all of it.
	ReachedKernel Reached = "arrived, not read"
	// ReachedNothing means that the request arrived after the node had closed the
	// connection.
	ReachedNothing Reached = "after the close"
	// ReachedUnknown means that the kernel did not say.
	ReachedUnknown Reached = "unknown"
)

// startResting starts resting callers at a host. They send requests until the context
// ends. The seed fixes their requests and rests.
func (c *callers) startResting(ctx context.Context, host int, seed uint64, options Resting) {
	start := time.Now()
	for i := range options.Callers {
		k := &restingCaller{
			Resting: options, callers: c, host: host,
			random: rand.New(rand.NewPCG(seed, uint64(host*options.Callers+i))), start: start,
		}
		k.blind = k.random.Float64() < options.BlindFraction
		k.eager = k.random.Float64() < options.EagerFraction
		k.bursts = k.random.Float64() < options.BurstFraction
		c.workers.Go(func() { k.run(ctx) })
	}
}

// restingCaller is one caller of a Resting.
type restingCaller struct {
	Resting
	blind, bursts, eager bool
	callers              *callers
	host                 int
	random               *rand.Rand
	start                time.Time
}

// run sends requests until the context ends. It connects again when its connection has
// ended.
func (k *restingCaller) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for pause.For(ctx, time.Duration(k.random.Int64N(int64(maxDialPause)))) == nil {
		if !k.eager && pause.For(ctx, time.Until(k.restEnd(time.Now()))) != nil {
			return
		}
		conn, err := dialer.DialContext(ctx, "tcp", k.callers.hosts[k.host].Callers().String())
		if err != nil {
			continue // the node is away
		}
		k.use(ctx, &keptConn{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)})
		// The node may have closed the connection already.
		_ = conn.Close()
	}
}

// use sends requests on a connection until it has ended or the context ends.
func (k *restingCaller) use(ctx context.Context, conn *keptConn) {
	for rested := !k.eager; rested || conn.rest(ctx, k.restEnd(time.Now()), k.blind); rested = false {
		requests := []*mimic.Request{k.randomRequest()}
		if k.random.Float64() < k.PipelinedFraction {
			requests = append(requests, k.randomRequest())
		}
		outcomes, open := conn.exchange(ctx, requests)
		for i := range outcomes {
			o := &outcomes[i]
			o.Customer, o.Host, o.Route = "amis", k.host, routeBrowse
			if requests[i].Method == http.MethodPost {
				o.Route = routeOrder
			}
			k.callers.record(*o)
		}
		if !open {
			return
		}
	}
}

// restEnd returns when a rest ends that begins now.
func (k *restingCaller) restEnd(now time.Time) time.Time {
	end := now.Add(k.MinRest + time.Duration(k.random.Int64N(int64(k.MaxRest-k.MinRest))))
	if k.bursts {
		return k.start.Add(end.Sub(k.start).Round(burstInterval))
	}
	return end
}

// randomRequest returns a request that is as likely idempotent as not.
func (k *restingCaller) randomRequest() *mimic.Request {
	r := &mimic.Request{Host: hostName, ID: fmt.Sprintf("k-%016x", k.random.Uint64()), Key: "key-amis", Method: http.MethodGet, Timeout: callerTimeout, Address: k.callers.hosts[k.host].Callers()}
	route := routeBrowse
	if k.random.IntN(2) == 0 {
		route, r.Method, r.BodyBytes = routeOrder, http.MethodPost, transferBodyBytes
	}
	r.Path = "/" + route + "/" + r.ID
	return r
}

// keptConn is a caller's connection.
type keptConn struct {
	*net.TCPConn
	answered bool // whether a response arrived
	reader   *bufio.Reader
	sent     uint64 // bytes
}

// rest waits until a time. It reports whether the connection is still open, which a blind
// caller does not check, and the context has not ended.
func (c *keptConn) rest(ctx context.Context, until time.Time, blind bool) bool {
	if blind {
		return pause.For(ctx, time.Until(until)) == nil
	}
	for now := time.Now(); now.Before(until); now = time.Now() {
		if err := c.SetReadDeadline(now.Add(min(restPoll, until.Sub(now)))); err != nil || ctx.Err() != nil {
			return false
		}
		if _, err := c.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return true
}

// exchange sends requests in one go and reads their responses. It reports whether the
// connection can be used further.
func (c *keptConn) exchange(ctx context.Context, requests []*mimic.Request) ([]Outcome, bool) {
	now := time.Now()
	sent, err := c.send(ctx, now, requests)
	whole := time.Now()
	if err != nil {
		whole = time.Time{}
	}
	var outcomes []Outcome
	open := true
	for i, r := range requests {
		o := Outcome{Behind: i > 0, BodyBytes: r.BodyBytes, First: !c.answered, ID: r.ID, Kept: true, Sent: now, Whole: whole}
		if err == nil {
			o.Response, o.Partial, err = c.receive(r, sent[i])
			open = open && !sent[i].Close
		}
		o.Done, o.Err = time.Now(), err
		if o.cut() && !whole.IsZero() {
			o.Reached = c.reached(err)
		}
		outcomes = append(outcomes, o)
	}
	c.answered = c.answered || outcomes[0].Response != nil
	return outcomes, open && err == nil
}

// send sends requests in one go. The connection can be used for callerTimeout.
func (c *keptConn) send(ctx context.Context, now time.Time, requests []*mimic.Request) ([]*http.Request, error) {
	if err := c.SetDeadline(now.Add(callerTimeout)); err != nil {
		return nil, trace.Wrap(err)
	}
	var data bytes.Buffer
	var sent []*http.Request
	for _, r := range requests {
		request, err := r.HTTP(context.WithoutCancel(ctx))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if err := request.Write(&data); err != nil {
			return nil, trace.Wrap(err)
		}
		sent = append(sent, request)
	}
	n, err := c.Write(data.Bytes())
	c.sent += uint64(n)
	return sent, trace.Wrap(err)
}

// receive reads the response to a request, and reports whether it was cut after its
// header. It sets Close of the request that was sent if the node closes the connection
// after the response.
func (c *keptConn) receive(r *mimic.Request, sent *http.Request) (response *mimic.Response, partial bool, err error) {
	began, err := http.ReadResponse(c.reader, sent)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	sent.Close = began.Close
	response, err = r.ReadResponse(began)
	return response, err != nil, trace.Wrap(err)
}

// reached returns how far the bytes came that were sent, given the error with which
// reading ended. A kernel resets a connection that its process closes with unread data,
// and the end of a connection without a reset also acknowledges what arrived before it.
func (c *keptConn) reached(readErr error) Reached {
	if errors.Is(readErr, syscall.ECONNRESET) {
		return ReachedKernel
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return ReachedUnknown
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || infoErr != nil {
		return ReachedUnknown
	}
	// The handshake counts as one byte.
	if info.Bytes_acked > c.sent {
		return ReachedProcess
	}
	return ReachedNothing
}
