// Package pool sends requests over HTTP/1.1 connections that it keeps open.
// Unlike the transport of net/http it never sends a request a second time, and
// it works on the calling goroutine.
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
)

// Bounds of connections.
const (
	bufferSize  = 4 << 10 // bytes
	dialTimeout = 500 * time.Millisecond
	maxIdle     = 64 // connections to one address
	maxInterim  = 100000
	maxStray    = 4 // answers to other requests that are passed over
	// maxIdleTime is less than the time after which servers close idle
	// connections. A connection that is used again answered this recently.
	maxIdleTime = 3 * time.Second
	sweepEvery  = time.Second
	// shortIdleTime is how long connections to an address are not used for longer
	// than half of the pause after which one of them turned out to be forgotten,
	// which is at least leastIdleTime.
	shortIdleTime = 10 * time.Second
	leastIdleTime = 20 * time.Millisecond
)

// keepAlive finds connections that went silent within some seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ErrUnframed means that an answer's end cannot be told from a cut.
var ErrUnframed = errors.New("the answer has neither a length nor chunks")

// Dialer opens connections.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// SendError is the error of a request that got no answer.
type SendError struct {
	Err error
	// Forgotten tells that the connection had been used before, and ended before
	// any part of an answer came: the other side may have forgotten it.
	Forgotten bool
	// Sent tells that the other side may have received a part of the request.
	Sent bool
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent without an answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// Call is a request and its bounds.
type Call struct {
	// Request is sent as it is. Its body is read in another goroutine, which may
	// be in a Read when the answer is closed.
	Request *http.Request
	// Accept reports whether an answer is the one to the request, by its head.
	// One that is not is passed over, and the next is awaited. It may be nil.
	Accept func(response *http.Response) bool
	// AwaitContinue holds the body back until the other side asks for it.
	AwaitContinue bool
	// Deadline bounds the wait for the whole answer.
	Deadline time.Time
	// Fresh bounds the pause since the last use of the connection that is used;
	// zero means the pool's own bound. The other side may have forgotten a
	// connection that rested.
	Fresh time.Duration
	// Idle bounds each pause within the answer's body.
	Idle time.Duration
	// Silence bounds each pause before the answer's head; an interim answer
	// ends a pause. Zero means no bound.
	Silence time.Duration
	// To is the address to send to.
	To netip.AddrPort
	// Unframed takes an answer without a length or chunks as whole when the
	// other side ends the connection in order.
	Unframed bool
}

// Pool keeps idle connections. Its lock is a leaf.
type Pool struct {
	dialer Dialer

	mu     sync.Mutex
	closed bool
	idle   map[netip.AddrPort][]*conn
	rests  map[netip.AddrPort]rest
}

// rest bounds the pause between uses of a connection to an address.
type rest struct {
	most  time.Duration
	until time.Time
}

// Option changes a Pool when it is made.
type Option func(*Pool)

// WithDialer lets the pool open its connections by a Dialer.
func WithDialer(dialer Dialer) Option {
	return func(p *Pool) { p.dialer = dialer }
}

// WithSource lets the pool's connections come from an address, if it is valid.
func WithSource(source netip.Addr) Option {
	return func(p *Pool) {
		if source.IsValid() {
			p.dialer = &net.Dialer{KeepAliveConfig: keepAlive, LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))}
		}
	}
}

// New returns an empty Pool.
func New(options ...Option) *Pool {
	p := &Pool{dialer: &net.Dialer{KeepAliveConfig: keepAlive}, idle: make(map[netip.AddrPort][]*conn), rests: make(map[netip.AddrPort]rest)}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run closes connections that were idle for long, and all idle ones when the
// context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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

// Do sends a request once and returns the answer's head. The answer's body
// must be closed. An error is a *SendError.
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
		forgotten := false
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.forget(call.To)
		case c.rested >= leastIdleTime && !e.heard:
			forgotten = true
			p.shorten(time.Now(), call.To, c.rested)
		}
		return nil, &SendError{Err: err, Forgotten: forgotten, Sent: c.written}
	}
	return response, nil
}

// shorten takes in that a connection to an address which had rested for a time
// was forgotten, so that others are not used that rested for as long.
func (p *Pool) shorten(now time.Time, to netip.AddrPort, rested time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests[to] = rest{most: max(min(rested, p.longestRest(now, to))/2, leastIdleTime), until: now.Add(shortIdleTime)}
}

// longestRest returns the longest pause after which a connection to an address is
// used again. The lock must be held.
func (p *Pool) longestRest(now time.Time, to netip.AddrPort) time.Duration {
	r, ok := p.rests[to]
	switch {
	case !ok:
		return maxIdleTime
	case !now.Before(r.until):
		delete(p.rests, to)
		return maxIdleTime
	}
	return r.most
}

func (p *Pool) take(ctx context.Context, now time.Time, call *Call) (*conn, error) {
	for {
		c, longest := p.pop(now, call.To)
		if c == nil {
			break
		}
		if call.Fresh > 0 {
			longest = min(longest, call.Fresh)
		}
		if rested := now.Sub(c.usedAt); rested < longest && c.quiet() {
			c.rested = max(rested, 1)
			c.written = false
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

// pop returns the connection to an address that was used last, nil for none, and
// the longest pause after which it may be used again.
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
	return c, p.longestRest(now, to)
}

// forget closes the idle connections to an address. Where one connection went
// silent, others that are as old may have too.
func (p *Pool) forget(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		c.close()
	}
	delete(p.idle, to)
}

func (p *Pool) put(to netip.AddrPort, c *conn, now time.Time) {
	c.usedAt = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[to]) >= maxIdle {
		c.close()
		return
	}
	p.idle[to] = append(p.idle[to], c)
}

// sweep closes connections that have been idle for long; with a zero time, all
// of them for good.
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
