package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestOpenCallersAtStop guards against requests of callers without a key that a stopping node
// takes for sub-calls of its own upstream, serves until it ends, and cuts then.
func TestOpenCallersAtStop(t *testing.T) {
	steps.Cases(t, "testdata/opencallers.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) { runOpenCaller(t, record) })
	})
}

// duration returns the duration in a field, and false for a dash.
func duration(t *testing.T, field string) (time.Duration, bool) {
	t.Helper()
	if field == "-" {
		return 0, false
	}
	d, err := time.ParseDuration(field)
	assert.NilError(t, err)
	return d, true
}

// runOpenCaller runs one record, whose fields the file describes. The service has no
// upstream, so a request that is served gets the refusal NoUpstream in place of Draining.
func runOpenCaller(t *testing.T, record []string) {
	now := time.Now()
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.Dialect = openDialect{timeoutOf: func() time.Duration { d, _ := duration(t, record[2]); return d }}
	r.Catalog = snaps.NewHolder(snaps.WithCatalog("catalog", func([]byte) (*rows.Catalog, error) {
		return &rows.Catalog{Routes: []rows.Route{{
			Attempts: 1, Host: "x", Name: "reserve", Objective: time.Second, Open: true, Prefix: "/",
			Shares: []rows.Share{{Service: "ledger", Weight: 1}}, Timeout: 8 * time.Second,
		}}, Version: 1}, nil
	}))
	r.Catalog.Apply(snaps.Delta{Objects: []store.Object{{Key: "catalog", Value: []byte("{}"), Version: 1}}, Revision: 1})
	if left, ok := duration(t, record[1]); ok {
		r.tokens.Grant(&chain.RunningRequest{Deadline: now.Add(left)})
	}
	if took, ok := duration(t, record[3]); ok {
		r.rootDurations.record(now, "reserve", took)
	}
	left, _ := duration(t, record[4])
	proven, _ := duration(t, record[6])
	r.FinishBy(now.Add(left), now.Add(proven))
	if record[5] == "closed" {
		r.CloseEntry()
	}
	w := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/reserve/x", nil)
	request.Host = "x"
	r.ServeCaller(w, request)
	want := refuse.Draining
	if record[7] == "yes" {
		want = refuse.NoUpstream
	}
	assert.Equal(t, w.Header().Get("Wasabibend-Refusal"), string(want))
	assert.Equal(t, w.Header().Get("Wasabibend-Ran"), string(refuse.NotRun))
}

// openDialect is the native dialect for requests without a key that have a timeout.
type openDialect struct {
	native
	timeoutOf func() time.Duration
}

// ReadRequest implements Dialect.
func (d openDialect) ReadRequest(*http.Request) (CallerInfo, *refuse.Refusal) {
	return CallerInfo{Timeout: d.timeoutOf()}, nil
}

// TestKeyedConnIsCallers guards against requests of callers without a key that count as calls
// of the local upstream: the wait of their route is then told as that of the upstream, and
// keeps itself up for a minute and more after an overload.
func TestKeyedConnIsCallers(t *testing.T) {
	catalog := snaps.NewHolder(snaps.WithCatalog("catalog", func([]byte) (*rows.Catalog, error) {
		return &rows.Catalog{
			Customers: []rows.Customer{{Keys: []string{"key"}, Name: "amis"}},
			Routes: []rows.Route{{
				Attempts: 1, Host: "x", Name: "public", Open: true, Prefix: "/",
				Shares: []rows.Share{{Service: "ledger", Weight: 1}}, Timeout: time.Second,
			}},
			Version: 1,
		}, nil
	}))
	catalog.Apply(snaps.Delta{Objects: []store.Object{{Key: "catalog", Value: []byte("{}"), Version: 1}}, Revision: 1})
	now := time.Now()
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.Catalog = catalog
	r.tokens.Grant(&chain.RunningRequest{Deadline: now.Add(time.Second)})
	mixed, other := CallerContext(t.Context(), nil), CallerContext(t.Context(), nil)
	check := func(ctx context.Context, key string, subCall bool, called int) {
		t.Helper()
		request := httptest.NewRequest(http.MethodPost, "/x", nil).WithContext(ctx)
		request.Host = "x"
		p, refusal := r.identify(now, request, CallerInfo{Key: key})
		assert.Check(t, refusal == nil, "%v", refusal)
		assert.Equal(t, p.subCall, subCall)
		if p.subCall {
			r.callees.record(now, p.route)
		}
		assert.Equal(t, len(r.callees.recent(now)), called, "routes that the upstream calls")
	}
	check(other, "", true, 1)
	check(mixed, "", true, 1)
	check(mixed, "key", false, 0)
	check(mixed, "", false, 0)
	check(other, "", true, 0)
	now = now.Add(callersTTL)
	r.tokens.Grant(&chain.RunningRequest{Deadline: now.Add(time.Second)})
	check(other, "", true, 1)
}
