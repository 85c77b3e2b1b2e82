package resets_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/resets"
)

// pieceBytes is the number of bytes that are written at a time.
const pieceBytes = 8 << 10

// newPair returns the two ends of a TCP connection.
func newPair(t *testing.T) (*resets.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return resets.New(client), server.(*net.TCPConn)
}

// writeUntilError writes until a write fails, and returns its error.
func writeUntilError(c *resets.Conn) error {
	for {
		if _, err := c.Write(make([]byte, pieceBytes)); err != nil {
			return err
		}
	}
}

// TestReset guards against a reset that reads do not see because a write got it.
func TestReset(t *testing.T) {
	client, server := newPair(t)
	_, err := io.WriteString(server, "half")
	assert.NilError(t, err)
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	assert.ErrorIs(t, writeUntilError(client), syscall.ECONNRESET)
	data, err := io.ReadAll(client)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.Equal(t, string(data), "half")
}

// TestCloseBeforeReset checks that a connection which the other side closed in order ends in
// order, although it was reset afterwards and a write got that.
func TestCloseBeforeReset(t *testing.T) {
	client, server := newPair(t)
	_, err := io.WriteString(server, "whole")
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	assert.NilError(t, server.SetLinger(0))
	assert.NilError(t, server.Close())
	assert.Check(t, writeUntilError(client) != nil)
	data, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "whole")
}

// TestCloseBesideWrite checks that the end of one direction is found while a write waits for the
// other side, and leaves that write alone.
func TestCloseBesideWrite(t *testing.T) {
	const bytes = 16 << 20 // more than the kernel buffers
	client, server := newPair(t)
	assert.NilError(t, server.CloseWrite())
	written := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, bytes))
		written <- err
	}()
	_, err := server.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	read, err := io.CopyN(io.Discard, server, bytes-1)
	assert.NilError(t, err)
	assert.Equal(t, read, int64(bytes-1))
	assert.NilError(t, <-written)
}
