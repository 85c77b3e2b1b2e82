// Package proxy forwards TCP connections between processes on loopback addresses and
// injects faults into them.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/conn/resets"
	"github.com/wasabibend/wasabibend/internal/pause"
)

// Fault is a fault of connections. The zero value forwards them unchanged.
type Fault struct {
	// Delay is how much longer bytes take, in both directions.
	Delay time.Duration
	// Reset resets open connections and each new one.
	Reset bool
	// StallFromTarget holds back the bytes that come from the target, and
	// StallToTarget those that go to it. They are forwarded when the fault is
	// removed.
	StallFromTarget, StallToTarget bool
}

// Proxy accepts connections at an address and forwards them to a target. mu guards
// the fields below it.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	workers  conc.WaitGroup

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when faults change
	conns   map[*conn]struct{}
	faults  map[netip.Addr]Fault // by source address; the zero address is for all others
}

// conn is a forwarded connection.
type conn struct {
	source         netip.Addr
	stalled        bool // by StallOpenConns; guarded by Proxy.mu
	client, target *net.TCPConn
}

// Listen starts a Proxy that forwards connections to a target until the context
// ends. Port 0 of the address chooses a free one.
func Listen(ctx context.Context, address, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Proxy{changed: make(chan struct{}), conns: make(map[*conn]struct{}), faults: make(map[netip.Addr]Fault), listener: listener, target: target}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.forEachConn(func(c *conn) { c.reset() })
	})
	p.workers.Go(func() {
		defer stop()
		p.accept(ctx)
	})
	return p, nil
}

// Address returns the address at which the proxy accepts connections.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Wait waits until all connections have ended. The context of Listen must have ended
// before.
func (p *Proxy) Wait() {
	p.workers.Wait()
}

// SetFault replaces the fault of connections from an address. The zero address stands for
// connections from all addresses for which no fault was set. A Reset for the zero
// address resets all open connections.
func (p *Proxy) SetFault(source netip.Addr, fault Fault) {
	p.mu.Lock()
	p.faults[source] = fault
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	if fault.Reset {
		p.forEachConn(func(c *conn) {
			if !source.IsValid() || c.source == source {
				c.reset()
			}
		})
	}
}

// StallOpenConns holds back all further bytes of the connections that are open now,
// for good. New connections work.
func (p *Proxy) StallOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.stalled = true
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// forEachConn calls a function for each open connection while it holds p.mu.
func (p *Proxy) forEachConn(do func(c *conn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		do(c)
	}
}

// faultOf returns the fault of a connection, and a channel that is closed when faults
// change.
func (p *Proxy) faultOf(c *conn) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault, ok := p.faults[c.source]
	if !ok {
		fault = p.faults[netip.Addr{}]
	}
	if c.stalled {
		fault = Fault{StallFromTarget: true, StallToTarget: true}
	}
	return fault, p.changed
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{source: client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(), client: client.(*net.TCPConn)}
		p.workers.Go(func() { p.serve(ctx, c) })
	}
}

// serve connects to the target as soon as the fault allows it, and forwards bytes in
// both directions until both have ended.
func (p *Proxy) serve(ctx context.Context, c *conn) {
	defer c.client.Close()
	if err := p.await(ctx, c, time.Now(), func(f Fault) bool { return f.StallToTarget }); err != nil {
		c.reset()
		return
	}
	target, err := net.Dial("tcp", p.target.String())
	if err != nil {
		c.reset()
		return
	}
	defer target.Close()
	c.target = target.(*net.TCPConn)
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	var directions conc.WaitGroup
	toTarget, toClient := make(chan struct{}), make(chan struct{})
	clientSide, targetSide := resets.New(c.client), resets.New(c.target)
	directions.Go(func() {
		p.forward(ctx, c, direction{to: targetSide, closeTo: c.target.CloseWrite, from: clientSide, ended: toTarget, opposite: toClient, stalls: func(f Fault) bool { return f.StallToTarget }})
	})
	directions.Go(func() {
		p.forward(ctx, c, direction{to: clientSide, closeTo: c.client.CloseWrite, from: targetSide, ended: toClient, opposite: toTarget, stalls: func(f Fault) bool { return f.StallFromTarget }})
	})
	directions.Wait()
}

// maxBlocks is the maximum number of blocks that wait for their delay, in one direction of
// a connection.
const maxBlocks = 256

// block is what one read of a connection returned.
type block struct {
	data   []byte
	err    error
	readAt time.Time
}

// direction is one direction of a connection.
type direction struct {
	closeTo  func() error // ends this direction at the receiver
	from, to *resets.Conn
	ended    chan struct{}    // closed when no more bytes are forwarded
	opposite <-chan struct{}  // ended of the opposite direction
	stalls   func(Fault) bool // reports whether a fault holds back this direction
}

// forward copies bytes in one direction until the sender ends it. An error resets the
// connection.
func (p *Proxy) forward(ctx context.Context, c *conn, d direction) {
	var once sync.Once
	end := func() { once.Do(func() { close(d.ended) }) }
	defer end()
	ctx, cancel := context.WithCancel(ctx)
	blocks := make(chan block, maxBlocks)
	var reader conc.WaitGroup
	defer reader.Wait()
	defer cancel()
	reader.Go(func() { readBlocks(ctx, d.from, blocks) })
	for b := range blocks {
		if err := p.await(ctx, c, b.readAt, d.stalls); err != nil {
			c.reset()
			return
		}
		if len(b.data) > 0 {
			if _, err := d.to.Write(b.data); err != nil {
				// What the receiver sent before it reset the connection still arrives.
				end()
				<-d.opposite
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(b.err, io.EOF):
			_ = d.closeTo()
		case b.err != nil:
			c.reset()
		}
	}
}

// readBlocks reads from a connection into a channel until a read fails or the context
// ends, and closes the channel. The last block has the error of the read.
func readBlocks(ctx context.Context, from io.Reader, blocks chan<- block) {
	defer close(blocks)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-ctx.Done():
			return
		case blocks <- block{data: bytes.Clone(buffer[:n]), err: err, readAt: time.Now()}:
		}
		if err != nil {
			return
		}
	}
}

// errReset is returned by await if the fault resets the connection.
var errReset = errors.New("the fault resets the connection")

// await waits for as long as the fault holds back bytes, and until its delay has passed
// since readAt. It returns errReset, or the context's error if that ends first.
func (p *Proxy) await(ctx context.Context, c *conn, readAt time.Time, stalls func(Fault) bool) error {
	for {
		fault, changed := p.faultOf(c)
		switch {
		case fault.Reset:
			return errReset
		case !stalls(fault):
			return pause.For(ctx, time.Until(readAt.Add(fault.Delay)))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// reset sends a TCP reset to both sides of a connection.
func (c *conn) reset() {
	for _, side := range []*net.TCPConn{c.client, c.target} {
		if side != nil {
			// An error means that this side is already closed. SetLinger(0) makes
			// Close send a reset.
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
}
