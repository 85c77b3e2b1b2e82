package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestPausedProcess runs the cases of testdata/paused.csv in virtual time. It guards against
// an answer that is given up although it has arrived: a process that was paused for longer
// than a time limit finds the limit over and the answer there at once.
func TestPausedProcess(t *testing.T) {
	steps.Cases(t, "testdata/paused.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runPaused(t, record) })
	})
}

// runPaused runs one record. Its fields are the name, the parts of the response, which are
// sent one after the other, the part before whose read the process is paused, for how long,
// and whether the response is accepted.
func runPaused(t *testing.T, record []string) {
	text, err := strconv.Unquote(`"` + record[1] + `"`)
	assert.NilError(t, err)
	part, err := strconv.Atoi(record[2])
	assert.NilError(t, err)
	pause, err := time.ParseDuration(record[3])
	assert.NilError(t, err)
	dialer := &pausedDialer{parts: strings.Split(text, "|"), pause: pause, pausedRead: part}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://x/", nil)
	assert.NilError(t, err)
	response, err := New(WithDialer(dialer)).Do(t.Context(), &Call{
		BodyIdleTimeout: time.Second,
		Deadline:        time.Now().Add(10 * time.Second),
		HeaderTimeout:   time.Second,
		Request:         request,
		To:              netip.MustParseAddrPort("127.0.0.1:1"),
	})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		assert.Check(t, response.Body.Close())
	}
	assert.NilError(t, dialer.conn.Close())
	synctest.Wait()
	if record[4] == "true" {
		assert.NilError(t, err)
		assert.Equal(t, string(body), "hello")
		return
	}
	assert.Check(t, err != nil, "the response was accepted")
}

// pausedDialer opens a connection to a server that sends parts of a response.
type pausedDialer struct {
	conn       *pausedConn
	parts      []string
	pause      time.Duration
	pausedRead int // number of the read before which the process is paused
}

// DialContext implements Dialer.
func (d *pausedDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
			return
		}
		for _, part := range d.parts {
			if _, err := io.WriteString(server, part); err != nil {
				return
			}
		}
	}()
	d.conn = &pausedConn{Conn: client, left: d.pausedRead, pause: d.pause}
	return d.conn, nil
}

// pausedConn is a connection of a process that is paused before one of its reads.
type pausedConn struct {
	net.Conn
	left  int // reads until that one, which is included
	pause time.Duration
}

// Read implements net.Conn.
func (c *pausedConn) Read(p []byte) (int, error) {
	if c.left--; c.left == 0 {
		time.Sleep(c.pause)
	}
	return c.Conn.Read(p)
}
