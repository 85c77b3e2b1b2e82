package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/pool"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestBodyOfNextAttempt runs the cases of testdata/nextattempt.csv. It guards against another
// body than the caller's at the second upstream that a request is sent to: the first attempt
// has ended without a read of the body, and reads from it only when the next one has begun.
func TestBodyOfNextAttempt(t *testing.T) {
	steps.Cases(t, "testdata/nextattempt.csv", func(t *testing.T, record []string) {
		t.Parallel()
		runNextAttempt(t, record)
	})
}

// runNextAttempt runs one record. Its fields are the name, the method, how the end of the body
// is told, and what the first attempt meets.
func runNextAttempt(t *testing.T, record []string) {
	const requests = 20
	other, shifted, completed := 0, 0, 0
	for range requests {
		r := newBodyReader(t, 100<<10)
		entry := newNextAttemptEntry(t, r, record[3])
		complete := r.send(t, entry, record[1], record[2] == "chunked")
		if !r.intact(complete) {
			other++
		}
		if complete {
			completed++
		}
		if entry.Stats.Bodies.Get("Shifted") != nil {
			shifted++
		}
	}
	if record[3] == "upstream" || record[3] == "connection" {
		assert.Equal(t, completed, requests, "requests whose first attempt has read nothing must be sent again")
	}
	assert.Check(t, other == 0 && shifted == 0, "%d of %d bodies were not the caller's; %d attempts did not begin at the start of the body", other, requests, shifted)
}

// newNextAttemptEntry returns an entry node whose first attempt to send a request is refused
// or fails in the given way, and whose next one goes to r.
func newNextAttemptEntry(t *testing.T, r *bodyReader, first string) *Relay {
	t.Helper()
	self := netip.MustParseAddrPort("127.0.0.1:1")
	second := readyRecord(serveConns(t, r.serve))
	second.Zone = "other zone" // chosen last
	records := []member.Record{second}
	dialer := newLateDialer(t)
	switch first {
	case "node":
		records = append(records, readyRecord(serveConns(t, r.serve)))
		r.refuseFirst = true
	case "secondhop":
		dialer.response = instantRefusal
		node := newRelay(t, netip.AddrPort{}, dialer.address)
		node.Dialect = refusingDialect{}
		node.Pool = pool.New(pool.WithDialer(dialer))
		peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { node.ServePeer(w, r) }))
		t.Cleanup(peers.Close)
		node.Self = netip.MustParseAddrPort(peers.Listener.Addr().String())
		records = append(records, readyRecord(node.Self))
	}
	// A request must be complete however long the process stands still.
	entry := newPatientRelay(t, rows.MaxTimeout, self, dialer.address, records...)
	entry.Pool = pool.New(pool.WithDialer(dialer))
	if first != "upstream" && first != "connection" {
		return entry
	}
	if first == "upstream" {
		dialer.response = instantRefusal
	}
	entry.Dialect = refusingDialect{}
	entry.Table = member.NewTable(time.Now(), readyRecord(self))
	entry.Table.Merge(time.Now(), records)
	return entry
}

// readyRecord returns the record of a node whose upstream takes requests.
func readyRecord(node netip.AddrPort) member.Record {
	return member.Record{Health: member.Alive, Incarnation: 1, Peers: node, Readiness: member.Ready, Service: "ledger", Zone: "zone"}
}

// refusingDialect is the native dialect with upstreams that answer 503 to what they have not
// run.
type refusingDialect struct{ native }

// ReadResponse implements Dialect.
func (refusingDialect) ReadResponse(_ http.Header, response *http.Response) ResponseInfo {
	return ResponseInfo{NotRun: response.StatusCode == http.StatusServiceUnavailable}
}

// bodyReader is a node that reads the body of a request and compares it.
type bodyReader struct {
	t           *testing.T
	body        []byte // that the caller sends
	refuseFirst bool   // whether to refuse the first call instead
	calls       atomic.Int32

	mu       sync.Mutex
	got      []byte
	complete bool // whether the end of the body came
	read     chan struct{}
}

