package relay

import (
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
