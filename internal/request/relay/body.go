package relay

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxReplayBytes is the maximum size of a body that is buffered, so that it can
// be sent again.
const maxReplayBytes = 16 << 10

// errBodyClosed is returned for reads after the request has ended.
var errBodyClosed = errors.New("the body is closed")

// errBodyTooLarge means that a body exceeds the limit of its route.
var errBodyTooLarge = errors.New("the body is too large")

// upload is a request body that is streamed from the caller. Its lock is held
// during each read.
type upload struct {
	cancel    context.CancelCauseFunc
	control   *http.ResponseController
	deadline  time.Time // of the call
	idle      time.Duration
	body      io.ReadCloser
	remaining int64        // bytes
	offset    atomic.Int64 // bytes read so far
	request   *http.Request

	complete atomic.Bool                 // the body was read to its end
	started  atomic.Bool                 // at least one read was made, so it cannot be sent again
	stopping atomic.Bool                 // stop was called
	attempt  atomic.Pointer[attemptBody] // the latest

	mu     sync.Mutex
	closed bool
}

// newUpload returns an upload of the body of r, the request to which w responds.
// If maxBytes is 0, the size is not limited. Reads last until the deadline at most, and
// call cancel with the error when the body is cut or too large.
func newUpload(w http.ResponseWriter, r *http.Request, deadline time.Time, idle time.Duration, maxBytes int64, cancel context.CancelCauseFunc) *upload {
	if maxBytes == 0 {
		maxBytes = math.MaxInt64
	}
	return &upload{
		cancel:    cancel,
		control:   http.NewResponseController(w),
		deadline:  deadline,
		idle:      idle,
		body:      r.Body,
		remaining: maxBytes,
		request:   r,
	}
}

// beginResponse prepares the response to the request whose body is u, which may be nil. If
// the body has not been read completely, the HTTP server must not read it when the header
// is written, as parts of it are still to be forwarded. The connection is then closed
// after the response, so that the rest of the body is not taken for another request.
func (u *upload) beginResponse(header http.Header) {
	if u == nil || u.complete.Load() {
		return
	}
	header["Connection"] = []string{"close"}
	// An error means that the response is not sent by an HTTP server.
	_ = u.control.EnableFullDuplex()
}

// Read implements io.Reader. It limits the time of each read and the total size, and
// cancels the call when the caller's body is cut or too large.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started.Store(true)
	switch {
	case u.closed:
		return 0, errBodyClosed
	case u.complete.Load():
		return 0, io.EOF
	}
	end := time.Now().Add(u.idle)
	if u.deadline.Before(end) {
		end = u.deadline
	}
	_ = u.control.SetReadDeadline(end)
	if u.stopping.Load() {
		return 0, errBodyClosed // the deadline may have replaced that of stop
	}
	n, err := u.body.Read(p)
	u.offset.Add(int64(n))
	u.remaining -= int64(n)
	switch {
	case u.remaining < 0:
		err = errBodyTooLarge
		u.cancel(err)
		return 0, err
	case errors.Is(err, io.EOF):
		u.complete.Store(true)
		_ = u.control.SetReadDeadline(time.Time{})
	case err != nil:
		u.cancel(err)
	}
	return n, err
}

// discardTime is how long the HTTP server may discard the rest of a body after the
// response. A caller that still sends when its connection is closed may lose the response.
const discardTime = time.Second

// stop ends a pending read of the caller's body and fails later ones. If the body
// was not read completely, the server reads on for discardTime at most.
func (u *upload) stop() {
	u.stopping.Store(true)
	if !u.complete.Load() {
		_ = u.control.SetReadDeadline(time.Unix(1, 0))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if !u.complete.Load() {
		_ = u.control.SetReadDeadline(time.Now().Add(discardTime))
	}
}

// attemptBody is the body of a request as one attempt to send it reads it.
type attemptBody struct {
	counts  *expvar.Map // of stats.Stats
	ended   bool        // whether its end has been read
	started bool        // whether it has been read
	trailer http.Header // set at the end of the body
	upload  *upload
}

// newAttempt returns the body for the next attempt to send the request. It counts in counts
// what it notices of other attempts.
func (u *upload) newAttempt(counts *expvar.Map) *attemptBody {
	a := &attemptBody{counts: counts, trailer: forwardedTrailer(u.request.Trailer), upload: u}
	u.attempt.Store(a)
	return a
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if a.upload.attempt.Load() != a {
		a.counts.Add("Late", 1)
	}
	if !a.started {
		a.started = true
		if a.upload.offset.Load() > 0 {
			a.counts.Add("Shifted", 1)
		}
	}
	n, err := a.upload.Read(p)
	if errors.Is(err, io.EOF) && !a.ended {
		a.ended = true
		copyTrailer(a.trailer, a.upload.request.Trailer)
	}
	return n, err
}

// Close implements io.Closer. It does nothing, as the server closes the body.
func (a *attemptBody) Close() error {
	return nil
}

// readSmallBody reads a body of a known length completely. It returns an error if
// the body is shorter or longer.
func readSmallBody(u *upload, length int64) ([]byte, error) {
	data := make([]byte, length)
	if _, err := io.ReadFull(u, data); err != nil {
		return nil, err
	}
	var b [1]byte
	if n, err := u.Read(b[:]); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.New("the request body is longer than its Content-Length")
	}
	return data, nil
}

// smallBodyReader returns a new reader of a buffered body, nil if it is empty.
func smallBodyReader(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(data))
}
