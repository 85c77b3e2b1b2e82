package pool

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/wasabibend/wasabibend/internal/conn/heads"
	"github.com/wasabibend/wasabibend/internal/process/guard"
)

// errMismatch means that the connection carries responses to other requests.
var errMismatch = errors.New("the answer is for another request")

// exchange is one request and its response on a connection.
type exchange struct {
	call            *Call
	conn            *conn
	headsBytes      int           // read so far of the heads of responses
	continueBody    *continueBody // nil if the call does not await 100 Continue
	responseStarted bool          // whether a part of a response has been read
	pool            *Pool
	response        *http.Response // set by accept
	sent            atomic.Bool    // whether the request has been sent with its body
	skipped         int            // responses that were discarded
	stop            func() bool    // detaches the call's context from the connection
	unnamed         bool           // one of them did not name its request
}

// run sends the request and returns the final response. It reads past interim
// responses and up to maxSkipped responses to other requests.
func (e *exchange) run() (*http.Response, error) {
	e.conn.late.begin(e.call.Deadline)
	if err := e.conn.SetDeadline(e.call.Deadline); err != nil {
		return nil, err
	}
	if err := e.send(); err != nil {
		return nil, err
	}
	for e.headsBytes < maxHeadsBytes {
		if err := e.setHeaderDeadline(); err != nil {
			return nil, err
		}
		if err := e.awaitResponse(); err != nil {
			return nil, err
		}
		e.responseStarted = true
		response, err := e.readHead()
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusContinue:
			e.continueBody.release()
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the answer switches protocols")
		case response.StatusCode < http.StatusOK:
		case e.belongs(time.Now(), response):
			return e.accept(response)
		default:
			if err := e.skip(response); err != nil {
				return nil, err
			}
		}
	}
	return nil, errors.New("too many interim answers")
}

// belongs reports whether a final response belongs to the request. One that does not name
// its request does if nothing else was sent or received on the connection. No further
// request is sent on it, as a copy of the response may follow; and none on other used
// connections to the address for a time, where such responses could not be told apart.
func (e *exchange) belongs(now time.Time, response *http.Response) bool {
	if e.call.Accept == nil {
		return true
	}
	switch e.call.Accept(response) {
	case Matched:
		return true
	case Unnamed:
		e.pool.avoidReuse(now, e.call.To)
		if e.conn.idleTime == 0 && e.skipped == 0 {
			response.Close = true
			return true
		}
		e.unnamed = true
	}
	return false
}

// awaitResponse waits for the first byte of a response. If none comes within the time limit,
// idle connections to the same address may not work either, and are closed.
func (e *exchange) awaitResponse() error {
	_, err := e.conn.reader.Peek(1)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	e.pool.closeIdle(e.call.To)
	if e.call.OnSilence == nil || !e.call.OnSilence() {
		return err
	}
	if err := e.conn.SetReadDeadline(e.call.Deadline); err != nil {
		return err
	}
	_, err = e.conn.reader.Peek(1)
	return err
}

// readHead reads and checks the head of the next response, of which it reads at most
// maxHeadBytes and maxHeadLines.
func (e *exchange) readHead() (*http.Response, error) {
	limit, buffered := e.conn.limit, e.conn.reader.Buffered()
	begun, err := e.conn.reader.Peek(buffered)
	if err != nil {
		return nil, err
	}
	limit.head = &headLines{left: maxHeadLines + e.call.ExtraHeadLines}
	defer func() { limit.head = nil }()
	if !limit.head.count(begun) {
		return nil, errHeadTooLong
	}
	limit.left = maxHeadBytes
	response, err := http.ReadResponse(e.conn.reader, e.call.Request)
	e.headsBytes += buffered + maxHeadBytes - limit.left - e.conn.reader.Buffered()
	limit.left = noLimit
	if err != nil {
		return nil, err
	}
	return response, heads.Check(response)
}

