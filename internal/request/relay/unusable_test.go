package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestUnusableEntries guards against requests of a route or a customer whose entry cannot be
// applied that go to the service of a shorter prefix, or are refused for good.
func TestUnusableEntries(t *testing.T) {
	shares := []rows.Share{{Service: "ledger", Weight: 1}}
	catalog := snaps.NewHolder(snaps.WithCatalog("catalog", func([]byte) (*rows.Catalog, error) {
		return &rows.Catalog{
			Customers: []rows.Customer{{Keys: []string{"key"}, Name: "amis"}, {Keys: []string{"nameless"}, Unusable: "it has no name"}},
			Routes: []rows.Route{
				{Attempts: 1, Host: "x", Name: "all", Prefix: "/", Shares: shares, Timeout: time.Second},
				{Attempts: 1, Host: "x", Name: "odd", Prefix: "/odd/", Timeout: time.Second, Unusable: "it names no service"},
			},
		}, nil
	}))
	catalog.Apply(snaps.Delta{Objects: []store.Object{{Key: "catalog", Value: []byte("{}"), Version: 1}}, Revision: 1})
	assert.Equal(t, catalog.Snapshot().CatalogVersion(), uint64(1), "a version that cannot be read counts as the first one")
	r := &Relay{Options: Options{Catalog: catalog}, callees: newCallees(), tokens: chain.NewTokens(), weightedRoundRobin: newWeightedRoundRobin()}
	for _, c := range []struct {
		path, key string
		want      refuse.Cause
	}{
		{"/x", "key", ""},
		{"/odd/x", "key", refuse.NoConfiguration},
		{"/x", "nameless", refuse.NoConfiguration},
		{"/x", "unknown", refuse.KeyRejected},
	} {
		request := httptest.NewRequest(http.MethodGet, c.path, nil)
		request.Host = "x"
		_, refusal := r.identifyByCatalog(time.Now(), request, CallerInfo{Key: c.key})
		if c.want == "" {
			assert.Check(t, refusal == nil, "%v", refusal)
			continue
		}
		assert.Check(t, refusal != nil)
		assert.Equal(t, refusal.Cause, c.want, c.path)
		assert.Equal(t, refusal.Ran, refuse.NotRun)
	}
}
