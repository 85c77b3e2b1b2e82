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
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestWeightedRoundRobin checks that after each request, the count of each service is
// within one request of its share.
func TestWeightedRoundRobin(t *testing.T) {
	w := newWeightedRoundRobin()
	route := &rows.Route{Name: "browse", Shares: []rows.Share{{Service: "old", Weight: 70}, {Service: "new", Weight: 20}, {Service: "idle", Weight: 0}, {Service: "test", Weight: 10}}}
	counts := make(map[string]float64)
	for i := 1; i <= 1000; i++ {
		counts[w.next(route)]++
		for _, share := range route.Shares {
			assert.Check(t, counts[share.Service] <= share.Weight/100*float64(i)+1 && counts[share.Service] >= share.Weight/100*float64(i)-1, "%s after %d", share.Service, i)
		}
	}
	assert.DeepEqual(t, counts, map[string]float64{"new": 200, "old": 700, "test": 100})
}

// TestRegionsOfPolicy guards against an empty list of regions, which stands for all, that
// is taken for a restriction to none.
func TestRegionsOfPolicy(t *testing.T) {
	for _, c := range []struct {
		name            string
		route, customer []string
		want            []string
	}{
		{"none", nil, nil, nil},
		{"empty", []string{}, []string{}, nil},
		{"route", []string{"north"}, []string{}, []string{"north"}},
		{"customer", []string{}, []string{"south"}, []string{"south"}},
		{"both", []string{"north", "south"}, []string{"south"}, []string{"south"}},
		{"nothing in common", []string{"north"}, []string{"south"}, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			catalog := snaps.NewHolder(snaps.WithCatalog("catalog", func([]byte) (*rows.Catalog, error) {
				route := func(prefix string, open bool) rows.Route {
					return rows.Route{Attempts: 1, Host: "x", Name: prefix, Open: open, Prefix: prefix, Regions: c.route, Shares: []rows.Share{{Service: "ledger", Weight: 1}}, Timeout: time.Second}
				}
				return &rows.Catalog{
					Customers: []rows.Customer{{Keys: []string{"key"}, Name: "amis", Regions: c.customer}},
					Routes:    []rows.Route{route("/keyed/", false), route("/open/", true)},
					Version:   1,
				}, nil
			}))
			catalog.Apply(snaps.Delta{Objects: []store.Object{{Key: "catalog", Value: []byte("{}"), Version: 1}}, Revision: 1})
			r := &Relay{Options: Options{Catalog: catalog}, tokens: chain.NewTokens(), callees: newCallees()}
			request := httptest.NewRequest(http.MethodGet, "/keyed/x", nil)
			request.Host = "x"
			p, refusal := r.identifyByCatalog(time.Now(), request, CallerInfo{Key: "key"})
			assert.Check(t, refusal == nil)
			assert.DeepEqual(t, p.regions, c.want)
			request = httptest.NewRequest(http.MethodGet, "/open/x", nil)
			request.Host = "x"
			p, refusal = r.identifyByCatalog(time.Now(), request, CallerInfo{})
			assert.Check(t, refusal == nil)
			assert.Equal(t, p.regions == nil, len(c.route) == 0)
		})
	}
}
