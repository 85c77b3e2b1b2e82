package pool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestCutResponses runs the cases of testdata/cut.csv. It guards against a response that is
// taken for complete although the server stopped within its head, a chunk or its trailer,
// and closed the connection. Each response is cut behind each of its bytes. Only the whole
// one may be accepted, or, if it has no length, any that has the whole head.
func TestCutResponses(t *testing.T) {
	steps.Cases(t, "testdata/cut.csv", func(t *testing.T, record []string) {
		whole, err := strconv.Unquote(`"` + record[1] + `"`)
		assert.NilError(t, err)
		headEnd := strings.LastIndex(whole, "HTTP/1.1")
		headEnd += strings.Index(whole[headEnd:], "\r\n\r\n") + len("\r\n\r\n")
		for length := range len(whole) + 1 {
			got, err := readCut(t, whole[:length])
			switch complete := length == len(whole) || record[2] == "unframed" && length >= headEnd; {
			case complete && err != nil:
				t.Errorf("%q was not accepted: %v", whole[:length], err)
			case complete:
				assert.Check(t, strings.HasSuffix(whole[:length], got) || record[2] == "chunked", "%q gave the body %q", whole[:length], got)
			case err == nil:
				t.Errorf("%q was taken for complete", whole[:length])
			}
		}
	})
}

// readCut returns the body of a response that a server sends and then closes the
// connection.
func readCut(t *testing.T, sent string) (string, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, sent)
		}
	}()
	return readFrom(t, listener.Addr().(*net.TCPAddr).AddrPort())
}

// readFrom sends a request to a server and returns the body of the response, which may have no
// length.
func readFrom(t *testing.T, address netip.AddrPort) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", nil)
	assert.NilError(t, err)
	response, err := New().Do(t.Context(), &Call{AllowUnframed: true, Deadline: time.Now().Add(time.Minute), Request: request, To: address})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
