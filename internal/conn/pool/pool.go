// Package pool is an HTTP/1.1 client with a pool of persistent connections.
// Unlike the transport of net/http, it never sends a request a second time on
// its own, and it writes the request and reads the response on the calling
// goroutine. Only requests with a body are written on another one.
package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

// Limits of connections and of the responses on them. Interim responses are those
// with a status of 1xx.
const (
	bufferSize        = 4 << 10 // bytes
	dialTimeout       = 500 * time.Millisecond
	maxHeadBytes      = 64 << 10 // of a response
	maxHeadLines      = 256      // of a response, without the ExtraHeadLines of the call
	maxHeadsBytes     = 1 << 20  // of all responses to a request, interim ones included
	maxSkippedBytes   = 64 << 10 // of the body of a response to another request
	maxIdlePerAddress = 64       // connections
	maxSkipped        = 4        // responses to other requests
	// maxIdleTime is how long a connection may be idle and still be reused. It is
	// less than the time after which servers close idle connections. It also ensures
	// that a reused connection has worked this recently.
	maxIdleTime   = 3 * time.Second
	sweepInterval = time.Second
	// idleLimitTTL is how long an address has a lower limit than maxIdleTime after
	// a connection to it turned out to be stale. That limit is half of the time for
	// which the connection had been idle, but at least minIdleLimit.
	idleLimitTTL = 10 * time.Second
	minIdleLimit = 20 * time.Millisecond
)

// keepAlive detects within about five seconds that the other end of a connection
// does not respond any more.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ErrUnframed means that a response has neither a Content-Length nor chunked
// encoding, so that its end cannot be told from a broken connection.
var ErrUnframed = errors.New("the answer has neither a length nor chunks")

// ErrUnnamed means that a response names no request and came on a connection that was used
// before, so that it may belong to another request.
var ErrUnnamed = errors.New("the answer does not name its request")

// Match tells whether a response belongs to a request.
type Match int

// Matches of a response.
const (
	// Matched means that the response belongs to the request.
	Matched Match = iota
	// Other means that it belongs to another request. It is discarded, and the next
	// response is read.
	Other
	// Unnamed means that it does not name its request. It may be a copy of an earlier
	// response, unless it is the first one on its connection. It is discarded if it is not.
	Unnamed
)

