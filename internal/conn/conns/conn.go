package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"

	"golang.org/x/sys/unix"
)

// Reasons for which connections are closed, the keys of Tracker.Closed.
const (
	closedByCaller  = "Caller"  // the caller closed or reset it
	closedIdle      = "Idle"    // it was idle for the idle timeout
	closedResponse  = "Answer"  // a response closed it, or was cut
	closedStop      = "Stop"    // it was idle when the node stopped
	closedOnTimeout = "Timeout" // no whole header came in time
)

// Suffixes of the reasons, for connections that were closed with a request on them.
const (
	withPartial = "Partial" // a part of a request had been read
	withStarted = "Started" // the handler of a request had started
	withUnread  = "Unread"  // bytes were in the kernel's buffer
)

// Conn is a connection that a Listener has accepted. It records how it ends. No other lock
// is acquired while its lock is held.
type Conn struct {
	*net.TCPConn

	mu       sync.Mutex
	closedAs string // reason with its suffix, empty while the connection is open
	idle     bool   // no request is in progress on it
	readErr  error  // of the last read
	received bool   // bytes were read since it became idle
}

// newConn returns the Conn of an accepted connection.
func newConn(conn *net.TCPConn) *Conn {
	return &Conn{TCPConn: conn, idle: true}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
	c.received = c.received || n > 0
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	reason := closedResponse
	switch {
	case c.readErr == nil && c.idle:
		reason = closedStop
	case errors.Is(c.readErr, os.ErrDeadlineExceeded):
		reason = closedOnTimeout
	case c.readErr != nil:
		reason = closedByCaller
	}
	c.mu.Unlock()
	return c.closeAs(reason)
}

// closeAs closes the connection for a reason.
func (c *Conn) closeAs(reason string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedAs == "" {
		switch {
		case reason != closedResponse && !c.idle:
			reason += withStarted
		case c.unread():
			reason += withUnread
		case c.idle && c.received:
			reason += withPartial
		}
		c.closedAs = reason
	}
	return c.TCPConn.Close()
}

// setState records whether a request is in progress. It returns the reason for which the
// connection was closed, empty if it is open.
func (c *Conn) setState(state http.ConnState) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = state == http.StateNew || state == http.StateIdle
	c.received = c.received && !c.idle
	return c.closedAs
}

// unread reports whether bytes are in the kernel's buffer.
func (c *Conn) unread() bool {
	var b [1]byte
	n, err := c.recv(b[:], unix.MSG_PEEK)
	return err == nil && n > 0
}

// recv reads what is in the kernel's buffer without waiting, whatever the read deadline
// is. It returns io.EOF if the caller has closed the connection, and unix.EAGAIN if the
// buffer is empty.
func (c *Conn) recv(p []byte, flags int) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var recvErr error
	if err := raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), p, flags|unix.MSG_DONTWAIT)
	}); err != nil {
		return 0, err
	}
	if recvErr == nil && n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return max(n, 0), recvErr
}
