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

// server answers each request on a connection by the next of its scripted
// answers. An empty answer ends the connection without one.
type server struct {
	address  netip.AddrPort
	requests atomic.Int32
}

func newServer(t *testing.T, answers ...string) *server {
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
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, answers []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		if answer == "" {
			return
		}
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.Copy(io.Discard, reader)
}

func (s *server) call(method string, body io.ReadCloser) *Call {
	request := &http.Request{Body: body, Header: make(http.Header), Host: "x", Method: method, URL: &url.URL{Path: "/"}}
	if body != nil {
		request.ContentLength = -1
	}
	return &Call{Deadline: time.Now().Add(5 * time.Second), Idle: time.Second, Request: request, Silence: time.Second, To: s.address}
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return string(data)
}

// TestPoolSendsOnce lets a server end a used connection without an answer to
// the second request on it. The transport of net/http sends such a request
// again; a pool must not, even if the request has no body or an idempotency
// key.
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

// TestTransportSendsAgain shows why the transport of net/http is not used.
func TestTransportSendsAgain(t *testing.T) {
	s := newServer(t, ok, "")
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 {
		response, err := client.Get("http://" + s.address.String())
		assert.NilError(t, err)
		_ = readAll(t, response)
	}
	assert.Equal(t, s.requests.Load(), int32(3))
}

// TestPoolTellsUnsent checks that a call to an address where nobody listens is
// reported as not sent.
func TestPoolTellsUnsent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{address: listener.Addr().(*net.TCPAddr).AddrPort()}
	assert.NilError(t, listener.Close())
	_, err = New().Do(t.Context(), s.call(http.MethodPost, nil))
	var sendErr *SendError
	assert.Assert(t, errors.As(err, &sendErr))
	assert.Check(t, !sendErr.Sent)
}

// TestPoolAnswers checks which answers are taken as whole.
func TestPoolAnswers(t *testing.T) {
	for _, c := range []struct{ name, answer, body, failure string }{
		{"interim answers first", "HTTP/1.1 102 Processing\r\n\r\n" + ok, "ok\n", ""},
		{"length cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok\n", "", "unexpected EOF"},
		{"chunks cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok\n\r\n", "", "unexpected EOF"},
		{"unframed", "HTTP/1.1 200 OK\r\n\r\nok\n", "", ErrUnframed.Error()},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "", "switches protocols"},
		{"garbage", "ok\n", "", "malformed"},
		{"silent", "HTTP/1.1 102 Processing\r\n\r\n", "", "timeout"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			answers := []string{c.answer, ""}
			if c.name == "silent" {
				answers = answers[:1]
			}
			s := newServer(t, answers...)
			call := s.call(http.MethodGet, nil)
			if strings.HasSuffix(c.name, "cut") {
				answers[1] = ""
				call.Idle = 100 * time.Millisecond
			}
			call.Silence = 200 * time.Millisecond
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

// TestPoolDropsLateAnswers checks that a second answer to one request is not
// taken as the answer to the next.
func TestPoolDropsLateAnswers(t *testing.T) {
	s := newServer(t, ok+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", ok)
	p := New()
	for range 3 {
		response, err := p.Do(t.Context(), s.call(http.MethodGet, nil))
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok\n")
	}
}

// TestPoolForgetsSilentConnections lets all open connections go silent while new
// ones work. One call finds out; the next must not wait for it again.
func TestPoolForgetsSilentConnections(t *testing.T) {
	s := newServer(t, ok)
	p := New()
	var open []*http.Response
	for range 3 {
		response, err := p.Do(t.Context(), s.call(http.MethodGet, nil))
		assert.NilError(t, err)
		open = append(open, response)
	}
	for _, response := range open {
		assert.Equal(t, readAll(t, response), "ok\n")
	}
	call := s.call(http.MethodGet, nil)
	call.Silence = 100 * time.Millisecond
	_, err := p.Do(t.Context(), call)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	call = s.call(http.MethodGet, nil)
	call.Silence = 100 * time.Millisecond
	response, err := p.Do(t.Context(), call)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok\n")
}

// TestPoolLearnsRests answers the pattern of servers that forget connections which
// rested: the first call finds out, later ones use a connection only sooner, and
// calls that must be sent once never use one that rested.
func TestPoolLearnsRests(t *testing.T) {
	s := newServer(t, ok, "")
	p := New()
	get := func(fresh time.Duration) error {
		call := s.call(http.MethodGet, nil)
		call.Fresh = fresh
		response, err := p.Do(t.Context(), call)
		if err == nil {
			readAll(t, response)
		}
		return err
	}
	const rested = 4 * leastIdleTime
	assert.NilError(t, get(0))
	time.Sleep(rested)
	assert.NilError(t, get(rested/2))
	time.Sleep(rested)
	err := get(0)
	var sendErr *SendError
	assert.Check(t, errors.As(err, &sendErr) && sendErr.Forgotten && sendErr.Sent, "%v", err)
	assert.NilError(t, get(0))
	now := time.Now()
	assert.Check(t, p.longestRest(now, s.address) < maxIdleTime)
	time.Sleep(p.longestRest(now, s.address))
	assert.NilError(t, get(0))
	assert.Equal(t, p.longestRest(now.Add(shortIdleTime), s.address), maxIdleTime)
}

// TestPoolHoldsBodyBack checks that a body is not read before the other side
// asks for it, and never if it answers without.
func TestPoolHoldsBodyBack(t *testing.T) {
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

// TestPoolCancels checks that the end of a context ends a call at once.
func TestPoolCancels(t *testing.T) {
	s := newServer(t, "HTTP/1.1 102 Processing\r\n\r\n")
	ctx, cancel := context.WithCancel(t.Context())
	call := s.call(http.MethodGet, nil)
	call.Silence = 0
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
