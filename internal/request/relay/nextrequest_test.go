package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// TestNextRequestAfterRefusal guards against a request that is refused because the one before
// it on its connection was refused while its body was read. The read is ended by a deadline,
// which the HTTP server takes for the caller's leave: it ends the context of the connection,
// and reads the rest of the body and keeps the connection nevertheless.
func TestNextRequestAfterRefusal(t *testing.T) {
	const timeout = headerTimeout + ": 50\r\n"
	for _, c := range []struct {
		name, answer, header string
		length, first        int
	}{
		{"upstream refuses", instantRefusal, "", 100 << 10, 20 << 10},
		{"deadline passes", "", timeout, 100 << 10, 20 << 10},
		{"deadline passes before a small body is whole", "", timeout, 10 << 10, 2 << 10},
	} {
		t.Run(c.name, func(t *testing.T) { runNextRequest(t, c.answer, c.header, c.length, c.first) })
	}
}

// runNextRequest sends a request with a header, whose upstream writes answer once it has the
// first part of the body, and then another one on the same connection.
func runNextRequest(t *testing.T, answer, header string, length, first int) {
	t.Helper()
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if request.Method == http.MethodGet {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return
		}
		if _, err := io.ReadFull(request.Body, make([]byte, first)); err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, c)
	})
	self := netip.MustParseAddrPort("127.0.0.1:1")
	entry := newRelay(t, self, upstream)
	entry.Dialect = refusingDialect{}
	entry.Table = member.NewTable(time.Now(), readyRecord(self))
	ended := make(chan struct{}, 2)
	address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		entry.ServeCaller(w, r)
		ended <- struct{}{}
	})
	c, err := net.Dial("tcp", address.String())
	assert.NilError(t, err)
	defer c.Close()
	reader := bufio.NewReader(c)
	_, err = fmt.Fprintf(c, "POST /ledger/x HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", header, length)
	assert.NilError(t, err)
	_, err = c.Write(make([]byte, first))
	assert.NilError(t, err)
	<-ended
	_, err = c.Write(make([]byte, length-first))
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Check(t, response.StatusCode >= http.StatusInternalServerError, "%v", response.Status)
	if response.Close {
		return
	}
	_, err = io.WriteString(c, "GET /ledger/x HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	response, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK, "%v", response.Header)
}

// serveHTTP serves connections as a node does.
func serveHTTP(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	l, err := conns.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	tracker := conns.NewTracker(100000, time.Minute)
	server := &http.Server{ConnContext: CallerContext, Handler: handler, ConnState: func(c net.Conn, state http.ConnState) { tracker.SetState(time.Now(), c, state) }}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort()
}
