package pool

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// sender writes to a connection, and keeps the error of the first write that failed. The
// kernel reports the failure of a connection once. If a write gets that report, reads find
// the same end as that of a connection that the other side has closed in order.
type sender struct {
	conn net.Conn

	mu  sync.Mutex // held during each write
	err error      // of the first write that failed
}

// Write implements io.Writer.
func (s *sender) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.conn.Write(p)
	if err != nil && s.err == nil {
		s.err = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom. It writes parts that are larger than the buffer of a
// bufio.Writer.
func (s *sender) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{s}, r)
}

// failure returns the error by which the connection failed before the other side had closed
// its direction, or nil if no write got such an error. It ends a write in progress.
func (s *sender) failure() error {
	// An error means that the connection is closed already.
	_ = s.conn.SetWriteDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	// A reset that comes after the other side's close gives EPIPE.
	var errno syscall.Errno
	if errors.As(s.err, &errno) && errno != syscall.EPIPE {
		return s.err
	}
	return nil
}

// endReader reads from a connection, and tells the end of a connection that has failed from
// one in order.
type endReader struct {
	reader io.Reader
	sender *sender // of the same connection
}

// Read implements io.Reader.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := r.sender.failure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}
