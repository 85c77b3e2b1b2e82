package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// TestAttemptEndsBeforeNextWaits guards against an attempt that takes the body while the next
// one waits at the gate. The next one could not send it any more, and its request would be
// cut, though the first one was refused as not run.
func TestAttemptEndsBeforeNextWaits(t *testing.T) {
	first := newBodyReader(t, 100<<10)
	first.refuseFirst = true
	peer := readyRecord(serveConns(t, first.serve))
	received := make(chan []byte, 1)
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		received <- body
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	self := netip.MustParseAddrPort("127.0.0.1:1")
	entry := newRelay(t, self, upstream)
	record := readyRecord(self)
	record.Zone = "other" // is not chosen first
	entry.Table = member.NewTable(time.Now(), record)
	entry.Table.Merge(time.Now(), []member.Record{peer})
	dialer := &heldDialer{address: peer.Peers.String(), ended: make(chan struct{}), release: make(chan struct{})}
	entry.Pool = pool.New(pool.WithDialer(dialer))
	entry.Gate = gates.NewGate(gates.Static(1))
	ticket := &gates.Ticket{Deadline: time.Now().Add(time.Hour), Weight: 1}
	assert.Check(t, entry.Gate.Enter(t.Context(), time.Now(), ticket) == nil)
	go func() {
		for entry.Gate.Load(time.Now()).Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		close(dialer.release)
		<-dialer.ended
		entry.Gate.Leave(time.Now(), ticket, false)
	}()
	address := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { entry.ServeCaller(w, r) })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address.String()+"/ledger/x", bytes.NewReader(first.body))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK, "%v", response.Header)
	assert.Check(t, bytes.Equal(<-received, first.body))
}

// heldDialer opens connections as usual. On that to its address, the goroutine that has
// written the head of a request goes on only when it is released.
type heldDialer struct {
	net.Dialer
	address string
	ended   chan struct{} // closed when that goroutine has given up
	release chan struct{}
}

// DialContext implements pool.Dialer.
func (d *heldDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil || address != d.address {
		return c, err
	}
	return &heldConn{Conn: c, dialer: d}, nil
}

// heldConn is the connection to that address.
type heldConn struct {
	net.Conn
	dialer *heldDialer

	mu     sync.Mutex
	closes int
}

// Close implements net.Conn. The exchange closes the connection first, and then the goroutine
// that writes the request.
func (c *heldConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closes++
	if c.closes == 2 {
		close(c.dialer.ended)
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	<-c.dialer.release
	return n, err
}