// newBodyReader returns a bodyReader of one request with a body of a length.
func newBodyReader(t *testing.T, length int) *bodyReader {
	t.Helper()
	r := &bodyReader{t: t, read: make(chan struct{})}
	for i := 0; len(r.body) < length; i++ {
		r.body = fmt.Appendf(r.body, "%08d", i)
	}
	return r
}

// serve serves a connection of an entry node.
func (r *bodyReader) serve(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	call, err := chain.Decode(request.Header.Get(chain.Header))
	if err != nil {
		return
	}
	answer := fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		chain.HeaderAnswer, callID(call), refuse.HeaderCause, refuse.Shed, refuse.HeaderRan, refuse.NotRun)
	if r.calls.Add(1) == 1 && r.refuseFirst {
		_, _ = io.WriteString(c, answer)
		_, _ = io.Copy(io.Discard, c)
		return
	}
	defer close(r.read)
	if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return
	}
	got, err := io.ReadAll(request.Body)
	r.mu.Lock()
	r.got, r.complete = got, err == nil
	r.mu.Unlock()
	if err == nil {
		if request.ContentLength < 0 {
			assert.Check(r.t, request.Trailer.Get(chain.TrailerBodyBytes) == strconv.Itoa(len(got)), "trailer %v of a body of %d bytes", request.Trailer, len(got))
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", chain.HeaderAnswer, callID(call))
	}
}

// send sends the request to the entry node and reports whether the caller got a success.
func (r *bodyReader) send(t *testing.T, entry *Relay, method string, chunked bool) bool {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { entry.ServeCaller(w, r) }))
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), method, server.URL+"/ledger/x", bytes.NewReader(r.body))
	assert.NilError(t, err)
	if chunked {
		request.ContentLength = -1
	}
	response, err := server.Client().Do(request)
	if err != nil {
		return false // the entry node may close the connection before it has read the body
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// intact reports whether what was read is the body that the caller sent, or the first part of
// it if the caller was not told that the request is complete.
func (r *bodyReader) intact(complete bool) bool {
	if r.calls.Load() > 1 || !r.refuseFirst && r.calls.Load() > 0 {
		<-r.read
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if complete || r.complete {
		return bytes.Equal(r.got, r.body)
	}
	return bytes.HasPrefix(r.body, r.got)
}

// instantRefusal is the response of an upstream that has not run the request.
const instantRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"

// lateDialer opens connections to an upstream that answers, or fails without a response, once
// it has the head of a request. The goroutine that has written the head goes on late. The
// dialer connects to other addresses as usual.
type lateDialer struct {
	net.Dialer
	address  netip.AddrPort // of the upstream
	next     chan struct{}  // closed when the next attempt begins
	once     sync.Once      // closes next
	response string
}

// newLateDialer returns a lateDialer for an upstream that reads all that it gets.
func newLateDialer(t *testing.T) *lateDialer {
	t.Helper()
	d := &lateDialer{address: serveConns(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }), next: make(chan struct{})}
	t.Cleanup(d.beginNext)
	return d
}

// beginNext lets the goroutines that have written a head go on.
func (d *lateDialer) beginNext() {
	d.once.Do(func() { close(d.next) })
}

// DialContext implements pool.Dialer.
func (d *lateDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil || address != d.address.String() {
		d.beginNext()
		return c, err
	}
	return &lateConn{Conn: c, dialer: d, response: strings.NewReader(d.response), written: make(chan struct{})}, nil
}

// lateConn is a connection to such an upstream.
type lateConn struct {
	net.Conn
	dialer   *lateDialer
	once     sync.Once // closes written
	response *strings.Reader
	written  chan struct{} // closed when the head has been written
}

// Read implements io.Reader.
func (c *lateConn) Read(p []byte) (int, error) {
	<-c.written
	n, err := c.response.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Write implements io.Writer.
func (c *lateConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.once.Do(func() { close(c.written) })
	<-c.dialer.next
	return n, err
}
