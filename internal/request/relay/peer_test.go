package relay

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAcceptsConnections covers a process that accepts connections, one that has
// ended, and one that is terminating, whose listener still accepts connections but
// closes them at once.
func TestAcceptsConnections(t *testing.T) {
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	assert.Check(t, r.acceptsConnections(address), "the listener is open")

	ending, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ending.Close()
	go func() {
		for {
			c, err := ending.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	assert.Check(t, !r.acceptsConnections(ending.Addr().(*net.TCPAddr).AddrPort()), "the listener closes connections at once")

	assert.NilError(t, listener.Close())
	assert.Check(t, !r.acceptsConnections(netip.AddrPortFrom(address.Addr(), address.Port())), "the listener is closed")
}

// TestProbeWithoutAnswer guards against a living upstream that counts as crashed because its
// node is short of processor time: the probe then ends without an answer. The host of an
// upstream that has ended refuses connections at once.
func TestProbeWithoutAnswer(t *testing.T) {
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.Dialer = silentDialer{}
	assert.Check(t, r.acceptsConnections(netip.MustParseAddrPort("127.0.0.1:1")))
}

// silentDialer is a pool.Dialer that gets no answer.
type silentDialer struct{}

// DialContext implements pool.Dialer.
func (silentDialer) DialContext(ctx context.Context, network, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
}
