package pool

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/wasabibend/wasabibend/internal/conn/resets"
)

// conn is a connection with its buffers. It carries one request at a time.
type conn struct {
	net.Conn
	late        *lateReader // below limit
	limit       *readLimit  // of reader
	reader      *bufio.Reader
	idleTime    time.Duration // before the current request; 0 for a new connection
	usedAt      time.Time     // end of the last exchange
	writer      *bufio.Writer
	sendStarted bool // whether sending the current request has started
}

func newConn(nc net.Conn) *conn {
	watched := resets.New(nc)
	late := &lateReader{conn: watched}
	c := &conn{Conn: nc, late: late, limit: &readLimit{left: noLimit, reader: late}}
	c.reader = bufio.NewReaderSize(c.limit, bufferSize)
	c.writer = bufio.NewWriterSize(watched, bufferSize)
	return c
}

func (c *conn) close() {
	_ = c.Conn.Close()
}

// reset closes the connection with a TCP reset. It discards written data that the
// server has not received yet, which could otherwise arrive seconds later.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// The error is ignored: it means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// send writes a request with its body.
func (c *conn) send(request *http.Request) error {
	if err := request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// abortUpload closes the sending direction of the connection after a request's
// body could not be sent completely, so that the server sees a truncated body. A
// response can still be read.
func (c *conn) abortUpload() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		return
	}
	c.close()
}

// reusable reports whether the connection is open and has nothing to read. Data
// that arrives between requests, such as a second response to an earlier
// request, would be taken for the response to the next one.
func (c *conn) reusable() bool {
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
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
