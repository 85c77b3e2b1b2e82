package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// earlyServer answers each request before it has read it. It is the Dialer of its
// connections.
type earlyServer struct {
	conns []*earlyConn
}

// DialContext implements Dialer.
func (s *earlyServer) DialContext(context.Context, string, string) (net.Conn, error) {
	conn := &earlyConn{closed: make(chan struct{})}
	s.conns = append(s.conns, conn)
	return conn, nil
}

// call returns a call of a path, with a body if there is one.
func (s *earlyServer) call(path string, body io.ReadCloser) *Call {
	request := &http.Request{Body: body, Header: make(http.Header), Host: "x", Method: http.MethodPut, URL: &url.URL{Path: path}}
	if body != nil {
		request.ContentLength = -1
	}
	return &Call{Deadline: time.Now().Add(time.Minute), Request: request, To: netip.MustParseAddrPort("127.0.0.1:1")}
}

// earlyConn is a connection of an earlyServer. A read returns the next response at once.
type earlyConn struct {
	net.Conn
	closed chan struct{}

	mu      sync.Mutex
	written bytes.Buffer
}

// Close implements net.Conn.
func (c *earlyConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// Read implements net.Conn.
func (c *earlyConn) Read(p []byte) (int, error) {
	return copy(p, ok), nil
}

// SetDeadline implements net.Conn.
func (c *earlyConn) SetDeadline(time.Time) error {
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *earlyConn) SetReadDeadline(time.Time) error {
	return nil
}

// Write implements net.Conn.
func (c *earlyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return c.written.Write(p)
	}
}

// paths returns the paths of the requests that were written.
func (c *earlyConn) paths(t *testing.T) string {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	var paths []string
	reader := bufio.NewReader(&c.written)
	for {
		request, err := http.ReadRequest(reader)
		if errors.Is(err, io.EOF) {
			return strings.Join(paths, " ")
		}
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, request.Body)
		assert.NilError(t, err)
		paths = append(paths, request.URL.Path)
	}
}

// closeNotifier is a request body that tells when it has been closed.
type closeNotifier struct {
	io.Reader
	closed chan struct{}
}

// Close implements io.Closer.
func (b *closeNotifier) Close() error {
	close(b.closed)
	return nil
}

// TestPoolAwaitsUpload guards against a reused connection that is kept for the next request
// while the goroutine that writes the current one has yet to run: the next request was
// written before it, or both at the same time. It runs on one processor, where that
// goroutine does not run before the early answer has been read.
func TestPoolAwaitsUpload(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := &earlyServer{}
	p := New(WithDialer(s))
	body := &closeNotifier{Reader: strings.NewReader("hello"), closed: make(chan struct{})}
	for _, call := range []*Call{s.call("/1", nil), s.call("/2", body), s.call("/3", nil)} {
		response, err := p.Do(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok\n")
	}
	<-body.closed
	switch paths := s.conns[0].paths(t); {
	case paths == "/1 /2 /3":
	case strings.HasPrefix("/1 /2", paths):
		assert.Equal(t, s.conns[1].paths(t), "/3")
	default:
		t.Errorf("the first connection carried the requests in the order %s", paths)
	}
}

// pipeDialer is the Dialer of pipes to servers, one for each connection in turn.
type pipeDialer struct {
	servers []func(c net.Conn)
}

// DialContext implements Dialer.
func (d *pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	serve := d.servers[0]
	d.servers = d.servers[1:]
	go serve(server)
	return &pipeConn{Conn: client, writing: make(chan struct{}, 1)}, nil
}

// pipeConn is a connection of a pipeDialer. Unlike those of a pipe, its writes wait for one
// another without a lock, which virtual time needs.
type pipeConn struct {
	net.Conn
	writing chan struct{}
}

// Write implements net.Conn.
func (c *pipeConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.Conn.Write(p)
}

// TestPoolLeavesRequest guards against a body that is cut when a request is sent again after
// a server has refused it without its body.
func TestPoolLeavesRequest(t *testing.T) {
	received := make(chan string, 1)
	refuse := func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nno\n")
		}
	}
	accept := func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		data, err := io.ReadAll(request.Body)
		received <- string(data)
		if err == nil {
			_, _ = io.WriteString(c, ok)
		}
	}
	p := New(WithDialer(&pipeDialer{servers: []func(net.Conn){refuse, accept}}))
	call := (&earlyServer{}).call("/", io.NopCloser(strings.NewReader("hello")))
	call.AwaitContinue = true
	response, err := p.Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "no\n")
	response, err = p.Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, <-received, "hello")
	assert.Equal(t, readAll(t, response), "ok\n")
}

// TestPoolSendsHeadAtOnce guards against the head of a request without a length whose method
// usually has no body: it was delayed by 200 ms, and was sent in disorder to a server that
// read late, as another goroutine read the first byte of the body while it was written.
func TestPoolSendsHeadAtOnce(t *testing.T) {
	for _, method := range []string{http.MethodDelete, http.MethodGet, http.MethodPut} {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(method+" after "+pause.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { sendHeadAtOnce(t, method, pause) })
			})
		}
	}
}

// sendHeadAtOnce sends a request to a server that begins to read after a pause and then asks
// for the body.
func sendHeadAtOnce(t *testing.T, method string, pause time.Duration) {
	started := time.Now()
	ended := make(chan struct{})
	serve := func(c net.Conn) {
		defer close(ended)
		defer c.Close()
		time.Sleep(pause)
		request, err := http.ReadRequest(bufio.NewReader(c))
		if !assert.Check(t, err) {
			return
		}
		delay := time.Since(started) - pause
		assert.Check(t, delay == 0, "the head came %v late", delay)
		_, err = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		assert.Check(t, err)
		data, err := io.ReadAll(request.Body)
		assert.Check(t, err)
		assert.Check(t, string(data) == "hello", "the body is %q", data)
		_, err = io.WriteString(c, ok)
		assert.Check(t, err)
	}
	call := (&earlyServer{}).call("/", io.NopCloser(strings.NewReader("hello")))
	call.AwaitContinue = true
	call.Request.Method = method
	response, err := New(WithDialer(&pipeDialer{servers: []func(net.Conn){serve}})).Do(t.Context(), call)
	if assert.Check(t, err) {
		assert.Equal(t, readAll(t, response), "ok\n")
	}
	<-ended
}

// panickingBody is a request body that cannot be read.
type panickingBody struct{}

// Read implements io.Reader.
func (panickingBody) Read([]byte) (int, error) {
	panic("the body panicked")
}

// Close implements io.Closer.
func (panickingBody) Close() error {
	return nil
}

// TestPoolReportsPanic guards against a panic of the goroutine that writes a request being
// lost: the server and the call waited for the rest of the body.
func TestPoolReportsPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serve := func(c net.Conn) {
			defer c.Close()
			if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
		}
		var log strings.Builder
		p := New(WithDialer(&pipeDialer{servers: []func(net.Conn){serve}}), WithLog(zerolog.New(&log)))
		started := time.Now()
		_, err := p.Do(t.Context(), (&earlyServer{}).call("/", panickingBody{}))
		assert.Check(t, err != nil)
		assert.Equal(t, time.Since(started), time.Duration(0))
		p.Wait()
		assert.Check(t, strings.Contains(log.String(), "the body panicked"), "the log has %q", log.String())
	})
}
