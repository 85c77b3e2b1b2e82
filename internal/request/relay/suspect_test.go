package relay

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestLocalCrashMakesSuspect guards against a request that crashed the upstream beside the
// node that took it and then runs at another node as one that nobody suspects: the second
// crash then does not convict it.
func TestLocalCrashMakesSuspect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_ = listener.Close() // The upstream crashes.
			}
			_ = c.Close()
		}
	}()
	suspects := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c, err := chain.Decode(req.Header.Get(chain.Header))
		assert.Check(t, err)
		suspects <- c.Suspect
		w.Header()[chain.HeaderAnswer] = []string{callID(c)}
	}))
	defer server.Close()
	self, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(server.Listener.Addr().String())
	record := func(peers netip.AddrPort) member.Record {
		return member.Record{Health: member.Alive, Incarnation: 1, Peers: peers, Readiness: member.Ready, Service: "ledger", Zone: "zone"}
	}
	r := newRelay(t, self, netip.MustParseAddrPort(listener.Addr().String()), record(other))
	r.Table.SetSelf(time.Now(), "ledger", member.Ready)
	r.SetRetryBounds(1, 100, 2, 2)
	// The other node is avoided at first.
	r.balancer.Eject(time.Now(), other)
	w := httptest.NewRecorder()
	r.ServeCaller(w, httptest.NewRequest(http.MethodGet, "/ledger/x", nil))
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	assert.Check(t, <-suspects, "the call to the other node is not marked")
}
