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
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// TestCrashWithinAnswer guards against a request that crashes upstreams again and again while
// they answer it, because a crash is looked for only before the answer.
func TestCrashWithinAnswer(t *testing.T) {
	steps.Cases(t, "testdata/answercrashes.csv", func(t *testing.T, record []string) {
		upstream := newBreakingUpstream(t, record[2], record[3] == "reset", record[4] != "alive")
		r := newRelay(t, netip.AddrPort{}, upstream.address)
		r.Catalog = snaps.NewHolder() // answers may lack a length
		r.Dialect = refusingDialect{}
		r.SetRetryBounds(1, 100, 1, 1)
		r.Local.(fakeDeps).leaving.Store(record[4] == "leaving")
		crashes := &countedCrashes{Table: crash.NewTable()}
		r.Crashes = crashes
		w := httptest.NewRecorder()
		req := httptest.NewRequest(record[1], PathCall+"/ledger/x", nil)
		c := &chain.Chain{Fingerprint: 7, Idempotent: idempotent(record[1]), Remaining: 5 * time.Second, Retries: 1, Route: "route", Service: "ledger"}
		lc, refusal := r.enterGate(t.Context(), time.Now(), c, false)
		assert.Check(t, refusal == nil)
		request, _ := lc.upstreamRequest(w, req)
		pending, _, refusal := lc.call(request)
		got := ""
		switch {
		case refusal != nil:
			got = string(refusal.Ran)
			assert.Equal(t, refusal.Crashed, record[5] == "yes", "the entry is told")
		case streams(t, r, w, req, c, pending):
			got = "whole"
		default:
			got = "cut"
		}
		assert.Equal(t, got, record[6])
		want := int32(0)
		if record[5] == "yes" {
			want = 1
		}
		assert.Equal(t, crashes.reported.Load(), want, "reports")
		assert.Equal(t, len(crashes.State(time.Now()).Suspects), int(want), "suspects")
		assert.Equal(t, r.Gate.Load(time.Now()).InFlight, 0)
	})
}

// streams passes a response on, and reports whether it was passed on whole.
func streams(t *testing.T, r *Relay, w http.ResponseWriter, req *http.Request, c *chain.Chain, pending *pendingResponse) (whole bool) {
	t.Helper()
	defer func() {
		if err := recover(); err != nil {
			assert.Equal(t, err, http.ErrAbortHandler)
		}
	}()
	r.stream(w, req, c, pending, nil)
	return true
}

// countedCrashes is a crash.Table that counts reports of crashes.
type countedCrashes struct {
	*crash.Table
	reported atomic.Int32
}

// ReportCrash implements CrashDetector.
func (c *countedCrashes) ReportCrash(now time.Time) {
	if _, isNew := c.RecordCrash(now); isNew {
		c.reported.Add(1)
	}
}

// breakingUpstream is an upstream that breaks its answers off.
type breakingUpstream struct {
	address  netip.AddrPort
	answer   string
	ends     bool // the upstream ends with its first answer
	listener net.Listener
	resets   bool
}

func newBreakingUpstream(t *testing.T, quoted string, resets, ends bool) *breakingUpstream {
	t.Helper()
	answer, err := strconv.Unquote(`"` + quoted + `"`)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	u := &breakingUpstream{address: listener.Addr().(*net.TCPAddr).AddrPort(), answer: answer, ends: ends, listener: listener, resets: resets}
	go u.serve()
	return u
}

// serve answers requests until the listener is closed.
func (u *breakingUpstream) serve() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c.(*net.TCPConn))
	}
}

// serveConn answers one request and ends the connection.
func (u *breakingUpstream) serveConn(c *net.TCPConn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	if _, err := io.WriteString(c, u.answer); err != nil {
		return
	}
	if u.resets {
		time.Sleep(20 * time.Millisecond) // A reset discards what the node has not received.
		_ = c.SetLinger(0)
	}
	if u.ends {
		_ = u.listener.Close()
	}
}
