package stats

import (
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLatenciesLimit checks that names beyond the limit share one histogram.
func TestLatenciesLimit(t *testing.T) {
	s := New()
	for i := range 3 * maxHistograms {
		s.Observe("GET /route"+strconv.Itoa(i), "amis", time.Millisecond)
	}
	var shown struct {
		LatencyUSByCustomer, LatencyUSByRoute map[string]quantiles
	}
	assert.NilError(t, json.Unmarshal([]byte(s.Var().String()), &shown))
	assert.Equal(t, len(shown.LatencyUSByRoute), maxHistograms+1)
	assert.Equal(t, shown.LatencyUSByRoute[others].Count, int64(2*maxHistograms))
	assert.Equal(t, shown.LatencyUSByCustomer["amis"].Count, int64(3*maxHistograms))
}