// Dialer opens connections. It is implemented by *net.Dialer.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// SendError is the error of a request without a valid response.
type SendError struct {
	Err error
	// StaleConnection reports that the request was sent on a reused connection that
	// had been idle for at least minIdleLimit, and that the connection failed before
	// any part of a response came, for another reason than a timeout or the end of
	// the context. The server may have dropped the connection while it was idle.
	StaleConnection bool
	// Sent reports that the server may have received a part of the request. If it
	// is false, sending never started.
	Sent bool
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent without an answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns Err.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Call is a request with its address and timeouts.
type Call struct {
	// Request is sent unchanged. Its body is read in another goroutine, which may run late:
	// it may be in a Read, or begin one, after Do has failed or the response's body has been
	// closed. A caller that sends the body again must make such reads fail.
	Request *http.Request
	// Accept tells by the status and the header whether a response belongs to
	// the request. Nil means that all responses do.
	Accept func(response *http.Response) Match
	// AwaitContinue delays the body until the server sends 100 Continue. The caller
	// sets the Expect header.
	AwaitContinue bool
	// Deadline bounds the time until the end of the response's body.
	Deadline time.Time
	// MaxIdleTime is the longest time for which a reused connection may have been
	// idle, as the server may have dropped a connection that was idle for longer.
	// Zero means the pool's own limit, which MaxIdleTime cannot raise.
	MaxIdleTime time.Duration
	// BodyIdleTimeout is the longest wait for the next part of the response's body.
	// Zero means that only the deadline applies.
	BodyIdleTimeout time.Duration
	// ExtraHeadLines is the number of lines that a server may add to a head, which has at
	// most 256 lines otherwise.
	ExtraHeadLines int
	// HeaderTimeout is the longest wait for the response's header. It starts anew
	// after each interim response. Zero means that only the deadline applies.
	HeaderTimeout time.Duration
	// OnSilence is called when the server has been silent for HeaderTimeout, and reports
	// whether to wait on until the deadline. Nil means not to.
	OnSilence func() bool
	// Repeatable ends the call with ErrUnnamed after an Unnamed response that may belong to
	// another request. Otherwise the call waits for another response until its deadline.
	Repeatable bool
	// Resent is set if the request has been sent to the address before. It is then sent on
	// a new connection: on the earlier one a second copy of the answer to the first time
	// may still come, which cannot be told from the answer to this time.
	Resent bool
	// To is the address to send to.
	To netip.AddrPort
	// AllowUnframed accepts a response without a Content-Length or chunked encoding.
	// It is complete when the server closes the connection without a reset.
	AllowUnframed bool
}

// Pool sends requests and keeps idle connections for reuse. It is safe for
// concurrent use. No other lock is acquired while its lock is held.
type Pool struct {
	dialer  Dialer
	log     zerolog.Logger
	uploads conc.WaitGroup // writing requests with a body

	mu         sync.Mutex
	closed     bool
	idle       map[netip.AddrPort][]*conn
	idleLimits map[netip.AddrPort]idleLimit
}

// idleLimit is a temporary limit on how long connections to an address may be idle
// and still be reused.
type idleLimit struct {
	max   time.Duration
	until time.Time
}

// Option configures a Pool in New.
type Option func(*Pool)

// WithDialer makes the pool open its connections with a Dialer.
func WithDialer(dialer Dialer) Option {
	return func(p *Pool) { p.dialer = dialer }
}

// WithLog sets the log for panics of goroutines that write requests.
func WithLog(log zerolog.Logger) Option {
	return func(p *Pool) { p.log = log }
}

// WithSource sets the local address of the pool's connections. An invalid address
// has no effect.
func WithSource(source netip.Addr) Option {
	return func(p *Pool) {
		if source.IsValid() {
			p.dialer = &net.Dialer{KeepAliveConfig: keepAlive, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
		}
	}
}

// New returns an empty Pool.
func New(options ...Option) *Pool {
	p := &Pool{dialer: &net.Dialer{KeepAliveConfig: keepAlive}, idle: make(map[netip.AddrPort][]*conn), idleLimits: make(map[netip.AddrPort]idleLimit), log: zerolog.Nop()}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run periodically closes connections that have been idle for maxIdleTime. When
// the context ends, it closes all idle connections and returns; the pool keeps no
// connections from then on.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(time.Time{})
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// Wait waits until the goroutines have ended that write requests with a body. Each does so
// once its call has ended and a read of the body in progress has returned.
func (p *Pool) Wait() {
	p.uploads.Wait()
}

// Do sends a request once and returns the response as soon as its header has been
// read. The caller must close the response's body. All errors are of type
// *SendError.
func (p *Pool) Do(ctx context.Context, call *Call) (*http.Response, error) {
	c, err := p.take(ctx, time.Now(), call)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	e := &exchange{call: call, conn: c, pool: p}
	e.stop = context.AfterFunc(ctx, c.reset)
	response, err := e.run()
	if err != nil {
		e.abort()
		stale := false
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.closeIdle(call.To)
		case c.idleTime >= minIdleLimit && !e.responseStarted:
			stale = true
			p.lowerIdleLimit(time.Now(), call.To, c.idleTime)
		}
		return nil, &SendError{Err: err, StaleConnection: stale, Sent: c.sendStarted}
	}
	return response, nil
}

// lowerIdleLimit lowers the idle limit of an address after a connection that had
// been idle for idleTime turned out to be stale. Others that were idle for as
// long may be stale too.
func (p *Pool) lowerIdleLimit(now time.Time, to netip.AddrPort, idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.idleLimitFor(now, to)
	if limit == 0 {
		return // set by avoidReuse
	}
	p.idleLimits[to] = idleLimit{max: max(min(idleTime, limit)/2, minIdleLimit), until: now.Add(idleLimitTTL)}
}

// avoidReuse makes calls to an address use new connections for idleLimitTTL.
func (p *Pool) avoidReuse(now time.Time, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimits[to] = idleLimit{until: now.Add(idleLimitTTL)}
}

// idleLimitFor returns how long a connection to an address may be idle and still
// be reused. The caller holds the lock.
func (p *Pool) idleLimitFor(now time.Time, to netip.AddrPort) time.Duration {
	limit, ok := p.idleLimits[to]
	switch {
	case !ok:
		return maxIdleTime
	case !now.Before(limit.until):
		delete(p.idleLimits, to)
		return maxIdleTime
	}
	return limit.max
}

// take returns a reusable idle connection, or else a new one, which it always does for a
// request that is sent again. It closes the idle
// connections that it rejects.
func (p *Pool) take(ctx context.Context, now time.Time, call *Call) (*conn, error) {
	for !call.Resent {
		c, limit := p.pop(now, call.To)
		if c == nil {
			break
		}
		if call.MaxIdleTime > 0 {
			limit = min(limit, call.MaxIdleTime)
		}
		if idleTime := now.Sub(c.usedAt); idleTime < limit && c.reusable() {
			c.idleTime = max(idleTime, 1)
			c.sendStarted = false
			return c, nil
		}
		c.close()
	}
	deadline := now.Add(dialTimeout)
	if call.Deadline.Before(deadline) {
		deadline = call.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	nc, err := p.dialer.DialContext(ctx, "tcp", call.To.String())
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

// pop removes the most recently used idle connection to an address and returns
// it, with the idle limit of the address. The connection is nil if there is none.
func (p *Pool) pop(now time.Time, to netip.AddrPort) (*conn, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil, 0
	}
	c := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	p.idle[to] = idle[:len(idle)-1]
	return c, p.idleLimitFor(now, to)
}

// closeIdle closes all idle connections to an address. It is called after a
// timeout on one connection, as others of the same age may not work any more
// either.
func (p *Pool) closeIdle(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.close()
	}
	delete(p.idle, to)
}

// put keeps a connection for reuse. It closes the connection if the pool has been
// closed or keeps enough connections to the address.
func (p *Pool) put(to netip.AddrPort, c *conn, now time.Time) {
	c.usedAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[to]) >= maxIdlePerAddress {
		c.close()
		return
	}
	p.idle[to] = append(p.idle[to], c)
}

// sweep closes the connections that have been idle for maxIdleTime. A zero time
// closes all idle connections and the pool itself, which keeps none from then on.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || now.IsZero()
	for to, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if p.closed || now.Sub(c.usedAt) >= maxIdleTime {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		clear(idle[len(kept):])
		p.idle[to] = kept
		if len(kept) == 0 {
			delete(p.idle, to)
		}
	}
}
