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
)

// newEcho returns a proxy in front of a server that sends back what it gets.
func newEcho(t *testing.T) *Proxy {
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
				_, _ = io.Copy(c, c)
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

// echo sends a byte and waits for it, and returns the error of the read.
func echo(t *testing.T, c net.Conn, wait time.Duration) error {
	t.Helper()
	_, _ = c.Write([]byte{1})
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	_, err := c.Read(make([]byte, 1))
	return err
}

// long is a wait that ends only when a test fails, and short one for what must
// not come.
const (
	long  = time.Minute
	short = 30 * time.Millisecond
)

// TestForward goes through the faults of one proxy.
func TestForward(t *testing.T) {
	p := newEcho(t)
	var all netip.Addr
	c := dial(t, p)
	assert.NilError(t, echo(t, c, long))

	for _, silent := range []Fault{{SilentTo: true}, {SilentFrom: true}} {
		p.Set(all, silent)
		assert.ErrorIs(t, echo(t, c, short), os.ErrDeadlineExceeded)
		p.Set(all, Fault{})
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(long)))
		_, err := c.Read(make([]byte, 1))
		assert.NilError(t, err, "what was held back comes when the fault is over")
	}

	p.Set(netip.MustParseAddr("127.0.0.9"), Fault{SilentTo: true})
	assert.NilError(t, echo(t, c, long), "the fault is of connections from elsewhere")

	p.Forget()
	assert.ErrorIs(t, echo(t, c, short), os.ErrDeadlineExceeded)
	fresh := dial(t, p)
	assert.NilError(t, echo(t, fresh, long))

	p.Set(all, Fault{Reset: true})
	err := echo(t, fresh, long)
	assert.Check(t, errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF), "%v", err)
}
