package relay

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// TestLateRequestsAtStop guards against requests that come late in a planned stop, take longer
// than those before, and are cut when the node ends.
func TestLateRequestsAtStop(t *testing.T) {
	steps.Cases(t, "testdata/latestops.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) { runLateRequest(t, record) })
	})
}

// runLateRequest runs one record, whose fields the file describes.
func runLateRequest(t *testing.T, record []string) {
	limit, _ := duration(t, record[2])
	proven, _ := duration(t, record[4])
	left, _ := duration(t, record[5])
	now := time.Now()
	r := newPatientRelay(t, limit, netip.AddrPort{}, netip.MustParseAddrPort("127.0.0.1:1"))
	if took, ok := duration(t, record[3]); ok {
		r.rootDurations.record(now, "* /ledger", took)
		r.callDurations.record(now, "ledger", took)
	}
	r.FinishBy(now.Add(left), now.Add(proven))
	switch record[1] {
	case "entry":
		// No node is there, so a request that is accepted gets the refusal NoUpstream.
		want := refuse.Draining
		if record[7] == "yes" {
			want = refuse.NoUpstream
		}
		w := httptest.NewRecorder()
		r.ServeCaller(w, slowRequest(t, record[6]))
		assert.Equal(t, w.Header().Get("Wasabibend-Refusal"), string(want), w.Body.String())
		assert.Equal(t, w.Header().Get("Wasabibend-Ran"), string(refuse.NotRun))
	case "gate":
		lc, refusal := r.enterGate(t.Context(), now, &chain.Chain{Remaining: limit, Service: "ledger"}, false)
		assert.Equal(t, refusal == nil, record[7] == "yes", "%v", refusal)
		if refusal == nil {
			lc.finish(false)
			return
		}
		assert.Equal(t, refusal.Cause, refuse.Draining)
	default:
		t.Fatalf("unknown place %q", record[1])
	}
}

// slowRequest returns a request whose body comes after a time, - for a request without a body.
func slowRequest(t *testing.T, after string) *http.Request {
	delay, ok := duration(t, after)
	if !ok {
		return httptest.NewRequest(http.MethodPost, "/ledger/x", nil)
	}
	body, writer := io.Pipe()
	time.AfterFunc(delay, func() {
		_, _ = io.WriteString(writer, "body")
		_ = writer.Close()
	})
	request := httptest.NewRequest(http.MethodPost, "/ledger/x", body)
	request.ContentLength = int64(len("body"))
	return request
}

// TestSubCallAtStop guards against a sub-call that is refused late in a planned stop, although
// the request that it is made for is still served, and one that goes on when the node ends.
func TestSubCallAtStop(t *testing.T) {
	now := time.Now()
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.rootDurations.record(now, "stock", 100*time.Millisecond)
	r.FinishBy(now.Add(5*time.Second), now.Add(3*time.Second))
	for _, c := range []struct {
		at, limit, want time.Duration
	}{
		{at: 2 * time.Second, limit: 4 * time.Second, want: 4 * time.Second},
		{at: 3 * time.Second, limit: 4 * time.Second, want: 2*time.Second - finishMargin},
		{at: 3 * time.Second, limit: time.Second, want: time.Second},
	} {
		p := policy{route: "stock", subCall: true, timeout: c.limit}
		at := now.Add(c.at)
		assert.Check(t, r.mayFinishRoot(at, &p, CallerInfo{}))
		r.limitSubCall(at, &p)
		assert.Equal(t, r.rootCall(at, &p, CallerInfo{}).deadline.Sub(at), c.want, "at %v with a limit of %v", c.at, c.limit)
	}
}
