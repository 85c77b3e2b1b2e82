package relay

import (
	"context"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestGone checks that a caller that has closed its connection is found even if
// a request that was sent before is still unread.
func TestCallerClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	ctx := CallerContext(context.Background(), conn)
	_, err = caller.Write([]byte("GET / HTTP/1.1\r\n"))
	assert.NilError(t, err)
	assert.Check(t, !callerClosed(ctx))
	assert.NilError(t, caller.Close())
	for !callerClosed(ctx) {
		runtime.Gosched() // until the close has arrived
	}
	assert.Check(t, !callerClosed(context.Background()), "a connection that is not known is taken as open")
}