// skip reads and discards a response to another request. It returns errMismatch
// if no other response can follow on the connection, if the body has more than
// maxSkippedBytes or after maxSkipped responses, and ErrUnnamed if the response does not
// name its request and the call can be repeated.
func (e *exchange) skip(response *http.Response) error {
	if e.unnamed && e.call.Repeatable {
		return ErrUnnamed
	}
	if e.skipped++; e.skipped > maxSkipped {
		return errMismatch
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.Close {
		return errMismatch
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1)); err != nil || n > maxSkippedBytes {
		return errors.Join(errMismatch, err)
	}
	return nil
}

// setHeaderDeadline limits the wait for the header of the next response, which may
// be an interim one.
func (e *exchange) setHeaderDeadline() error {
	return e.conn.SetReadDeadline(e.deadlineAfter(e.call.HeaderTimeout))
}

// setBodyDeadline limits the wait for the next part of the response's body.
func (e *exchange) setBodyDeadline() error {
	return e.conn.SetReadDeadline(e.deadlineAfter(e.call.BodyIdleTimeout))
}

// deadlineAfter returns the end of a timeout that starts now, or the call's
// deadline if that is earlier or the timeout is not positive.
func (e *exchange) deadlineAfter(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return e.call.Deadline
	}
	if end := time.Now().Add(timeout); end.Before(e.call.Deadline) {
		return end
	}
	return e.call.Deadline
}

// send writes a request without a body on this goroutine. A request with a body
// is written on another one, so that a response can be read meanwhile.
func (e *exchange) send() error {
	request := e.call.Request
	e.conn.sendStarted = true
	if request.Body == nil || request.Body == http.NoBody {
		if err := e.conn.send(request); err != nil {
			return err
		}
		e.sent.Store(true)
		return nil
	}
	withBody := *request
	if request.ContentLength <= 0 {
		// The length is unknown. Without this net/http would read the first byte of some
		// bodies on another goroutine while it writes the head.
		withBody.TransferEncoding = []string{"chunked"}
	}
	if e.call.AwaitContinue {
		e.continueBody = &continueBody{flush: e.conn.writer.Flush, released: make(chan struct{}), body: request.Body}
		withBody.Body = e.continueBody
	}
	e.pool.uploads.Go(func() {
		if err := guard.Call(e.pool.log, "upload", func() error { return e.conn.send(&withBody) }); err != nil {
			e.conn.abortUpload()
			return
		}
		e.sent.Store(true)
	})
	return nil
}

// accept checks that the end of the final response can be recognized, and wraps
// its body. The body takes over the exchange and ends it when it is closed.
func (e *exchange) accept(response *http.Response) (*http.Response, error) {
	noBody := response.ContentLength == 0 || response.Request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !noBody && !e.call.AllowUnframed {
		return nil, ErrUnframed
	}
	e.response = response
	response.Body = &body{exchange: e, inner: response.Body, done: noBody}
	return response, nil
}

// abort ends the exchange and resets its connection.
func (e *exchange) abort() {
	e.stop()
	e.conn.reset()
	e.continueBody.abandon()
}

// finish ends the exchange after the response was read completely. The connection
// is kept for reuse if the context has not ended, the request was sent completely,
// the response does not announce that the connection closes, and no data follows
// it.
func (e *exchange) finish() {
	if !e.stop() {
		e.abort()
		return
	}
	if e.continueBody != nil && e.continueBody.abandon() {
		e.conn.close()
		return
	}
	if !e.sent.Load() || e.response.Close || e.conn.reader.Buffered() > 0 {
		e.conn.close()
		return
	}
	e.pool.put(e.call.To, e.conn, time.Now())
}

// body is the body of a response.
type body struct {
	done     bool // whether it has been read to its end
	exchange *exchange
	inner    io.ReadCloser
	closed   bool
}

// Read implements io.Reader. It waits for data until the call's deadline, and for
// BodyIdleTimeout at most.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.exchange.conn.reader.Buffered() == 0 {
		if err := b.exchange.setBodyDeadline(); err != nil {
			return 0, err
		}
	}
	n, err := b.inner.Read(p)
	if errors.Is(err, io.EOF) {
		b.done = true
	}
	return n, err
}

// Close implements io.Closer. It resets the connection if the body has not been
// read to its end.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.done {
		b.exchange.finish()
	} else {
		b.exchange.abort()
	}
	return nil
}
