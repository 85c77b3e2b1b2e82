package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestClosingCutsNoRequest runs the cases of testdata/closing.csv. It guards against
// callers that get neither an answer nor a refusal because the node closes idle connections,
// for the idle limit, for their number or in a planned stop, while requests arrive on them.
// Each request that has started, or that had arrived before, must be answered.
func TestClosingCutsNoRequest(t *testing.T) {
	steps.Cases(t, "testdata/closing.csv", func(t *testing.T, record []string) {
		count, err := strconv.Atoi(record[1])
		assert.NilError(t, err)
		descriptors, err := strconv.Atoi(record[2])
		assert.NilError(t, err)
		idle, err := time.ParseDuration(record[3])
		assert.NilError(t, err)
		h := newClosingHost(t, descriptors)
		callers := make([]*closingCaller, count)
		for i := range callers {
			callers[i] = h.newCaller(t)
			callers[i].send(t, closingRequest)
			assert.Assert(t, callers[i].answered())
		}
		h.awaitIdle(count)
		h.offset.Store(int64(idle))
		stop := record[5] == "true"
		switch record[4] {
		case "started":
			h.closeWhileSending(t, callers, stop)
		case "unseen":
			h.closeWith(t, callers, closingRequest, "", stop)
		case "partial":
			h.closeWith(t, callers, closingRequest[:20], closingRequest[20:], stop)
		default:
			t.Fatalf("unknown kind of request %q", record[4])
		}
		assert.NilError(t, h.server.Close())
		h.serving.Wait()
	})
}

// closingRequest is a request without a body.
const closingRequest = "GET / HTTP/1.1\r\nHost: any.example\r\n\r\n"

// closingHost is a server whose idle connections are closed.
type closingHost struct {
	closed  chan struct{} // closed when the idle connections have been closed
	held    chan struct{} // closed when connections may turn idle
	l       *Listener
	offset  atomic.Int64 // of the tracker's clock, in nanoseconds
	server  *http.Server
	serving conc.WaitGroup
	started sync.Map // whether a handler has started, by the caller's address
	tracker *Tracker
	turns   atomic.Int64 // connections that have turned idle
	waiting atomic.Bool  // handlers wait for closed
}

func newClosingHost(t *testing.T, descriptors int) *closingHost {
	t.Helper()
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	h := &closingHost{closed: make(chan struct{}), held: make(chan struct{}), l: l, tracker: NewTracker(descriptors, testIdleTimeout)}
	h.server = &http.Server{ConnState: h.setState, Handler: http.HandlerFunc(h.serveHTTP)}
	h.serving.Go(func() { _ = h.server.Serve(l) })
	return h
}

// awaitIdle waits until a number of connections have turned idle.
func (h *closingHost) awaitIdle(count int) {
	for h.turns.Load() < int64(count) {
		time.Sleep(time.Millisecond)
	}
}

// closeIdle closes the connections that have rested for the idle timeout, or shuts the server down.
func (h *closingHost) closeIdle(t *testing.T, stop bool) {
	t.Helper()
	if !stop {
		h.tracker.CloseIdle(h.now())
		return
	}
	assert.Check(t, h.tracker.Shutdown(t.Context(), h.server))
}

// closeWhileSending closes the idle connections while the callers send requests. Those that
// have started must be answered.
func (h *closingHost) closeWhileSending(t *testing.T, callers []*closingCaller, stop bool) {
	t.Helper()
	close(h.held)
	h.waiting.Store(true)
	var working conc.WaitGroup
	sent := make(chan struct{})
	working.Go(func() {
		for i, c := range callers {
			if i == len(callers)/20 {
				close(sent)
			}
			_, _ = io.WriteString(c.conn, closingRequest)
		}
	})
	<-sent
	working.Go(func() {
		h.closeIdle(t, stop)
		if !stop {
			close(h.closed)
		}
	})
	if stop {
		// Shutdown waits for the handlers.
		time.Sleep(10 * time.Millisecond)
		close(h.closed)
	}
	working.Wait()
	cut := 0
	for _, c := range callers {
		answered := c.answered()
		if _, started := h.started.Load(c.conn.LocalAddr().String()); started && !answered {
			cut++
		}
	}
	assert.Equal(t, cut, 0, "requests that had started and were not answered, of %d", len(callers))
}

// closeWith closes the idle connections when the first bytes of a request have arrived on
// each, and then sends the rest. All requests must be answered. Without a rest the server
// sees the request only after the connections have been closed.
func (h *closingHost) closeWith(t *testing.T, callers []*closingCaller, first, rest string, stop bool) {
	t.Helper()
	if rest != "" {
		close(h.held)
	}
	for _, c := range callers {
		c.send(t, first)
	}
	for _, c := range callers {
		h.awaitBytes(c, rest != "")
	}
	var closing conc.WaitGroup
	closing.Go(func() { h.closeIdle(t, stop) })
	if !stop {
		closing.Wait()
	}
	if rest == "" {
		close(h.held)
	}
	unanswered := 0
	for _, c := range callers {
		_, err := io.WriteString(c.conn, rest)
		if err != nil || !c.answered() {
			unanswered++
		}
	}
	closing.Wait()
	assert.Equal(t, unanswered, 0, "requests that had arrived and were not answered, of %d", len(callers))
}

// awaitBytes waits until bytes of a caller have arrived, and with read until they have been
// read.
func (h *closingHost) awaitBytes(caller *closingCaller, read bool) {
	conn := h.connOf(caller)
	for {
		conn.mu.Lock()
		arrived := conn.received
		if !read {
			arrived = conn.unread()
		}
		conn.mu.Unlock()
		if arrived {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// connOf returns the server's end of a caller's connection.
func (h *closingHost) connOf(caller *closingCaller) *Conn {
	h.tracker.mu.Lock()
	defer h.tracker.mu.Unlock()
	for conn := range h.tracker.idle {
		if conn.RemoteAddr().String() == caller.conn.LocalAddr().String() {
			return conn
		}
	}
	return nil
}

// now returns the time of the tracker's clock.
func (h *closingHost) now() time.Time {
	return time.Now().Add(time.Duration(h.offset.Load()))
}

// serveHTTP answers a request. While handlers wait, it does so once the idle connections
// have been closed.
func (h *closingHost) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if h.waiting.Load() {
		h.started.Store(r.RemoteAddr, true)
		<-h.closed
	}
	_, _ = io.WriteString(w, "whole")
}

// setState is the hook of the server's connections. A connection that has turned idle is not
// read before held is closed, as in a process that is paused.
func (h *closingHost) setState(conn net.Conn, state http.ConnState) {
	h.tracker.SetState(h.now(), conn, state)
	if state == http.StateIdle {
		h.turns.Add(1)
		<-h.held
	}
}

// closingCaller is a caller with a kept connection.
type closingCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// newCaller opens a connection to the host.
func (h *closingHost) newCaller(t *testing.T) *closingCaller {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", h.l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &closingCaller{conn: conn, reader: bufio.NewReader(conn)}
}

// answered reads the next response and reports whether it is complete.
func (c *closingCaller) answered() bool {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "whole"
}

// send writes bytes of a request.
func (c *closingCaller) send(t *testing.T, bytes string) {
	t.Helper()
	_, err := io.WriteString(c.conn, bytes)
	assert.NilError(t, err)
}
