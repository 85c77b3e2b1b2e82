package procs

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/gravitational/trace"
)

// maxBodyKept is the number of bytes of a body that a Response keeps.
const maxBodyKept = 4096

// Request is a request that a caller sends to a node.
type Request struct {
	// BodyBytes is the length in bytes of the request's body, which has only zeros.
	BodyBytes int64
	Header    http.Header
	// Key is the caller's API key, or empty for a request without one.
	Key    string
	Method string
	// Path may include a query.
	Path string
	// Address is the address to which the request is sent.
	Address netip.AddrPort
}

// Response is a complete response.
type Response struct {
	// Body is the beginning of the body, up to maxBodyKept bytes.
	Body   string
	Header http.Header
	// BodyBytes is the length in bytes of the whole body.
	BodyBytes int64
	Status    int
}

// Send sends a request. An error means that no complete response arrived.
func Send(ctx context.Context, client *http.Client, r Request) (*Response, error) {
	var body io.Reader
	if r.BodyBytes > 0 {
		body = io.LimitReader(zeros{}, r.BodyBytes)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address.String()+r.Path, body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.ContentLength = r.BodyBytes
	for name, values := range r.Header {
		request.Header[name] = values
	}
	if r.Key != "" {
		request.Header.Set("Authorization", "Bearer "+r.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer response.Body.Close()
	var kept strings.Builder
	n, err := io.Copy(&prefixWriter{out: &kept}, response.Body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Response{Body: kept.String(), Header: response.Header, BodyBytes: n, Status: response.StatusCode}, nil
}

// zeros is an endless sequence of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// prefixWriter keeps the first maxBodyKept bytes that are written to it and discards
// the others.
type prefixWriter struct {
	out *strings.Builder
}

// Write implements io.Writer.
func (w *prefixWriter) Write(p []byte) (int, error) {
	if remaining := maxBodyKept - w.out.Len(); remaining > 0 {
		w.out.Write(p[:min(remaining, len(p))])
	}
	return len(p), nil
}
