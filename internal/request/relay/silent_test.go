package relay

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/member"
)

// TestSilentPeer guards against a request that is given up although it runs, because the
// node beside its upstream is silent for a while, as when it is paused. If the request may
// run only once, there is nothing else to do than to wait. Other requests are sent to
// another node.
func TestSilentPeer(t *testing.T) {
	for _, c := range []struct {
		name, method string
		status       int
		atSecond     int // requests at the second node
	}{
		{"runs once at most", http.MethodPost, http.StatusOK, 0},
		{"may be repeated", http.MethodGet, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			upstream := serveConns(t, serveOK)
			var nodes []member.Record
			var requests [2]int
			for i := range requests {
				node := newRelay(t, netip.AddrPort{}, upstream)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					requests[i]++
					if i == 0 {
						time.Sleep(peerHeaderTimeout + heartbeatInterval)
					}
					node.ServePeer(w, r)
				}))
				defer server.Close()
				node.Self = netip.MustParseAddrPort(server.Listener.Addr().String())
				zone := "zone"
				if i > 0 {
					zone = "other"
				}
				nodes = append(nodes, member.Record{Health: member.Alive, Incarnation: 1, Peers: node.Self, Readiness: member.Ready, Service: "ledger", Zone: zone})
			}
			entry := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, nodes...)
			recorder := httptest.NewRecorder()
			entry.ServeCaller(recorder, httptest.NewRequest(c.method, "/ledger/x", nil))
			assert.Equal(t, recorder.Code, c.status, recorder.Body.String())
			assert.Equal(t, requests[1], c.atSecond)
			assert.Check(t, entry.balancer.isEjected(time.Now(), nodes[0].Peers), "the silent node still gets requests")
		})
	}
}
