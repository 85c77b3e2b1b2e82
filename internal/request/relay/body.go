package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replayable is the size in bytes up to which a body is kept to be sent again.
const maxReplayBytes = 16 << 10

// errBodyClosed means that the request has its answer.
var errBodyClosed = errors.New("the body is closed")

// errBodyTooLarge means that a body is larger than the row allows.
var errBodyTooLarge = errors.New("the body is too large")

// upload is a request's body on its way from the caller. Its lock is held while
// the caller's body is read.
type upload struct {
	cancel    context.CancelCauseFunc
	control   *http.ResponseController
	idle      time.Duration
	body      io.ReadCloser
	remaining int64 // bytes
	request   *http.Request
	trailer   http.Header

	complete atomic.Bool
	started  atomic.Bool

	mu     sync.Mutex
	closed bool
}

// newUpload returns the body of a request that came on a connection. A bound of
// 0 bytes is none.
func newUpload(w http.ResponseWriter, r *http.Request, idle time.Duration, maxBytes int64, cancel context.CancelCauseFunc) *upload {
	if maxBytes == 0 {
		maxBytes = math.MaxInt64
	}
	return &upload{
		cancel:    cancel,
		control:   http.NewResponseController(w),
		idle:      idle,
		body:      r.Body,
		remaining: maxBytes,
		request:   r,
		trailer:   forwardedTrailer(r.Trailer),
	}
}

// Read implements io.Reader. It bounds the pauses and the size, and ends the
// call when the caller's body is cut.
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
	_ = u.control.SetReadDeadline(time.Now().Add(u.idle))
	n, err := u.body.Read(p)
	u.remaining -= int64(n)
	switch {
	case u.remaining < 0:
		err = errBodyTooLarge
		u.cancel(err)
		return 0, err
	case errors.Is(err, io.EOF):
		u.complete.Store(true)
		_ = u.control.SetReadDeadline(time.Time{})
		copyTrailer(u.trailer, u.request.Trailer)
	case err != nil:
		u.cancel(err)
	}
	return n, err
}

// Close implements io.Closer. The server closes the caller's body itself.
func (u *upload) Close() error {
	return nil
}

// shut ends all reading of the caller's body. The caller's connection cannot
// be used again if the body was not read whole.
func (u *upload) stop() {
	if !u.complete.Load() {
		_ = u.control.SetReadDeadline(time.Unix(1, 0))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
}

// readSmall reads a body of a known small length whole.
func readSmallBody(u *upload, length int64) ([]byte, error) {
	data := make([]byte, length)
	if _, err := io.ReadFull(u, data); err != nil {
		return nil, err
	}
	var b [1]byte
	if n, err := u.Read(b[:]); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.New("the body is longer than its length")
	}
	return data, nil
}

// small returns a new reader of a kept body.
func smallBodyReader(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return nil
	}
	return io.NopCloser(bytes.NewReader(data))
}
