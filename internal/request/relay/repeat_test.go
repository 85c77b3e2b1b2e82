package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestRepeatAtLeavingUpstream runs the cases of testdata/repeats.csv. It guards against a
// request that is sent once more to an upstream which has begun to leave while it ran, as if
// it had not.
func TestRepeatAtLeavingUpstream(t *testing.T) {
	steps.Cases(t, "testdata/repeats.csv", func(t *testing.T, record []string) {
		var arrived atomic.Int64
		var onArrival func()
		upstream := serveConns(t, func(c net.Conn) {
			defer c.Close()
			reader := bufio.NewReader(c)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				arrived.Add(1)
				onArrival()
				if _, err := io.WriteString(c, unquoted(t, record[1])); err != nil {
					return
				}
			}
		})
		self := netip.MustParseAddrPort("127.0.0.1:1")
		r := newRelay(t, self, upstream)
		r.Dialect = shedDialect{}
		r.SetRetryBounds(1, 100, 1, 1)
		onArrival = func() {
			switch record[2] {
			case "upstream":
				r.Local.(fakeDeps).left.Store(true)
			case "node":
				r.CloseGate()
			case "zone":
				r.Gate.SetClosed(true)
			}
		}
		lc, refusal := r.enterGate(t.Context(), time.Now(), &chain.Chain{Idempotent: true, Remaining: time.Second, Route: "browse", Service: "ledger", Weight: 1}, false)
		assert.Check(t, refusal == nil)
		request := httptest.NewRequest(http.MethodGet, "/ledger/x", nil)
		request.Body = nil
		request.RequestURI = ""
		pending, _, refusal := lc.call(request)
		if pending != nil {
			assert.NilError(t, pending.response.Body.Close())
			pending.finish(nil)
		}
		assert.Equal(t, arrived.Load() > 1, record[3] == "yes", "arrived %d times, refusal %v", arrived.Load(), refusal)
	})
}

// shedDialect is the native dialect for upstreams that say with a header that they have not
// run a request.
type shedDialect struct{ native }

// ReadResponse implements Dialect.
func (shedDialect) ReadResponse(_ http.Header, response *http.Response) ResponseInfo {
	return ResponseInfo{NotRun: response.Header.Get("Not-Run") != ""}
}

// unquoted returns a text that is given in the syntax of Go strings.
func unquoted(t *testing.T, text string) string {
	t.Helper()
	s, err := strconv.Unquote(`"` + text + `"`)
	assert.NilError(t, err)
	return s
}
