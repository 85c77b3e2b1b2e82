package relay

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCloseEntry checks that a node that is shutting down refuses the request of a
// caller, and says that the request has not run.
func TestCloseEntry(t *testing.T) {
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.DisableKeepAlives()
	r.CloseEntry()
	w := httptest.NewRecorder()
	r.ServeCaller(w, httptest.NewRequest(http.MethodGet, "/ledger/x", nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Wasabibend-Refusal"), "Draining")
	assert.Equal(t, w.Header().Get("Wasabibend-Ran"), "NotRun")
	assert.Equal(t, w.Header().Get("Connection"), "close")
}
