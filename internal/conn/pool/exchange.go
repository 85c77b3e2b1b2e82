package pool

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// errStray means that the connection carries answers to other requests.
var errStray = errors.New("the answer is for another request")

// exchange is one request and its answer on a connection.
type exchange struct {
	call     *Call
	conn     *conn
	goAhead  *gate
	heard    bool // whether a part of an answer came
	pool     *Pool
	response *http.Response
	stop     func() bool
	upload   conc.WaitGroup
}

func (e *exchange) run() (*http.Response, error) {
	if err := e.conn.SetDeadline(e.call.Deadline); err != nil {
		return nil, err
	}
	if err := e.send(); err != nil {
		return nil, err
	}
	strays := 0
	for range maxInterim {
		if err := e.bound(); err != nil {
			return nil, err
		}
		if _, err := e.conn.reader.Peek(1); err != nil {
			return nil, err
		}
		e.heard = true
		response, err := http.ReadResponse(e.conn.reader, e.call.Request)
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode == http.StatusContinue:
			e.goAhead.open()
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the answer switches protocols")
		case response.StatusCode < http.StatusOK:
		case e.call.Accept == nil || e.call.Accept(response):
			return e.accept(response)
		default:
			if strays++; strays > maxStray {
				return nil, errStray
			}
			if err := e.pass(response); err != nil {
				return nil, err
			}
		}
	}
	return nil, errors.New("too many interim answers")
}

// pass reads an answer to another request and drops it.
func (e *exchange) pass(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.Close {
		return errStray
	}
	_, err := io.Copy(io.Discard, response.Body)
	return err
}

// bound sets the time until which the next head or interim answer must come.
func (e *exchange) bound() error {
	return e.conn.SetReadDeadline(e.until(e.call.Silence))
}

// boundBody sets the time until which the next part of the body must come.
func (e *exchange) boundBody() error {
	return e.conn.SetReadDeadline(e.until(e.call.Idle))
}

// until returns the end of a pause, but not past the call's deadline.
func (e *exchange) until(pause time.Duration) time.Time {
	if pause <= 0 {
		return e.call.Deadline
	}
	if end := time.Now().Add(pause); end.Before(e.call.Deadline) {
		return end
	}
	return e.call.Deadline
}

// send writes a request without a body at once, and one with a body in another
// goroutine.
func (e *exchange) send() error {
	request := e.call.Request
	e.conn.written = true
	if request.Body == nil || request.Body == http.NoBody {
		return e.conn.send(request)
	}
	if e.call.AwaitContinue {
		e.goAhead = &gate{flush: e.conn.writer.Flush, opened: make(chan struct{}), body: request.Body}
		request.Body = e.goAhead
	}
	e.upload.Go(func() {
		if err := e.conn.send(request); err != nil {
			e.conn.uploadFailed()
		}
	})
	return nil
}

// accept checks the framing of the final answer and hands its body over.
func (e *exchange) accept(response *http.Response) (*http.Response, error) {
	bodyless := response.ContentLength == 0 || response.Request.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !bodyless && !e.call.Unframed {
		return nil, ErrUnframed
	}
	e.response = response
	response.Body = &body{exchange: e, inner: response.Body, done: bodyless}
	return response, nil
}

// abort ends the exchange and its connection.
func (e *exchange) abort() {
	e.stop()
	e.conn.reset()
	e.goAhead.abandon()
}

// finish ends the exchange after the whole answer was read.
func (e *exchange) finish() {
	if !e.stop() {
		e.abort()
		return
	}
	if e.goAhead != nil && e.goAhead.abandon() {
		e.conn.close()
		return
	}
	if !e.conn.sentWhole() || e.response.Close || e.conn.reader.Buffered() > 0 {
		e.conn.close()
		return
	}
	e.pool.put(e.call.To, e.conn, time.Now())
}

// body is an answer's body.
type body struct {
	done     bool
	exchange *exchange
	inner    io.ReadCloser
	over     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.exchange.conn.reader.Buffered() == 0 {
		if err := b.exchange.boundBody(); err != nil {
			return 0, err
		}
	}
	n, err := b.inner.Read(p)
	if errors.Is(err, io.EOF) {
		b.done = true
	}
	return n, err
}

// Close implements io.Closer. A connection whose answer was not read whole is
// not used again.
func (b *body) Close() error {
	if b.over {
		return nil
	}
	b.over = true
	if b.done {
		b.exchange.finish()
	} else {
		b.exchange.abort()
	}
	return nil
}
