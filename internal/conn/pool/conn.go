package pool

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// conn is one connection.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	rested  time.Duration // before it was used; 0 for a new connection
	usedAt  time.Time
	writer  *bufio.Writer
	written bool

	mu    sync.Mutex
	whole bool
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(nc, bufferSize)
	c.writer = bufio.NewWriterSize(nc, bufferSize)
	return c
}

func (c *conn) close() {
	_ = c.Conn.Close()
}

// reset ends the connection so that nothing of what was sent and not received
// yet reaches the other side, which it might do seconds later.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection has ended already.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// send writes a whole request.
func (c *conn) send(request *http.Request) error {
	c.setWhole(false)
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	c.setWhole(true)
	return nil
}

// uploadFailed ends the connection when a request's body could not be sent
// whole, so that the other side sees it cut. An answer that has been received
// already can still be read.
func (c *conn) uploadFailed() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	c.close()
}

func (c *conn) setWhole(whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = whole
}

func (c *conn) sentWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole
}

// quiet reports whether the connection is open and has nothing to read. Bytes
// that come without a request, such as a second answer to an earlier one, make
// a connection unfit for use.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
