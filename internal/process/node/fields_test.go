package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/request/relay"
)

// TestManyHeaderFields guards against requests of callers and other nodes whose header has
// short fields without end, and that are held with them while they wait.
func TestManyHeaderFields(t *testing.T) {
	n := newIdleNode(t)
	defer n.cancel()
	settings := *n.settings.Load()
	settings.HeaderBytes = 32 << 10
	settings.Callers, settings.PeersBind = netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	settings.Upstream = netip.MustParseAddrPort("127.0.0.1:0")
	n.settings.Store(&settings)
	servers, err := n.listen()
	assert.NilError(t, err)
	assert.Equal(t, len(servers), 3)
	var running conc.WaitGroup
	for i, s := range servers {
		limit := maxHeaderFields
		if i == 1 {
			limit += relay.MaxNodeFields // of other nodes
		}
		running.Go(s.serve)
		for _, c := range []struct {
			fields  int
			refused bool
		}{{10, false}, {limit, false}, {limit + 1, true}, {4000, true}} {
			status := sendFields(t, s.listener.Addr().String(), c.fields)
			assert.Equal(t, status == http.StatusRequestHeaderFieldsTooLarge, c.refused, "%d fields: status %d", c.fields, status)
		}
	}
	for _, s := range servers {
		assert.NilError(t, s.http.Close())
	}
	running.Wait()
}

// sendFields sends a request with a number of header fields to an address and returns the
// status of the response.
func sendFields(t *testing.T, address string, fields int) int {
	t.Helper()
	caller, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer caller.Close()
	var request strings.Builder
	request.WriteString("GET /x HTTP/1.1\r\nHost: any.example\r\n")
	for i := range fields {
		fmt.Fprintf(&request, "%x:\r\n", i)
	}
	request.WriteString("\r\n")
	_, err = io.WriteString(caller, request.String())
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}
