package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestCutAnswersOfNodes runs the cases of testdata/cut.csv. It guards against an answer of
// another node that a caller gets as complete although it was cut within its head or body.
// Each answer is cut behind each of its bytes. Only the whole one may be a success.
func TestCutAnswersOfNodes(t *testing.T) {
	steps.Cases(t, "testdata/cut.csv", func(t *testing.T, record []string) {
		for length := 0; ; length++ {
			whole, success := callCutNode(t, record[1], length)
			want := whole && record[2] == "true"
			assert.Check(t, success == want, "after %d bytes: success %t, want %t", length, success, want)
			if whole {
				return
			}
		}
	})
}

// callCutNode sends a request through an entry to a node that answers with the first bytes
// of an answer and closes the connection. In the answer, ID stands for the number of the
// call. It reports whether these bytes are the whole answer, and whether the caller got a
// success that looks complete.
func callCutNode(t *testing.T, answer string, length int) (whole, success bool) {
	t.Helper()
	answer, err := strconv.Unquote(`"` + answer + `"`)
	assert.NilError(t, err)
	sent := make(chan bool, 1)
	node := serveConns(t, func(c net.Conn) {
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		call, err := chain.Decode(request.Header.Get(chain.Header))
		if err != nil {
			return
		}
		text := strings.ReplaceAll(answer, "ID", callID(call))
		sent <- length >= len(text)
		_, _ = io.WriteString(c, text[:min(length, len(text))])
	})
	entry := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: node, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
	server := httptest.NewServer(http.HandlerFunc(entry.ServeCaller))
	defer server.Close()
	response, err := server.Client().Post(server.URL+"/ledger/x", "text/plain", nil)
	whole = <-sent
	if err != nil {
		return whole, false
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return whole, err == nil && response.StatusCode < http.StatusMultipleChoices
}
