// Package resets tells the end of a connection that has failed from the end of one that the
// other side has closed in order.
package resets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection that one goroutine may read while another one writes to it. The kernel
// reports the failure of a TCP connection once. If a write gets that report, reads find the
// same end as that of a connection that was closed in order. Conn keeps the error of the
// write for them. It is meant for TCP, and does not change other connections.
type Conn struct {
	net.Conn

	mu       sync.Mutex // held during each write
	writeErr error      // of the first write that failed
}

// New returns a Conn on a connection.
func New(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// Read implements net.Conn. It returns io.EOF only if the other side has closed its direction
// in order.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := c.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. It writes parts that are larger than the buffer of a
// bufio.Writer.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// failure returns the error by which the connection failed before the other side had closed
// its direction, or nil if no write got such an error. It is called when a read has found the
// end of the connection.
func (c *Conn) failure() error {
	if c.open() {
		return nil
	}
	// A write in progress returns at once, as the connection has ended.
	c.mu.Lock()
	defer c.mu.Unlock()
	// A failure that comes after the other side's close gives EPIPE.
	var errno syscall.Errno
	if errors.As(c.writeErr, &errno) && errno != syscall.EPIPE {
		return c.writeErr
	}
	return nil
}

// open reports whether the connection has neither failed nor ended in both directions. It
// returns true for connections other than those of TCP.
func (c *Conn) open() bool {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false
	}
	return infoErr == nil && info.State != unix.BPF_TCP_CLOSE
}
