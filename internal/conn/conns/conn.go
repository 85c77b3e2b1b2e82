package conns

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reasons for which connections are closed, the keys of Tracker.Closed.
const (
	closedByCaller  = "Caller"  // the caller closed or reset it
	closedIdle      = "Idle"    // it was idle for the idle timeout
	closedResponse  = "Answer"  // a response closed it, or was cut
	closedStop      = "Stop"    // the node stopped
	closedOnTimeout = "Timeout" // no whole header came in time
)

// Suffixes of the reasons, for connections that were closed with a request on them.
const (
	withPartial = "Partial" // a part of a request had been read
	withUnread  = "Unread"  // bytes were in the kernel's buffer
)

// Conn is a connection that a Listener has accepted. Only the goroutine that reads it
// decides that it is idle and ends it: another one asks for that with end, and the reader
// looks for bytes once more. No other lock is acquired while its lock is held.
type Conn struct {
	*net.TCPConn
	idleTimeout time.Duration // when the last request started; guarded by the Tracker's lock

	mu        sync.Mutex
	closedAs  string // reason with its suffix, empty while the connection is open
	deadline  time.Time
	endReason string // why the connection is to be ended once it is idle, empty if it is not
	idle      bool   // no request is in progress on it
	idleSince time.Time
	lingers   bool  // only its write side has been closed, linger does the rest
	readErr   error // of the last read
	reading   bool  // a call of Read is in progress
	received  bool  // bytes were read since it became idle
	resets    bool  // set by ResetOnClose
	tracked   bool  // a Tracker calls linger
}

// newConn returns the Conn of an accepted connection.
func newConn(conn *net.TCPConn) *Conn {
	return &Conn{TCPConn: conn, idle: true}
}

// Read implements net.Conn. Bytes that have arrived are read even if the read deadline has
// passed, as it may have passed while the process was paused.
func (c *Conn) Read(p []byte) (int, error) {
	if !c.beginRead() {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if late, lateErr := c.recv(p, 0); lateErr == nil || errors.Is(lateErr, io.EOF) {
			n, err = late, lateErr
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readErr = err
	c.reading = false
	if n > 0 {
		c.cancelEnd()
		c.limitHeader(time.Now(), n)
		c.received = true
	}
	return n, err
}

// beginRead records that a call of Read is in progress, or returns false if the connection
// has been closed.
func (c *Conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = c.closedAs == ""
	return c.reading
}

const (
	// firstBytes is the number of bytes of a request for which net/http waits under the idle
	// timeout, before it sets the deadline of the header.
	firstBytes = 4
	// firstBytesTimeout is how long these may take from the first one on.
	firstBytesTimeout = 10 * time.Second
)

// limitHeader limits the wait for the rest of a request of which only n bytes have been
// read on an idle connection, as end no longer closes it. The lock must be held.
func (c *Conn) limitHeader(now time.Time, n int) {
	deadline := now.Add(firstBytesTimeout)
	if !c.idle || c.received || n >= firstBytes || !c.deadline.IsZero() && c.deadline.Before(deadline) {
		return
	}
	c.deadline = deadline
	// An error means that the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.endReason != "" {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// Close implements net.Conn. If an answer closes the connection of a caller, only the write
// side is closed, and linger does the rest.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedAs == "" {
		c.closedAs = c.closeReason()
	}
	if c.tracked && !c.resets && strings.HasPrefix(c.closedAs, closedResponse) {
		c.lingers = true
		return c.CloseWrite()
	}
	return c.TCPConn.Close()
}

// defaultLinger is the value of SetLinger with which a close sends what has been written.
const defaultLinger = -1

// ResetOnClose sets whether the connection is reset when it is closed, also by the end of the
// process. While an answer is being written whose end is that of the connection, a reset keeps
// the caller from taking a part of it for the whole.
func (c *Conn) ResetOnClose(reset bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = reset
	if reset {
		return c.SetLinger(0)
	}
	return c.SetLinger(defaultLinger)
}

// lingerTime is how long the bytes behind an answer that closes its connection are read.
const lingerTime = time.Second

// linger closes a connection that an answer has closed once its caller has closed it too,
// or after a timeout. Until then it discards what the caller sends, as the kernel would
// reset the connection for it and drop what it has not sent yet of the answer.
func (c *Conn) linger(timeout time.Duration) {
	c.mu.Lock()
	lingers := c.lingers
	c.mu.Unlock()
	if !lingers {
		return
	}
	// Errors mean that the caller has closed or reset the connection.
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(timeout))
	_, _ = io.Copy(io.Discard, c.TCPConn)
	_ = c.TCPConn.Close()
}

// closeReason returns the reason for which the connection is being closed, with its suffix.
// The lock must be held.
func (c *Conn) closeReason() string {
	reason := closedResponse
	switch {
	case c.endReason != "":
		reason = c.endReason
	case c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded):
		return closedByCaller
	case c.idle && c.readErr != nil:
		reason = closedOnTimeout
	case c.reading || c.idle && !c.received:
		// net/http closes a connection behind an answer only when it does not read it, so
		// a close during a read is that of http.Server.Close. It answers a request that does
		// not parse while the connection still counts as idle.
		reason = closedStop
	}
	switch {
	case c.unread():
		return reason + withUnread
	case c.idle && c.received:
		return reason + withPartial
	}
	return reason
}

// end makes the goroutine that reads the connection close it, unless a request is in
// progress on it, has arrived or is arriving, or the connection has not been idle since
// idleSince. It reports whether the reader was asked to close it.
func (c *Conn) end(reason string, idleSince time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.received || c.endReason != "" || !c.idleSince.Equal(idleSince) {
		return false
	}
	c.endReason = reason
	// An error means that the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// cancelEnd reverts end. The lock must be held.
func (c *Conn) cancelEnd() {
	if c.endReason == "" {
		return
	}
	c.endReason = ""
	// An error means that the connection is closed already.
	_ = c.TCPConn.SetReadDeadline(c.deadline)
}

// setState records whether a request is in progress. It returns the reason for which the
// connection was closed, empty if it is open.
func (c *Conn) setState(now time.Time, state http.ConnState) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = state == http.StateNew || state == http.StateIdle
	c.tracked = true
	if c.idle {
		c.idleSince = now
		c.readErr = nil
		c.received = false
	} else {
		c.cancelEnd()
	}
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
