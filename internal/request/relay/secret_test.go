package relay

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// TestCallWithoutSecret guards against a request that may run only once and is lost at a
// node that was restarted and does not know the fleet's secret yet: nothing runs there, so
// the request is sent to another node.
func TestCallWithoutSecret(t *testing.T) {
	upstream := serveConns(t, serveOK)
	var members []member.Record
	for i := range 3 {
		node := newRelay(t, netip.AddrPort{}, upstream)
		if i > 0 {
			node.Secret = &fleet.Secret{}
		}
		server := httptest.NewServer(http.HandlerFunc(node.ServePeer))
		defer server.Close()
		node.Self = netip.MustParseAddrPort(server.Listener.Addr().String())
		members = append(members, member.Record{Health: member.Alive, Incarnation: 1, Peers: node.Self, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
	}
	for range 20 {
		entry := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, members...)
		recorder := httptest.NewRecorder()
		entry.ServeCaller(recorder, httptest.NewRequest(http.MethodPost, "/ledger/x", strings.NewReader("x")))
		assert.Equal(t, recorder.Code, http.StatusOK, recorder.Body.String())
	}
}
