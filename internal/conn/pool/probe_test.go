package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowDialer opens connections whose first write returns late: it lasts until the second one
// begins, or for a minute if there is none.
type slowDialer struct {
	serve func(c net.Conn)
}

// DialContext implements Dialer.
func (d *slowDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go d.serve(server)
	return &slowConn{Conn: client, second: make(chan struct{})}, nil
}

// slowConn is a connection of a slowDialer.
type slowConn struct {
	net.Conn
	second chan struct{} // closed when the second write begins

	mu     sync.Mutex
	writes int
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	writes := c.writes
	c.mu.Unlock()
	switch writes {
	case 1:
		n, err := c.Conn.Write(p)
		select {
		case <-c.second:
		case <-time.After(time.Minute):
		}
		return n, err
	case 2:
		close(c.second)
	}
	return c.Conn.Write(p)
}

// TestPoolWritesHeadOnce guards against two goroutines that write the head of one request.
// For a method that usually has no body, net/http reads the first byte of a body without a
// length before it has written the whole head, on another goroutine, and waits for it for
// 200 ms. That read flushes the part of the head that has been written.
func TestPoolWritesHeadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := make(chan error, 1)
		body := ""
		serve := func(c net.Conn) {
			defer c.Close()
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
				var data []byte
				data, err = io.ReadAll(request.Body)
				body = string(data)
			}
			received <- err
			_, _ = io.WriteString(c, ok)
		}
		p := New(WithDialer(&slowDialer{serve: serve}))
		call := (&earlyServer{}).call("/", io.NopCloser(strings.NewReader("hello")))
		call.AwaitContinue = true
		call.Deadline = time.Now().Add(time.Hour)
		call.Request.Method = http.MethodDelete
		call.Request.Header.Set("Expect", "100-continue")
		response, err := p.Do(t.Context(), call)
		assert.NilError(t, <-received)
		assert.Equal(t, body, "hello")
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok\n")
	})
}
