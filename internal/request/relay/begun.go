package relay

import (
	"errors"
	"io"
	"net/http"
)

// begunBody is a response body whose first part has been read.
type begunBody struct {
	io.ReadCloser         // the rest
	buffer        *[]byte // of bufferPool, that holds first; nil once first was delivered
	err           error   // of the read of first
	first         []byte
}

// awaitBody waits for the first part of a response body, or for its end. On an error it closes
// the body: the response is then as none, as nothing but its head has come, which is not passed
// on alone.
func awaitBody(response *http.Response) error {
	b := &begunBody{ReadCloser: response.Body, buffer: bufferPool.Get().(*[]byte)}
	n := 0
	for n == 0 && b.err == nil {
		n, b.err = response.Body.Read(*b.buffer)
	}
	b.first = (*b.buffer)[:n]
	if n == 0 && !errors.Is(b.err, io.EOF) {
		_ = b.Close()
		return b.err
	}
	response.Body = b
	return nil
}

// Read implements io.Reader.
func (b *begunBody) Read(p []byte) (int, error) {
	if b.buffer == nil {
		return b.ReadCloser.Read(p)
	}
	n := copy(p, b.first)
	if b.first = b.first[n:]; len(b.first) > 0 {
		return n, nil
	}
	b.release()
	return n, b.err
}

// Close implements io.Closer.
func (b *begunBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

// release returns the buffer to the pool.
func (b *begunBody) release() {
	if b.buffer != nil {
		bufferPool.Put(b.buffer)
		b.buffer, b.first = nil, nil
	}
}
