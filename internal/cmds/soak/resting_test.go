package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// TestReached checks that a caller tells a request that a process read before it closed
// the connection from one that arrived unread and from one that arrived after the close.
func TestReached(t *testing.T) {
	for _, c := range []struct {
		want Reached
		// closeConn closes the server's side of a connection. It gets a function that sends
		// the request.
		closeConn func(t *testing.T, conn net.Conn, send func())
	}{
		{ReachedProcess, func(t *testing.T, conn net.Conn, send func()) {
			send()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, request.Body)
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
		}},
		{ReachedKernel, func(t *testing.T, conn net.Conn, send func()) {
			send()
			_, err := io.ReadFull(conn, make([]byte, 1))
			assert.NilError(t, err)
			assert.NilError(t, conn.Close())
		}},
		{ReachedNothing, func(t *testing.T, conn net.Conn, send func()) {
			assert.NilError(t, conn.Close())
			send()
		}},
	} {
		t.Run(string(c.want), func(t *testing.T) {
			client, server := connect(t)
			r := &mimic.Request{BodyBytes: transferBodyBytes, Host: hostName, ID: "k-1", Method: http.MethodPost, Timeout: callerTimeout, Path: "/order/x", Address: client.RemoteAddr().(*net.TCPAddr).AddrPort()}
			var sent []*http.Request
			c.closeConn(t, server, func() {
				var err error
				sent, err = client.send(context.Background(), time.Now(), []*mimic.Request{r})
				assert.NilError(t, err)
			})
			_, _, err := client.receive(r, sent[0])
			assert.Check(t, err != nil)
			assert.Equal(t, client.reached(err), c.want)
		})
	}
}

// TestExchange checks that a caller reads the responses to requests that it sent without
// waiting, and sees that the node closes the connection.
func TestExchange(t *testing.T) {
	client, server := connect(t)
	go func() {
		defer server.Close()
		_, _ = io.WriteString(server, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\nHTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, server)
	}()
	r := &mimic.Request{Host: hostName, ID: "k-1", Method: http.MethodGet, Timeout: callerTimeout, Path: "/browse/x", Address: client.RemoteAddr().(*net.TCPAddr).AddrPort()}
	outcomes, open := client.exchange(t.Context(), []*mimic.Request{r, r})
	assert.Check(t, !open)
	assert.Check(t, outcomes[0].Response.NotRun && !outcomes[0].Behind)
	assert.Check(t, !outcomes[1].Response.NotRun && outcomes[1].Behind)
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (*keptConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := listener.Accept()
	assert.NilError(t, err)
	return &keptConn{TCPConn: client.(*net.TCPConn), reader: bufio.NewReader(client)}, server
}
