// Package canned is a stand-in for an HTTP server that gives any bytes as its answer.
package canned

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// Serve starts a server that answers the first request of each connection with a text in the
// syntax of Go strings, without quotes, and closes the connection. It returns the server's
// address. The server ends with the test.
func Serve(t *testing.T, answer string) netip.AddrPort {
	t.Helper()
	answer, err := strconv.Unquote(`"` + answer + `"`)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var workers conc.WaitGroup
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		workers.Wait()
	})
	workers.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			workers.Go(func() { serveConn(c, answer) })
		}
	})
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// serveConn answers one request. Clients may close the connection at any time, so that errors
// do not matter.
func serveConn(c net.Conn, answer string) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(c, answer)
}
