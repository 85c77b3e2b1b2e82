package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestServe runs the scripts in testdata/serve, in which a server meets its callers step by
// step. It guards against connections that are closed while a request on them can still be
// answered, or kept although none can arrive, and against wrong counts of them.
func TestServe(t *testing.T) {
	steps.Run(t, "testdata/serve/*.txtar", func() steps.Session { return newServeSession(t) })
}

// serveSession runs steps on a server and its callers:
//
//	open CALLER              opens a connection
//	send CALLER WHAT         sends one of serveBytes, or a GET request for a path
//	hold                     lets connections that turn idle from now on not be read, as in
//	                         a process that is paused
//	release                  lets them be read again
//	mark CALLER              notes since when a connection has been idle
//	ask CALLER               asks its reader to end it if it has been idle since then, and
//	                         prints whether it was asked
//	await CALLER STATE       waits until the node's end is in a state: new, active, idle,
//	                         reading, read (bytes of a request were read), unread (bytes were not),
//	                         waiting (for the rest of them), closed, released (its
//	                         descriptor is)
//	answer CALLER            lets the handler of a request answer it
//	read CALLER              prints the next answer
//	read-end CALLER          prints whether the server can read the connection
//	end CALLER               prints how the connection ends
//	leave CALLER             closes a connection
//	limit DURATION           sets the idle limit
//	close                    closes the idle connections and prints their number
//	due CALLER               prints whether a read of the node's end may wait, and until when
//	server-close             closes the server and waits until no handler runs
//	stop                     quiesces the listener, without the kernel's filter, and shuts
//	                         the server down in the background
//	dial                     prints whether a connection can be opened
//	stopped                  waits until the server is shut down
//	counts                   prints the connections that are open, and those closed by reason
type serveSession struct {
	steps.ScriptState
	callers map[string]*serveCaller
	clock   atomic.Int64
	server  *http.Server
	serving conc.WaitGroup
	tracker *Tracker

	active  sync.WaitGroup // handlers
	l       *Listener
	marks   map[string]time.Time // by the caller's name
	stopped chan error           // receives the result of Tracker.Shutdown

	mu     sync.Mutex
	held   chan struct{}             // closed when idle connections may be read; nil while they may
	answer map[string]chan struct{}  // receives when a request may be answered, by the caller's address
	ends   map[string]*Conn          // the node's ends, by the caller's address
	states map[string]http.ConnState // of the connections, by the caller's address
}

// serveCaller is a caller with a connection.
type serveCaller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// malformedRequest is a request with a line that is no header.
const malformedRequest = "GET / HTTP/1.1\r\nno header\r\n\r\n"

// serveBytes are what callers send by name.
var serveBytes = map[string]string{
	"letter":    closingRequest[:1],
	"rest":      closingRequest[1:],
	"half":      closingRequest[:20],
	"malformed": malformedRequest,
	"remainder": closingRequest[20:],
	"post":      closingRequest + "POST / HTTP/1.1\r\nHost: any.example\r\nContent-Length: 4\r\n\r\n",
	"body":      "body",
	"two":       closingRequest + closingRequest,
	"bulky":     malformedRequest + strings.Repeat("b", 64<<10),
}

func newServeSession(t *testing.T) *serveSession {
	t.Helper()
	l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	s := &serveSession{
		ScriptState: steps.NewScriptState(),
		answer:      make(map[string]chan struct{}),
		callers:     make(map[string]*serveCaller),
		ends:        make(map[string]*Conn),
		l:           l,
		marks:       make(map[string]time.Time),
		states:      make(map[string]http.ConnState),
		stopped:     make(chan error, 1),
		tracker:     NewTracker(1000, testIdleTimeout),
	}
	s.tracker.lingerTime = time.Hour
	s.clock.Store(s.Now.UnixNano())
	s.server = &http.Server{ConnState: s.setState, Handler: http.HandlerFunc(s.serveHTTP), IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour}
	s.serving.Go(func() { _ = s.server.Serve(l) })
	return s
}

// End implements steps.Session.
func (s *serveSession) End(t *testing.T) {
	t.Helper()
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
	assert.NilError(t, s.server.Close())
	s.serving.Wait()
}

// Step implements steps.Session.
func (s *serveSession) Step(t *testing.T, words []string) {
	s.clock.Store(s.Now.UnixNano())
	var caller *serveCaller
	if len(words) > 1 {
		caller = s.callers[words[1]]
	}
	switch words[0] {
	case "answer":
		s.channel(caller.address()) <- struct{}{}
	case "ask":
		fmt.Fprintf(&s.Out, ": %t", s.end(caller).end(closedIdle, s.marks[words[1]]))
	case "await":
		s.await(caller, words[2])
	case "close":
		fmt.Fprintf(&s.Out, ": %d", s.tracker.CloseIdle(s.Now))
	case "counts":
		fmt.Fprintf(&s.Out, ": %d open, closed %s", s.tracker.Open(), s.tracker.Closed())
	case "dial":
		s.dial()
	case "due":
		s.due(caller)
	case "end":
		_, err := caller.reader.ReadByte()
		s.print(err)
	case "hold":
		s.hold()
	case "leave":
		assert.NilError(t, caller.conn.Close())
	case "limit":
		limit, err := time.ParseDuration(words[1])
		assert.NilError(t, err)
		s.tracker.SetIdleTimeout(limit)
	case "mark":
		s.marks[words[1]] = s.idleSince(caller)
	case "open":
		s.open(t, words[1])
	case "read":
		s.read(caller)
	case "read-end":
		_, err := s.end(caller).Read(make([]byte, 1))
		fmt.Fprintf(&s.Out, ": %t", !errors.Is(err, net.ErrClosed))
	case "release":
		s.release()
	case "send":
		s.send(t, caller, words[2])
	case "server-close":
		assert.NilError(t, s.server.Close())
		s.active.Wait()
	case "stop":
		s.l.filter = func(int) error { return syscall.EPERM }
		assert.ErrorIs(t, s.l.Quiesce(t.Context()), syscall.EPERM)
		s.serving.Go(func() { s.stopped <- s.tracker.Shutdown(t.Context(), s.server) })
	case "stopped":
		assert.NilError(t, <-s.stopped)
	default:
		t.Fatalf("unknown step %q", words)
	}
}

