package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// shedding is a Dialect in which an upstream says by a status that it did not run
// a request.
type shedding struct{ native }

// Read implements Dialect.
func (shedding) Read(_ http.Header, response *http.Response) Verdict {
	return Verdict{NotRun: response.StatusCode == http.StatusServiceUnavailable}
}

const (
	answerFull   = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	answerFailed = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	answerOK     = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// TestRepeats lets an upstream turn requests away although its gate kept slots
// free, or fail, and checks what becomes of them. A refusal says that a request
// has not run only if no try of it ran.
func TestLocalRetries(t *testing.T) {
	for _, c := range []struct {
		name       string
		answers    []string
		idempotent bool
		status     int
		ran        refuse.Ran
	}{
		{"turned away once", []string{answerFull, answerOK}, false, http.StatusOK, ""},
		{"turned away always", []string{answerFull}, false, 0, refuse.NotRun},
		{"failed once", []string{answerFailed, answerOK}, true, http.StatusOK, ""},
		{"failed once, must not run again", []string{answerFailed, answerOK}, false, http.StatusInternalServerError, ""},
		{"failed, then turned away", []string{answerFailed, answerFull}, true, 0, refuse.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := make(chan string, len(c.answers))
			for _, answer := range c.answers[:len(c.answers)-1] {
				script <- answer
			}
			last := c.answers[len(c.answers)-1]
			upstream := serveConns(t, func(conn net.Conn) {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					answer := last
					select {
					case answer = <-script:
					default:
					}
					if _, err := io.WriteString(conn, answer); err != nil {
						return
					}
				}
			})
			gate := newRelay(t, netip.AddrPort{}, upstream)
			gate.Dialect = shedding{}
			lc, refusal := gate.enterGate(t.Context(), time.Now(), &chain.Chain{Idempotent: c.idempotent, Remaining: 10 * time.Second, Route: "browse", Service: "ledger", Weight: 1})
			assert.Check(t, refusal == nil)
			pending, _, refusal := lc.call(&http.Request{Header: make(http.Header), Host: "x", Method: http.MethodGet, URL: &url.URL{Path: "/"}})
			if c.ran != "" {
				assert.Equal(t, refusal.Ran, c.ran)
				return
			}
			assert.Check(t, refusal == nil)
			assert.Equal(t, pending.response.StatusCode, c.status)
			assert.NilError(t, pending.response.Body.Close())
			pending.finish(true)
		})
	}
}
