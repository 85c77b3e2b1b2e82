package relay

import (
	"bufio"
	"bytes"
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
		address, shutdown := serveCallers(t, entry)
		conn, err := net.Dial("tcp", address)
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
		shutdown()
		assert.Equal(t, strings.Contains(lines.String(), `"error":"unexpected EOF","message":"answer cut"`), record[2] != "", lines.String())
	})
}

// serveCallers serves callers of an entry by a tracked server. It returns the server's address,
// and a function that shuts the server down once its connections have ended.
func serveCallers(t *testing.T, entry *Relay) (address string, shutdown func()) {
	t.Helper()
	l, err := conns.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	tracker := conns.NewTracker(1000, time.Minute)
	server := &http.Server{
		ConnContext: CallerContext,
		ConnState:   func(conn net.Conn, state http.ConnState) { tracker.SetState(time.Now(), conn, state) },
		Handler:     http.HandlerFunc(entry.ServeCaller),
	}
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), func() {
		assert.NilError(t, tracker.Shutdown(t.Context(), server))
		serving.Wait()
	}
}
