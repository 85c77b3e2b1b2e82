package relay

import (
	"testing"

	"gotest.tools/v3/assert"

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
