package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// shedding is a Dialect in which status 503 means that the upstream did not run the
// request.
type shedding struct{ native }

// ReadResponse implements Dialect.
func (shedding) ReadResponse(_ http.Header, response *http.Response) ResponseInfo {
	return ResponseInfo{NotRun: response.StatusCode == http.StatusServiceUnavailable}
}

const (
	responseRejected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	responseFailed   = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	responseOK       = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// TestLocalRetries checks how requests are retried when the upstream rejects them
// although the gate has free slots, or fails them. A refusal may only say that a
// request has not run if no try of it ran.
func TestLocalRetries(t *testing.T) {
	for _, c := range []struct {
		name       string
		responses  []string
		idempotent bool
		status     int
		ran        refuse.Ran
	}{
		{"rejected once", []string{responseRejected, responseOK}, false, http.StatusOK, ""},
		{"rejected always", []string{responseRejected}, false, 0, refuse.NotRun},
		{"failed once", []string{responseFailed, responseOK}, true, http.StatusOK, ""},
		{"failed once, not idempotent", []string{responseFailed, responseOK}, false, http.StatusInternalServerError, ""},
		{"failed, then rejected", []string{responseFailed, responseRejected}, true, 0, refuse.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := make(chan string, len(c.responses))
			for _, response := range c.responses[:len(c.responses)-1] {
				script <- response
			}
			last := c.responses[len(c.responses)-1]
			upstream := serveConns(t, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					response := last
					select {
					case response = <-script:
					default:
					}
					if _, err := io.WriteString(conn, response); err != nil {
						return
					}
				}
			})
			relay := newRelay(t, netip.AddrPort{}, upstream)
			relay.Dialect = shedding{}
			lc, refusal := relay.enterGate(t.Context(), time.Now(), &chain.Chain{Idempotent: c.idempotent, Remaining: 10 * time.Second, Route: "browse", Service: "ledger", Weight: 1}, false)
			assert.Check(t, refusal == nil)
			pending, _, refusal := lc.call(&http.Request{Header: make(http.Header), Host: "x", Method: http.MethodGet, URL: &url.URL{Path: "/"}})
			if c.ran != "" {
				assert.Equal(t, refusal.Ran, c.ran)
				return
			}
			assert.Check(t, refusal == nil)
			assert.Equal(t, pending.response.StatusCode, c.status)
			assert.NilError(t, pending.response.Body.Close())
			pending.finish(nil)
		})
	}
}

// TestSecondCopyOfRejection guards against a request that runs twice: the upstream rejects
// it, and sends a second copy of that answer late, where the answer to the retry of the
// same request is due. The retry would then seem not to have run.
func TestSecondCopyOfRejection(t *testing.T) {
	var rejections, runs atomic.Int64
	upstream := serveConns(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		copies := ""
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			response := copies + responseOK
			if rejections.Add(1) == 1 {
				response, copies = responseRejected, responseRejected
			} else {
				runs.Add(1)
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	})
	relay := newRelay(t, netip.AddrPort{}, upstream)
	relay.Dialect = shedding{}
	lc, refusal := relay.enterGate(t.Context(), time.Now(), &chain.Chain{Remaining: 10 * time.Second, Route: "pay", Service: "ledger", Weight: 1}, false)
	assert.Check(t, refusal == nil)
	pending, _, refusal := lc.call(&http.Request{Header: make(http.Header), Host: "x", Method: http.MethodPost, URL: &url.URL{Path: "/"}})
	assert.Check(t, refusal == nil)
	assert.Equal(t, pending.response.StatusCode, http.StatusOK)
	assert.NilError(t, pending.response.Body.Close())
	pending.finish(nil)
	assert.Equal(t, runs.Load(), int64(1))
}
