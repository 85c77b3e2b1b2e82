package conns

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

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestAnswerBeforeClose runs the cases of testdata/behind.csv. It guards against an answer
// that is cut because its connection is closed behind it while another request of the caller
// is unread: the kernel then resets the connection and drops what it has not sent yet. The
// caller reads the answer only when the node has closed the connection.
func TestAnswerBeforeClose(t *testing.T) {
	steps.Cases(t, "testdata/behind.csv", func(t *testing.T, record []string) {
		size, err := strconv.Atoi(record[1])
		assert.NilError(t, err)
		l, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		assert.NilError(t, err)
		tracker := NewTracker(1000, testIdleTimeout)
		answer := strings.Repeat("a", size)
		closed, sent, started := make(chan struct{}), make(chan struct{}), make(chan struct{})
		server := &http.Server{
			ConnState: func(conn net.Conn, state http.ConnState) {
				switch state {
				case http.StateNew:
					assert.Check(t, conn.(*Conn).SetWriteBuffer(1<<20))
				case http.StateClosed:
					close(closed)
				}
				tracker.SetState(time.Now(), conn, state)
			},
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(started)
				<-sent
				w.Header().Set("Connection", "close")
				w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
				_, _ = io.WriteString(w, answer)
			}),
		}
		var serving conc.WaitGroup
		serving.Go(func() { _ = server.Serve(l) })
		conn, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
		requests := closingRequest
		if record[2] == "with it" {
			requests += closingRequest
		}
		_, err = io.WriteString(conn, requests)
		assert.NilError(t, err)
		<-started
		if record[2] == "handled" {
			_, err := io.WriteString(conn, closingRequest)
			assert.NilError(t, err)
		}
		close(sent)
		<-closed
		assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(1<<20))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		defer response.Body.Close()
		n, err := io.Copy(io.Discard, response.Body)
		assert.Check(t, err == nil && n == int64(size), "%d of %d bytes, %v", n, size, err)
		assert.NilError(t, conn.Close())
		assert.NilError(t, tracker.Shutdown(t.Context(), server))
		serving.Wait()
	})
}
