package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
)

// TestCutAnswersWithoutLength runs the cases of testdata/unframed.csv. It guards against a
// cut answer that a caller with HTTP/1.0 takes for complete, as it has no length and ends
// with its connection, and against one whose cause is not logged.
func TestCutAnswersWithoutLength(t *testing.T) {
	steps.Cases(t, "testdata/unframed.csv", func(t *testing.T, record []string) {
		answer, err := strconv.Unquote(`"` + record[1] + `"`)
		assert.NilError(t, err)
		node := serveConns(t, func(c net.Conn) {
			defer c.Close()
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if call, err := chain.Decode(request.Header.Get(chain.Header)); err == nil {
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", callID(call)))
			}
		})
		entry := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: node, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
		var lines bytes.Buffer
		entry.Log = NewRequestLog(zerolog.New(&lines))
		s := newCallerServer(t, entry)
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "GET /ledger/x HTTP/1.0\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.ReadAll(conn)
		if record[2] == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, record[2])
		}
		assert.NilError(t, conn.Close())
		s.shutdown(t)
		assert.Equal(t, strings.Contains(lines.String(), `"error":"unexpected EOF","message":"answer cut"`), record[2] != "", lines.String())
	})
}

// TestServerClosedWithinAnswer runs the cases of testdata/closedservers.csv. It guards against
// a part of an answer that a caller takes for the whole because the server is closed, as at
// the end of the time for a stop.
func TestServerClosedWithinAnswer(t *testing.T) {
	steps.Cases(t, "testdata/closedservers.csv", func(t *testing.T, record []string) {
		release := make(chan struct{})
		node := serveConns(t, func(c net.Conn) {
			defer c.Close()
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if call, err := chain.Decode(request.Header.Get(chain.Header)); err == nil {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", chain.HeaderAnswer, callID(call))
			}
			<-release
		})
		entry := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: node, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
		s := newCallerServer(t, entry)
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		_, err = fmt.Fprintf(conn, "GET /ledger/x %s\r\nHost: x\r\n\r\n", record[1])
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.ReadFull(response.Body, make([]byte, len("half")))
		assert.NilError(t, err)
		assert.NilError(t, s.server.Close())
		_, err = io.ReadAll(response.Body)
		assert.ErrorContains(t, err, record[2])
		assert.NilError(t, conn.Close())
		close(release)
		s.serving.Wait()
	})
}

// callerServer is a tracked server that serves callers of an entry.
type callerServer struct {
	address string
	server  *http.Server
	serving conc.WaitGroup
	tracker *conns.Tracker
}

func newCallerServer(t *testing.T, entry *Relay) *callerServer {
	t.Helper()
	l, err := conns.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	s := &callerServer{address: l.Addr().String(), tracker: conns.NewTracker(1000, time.Minute)}
	s.server = &http.Server{
		ConnContext: CallerContext,
		ConnState:   func(conn net.Conn, state http.ConnState) { s.tracker.SetState(time.Now(), conn, state) },
		Handler:     http.HandlerFunc(entry.ServeCaller),
	}
	s.serving.Go(func() { _ = s.server.Serve(l) })
	return s
}

// shutdown shuts the server down once its connections have ended.
func (s *callerServer) shutdown(t *testing.T) {
	t.Helper()
	assert.NilError(t, s.tracker.Shutdown(t.Context(), s.server))
	s.serving.Wait()
}
