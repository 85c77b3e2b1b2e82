package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// bufferSize is the size in bytes of the buffers for copying response bodies.
const bufferSize = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// stream writes the response to req, which is part of c, to w. If its body is cut, it aborts
// the connection with http.ErrAbortHandler, so that the response does not look complete. The
// request may still be read from the upload, which may be nil.
func (r *Relay) stream(w http.ResponseWriter, req *http.Request, c *chain.Chain, pending *pendingResponse, u *upload) {
	response := pending.response
	header := w.Header()
	for name, values := range response.Header {
		if !hopByHop[name] && !(native{}).Reserved(name) {
			header[name] = values
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	if r.keepAlivesDisabled.Load() {
		header.Set("Connection", "close")
	}
	u.beginResponse(header)
	r.Stats.Answers.Add(strconv.Itoa(response.StatusCode/100)+"xx", 1)
	// The end of an answer without a length is for a caller with HTTP/1.0 that of the connection.
	endsWithConn := response.ContentLength < 0 && !req.ProtoAtLeast(1, 1)
	if endsWithConn {
		resetOnClose(req.Context(), true)
	}
	w.WriteHeader(response.StatusCode)
	cut := errNotPassedOn
	end := sync.OnceFunc(func() {
		_ = response.Body.Close()
		pending.finish(cut)
	})
	defer end()
	if cut = copyBody(w, response); cut != nil {
		r.Stats.Answers.Add("Cut", 1)
		r.logCut(time.Now(), req, c, cut)
		if endsWithConn {
			end()
			// A caller whose write finds the reset reads an orderly end, so that the upload
			// has to be over.
			u.discardRest(time.Now())
		}
		panic(http.ErrAbortHandler)
	}
	if endsWithConn {
		resetOnClose(req.Context(), false)
	}
	for name, values := range response.Trailer {
		if !hopByHop[name] && !(native{}).Reserved(name) {
			header[http.TrailerPrefix+name] = values
		}
	}
}

// errNotPassedOn means that a response body was not passed on to its end.
var errNotPassedOn = errors.New("the body was not passed on")

// bodyReadError means that a response body broke off.
type bodyReadError struct {
	Err error
}

// Error implements error.
func (e *bodyReadError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the error of the read.
func (e *bodyReadError) Unwrap() error {
	return e.Err
}

// copyBody copies a response body. It flushes after each read that does not fill
// the buffer or complete the body, so that parts are forwarded as the upstream
// sends them. It returns a *bodyReadError if the body broke off.
func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	left := response.ContentLength
	for {
		n, err := response.Body.Read(*buffer)
		if n > 0 {
			if _, err := w.Write((*buffer)[:n]); err != nil {
				return err
			}
			left -= int64(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &bodyReadError{Err: err}
		}
		if left != 0 && n < len(*buffer) {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
	}
}

// discard reads and closes the body of a response, so that its connection can be
// reused. It reads at most maxReplayBytes.
func discard(response *http.Response) error {
	_, err := io.CopyN(io.Discard, response.Body, maxReplayBytes)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return err
}

// formatLoad returns the header form of a load: requests in flight, limit, waiting
// requests and wait in milliseconds, separated by commas. If the rate is limited or an
// upstream is cold, there follow a 1 or 0 for the former and how much longer the latter is,
// in milliseconds.
func formatLoad(load gates.Load) string {
	b := make([]byte, 0, typicalLoadLength)
	for i, n := range [...]int64{int64(load.InFlight), int64(load.Limit), int64(load.Waiting), load.Wait.Milliseconds()} {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	if !load.RateLimited && load.ColdFor == 0 {
		return string(b)
	}
	limited := ",0"
	if load.RateLimited {
		limited = rateLimitedSuffix
	}
	b = append(b, limited...)
	if load.ColdFor > 0 {
		b = strconv.AppendInt(append(b, ','), load.ColdFor.Milliseconds(), 10)
	}
	return string(b)
}

// rateLimitedSuffix follows the numbers of a load whose rate is limited. Nodes of earlier
// versions ignore it.
const rateLimitedSuffix = ",1"

// typicalLoadLength is the usual length in bytes of a load's header form.
const typicalLoadLength = 24

// maxColdMS is the longest time in milliseconds for which an upstream may be cold.
const maxColdMS = int(rows.MaxColdTime / time.Millisecond)

// parseLoad parses the header form of a load, or returns false.
func parseLoad(text string) (gates.Load, bool) {
	var numbers [4]int
	for i := range numbers {
		part, rest, _ := strings.Cut(text, ",")
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return gates.Load{}, false
		}
		numbers[i] = n
		text = rest
	}
	limited, cold, _ := strings.Cut(text, ",")
	coldMS, err := strconv.Atoi(cold)
	if err != nil || coldMS < 0 || coldMS > maxColdMS {
		coldMS = 0
	}
	return gates.Load{
		ColdFor:     time.Duration(coldMS) * time.Millisecond,
		InFlight:    numbers[0],
		Limit:       numbers[1],
		RateLimited: limited == rateLimitedSuffix[1:],
		Wait:        time.Duration(numbers[3]) * time.Millisecond,
		Waiting:     numbers[2],
	}, true
}
