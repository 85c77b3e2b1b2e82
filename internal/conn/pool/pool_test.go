package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// server sends scripted responses: on each connection, the first one to the first
// request and so on. An empty response closes the connection instead.
type server struct {
	address  netip.AddrPort
	requests atomic.Int32
}

func newServer(t *testing.T, responses ...string) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c, responses)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, responses []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, response := range responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if response == "" {
			return
		}
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.Copy(io.Discard, reader)
}

func (s *server) call(method string, body io.ReadCloser) *Call {
	request := &http.Request{Body: body, Header: make(http.Header), Host: "x", Method: method, URL: &url.URL{Path: "/"}}
	if body != nil {
		request.ContentLength = -1
	}
	return &Call{Deadline: time.Now().Add(5 * time.Second), BodyIdleTimeout: time.Second, Request: request, HeaderTimeout: time.Second, To: s.address}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return string(data)
}

// TestPoolSendsOnce checks that a request is not sent again if the server closes
// a reused connection without a response. The transport of net/http sends it
// again. The pool must not, even if the request has no body or has an
// idempotency key.
func TestPoolSendsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		s := newServer(t, ok, "")
		p := New()
		response, err := p.Do(t.Context(), s.call(method, nil))
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok\n")
		second := s.call(method, nil)
		second.Request.Header.Set("Idempotency-Key", "k")
		_, err = p.Do(t.Context(), second)
		var sendErr *SendError
		assert.Assert(t, errors.As(err, &sendErr))
		assert.Check(t, sendErr.Sent)
		assert.Equal(t, s.requests.Load(), int32(2))
	}
}

// TestTransportResends shows why the transport of net/http is not used: it sends
// a request again after the server closed a reused connection without a response.
func TestTransportResends(t *testing.T) {
	s := newServer(t, ok, "")
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		response, err := client.Get("http://" + s.address.String())
		assert.NilError(t, err)
		_ = readAll(t, response)
	}
	assert.Equal(t, s.requests.Load(), int32(3))
}

// TestPoolReportsUnsent checks that a request to an address where nobody listens
// is reported as not sent.
func TestPoolReportsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	assert.NilError(t, listener.Close())
	_, err = New().Do(t.Context(), s.call(http.MethodPost, nil))
	var sendErr *SendError
	assert.Assert(t, errors.As(err, &sendErr))
	assert.Check(t, !sendErr.Sent)
}

// TestPoolResponses checks which responses are accepted as complete.
func TestPoolResponses(t *testing.T) {
	for _, c := range []struct{ name, response, body, failure string }{
		{"interim responses first", "HTTP/1.1 102 Processing\r\n\r\n" + ok, "ok\n", ""},
		{"length cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok\n", "", "unexpected EOF"},
		{"chunks cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok\n\r\n", "", "unexpected EOF"},
		{"unframed", "HTTP/1.1 200 OK\r\n\r\nok\n", "", ErrUnframed.Error()},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "", "switches protocols"},
		{"garbage", "ok\n", "", "malformed"},
		{"silent", "HTTP/1.1 102 Processing\r\n\r\n", "", "timeout"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			responses := []string{c.response, ""}
			if c.name == "silent" {
				responses = responses[:1]
			}
			s := newServer(t, responses...)
			call := s.call(http.MethodGet, nil)
			if strings.HasSuffix(c.name, "cut") {
				responses[1] = ""
				call.BodyIdleTimeout = 100 * time.Millisecond
			}
			call.HeaderTimeout = 200 * time.Millisecond
			response, err := New().Do(t.Context(), call)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			if c.failure == "" {
				assert.NilError(t, err)
				assert.Equal(t, string(body), c.body)
				return
			}
			assert.Assert(t, err != nil)
			if !strings.HasSuffix(c.name, "cut") {
				assert.ErrorContains(t, err, c.failure)
			}
		})
	}
}

