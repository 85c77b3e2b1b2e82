package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestFrozenEntryHoldsNoSlot guards against a slot at the gate that is held without end after
// the deadline of the call, because the node that sent it was paused before it sent the first
// chunk of the body. Its connection stays open.
func TestFrozenEntryHoldsNoSlot(t *testing.T) {
	for _, framing := range []string{"Content-Length: 100000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newPipeNodes(t, 1)
				defer n.close()
				n.serveUpstream = func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
				node := n.nodes[0]
				c, err := n.DialContext(t.Context(), "", node.Self.String())
				assert.NilError(t, err)
				encoded, err := (&chain.Chain{Service: "ledger", Weight: 1, Remaining: time.Second}).Encode()
				assert.NilError(t, err)
				go func() { _, _ = io.Copy(io.Discard, c) }() // as the kernel's buffer does
				_, err = fmt.Fprintf(c, "%s %s/ledger/x HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %s\r\nExpect: 100-continue\r\n%s\r\n\r\n", http.MethodPost, PathCall, chain.Header, encoded, fleet.Header, n.entry.proofFor(node.Self), framing)
				assert.NilError(t, err)
				synctest.Wait()
				assert.Equal(t, node.Gate.Load(time.Now()).InFlight, 1)
				time.Sleep(10 * time.Second)
				assert.Equal(t, node.Gate.Load(time.Now()).InFlight, 0, "requests at the gate 9 s after the deadline")
			})
		})
	}
}
