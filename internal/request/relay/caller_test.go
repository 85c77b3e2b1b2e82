package relay

import (
	"context"
	"net"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCallerClosed checks that a closed connection is detected even while a request
// on it is unread.
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
		runtime.Gosched() // wait for the close to arrive
	}
	assert.Check(t, !callerClosed(context.Background()), "an unknown connection counts as open")
}

// TestClosedConnectionHasNoCaller guards against requests that are still sent on, and waits
// that do not end, after this node has closed the connection of their caller.
func TestClosedConnectionHasNoCaller(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	ctx := CallerContext(t.Context(), conn)
	assert.Check(t, !callerClosed(ctx))
	assert.NilError(t, conn.Close())
	assert.Check(t, callerClosed(ctx))
}

// TestHalfClosedCaller checks that a caller that has closed its sending direction counts as
// gone although it could still read: the close looks the same as that of a caller that has
// left, and work for those must end.
func TestHalfClosedCaller(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer conn.Close()
	ctx := CallerContext(t.Context(), conn)
	assert.Check(t, !callerClosed(ctx))
	assert.NilError(t, caller.(*net.TCPConn).CloseWrite())
	for !callerClosed(ctx) {
		runtime.Gosched() // wait for the close to arrive
	}
}
