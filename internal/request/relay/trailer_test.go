package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOddTrailer checks that a caller gets a whole answer and its trailer, but for a line whose
// name is no token.
func TestOddTrailer(t *testing.T) {
	body := strings.Repeat("x", 0x1000) // net/http sends shorter ones with a length
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n"+body+"\r\n0\r\nX-A: b\r\nX C: d\r\nX-E : f\r\n\r\n")
		}
	})
	c, err := net.Dial("tcp", newEntry(t, upstream))
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET /ledger/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), body)
	assert.DeepEqual(t, response.Trailer, http.Header{"X-A": {"b"}})
}
