package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestPanicEndsHeartbeat guards against interim responses that are written when the handler
// of a call has ended with a panic: the HTTP server has taken back its writer by then, and the
// process would end.
func TestPanicEndsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newPipeNodes(t, 1)
		defer n.close()
		node := n.nodes[0]
		node.Crashes = panickingDetector{node.Crashes}
		encoded, err := (&chain.Chain{Remaining: time.Minute, Service: "ledger", Weight: 1}).Encode()
		assert.NilError(t, err)
		request := httptest.NewRequest(http.MethodGet, PathCall+"/ledger/x", nil)
		request.Header.Set(chain.Header, encoded)
		request.Header.Set(fleet.Header, n.entry.proofFor(node.Self))
		w := &endedWriter{ResponseRecorder: httptest.NewRecorder()}
		func() {
			defer func() { assert.Check(t, recover() != nil) }()
			node.ServePeer(w, request)
		}()
		time.Sleep(2 * heartbeatInterval)
		assert.Equal(t, w.interim, 0, "interim responses after the handler")
	})
}

// panickingDetector is a CrashDetector that panics when a request begins to run.
type panickingDetector struct {
	CrashDetector
}

// Begin implements CrashDetector.
func (panickingDetector) Begin(time.Time, crash.Fingerprint, bool) *crash.Run {
	panic("begin")
}

// endedWriter counts interim responses.
type endedWriter struct {
	*httptest.ResponseRecorder
	interim int
}

// WriteHeader implements http.ResponseWriter.
func (w *endedWriter) WriteHeader(status int) {
	if status < http.StatusOK {
		w.interim++
		return
	}
	w.ResponseRecorder.WriteHeader(status)
}