// await waits until the node's end of a connection is in a state.
func (s *serveSession) await(caller *serveCaller, state string) {
	for !s.is(caller.address(), state) {
		time.Sleep(time.Millisecond)
	}
}

// is reports whether the node's end of a connection is in a state.
func (s *serveSession) is(address, state string) bool {
	s.mu.Lock()
	end, current := s.ends[address], s.states[address]
	s.mu.Unlock()
	if end == nil {
		return false
	}
	end.mu.Lock()
	defer end.mu.Unlock()
	switch state {
	case "released":
		_, err := end.TCPConn.Read(nil)
		return errors.Is(err, net.ErrClosed)
	case "read":
		return end.received
	case "reading":
		return end.reading
	case "unread":
		return end.unread()
	case "waiting":
		return end.received && end.reading
	}
	return current.String() == state
}

// channel returns the channel by which a request of a caller is answered.
func (s *serveSession) channel(address string) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer[address] == nil {
		s.answer[address] = make(chan struct{}, 1)
	}
	return s.answer[address]
}

// dial prints whether a connection can be opened.
func (s *serveSession) dial() {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.l.Addr().String())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.Out.WriteString(": refused")
	case err != nil:
		fmt.Fprintf(&s.Out, ": %v", err)
	default:
		_ = conn.Close()
		s.Out.WriteString(": accepted")
	}
}

// due prints the read deadline of the node's end of a connection.
func (s *serveSession) due(caller *serveCaller) {
	end := s.end(caller)
	end.mu.Lock()
	defer end.mu.Unlock()
	switch left := time.Until(end.deadline); {
	case end.deadline.IsZero():
		s.Out.WriteString(": never")
	case left > testIdleTimeout*6:
		s.Out.WriteString(": later")
	default:
		s.Out.WriteString(": soon")
	}
}

// end returns the node's end of a connection.
func (s *serveSession) end(caller *serveCaller) *Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends[caller.address()]
}

// hold makes connections that turn idle wait before they are read.
func (s *serveSession) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = make(chan struct{})
}

// idleSince returns since when a connection has been idle.
func (s *serveSession) idleSince(caller *serveCaller) time.Time {
	end := s.end(caller)
	end.mu.Lock()
	defer end.mu.Unlock()
	return end.idleSince
}

// open opens a caller's connection.
func (s *serveSession) open(t *testing.T, name string) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.l.Addr().String())
	assert.NilError(t, err)
	s.callers[name] = &serveCaller{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
	s.await(s.callers[name], "new")
}

// print prints the error of a read.
func (s *serveSession) print(err error) {
	switch {
	case err == nil:
		s.Out.WriteString(": a byte")
	case errors.Is(err, io.EOF):
		s.Out.WriteString(": closed")
	case errors.Is(err, io.ErrUnexpectedEOF):
		s.Out.WriteString(": cut")
	case errors.Is(err, syscall.ECONNRESET):
		s.Out.WriteString(": reset")
	default:
		fmt.Fprintf(&s.Out, ": %v", err)
	}
}

// read prints the next answer to a caller.
func (s *serveSession) read(caller *serveCaller) {
	response, err := http.ReadResponse(caller.reader, nil)
	if err != nil {
		s.print(err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.print(err)
		return
	}
	fmt.Fprintf(&s.Out, ": %d %s", response.StatusCode, body)
}

// release ends the wait of connections that turned idle.
func (s *serveSession) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.held)
	s.held = nil
}

// send sends bytes of a caller.
func (s *serveSession) send(t *testing.T, caller *serveCaller, what string) {
	t.Helper()
	bytes, ok := serveBytes[what]
	if !ok {
		bytes = strings.Replace(closingRequest, "/", what, 1)
	}
	_, err := io.WriteString(caller.conn, bytes)
	assert.NilError(t, err)
}

// serveHTTP answers a request once the script lets it.
func (s *serveSession) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Done()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case <-s.channel(r.RemoteAddr):
	case <-r.Context().Done():
		return
	}
	if r.URL.Path == "/close" {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "whole")
}

// setState is the hook of the server's connections.
func (s *serveSession) setState(conn net.Conn, state http.ConnState) {
	address := conn.RemoteAddr().String()
	s.tracker.SetState(time.Unix(0, s.clock.Load()), conn, state)
	s.mu.Lock()
	s.ends[address] = conn.(*Conn)
	s.states[address] = state
	held := s.held
	s.mu.Unlock()
	if state == http.StateIdle && held != nil {
		<-held
	}
}

// address returns the address by which the node knows a caller.
func (c *serveCaller) address() string {
	return c.conn.LocalAddr().String()
}
