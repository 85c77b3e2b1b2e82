// Package conns provides the listener for callers, which can be closed without
// resetting connections, and a tracker that closes idle connections, sooner if
// there are many, and never one on which a request has arrived.
package conns

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/pause"
)

// Thresholds of the number of callers' connections, as fractions of the process's
// file descriptors. The rest is for connections to other nodes and to the
// upstream.
const (
	// nearLimitFraction is the threshold at which responses ask callers to close
	// their connections.
	nearLimitFraction = 0.4
	// fullFraction is the threshold at which the idle timeout is shortened.
	fullFraction = 0.6
)

// fullIdleFactor is the factor by which the idle timeout is multiplied from
// fullFraction on.
const fullIdleFactor = 0.1

// Tracker tracks the connections of a server. It is safe for concurrent use. No
// other lock is acquired while its lock is held.
type Tracker struct {
	closed      *expvar.Map
	descriptors int // file descriptors that the process may open
	lingerTime  time.Duration
	nearLimit   atomic.Bool

	mu            sync.Mutex
	awaitingFirst map[*Conn]time.Time // opening times of the connections without a request yet
	idle          map[*Conn]idleness  // of the connections without a request in progress
	idleTimeout   time.Duration
	open          int
}

// idleness tells since when a connection has been idle, and the idle timeout that its caller
// knows.
type idleness struct {
	since   time.Time
	timeout time.Duration
}

// NewTracker returns a Tracker for a process that may open the given number of
// file descriptors. The idle timeout can be changed by SetIdleTimeout.
func NewTracker(descriptors int, idleTimeout time.Duration) *Tracker {
	return &Tracker{
		awaitingFirst: make(map[*Conn]time.Time),
		closed:        new(expvar.Map).Init(),
		descriptors:   descriptors,
		idle:          make(map[*Conn]idleness),
		idleTimeout:   idleTimeout,
		lingerTime:    lingerTime,
	}
}

// Descriptors returns the number of file descriptors that the process may open,
// but at most 2^20.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	const maxDescriptors = 1 << 20
	return int(min(limit.Cur, maxDescriptors)), nil
}

// Closed returns the numbers of connections that were closed, by reason: Answer, Caller,
// Idle, Stop or Timeout. A suffix tells that a request was on the connection: Partial if a
// part of it had been read, Unread if bytes were in the kernel's buffer.
func (t *Tracker) Closed() *expvar.Map {
	return t.closed
}

// SetState records that a connection of a Listener has entered a state. It is meant to be
// called from http.Server.ConnState. For a connection that an answer has closed, it returns
// once its caller has closed it too, or after lingerTime.
func (t *Tracker) SetState(now time.Time, accepted net.Conn, state http.ConnState) {
	conn := accepted.(*Conn)
	closedAs := conn.setState(now, state)
	if state == http.StateClosed {
		conn.linger(t.lingerTime)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.awaitingFirst, conn)
	switch state {
	case http.StateNew:
		t.open++
		t.awaitingFirst[conn] = now
		t.idle[conn] = idleness{since: now, timeout: t.idleTimeout}
	case http.StateIdle:
		conn.idleTimeout = max(conn.idleTimeout, t.idleTimeout)
		t.idle[conn] = idleness{since: now, timeout: conn.idleTimeout}
	case http.StateActive:
		conn.idleTimeout = t.idleTimeout
		delete(t.idle, conn)
	case http.StateClosed, http.StateHijacked:
		t.open--
		delete(t.idle, conn)
		t.closed.Add(closedAs, 1)
	}
	t.nearLimit.Store(float64(t.open) >= nearLimitFraction*float64(t.descriptors))
}

// NearLimit reports whether so many connections are open that responses should ask
// callers to close theirs.
func (t *Tracker) NearLimit() bool {
	return t.nearLimit.Load()
}

// firstRequestTimeout is how long after a connection was opened its first request
// is still expected: it covers some round trips to a distant caller.
const firstRequestTimeout = 200 * time.Millisecond

// awaitsFirstRequest reports whether the first request is still expected on any
// connection.
func (t *Tracker) awaitsFirstRequest(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.awaitingFirst {
		if now.Sub(since) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// Open returns the number of open connections.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// SetIdleTimeout sets the idle timeout. A connection that is idle keeps the one that was in
// force when its last request was answered, as its caller may rely on it, unless the new one
// is longer.
func (t *Tracker) SetIdleTimeout(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleTimeout = timeout
}

// idleSlack is added to the idle timeout, as callers count from when they got an answer, and
// their requests take time to arrive.
const idleSlack = time.Second

// CloseIdle makes the connections end that have been idle for the idle timeout and idleSlack,
// and returns their number. While the number of open connections is at fullFraction or more,
// connections end after the timeout in force, multiplied by fullIdleFactor.
func (t *Tracker) CloseIdle(now time.Time) int {
	full := t.full()
	return t.endIdle(closedIdle, func(i idleness) bool {
		if full {
			return now.Sub(i.since) >= time.Duration(float64(t.idleTimeout)*fullIdleFactor)
		}
		// The longest timeout and idleSlack together would overflow.
		return now.Sub(i.since)-idleSlack >= max(i.timeout, t.idleTimeout)
	})
}

// Shutdown shuts down the server of a Listener. It lets the connections end that are idle
// or become so, and serves the requests that have arrived on them, before
// http.Server.Shutdown would close these. It returns an error if the context ends first.
func (t *Tracker) Shutdown(ctx context.Context, server *http.Server) error {
	for t.Open() > 0 {
		t.stopIdle(time.Now())
		if err := pause.For(ctx, shutdownPoll); err != nil {
			break
		}
	}
	return trace.Wrap(server.Shutdown(ctx))
}

// stopIdle makes the idle connections end unless the first request is still expected on any.
func (t *Tracker) stopIdle(now time.Time) {
	if !t.awaitsFirstRequest(now) {
		t.endIdle(closedStop, func(idleness) bool { return true })
	}
}

// shutdownPoll is how often Shutdown looks for connections that have become idle.
const shutdownPoll = 5 * time.Millisecond

// endIdle makes the idle connections end for which a function returns true, and returns
// their number. The function is called with the lock held.
func (t *Tracker) endIdle(reason string, expired func(idleness) bool) int {
	t.mu.Lock()
	found := make(map[*Conn]time.Time)
	for conn, i := range t.idle {
		if expired(i) {
			found[conn] = i.since
		}
	}
	t.mu.Unlock()
	ended := 0
	for conn, since := range found {
		if conn.end(reason, since) {
			ended++
		}
	}
	return ended
}

// full reports whether the number of open connections is at fullFraction or more.
func (t *Tracker) full() bool {
	return float64(t.Open()) >= fullFraction*float64(t.descriptors)
}
