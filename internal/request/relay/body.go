package relay

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// maxReplayBytes is the maximum size of a body that is buffered, so that it can
// be sent again.
const maxReplayBytes = 16 << 10

// errBodyClosed is returned for reads after the request has ended.
var errBodyClosed = errors.New("the body is closed")

// errBodyTooLarge means that a body exceeds the limit of its route.
var errBodyTooLarge = errors.New("the body is too large")

// errAttemptEnded is returned for reads by an attempt after its end.
var errAttemptEnded = errors.New("the attempt to send the request has ended")

// errBodyShifted means that bytes of a body went elsewhere than to the attempt that sends it.
var errBodyShifted = errors.New("a part of the body is missing")

// upload is a request body that is streamed from the caller. At most one attempt to send the
// request reads it: one that has begun to read has taken bytes that no other can get. mu is
// held during each read.
type upload struct {
	cancel    context.CancelCauseFunc
	control   *http.ResponseController
	idle      time.Duration
	body      io.ReadCloser
	remaining int64        // bytes
	offset    atomic.Int64 // bytes read so far
	request   *http.Request

	began    atomic.Bool // a read has begun
	complete atomic.Bool // the body was read to its end
	stopping atomic.Bool // stop was called

	turns  sync.Mutex   // of reader and taken; not held during a read
	reader *attemptBody // that may read, nil for none
	taken  bool         // an attempt has begun to read, so that no other may

	mu       sync.Mutex
	closed   bool
	deadline time.Time // of the call
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

// beginRefusal prepares the refusal of the request whose body is u, which may be nil. If a part
// of the body has been read, stop may end a read by a deadline, which the HTTP server takes for
// the caller's leave: requests that follow on the connection would not be served.
func (u *upload) beginRefusal(header http.Header) {
	if u != nil && u.began.Load() && !u.complete.Load() {
		header["Connection"] = []string{"close"}
	}
}

// Read implements io.Reader. It limits the time of each read and the total size, and
// cancels the call when the caller's body is cut or too large.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.began.Store(true)
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

// limitDiscard lets the HTTP server read an unread body for discardTime before it sends the
// response.
func limitDiscard(w http.ResponseWriter, now time.Time) {
	// An error means that the response is not sent by an HTTP server.
	_ = http.NewResponseController(w).SetReadDeadline(now.Add(discardTime))
}

// stop ends a pending read of the caller's body and fails later ones. If the body
// was not read completely, the server reads on for discardTime at most.
func (u *upload) stop() {
	u.stopping.Store(true)
	interrupts := u.began.Load() && !u.complete.Load()
	if interrupts {
		_ = u.control.SetReadDeadline(time.Unix(1, 0))
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	switch {
	case !u.complete.Load():
		_ = u.control.SetReadDeadline(time.Now().Add(discardTime))
	case interrupts: // and the body was read to its end meanwhile
		_ = u.control.SetReadDeadline(time.Time{})
	}
}

// discardRest ends the current attempt and reads the rest of the body, until the deadline of
// the call or for discardTime if that is longer. It does nothing if u is nil.
func (u *upload) discardRest(now time.Time) {
	if u == nil {
		return
	}
	u.endAttempt()
	u.mu.Lock()
	if end := now.Add(discardTime); u.deadline.Before(end) {
		u.deadline = end
	}
	u.mu.Unlock()
	// An error means that the rest does not come.
	_, _ = io.Copy(io.Discard, u)
}

// attemptBody is the body of a request as one attempt to send it reads it. The goroutine that
// sends the body may run on after the attempt.
type attemptBody struct {
	counts   *expvar.Map // of stats.Stats
	ended    error       // result of reads after its end; nil before
	fromNode bool        // whether a node sent it, which may have counted its bytes
	offset   int64       // bytes read so far
	trailer  http.Header // set at the end of the body
	upload   *upload
}

// newAttempt returns the body for the next attempt to send the request. Earlier attempts must
// have ended. It counts in counts reads that are refused.
func (u *upload) newAttempt(counts *expvar.Map) *attemptBody {
	a := &attemptBody{counts: counts, trailer: forwardedTrailer(u.request.Trailer), upload: u}
	u.turns.Lock()
	defer u.turns.Unlock()
	if !u.taken {
		u.reader = a
	}
	return a
}

// endAttempt ends the current attempt, if there is one. Its later reads fail.
func (u *upload) endAttempt() {
	u.turns.Lock()
	defer u.turns.Unlock()
	u.reader = nil
}

// isTaken reports whether an attempt has begun to read the body, so that no other can send it.
func (u *upload) isTaken() bool {
	u.turns.Lock()
	defer u.turns.Unlock()
	return u.taken
}

// take reports whether an attempt may read, and reserves the body for it.
func (u *upload) take(a *attemptBody) bool {
	u.turns.Lock()
	defer u.turns.Unlock()
	if u.reader != a {
		return false
	}
	u.taken = true
	return true
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	if !a.upload.take(a) {
		a.counts.Add("Late", 1)
		return 0, errAttemptEnded
	}
	if a.upload.offset.Load() != a.offset {
		a.counts.Add("Shifted", 1)
		return 0, errBodyShifted
	}
	if a.ended != nil {
		return 0, a.ended
	}
	n, err := a.upload.Read(p)
	a.offset += int64(n)
	if errors.Is(err, io.EOF) {
		err = a.end()
		a.ended = err
	}
	return n, err
}

// addCount makes a body without a length end with a trailer that tells how many bytes it has,
// so that a node that gets fewer does not take it for a whole one.
func (a *attemptBody) addCount() {
	if a.trailer == nil {
		a.trailer = make(http.Header, 1)
	}
	a.trailer[chain.TrailerBodyBytes] = nil
}

// end takes over the trailer at the end of the body. It returns io.EOF, or errBodyShifted if
// the node that sent the body counted another number of bytes.
func (a *attemptBody) end() error {
	trailer := a.upload.request.Trailer
	read := strconv.FormatInt(a.offset, 10)
	if sent := trailer.Get(chain.TrailerBodyBytes); a.fromNode && sent != "" && sent != read {
		a.counts.Add("Shifted", 1)
		a.upload.cancel(errBodyShifted)
		return errBodyShifted
	}
	copyTrailer(a.trailer, trailer)
	if _, ok := a.trailer[chain.TrailerBodyBytes]; ok {
		a.trailer[chain.TrailerBodyBytes] = []string{read}
	}
	return io.EOF
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
