package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestChunkedBodyWithGap runs the cases of testdata/bodybytes.csv. It guards against a chunked
// body that lacks bytes and still looks whole to the upstream.
func TestChunkedBodyWithGap(t *testing.T) {
	steps.Cases(t, "testdata/bodybytes.csv", func(t *testing.T, record []string) {
		t.Parallel()
		runBodyBytes(t, record)
	})
}

// runBodyBytes runs one record. Its fields are the name, the count that a node sends behind
// a body of 100,000 bytes, and what the upstream gets.
func runBodyBytes(t *testing.T, record []string) {
	const length = 100000
	results := make(chan string, 1)
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			results <- "cut"
			return
		}
		assert.Check(t, n == length && len(request.Trailer) == 0, "%d bytes, trailer %v", n, request.Trailer)
		results <- "whole"
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	node := newRelay(t, netip.AddrPort{}, upstream)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { node.ServePeer(w, r) }))
	defer server.Close()
	node.Self = netip.MustParseAddrPort(server.Listener.Addr().String())
	c := chain.Chain{Remaining: time.Minute, Service: "ledger", Weight: 1}
	encoded, err := c.Encode()
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+PathCall+"/ledger/x", io.MultiReader(strings.NewReader(strings.Repeat("x", length))))
	assert.NilError(t, err)
	request.Header.Set(chain.Header, encoded)
	request.Header.Set(fleet.Header, node.proofFor(node.Self))
	if record[1] != "" {
		request.Trailer = http.Header{chain.TrailerBodyBytes: {record[1]}}
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, <-results, record[2])
	assert.Equal(t, response.StatusCode == http.StatusOK, record[2] == "whole", fmt.Sprint(response.Status, response.Header))
	assert.Equal(t, node.Stats.Bodies.Get("Shifted") != nil, record[2] == "cut")
}
