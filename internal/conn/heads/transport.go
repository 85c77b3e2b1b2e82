package heads

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/gravitational/trace"
)

// Transport is an http.RoundTripper whose responses with broken heads are errors.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			return trace.Wrap(Check(&http.Response{Header: http.Header(header), StatusCode: status}))
		},
	})
	response, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// Errors of a body that is not read do not matter.
		_ = response.Body.Close()
		return nil, trace.Wrap(err)
	}
	return response, nil
}
