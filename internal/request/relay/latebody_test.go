package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

const (
	// bodyPause is the time between the header and the first chunk of a body. It is longer
	// than an upstream that leaves may be sent requests.
	bodyPause = 2600 * time.Millisecond
	// leavesAfter is the time between the header and the moment at which an upstream leaves.
	leavesAfter = 400 * time.Millisecond
)

// TestLateBody guards against an upload in chunks that reaches an upstream long after that has
// begun to leave, because its node was chosen before the first chunk came.
func TestLateBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNodes(t, 2)
		defer n.close()
		caller, conn := net.Pipe()
		defer conn.Close()
		time.AfterFunc(leavesAfter, func() {
			n.nodes[0].Local.(fakeDeps).left.Store(true)
			record := member.Record{Health: member.Alive, Incarnation: 2, Peers: n.nodes[0].Self, Readiness: member.Draining, Service: "ledger", Zone: "zone"}
			n.entry.Table.Merge(time.Now(), []member.Record{record})
		})
		time.AfterFunc(bodyPause, func() {
			_, _ = io.WriteString(caller, "the whole body")
			_ = caller.Close()
		})
		request := httptest.NewRequest(http.MethodPost, "/ledger/x", conn)
		request.ContentLength = -1
		now := time.Now()
		c := &call{budget: chain.NewBudget(1), chain: chain.Chain{Service: "ledger", Weight: 1}, deadline: now.Add(8 * time.Second), maxAttempts: maxAttempts, received: now}
		refusal, status := n.entry.serve(&deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), conn: conn}, request, c)
		assert.Check(t, refusal == nil, "%v", refusal)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, n.arrived[0], 0, "calls to the node whose upstream leaves")
	})
}

// TestLateBodyAtNode guards against the same beside the upstream, for a node that sends the
// header of a call before it has the body.
func TestLateBodyAtNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNodes(t, 1)
		defer n.close()
		n.serveUpstream = func(c net.Conn) {
			t.Error("the call reached the upstream")
			_ = c.Close()
		}
		node := n.nodes[0]
		caller, conn := net.Pipe()
		defer conn.Close()
		time.AfterFunc(leavesAfter, func() { node.Local.(fakeDeps).left.Store(true) })
		time.AfterFunc(bodyPause, func() {
			_, _ = io.WriteString(caller, "the whole body")
			_ = caller.Close()
		})
		encoded, err := (&chain.Chain{Remaining: time.Minute, Service: "ledger", Weight: 1}).Encode()
		assert.NilError(t, err)
		request := httptest.NewRequest(http.MethodPost, PathCall+"/ledger/x", conn)
		request.ContentLength = -1
		request.Header.Set(chain.Header, encoded)
		request.Header.Set("Expect", "100-continue")
		request.Header.Set(fleet.Header, n.entry.proofFor(node.Self))
		w := httptest.NewRecorder()
		node.ServePeer(w, request)
		refusal := refuse.Parse(w.Header())
		assert.Check(t, refusal != nil)
		assert.Equal(t, refusal.Cause, refuse.NoUpstream)
		assert.Equal(t, refusal.Ran, refuse.NotRun)
		assert.Equal(t, node.Gate.Load(time.Now()).InFlight, 0, "slots that are still held")
	})
}
