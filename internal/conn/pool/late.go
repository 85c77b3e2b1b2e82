package pool

import (
	"errors"
	"net"
	"os"
	"time"
)

// lastLook is how long a read goes on after its deadline to find data that has arrived.
const lastLook = 10 * time.Millisecond

// lateReader reads from a connection, also data that arrived before the read deadline but is
// read after it, as happens when the process was paused. A read that begins or wakes after
// its deadline would fail without a look at the data.
type lateReader struct {
	conn   net.Conn
	end    time.Time // of the call
	looked bool      // whether a read went on after end
}

// begin starts a call that ends at a time.
func (r *lateReader) begin(end time.Time) {
	r.end = end
	r.looked = false
}

// Read implements io.Reader. After the end of the call it goes on once only, so that a
// server that sends without end is not read on.
func (r *lateReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	now := time.Now()
	if !now.Before(r.end) {
		if r.looked {
			return n, err
		}
		r.looked = true
	}
	if err := r.conn.SetReadDeadline(now.Add(lastLook)); err != nil {
		return 0, err
	}
	return r.conn.Read(p)
}
