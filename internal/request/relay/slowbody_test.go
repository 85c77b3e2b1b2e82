package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestSlowBody runs the cases of testdata/slowbodies.csv in virtual time. It guards against a
// request that is held after its time limit because the rest of its body does not come.
func TestSlowBody(t *testing.T) {
	steps.Cases(t, "testdata/slowbodies.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runSlowBody(t, record) })
	})
}

// runSlowBody runs one record. Its fields are the name, the length of the body, how it is
// read, and the cause of the refusal.
func runSlowBody(t *testing.T, record []string) {
	length, err := strconv.ParseInt(record[1], 10, 64)
	assert.NilError(t, err)
	n := newPipeNodes(t, 1)
	defer n.close()
	n.serveUpstream = func(c net.Conn) { serveAfter(c, 0) }
	caller, conn := net.Pipe()
	defer conn.Close()
	defer caller.Close()
	go func() { _, _ = io.WriteString(caller, "the first part") }()
	request := httptest.NewRequest(http.MethodPost, "/ledger/x", conn)
	request.ContentLength = length
	response := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder(), conn: conn}
	now := time.Now()
	c := &call{budget: chain.NewBudget(1), chain: chain.Chain{Service: "ledger", Weight: 1}, deadline: now.Add(time.Second), maxAttempts: maxAttempts, received: now}
	refusal, _ := n.entry.serve(response, request, c)
	assert.Check(t, time.Since(now) < n.entry.Idle, "answered after %v", time.Since(now))
	assert.Check(t, time.Since(now) <= time.Second+peerHeaderTimeout/10, "answered after %v", time.Since(now))
	assert.Equal(t, string(refusal.Cause), record[3], refusal.Detail)
}
