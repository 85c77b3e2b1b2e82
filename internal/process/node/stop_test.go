package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// TestStopAnswersArrivingRequest guards against a planned stop that closes a caller's kept
// connection on which a part of a request has arrived, so that the request gets neither an
// answer nor a refusal.
func TestStopAnswersArrivingRequest(t *testing.T) {
	n := newIdleNode(t)
	defer n.cancel()
	settings := *n.settings.Load()
	settings.Callers = netip.MustParseAddrPort("127.0.0.1:0")
	n.settings.Store(&settings)
	servers, err := n.listen()
	assert.NilError(t, err)
	assert.Equal(t, len(servers), 1)
	var running conc.WaitGroup
	running.Go(servers[0].serve)
	caller, err := net.Dial("tcp", servers[0].listener.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	reader := bufio.NewReader(caller)
	send := func(bytes string) {
		_, err := io.WriteString(caller, bytes)
		assert.NilError(t, err)
	}
	checkAnswered := func() {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	}
	const request = "GET / HTTP/1.1\r\nHost: any.example\r\n\r\n"
	send(request)
	checkAnswered()
	send(request[:20])
	n.relay.DisableKeepAlives()
	running.Go(func() { assert.Check(t, n.shutdownServer(t.Context(), servers[0])) })
	// Long enough for the stop to close idle connections.
	time.Sleep(100 * time.Millisecond)
	send(request[20:])
	checkAnswered()
	running.Wait()
}
