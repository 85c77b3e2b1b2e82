package links

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/pause"
)

// TestSilentLinks runs the cases of testdata/silent.csv in virtual time. It guards against
// a link that is used on although it has gone silent for good, and against more than one new
// link a second to a peer that is only slow.
func TestSilentLinks(t *testing.T) {
	steps.Cases(t, "testdata/silent.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runSilentLink(t, record) })
	})
}

// runSilentLink runs one record. Its fields are the name, what goes silent, the kind of
// message that is sent, the time limit of each call, the time until calls must succeed
// again, and the largest number of links that may be opened.
func runSilentLink(t *testing.T, record []string) {
	limit, err := time.ParseDuration(record[3])
	assert.NilError(t, err)
	within, err := time.ParseDuration(record[4])
	assert.NilError(t, err)
	maxOpened, err := strconv.Atoi(record[5])
	assert.NilError(t, err)
	n := newPipeNetwork(t)
	defer n.close()
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(n.ctx, limit)
		defer cancel()
		var answer echo
		return n.caller.Call(ctx, n.to, wire.KindPing, echo{Text: "x"}, &answer)
	}
	assert.NilError(t, call(limit))
	time.Sleep(5 * time.Second)
	opened := len(n.conns)
	n.silence(record[1])
	began := time.Now()
	for time.Since(began) < within {
		switch record[2] {
		case "call":
			_ = call(limit)
		case "calls":
			var workers sync.WaitGroup
			for range 20 {
				workers.Go(func() { _ = call(limit) })
			}
			workers.Wait()
		case "message":
			ctx, cancel := context.WithTimeout(n.ctx, limit)
			assert.NilError(t, n.caller.Send(ctx, n.to, wire.KindPing, echo{Text: "x"}))
			cancel()
		}
		time.Sleep(10 * time.Millisecond)
	}
	if record[1] != "slow" {
		assert.Check(t, call(limit))
	}
	assert.Check(t, len(n.conns)-opened <= maxOpened, "%d links opened, want at most %d", len(n.conns)-opened, maxOpened)
	if maxOpened > 0 {
		assert.Check(t, n.caller.Traffic().SilentLinks.Load() > 0)
	}
}

// TestSlowPeer guards against a peer that is taken for silent because it answers slowly: the
// time of its answers must become known although they come after the ends of the calls, its
// link must not be replaced any more from then on, and a link that goes silent for good is
// replaced all the same, sooner again once the peer is fast.
func TestSlowPeer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNetwork(t)
		defer n.close()
		n.slow = 500 * time.Millisecond
		call := func(limit time.Duration) error {
			ctx, cancel := context.WithTimeout(n.ctx, limit)
			defer cancel()
			var answer echo
			return n.caller.Call(ctx, n.to, kindFast, echo{Text: "x"}, &answer)
		}
		for range 10 {
			assert.Check(t, call(180*time.Millisecond) != nil)
			time.Sleep(time.Second)
		}
		assert.Equal(t, n.caller.RoundTrip(n.to), n.slow)
		assert.Check(t, len(n.conns) <= 2, "%d links opened", len(n.conns))
		assert.NilError(t, call(3*n.caller.RoundTrip(n.to)))

		opened := len(n.conns)
		n.silence("both")
		began := time.Now()
		for call(n.caller.RoundTrip(n.to)*3/2) != nil {
			assert.Assert(t, time.Since(began) < 2*maxSilence, "the silent link was not replaced")
		}
		assert.Equal(t, len(n.conns), opened+1)

		n.slow = time.Millisecond
		for range 60 {
			assert.NilError(t, call(time.Second))
		}
		assert.Check(t, n.caller.RoundTrip(n.to) < minSilence/slowFactor, "%v", n.caller.RoundTrip(n.to))
	})
}

// kindFast is a kind of message whose handler does not block, as far as the mesh knows.
const kindFast = wire.KindNews

// pipeNetwork connects two meshes by pipes that can go silent.
type pipeNetwork struct {
	accept chan net.Conn
	caller *Mesh
	cancel context.CancelFunc
	conns  []*silentConn
	ctx    context.Context
	server *http.Server
	slow   time.Duration // how long the peer takes to answer
	to     netip.AddrPort
}

func newPipeNetwork(t *testing.T) *pipeNetwork {
	n := &pipeNetwork{accept: make(chan net.Conn), to: netip.MustParseAddrPort("10.0.0.2:1")}
	n.ctx, n.cancel = context.WithCancel(t.Context())
	peer := NewMesh(n.ctx, n.to, newSecret(t, "the secret of the test"))
	handle := func(_ netip.AddrPort, body []byte) (any, error) {
		var e echo
		err := wire.Decode(body, &e)
		_ = pause.For(n.ctx, n.slow)
		return e, err
	}
	peer.HandleSlow(wire.KindPing, handle)
	peer.HandleSlow(kindFast, handle)
	n.caller = NewMesh(n.ctx, netip.MustParseAddrPort("10.0.0.1:1"), newSecret(t, "the secret of the test"), WithDialer(n))
	n.server = &http.Server{Handler: peer}
	go func() { _ = n.server.Serve(n) }()
	return n
}

// close ends the meshes and waits for their timers.
func (n *pipeNetwork) close() {
	n.cancel()
	_ = n.server.Close()
	for _, c := range n.conns {
		_ = c.Conn.Close()
	}
	time.Sleep(time.Minute)
}

// silence lets the connections that are open go silent, in the given way.
func (n *pipeNetwork) silence(way string) {
	for _, c := range n.conns {
		switch way {
		case "both":
			c.setSilent(true, true)
		case "to the peer":
			c.setSilent(false, true)
		case "from the peer":
			c.setSilent(true, false)
		case "slow":
			n.slow = 2 * time.Second
		}
	}
}

// DialContext implements Dialer.
func (n *pipeNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	caller, peer := net.Pipe()
	c := &silentConn{Conn: caller, closed: make(chan struct{}), holding: make(chan struct{}, 1)}
	n.conns = append(n.conns, c)
	n.accept <- peer
	return c, nil
}

// Accept implements net.Listener.
func (n *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case <-n.ctx.Done():
		return nil, net.ErrClosed
	case c := <-n.accept:
		return c, nil
	}
}

// Addr implements net.Listener.
func (n *pipeNetwork) Addr() net.Addr {
	return &net.TCPAddr{}
}

// Close implements net.Listener.
func (n *pipeNetwork) Close() error {
	return nil
}

// silentConn is a connection that can lose all bytes in one direction or both.
type silentConn struct {
	net.Conn
	closed  chan struct{}
	holding chan struct{} // has an element while writes wait
	once    sync.Once

	mu                                 sync.Mutex
	blocked, silentReads, silentWrites bool
}

func (c *silentConn) setSilent(reads, writes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silentReads, c.silentWrites = reads, writes
}

// setBlocked makes writes wait until the connection is closed.
func (c *silentConn) setBlocked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocked = true
}

// Read implements net.Conn. Once reads are silent it blocks until the connection is closed.
func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	silent := c.silentReads
	c.mu.Unlock()
	if silent {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	blocked, silent := c.blocked, c.silentWrites
	c.mu.Unlock()
	switch {
	case silent:
		return len(p), nil
	case blocked:
		<-c.closed
		return 0, net.ErrClosed
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	case c.holding <- struct{}{}:
	}
	defer func() { <-c.holding }()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