// TestPoolDropsLateResponses checks that a second response to one request is not
// taken for the response to the next one.
func TestPoolDropsLateResponses(t *testing.T) {
	s := newServer(t, ok+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", ok)
	p := New()
	for range 3 {
		response, err := p.Do(t.Context(), s.call(http.MethodGet, nil))
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok\n")
	}
}

// openIdle makes a pool keep three idle connections to the server.
func (s *server) openIdle(t *testing.T, p *Pool) {
	t.Helper()
	var open []*http.Response
	for range 3 {
		response, err := p.Do(t.Context(), s.call(http.MethodGet, nil))
		assert.NilError(t, err)
		open = append(open, response)
	}
	for _, response := range open {
		assert.Equal(t, readAll(t, response), "ok\n")
	}
}

// TestPoolClosesSilentConnections makes all idle connections go silent while new
// ones work. After one call timed out on such a connection, the next call must
// get a new one.
func TestPoolClosesSilentConnections(t *testing.T) {
	s := newServer(t, ok)
	p := New()
	s.openIdle(t, p)
	call := s.call(http.MethodGet, nil)
	call.HeaderTimeout = 100 * time.Millisecond
	_, err := p.Do(t.Context(), call)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	call = s.call(http.MethodGet, nil)
	call.HeaderTimeout = 100 * time.Millisecond
	response, err := p.Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok\n")
}

// TestPoolClosesSilentConnectionsWhileWaiting guards against calls that are sent on
// connections of the same age as one on which another call waits on, because it may run
// only once.
func TestPoolClosesSilentConnectionsWhileWaiting(t *testing.T) {
	s := newServer(t, ok)
	p := New()
	s.openIdle(t, p)
	ctx, cancel := context.WithCancel(t.Context())
	silent, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		call := s.call(http.MethodPost, nil)
		call.HeaderTimeout = 100 * time.Millisecond
		call.OnSilence = func() bool {
			close(silent)
			return true
		}
		_, err := p.Do(ctx, call)
		assert.Check(t, err != nil)
	}()
	<-silent
	call := s.call(http.MethodPost, nil)
	call.HeaderTimeout = 10 * time.Second
	response, err := p.Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok\n")
	cancel()
	<-ended
}

// TestPoolLowersIdleLimit simulates a server that drops idle connections: the
// first call on a stale connection fails, and later ones only reuse connections
// that were idle for less time. Calls that must not be sent twice set
// MaxIdleTime, and never use a connection that was idle for longer than that.
func TestPoolLowersIdleLimit(t *testing.T) {
	s := newServer(t, ok, "")
	p := New()
	get := func(limit time.Duration) error {
		call := s.call(http.MethodGet, nil)
		call.MaxIdleTime = limit
		response, err := p.Do(t.Context(), call)
		if err == nil {
			readAll(t, response)
		}
		return err
	}
	const idleTime = 4 * minIdleLimit
	assert.NilError(t, get(0))
	time.Sleep(idleTime)
	assert.NilError(t, get(idleTime/2))
	time.Sleep(idleTime)
	err := get(0)
	var sendErr *SendError
	assert.Check(t, errors.As(err, &sendErr) && sendErr.StaleConnection && sendErr.Sent, "%v", err)
	assert.NilError(t, get(0))
	now := time.Now()
	assert.Check(t, p.idleLimitFor(now, s.address) < maxIdleTime)
	time.Sleep(p.idleLimitFor(now, s.address))
	assert.NilError(t, get(0))
	assert.Equal(t, p.idleLimitFor(now.Add(idleLimitTTL), s.address), maxIdleTime)
}

// TestPoolAwaitsContinue checks that a body is not read before the server asks
// for it, and never if the server responds without it.
func TestPoolAwaitsContinue(t *testing.T) {
	s := newServer(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nno\n")
	reads := &countingBody{}
	call := s.call(http.MethodPut, reads)
	call.AwaitContinue = true
	response, err := New().Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "no\n")
	assert.Equal(t, reads.count.Load(), int32(0))

	s = newServer(t, "HTTP/1.1 100 Continue\r\n\r\n"+ok)
	call = s.call(http.MethodPut, reads)
	call.AwaitContinue = true
	response, err = New().Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok\n")
}

// TestPoolCancels checks that cancelling the context ends a call at once.
func TestPoolCancels(t *testing.T) {
	s := newServer(t, "HTTP/1.1 102 Processing\r\n\r\n")
	ctx, cancel := context.WithCancel(t.Context())
	call := s.call(http.MethodGet, nil)
	call.HeaderTimeout = 0
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := New().Do(ctx, call)
	assert.ErrorIs(t, err, context.Canceled)
}

// countingBody counts its reads.
type countingBody struct {
	count atomic.Int32
}

// Read implements io.Reader.
func (b *countingBody) Read([]byte) (int, error) {
	b.count.Add(1)
	return 0, io.EOF
}

// Close implements io.Closer.
func (b *countingBody) Close() error {
	return nil
}
