package relay

import (
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopLeavesNoDeadline guards against a read deadline in the past that stays on the
// caller's connection when the end of the body is read at the moment at which the upload is
// stopped. The HTTP server would take it for the caller's leave, and end the context of the
// connection, and with it the next request on it.
func TestStopLeavesNoDeadline(t *testing.T) {
	caller, conn := net.Pipe()
	defer caller.Close()
	defer conn.Close()
	read := make(chan error, 1)
	body := &hookedBody{Conn: conn, reading: make(chan struct{}, 8)}
	w := &lastDeadline{deadlineRecorder: deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), conn: conn}}
	u := newUpload(w, httptest.NewRequest("PUT", "/ledger/x", body), time.Now().Add(time.Hour), time.Minute, 0, func(error) {})
	w.beforePast = func() {
		assert.Check(t, caller.Close()) // the end of the body
		assert.Check(t, <-read)
	}
	go func() {
		_, err := io.ReadAll(u)
		read <- err
	}()
	_, err := io.WriteString(caller, "body")
	assert.NilError(t, err)
	<-body.reading
	<-body.reading // which reads the end of the body
	u.stop()
	assert.Check(t, u.complete.Load())
	assert.Check(t, w.last.IsZero() || w.last.After(time.Now()), "the deadline for reads of the next request is %v", w.last)
}

// lastDeadline keeps the last read deadline, and calls a function before it sets
// one in the past.
type lastDeadline struct {
	deadlineRecorder
	beforePast func()

	mu   sync.Mutex
	last time.Time
}

// SetReadDeadline sets the deadline for reads of the body.
func (r *lastDeadline) SetReadDeadline(end time.Time) error {
	if !end.IsZero() && end.Before(time.Now()) {
		r.beforePast()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = end
	return r.deadlineRecorder.SetReadDeadline(end)
}
