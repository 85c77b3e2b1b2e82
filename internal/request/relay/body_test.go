package relay

import (
	"io"
	"net"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestUploadStops runs the cases of testdata/stops.csv. It guards against a response that is
// held back because the caller's body is still read: while the caller waits for the response
// and sends nothing, the read would last until its idle timeout, and fail with that.
func TestUploadStops(t *testing.T) {
	steps.Cases(t, "testdata/stops.csv", func(t *testing.T, record []string) {
		t.Parallel()
		runUploadStops(t, record)
	})
}

// runUploadStops runs one record. Its fields are the name, when the upload is stopped, and
// the error with which the read ends.
func runUploadStops(t *testing.T, record []string) {
	caller, conn := net.Pipe()
	defer caller.Close()
	defer conn.Close()
	w := &hookedRecorder{deadlineRecorder: deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), conn: conn}, set: make(chan struct{}, 8)}
	body := &hookedBody{Conn: conn, reading: make(chan struct{}, 8)}
	u := newUpload(w, httptest.NewRequest("PUT", "/ledger/x", body), time.Now().Add(time.Hour), time.Minute, 0, func(error) {})
	stopped := make(chan struct{})
	stop := func() {
		defer close(stopped)
		u.stop()
	}
	result := make(chan error, 1)
	read := func() {
		_, err := io.ReadAll(u)
		result <- err
	}
	switch record[1] {
	case "before":
		stop()
		read()
	case "deadline":
		w.beforeFirst = func() {
			go stop()
			<-w.set
		}
		read()
	case "reading":
		go read()
		<-body.reading
		stop()
	case "after":
		go read()
		_, err := io.WriteString(caller, "body")
		assert.NilError(t, err)
		assert.NilError(t, caller.Close())
		for !u.complete.Load() {
			<-w.set
		}
		stop()
	default:
		t.Fatalf("unknown time %q", record[1])
	}
	want := map[string]error{"closed": errBodyClosed, "none": nil, "timeout": os.ErrDeadlineExceeded}[record[2]]
	assert.ErrorIs(t, <-result, want)
	<-stopped
}

// hookedBody is a body that tells when it is read.
type hookedBody struct {
	net.Conn
	reading chan struct{} // receives before each read
}

// Read implements io.Reader.
func (b *hookedBody) Read(p []byte) (int, error) {
	b.reading <- struct{}{}
	return b.Conn.Read(p)
}

// hookedRecorder calls a function before it sets the first deadline.
type hookedRecorder struct {
	deadlineRecorder
	beforeFirst func()
	set         chan struct{} // receives after each deadline
}

// SetReadDeadline sets the deadline for reads of the body.
func (r *hookedRecorder) SetReadDeadline(end time.Time) error {
	if hook := r.beforeFirst; hook != nil {
		r.beforeFirst = nil
		hook()
	}
	defer func() { r.set <- struct{}{} }()
	return r.deadlineRecorder.SetReadDeadline(end)
}
