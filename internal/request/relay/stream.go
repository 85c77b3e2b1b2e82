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
)

// bufferSize is the size in bytes of the buffer of an answer on its way.
const bufferSize = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// stream writes an answer to the other side. An answer that is cut aborts the
// connection, so that it never looks complete.
func (r *Relay) stream(w http.ResponseWriter, pending *pendingResponse) {
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
	if r.keepAlivesOff.Load() {
		header.Set("Connection", "close")
	}
	r.Stats.Answers.Add(strconv.Itoa(response.StatusCode/100)+"xx", 1)
	w.WriteHeader(response.StatusCode)
	complete := false
	defer func() {
		_ = response.Body.Close()
		pending.finish(complete)
	}()
	if err := copyBody(w, response); err != nil {
		r.Stats.Answers.Add("Cut", 1)
		panic(http.ErrAbortHandler)
	}
	complete = true
	for name, values := range response.Trailer {
		if !hopByHop[name] && !(native{}).Reserved(name) {
			header[http.TrailerPrefix+name] = values
		}
	}
}

// copyBody copies an answer's body. What the upstream sends piece by piece is
// passed on piece by piece.
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
			return err
		}
		if left != 0 && n < len(*buffer) {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return err
			}
		}
	}
}

// discard reads the small body of a refusal, so that the connection can be
// used again.
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

// formatLoad returns the form of a load in a header: the requests in flight, the
// limit, those that wait, and the wait in milliseconds.
func formatLoad(load gates.Load) string {
	b := make([]byte, 0, typicalLoadLength)
	for i, n := range [...]int64{int64(load.InFlight), int64(load.Limit), int64(load.Waiting), load.Wait.Milliseconds()} {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

// loadBytes is the usual length of a load's form.
const typicalLoadLength = 24

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
	return gates.Load{InFlight: numbers[0], Limit: numbers[1], Wait: time.Duration(numbers[3]) * time.Millisecond, Waiting: numbers[2]}, true
}
