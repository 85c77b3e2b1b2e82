package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/resets"
)

// newEchoProxy returns a proxy in front of a server that sends back all bytes.
func newEchoProxy(t *testing.T) *Proxy {
	t.Helper()
	return newProxy(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
}

// newProxy returns a proxy in front of a server that serves each connection with a function
// and then closes it.
func newProxy(t *testing.T, serve func(c net.Conn)) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	p, err := Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"), listener.Addr().(*net.TCPAddr).AddrPort())
	assert.NilError(t, err)
	t.Cleanup(func() {
		cancel()
		p.Wait()
		_ = listener.Close()
	})
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echo sends a byte and waits until it comes back. It returns the error of the read.
func echo(t *testing.T, c net.Conn, wait time.Duration) error {
	t.Helper()
	_, _ = c.Write([]byte{1})
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err := c.Read(make([]byte, 1))
	return err
}

const (
	// longWait passes only if the test fails.
	longWait = time.Minute
	// shortWait is for bytes that must not arrive.
	shortWait = 30 * time.Millisecond
)

// TestFaults sets and removes the faults of a proxy: bytes that were held back arrive
// after the fault, a fault for another source address has no effect, StallOpenConns
// affects only open connections, and Reset ends them.
func TestFaults(t *testing.T) {
	p := newEchoProxy(t)
	var all netip.Addr
	c := dial(t, p)
	assert.NilError(t, echo(t, c, longWait))

	for _, stall := range []Fault{{StallToTarget: true}, {StallFromTarget: true}} {
		p.SetFault(all, stall)
		assert.ErrorIs(t, echo(t, c, shortWait), os.ErrDeadlineExceeded)
		p.SetFault(all, Fault{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(longWait)))
		_, err := c.Read(make([]byte, 1))
		assert.NilError(t, err, "bytes that were held back must arrive after the fault")
	}

	p.SetFault(netip.MustParseAddr("127.0.0.9"), Fault{StallToTarget: true})
	assert.NilError(t, echo(t, c, longWait), "the fault is for another source address")

	p.StallOpenConns()
	assert.ErrorIs(t, echo(t, c, shortWait), os.ErrDeadlineExceeded)
	fresh := dial(t, p)
	assert.NilError(t, echo(t, fresh, longWait))

	p.SetFault(all, Fault{Reset: true})
	err := echo(t, fresh, longWait)
	assert.Check(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF), "%v", err)
}

// sendUntilError sends bytes until that fails, and returns a channel that is closed then.
func sendUntilError(c io.Writer) <-chan struct{} {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for part := make([]byte, 8000); ; {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
	}()
	return sent
}

// TestResetAfterAnswer guards against an answer that is lost on its way because the server
// resets the connection after it, as it does if it closes the connection while the client
// still sends. Without a proxy, the answer arrives.
func TestResetAfterAnswer(t *testing.T) {
	const answerBytes = 20000
	p := newProxy(t, func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 50000))
		_, _ = c.Write(make([]byte, answerBytes))
	})
	for range 300 {
		c := dial(t, p)
		sent := sendUntilError(c)
		// The error is that of the reset.
		n, _ := io.Copy(io.Discard, c)
		assert.Equal(t, n, int64(answerBytes))
		assert.NilError(t, c.Close())
		<-sent
	}
}

// TestResetWithinAnswer guards against a proxy that ends a connection in order although the
// server has reset it, because the proxy's write to the server got the reset.
func TestResetWithinAnswer(t *testing.T) {
	p := newProxy(t, func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 50000))
		_, _ = c.Write(make([]byte, 1000))
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range 300 {
		c := resets.New(dial(t, p))
		sent := sendUntilError(c)
		_, err := io.Copy(io.Discard, c)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
		assert.NilError(t, c.Close())
		<-sent
	}
}
