package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// betweenCalls is longer than the first two ejections of a node, and shorter than the time
// for which a connection is kept.
const betweenCalls = 5 * minEjection / 2

// TestDrainingNodeKeepsNoConnections guards against a call that is sent to a node on a kept
// connection when the node ends: whether the call has run is then unknown to the sender. All
// answers of a node that stops, refusals too, must tell that their connection closes.
func TestDrainingNodeKeepsNoConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNodes(t, 2)
		defer n.close()
		call := func() {
			now := time.Now()
			c := &call{budget: chain.NewBudget(1), chain: chain.Chain{Service: "ledger", Weight: 1}, deadline: now.Add(time.Second), maxAttempts: maxAttempts, received: now}
			refusal, status := n.entry.serve(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/ledger/x", nil), c)
			assert.Check(t, refusal == nil, "%v", refusal)
			assert.Equal(t, status, http.StatusOK)
		}
		first := n.nodes[0].Self.String()
		call()
		call()
		assert.Equal(t, n.dialed[first], 1)
		n.nodes[0].DisableKeepAlives()
		call()
		call()
		assert.Equal(t, n.dialed[first], 2, "connections once the node stops")
		n.nodes[0].CloseGate()
		for range 3 {
			before := n.arrived[0]
			dialed := n.dialed[first]
			call()
			assert.Equal(t, n.arrived[0], before+1, "calls to the draining node")
			assert.Equal(t, n.dialed[first], dialed+1, "connections to the draining node")
			time.Sleep(betweenCalls)
		}
	})
}
