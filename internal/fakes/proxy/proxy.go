// Package proxy forwards TCP connections between processes on loopback and
// injects faults into them.
package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/pause"
)

// Fault is what happens to connections. The zero value forwards them.
type Fault struct {
	// Delay is added to each part of the bytes.
	Delay time.Duration
	// Reset ends connections that are open, and each new one, by a reset.
	Reset bool
	// SilentFrom and SilentTo hold back what comes from the target, and what goes
	// to it. It flows on when the fault is over.
	SilentFrom, SilentTo bool
}

// Proxy forwards the connections to an address to a target. Its lock guards all
// fields below it.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	workers  conc.WaitGroup

	mu     sync.Mutex
	change chan struct{} // closed when the faults change
	conns  map[*conn]struct{}
	faults map[netip.Addr]Fault // by where connections come from; others have the one of the zero address
}

// conn is a forwarded connection.
type conn struct {
	from      netip.Addr
	forgotten bool
	near, far *net.TCPConn
}

// Listen returns a Proxy that forwards until the context ends.
func Listen(ctx context.Context, address, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Proxy{change: make(chan struct{}), conns: make(map[*conn]struct{}), faults: make(map[netip.Addr]Fault), listener: listener, target: target}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		p.each(func(c *conn) { c.reset() })
	})
	p.workers.Go(func() {
		defer stop()
		p.accept(ctx)
	})
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Wait waits until all forwarding has ended, after the context did.
func (p *Proxy) Wait() {
	p.workers.Wait()
}

// Set sets the fault of connections from an address, or of all others for the
// zero address.
func (p *Proxy) Set(from netip.Addr, fault Fault) {
	p.mu.Lock()
	p.faults[from] = fault
	close(p.change)
	p.change = make(chan struct{})
	p.mu.Unlock()
	if fault.Reset {
		p.each(func(c *conn) {
			if !from.IsValid() || c.from == from {
				c.reset()
			}
		})
	}
}

// Forget makes the connections that are open now silent for good. New ones work.
func (p *Proxy) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.forgotten = true
	}
	close(p.change)
	p.change = make(chan struct{})
}

func (p *Proxy) each(do func(c *conn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		do(c)
	}
}

// state returns the fault of a connection, and what is closed when that changes.
func (p *Proxy) state(c *conn) (Fault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault, ok := p.faults[c.from]
	if !ok {
		fault = p.faults[netip.Addr{}]
	}
	if c.forgotten {
		fault = Fault{SilentFrom: true, SilentTo: true}
	}
	return fault, p.change
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &conn{from: near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr(), near: near.(*net.TCPConn)}
		p.workers.Go(func() { p.serve(ctx, c) })
	}
}

// serve connects to the target when the fault allows it, and forwards.
func (p *Proxy) serve(ctx context.Context, c *conn) {
	defer c.near.Close()
	if err := p.await(ctx, c, func(f Fault) bool { return f.SilentTo }); err != nil {
		c.reset()
		return
	}
	far, err := net.Dial("tcp", p.target.String())
	if err != nil {
		c.reset()
		return
	}
	defer far.Close()
	c.far = far.(*net.TCPConn)
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	var ways conc.WaitGroup
	ways.Go(func() { p.forward(ctx, c, c.far, c.near, func(f Fault) bool { return f.SilentTo }) })
	ways.Go(func() { p.forward(ctx, c, c.near, c.far, func(f Fault) bool { return f.SilentFrom }) })
	ways.Wait()
}

// forward copies bytes one way until one side ends it.
func (p *Proxy) forward(ctx context.Context, c *conn, to, from *net.TCPConn, silent func(Fault) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if waitErr := p.await(ctx, c, silent); waitErr != nil {
			c.reset()
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// errReset means that the fault resets the connection.
var errReset = errors.New("the fault resets the connection")

// await waits for as long as the fault delays or holds back bytes.
func (p *Proxy) await(ctx context.Context, c *conn, silent func(Fault) bool) error {
	for {
		fault, change := p.state(c)
		switch {
		case fault.Reset:
			return errReset
		case !silent(fault):
			return pause.For(ctx, fault.Delay)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-change:
		}
	}
}

// reset ends a connection by a reset on both sides.
func (c *conn) reset() {
	for _, side := range []*net.TCPConn{c.near, c.far} {
		if side != nil {
			// An error means that the side has ended already.
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
}
