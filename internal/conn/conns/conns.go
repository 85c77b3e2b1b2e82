// Package conns keeps count of the connections that callers hold open, and
// closes those that are not used.
package conns

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Parts of the process's descriptors. The rest is for connections to other nodes
// and to the upstream.
const (
	// crowdedPart is the part from which on answers ask callers to close their
	// connections.
	crowdedPart = 0.4
	// fullPart is the part from which on connections that are idle for a short
	// time are closed.
	fullPart = 0.6
)

// fullIdle is the part of the usual idle time for which a connection is kept
// while the node is full.
const fullIdle = 0.1

// Tracker tracks the connections of a server. Its lock is a leaf.
type Tracker struct {
	crowded atomic.Bool
	most    int // descriptors of the process

	mu    sync.Mutex
	fresh map[net.Conn]time.Time // since when, of those without a request yet
	idle  map[net.Conn]time.Time // since when
	open  int
}

// NewTracker returns a Tracker for a process with a number of descriptors.
func NewTracker(descriptors int) *Tracker {
	return &Tracker{fresh: make(map[net.Conn]time.Time), idle: make(map[net.Conn]time.Time), most: descriptors}
}

// Descriptors returns the number of descriptors that the process may have.
func Descriptors() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	const sane = 1 << 20
	return int(min(limit.Cur, sane)), nil
}

// Note takes in a new state of a connection.
func (t *Tracker) Note(now time.Time, conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.fresh, conn)
	switch state {
	case http.StateNew:
		t.open++
		t.fresh[conn] = now
		t.idle[conn] = now
	case http.StateIdle:
		t.idle[conn] = now
	case http.StateActive:
		delete(t.idle, conn)
	case http.StateClosed, http.StateHijacked:
		t.open--
		delete(t.idle, conn)
	}
	t.crowded.Store(float64(t.open) >= crowdedPart*float64(t.most))
}

// Crowded reports whether so many connections are open that callers should close
// theirs after an answer.
func (t *Tracker) Crowded() bool {
	return t.crowded.Load()
}

// freshTime is how long after a connection was opened its first request is
// expected: some round trips to a distant caller.
const freshTime = 200 * time.Millisecond

// Expecting reports whether a first request is expected on a connection. A
// server that shuts down closes such a connection even if the request is there.
func (t *Tracker) Expecting(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, since := range t.fresh {
		if now.Sub(since) < freshTime {
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

// Reap closes connections that have been idle for a time, or for less while the
// node is full, and returns their number.
func (t *Tracker) Reap(now time.Time, idle time.Duration) int {
	t.mu.Lock()
	if float64(t.open) >= fullPart*float64(t.most) {
		idle = time.Duration(float64(idle) * fullIdle)
	}
	var over []net.Conn
	for conn, since := range t.idle {
		if now.Sub(since) >= idle {
			over = append(over, conn)
		}
	}
	t.mu.Unlock()
	for _, conn := range over {
		// An error means that the connection has ended already.
		_ = conn.Close()
	}
	return len(over)
}
