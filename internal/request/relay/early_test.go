package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/member"
)

// TestEarlyAnswer guards against other bytes in place of the rest of a request's body. An
// upstream may answer before it has read the body, and read on later. Once the response
// begins, the HTTP server of a node must not read the body, too: it would discard parts
// of it that are still due to the upstream.
func TestEarlyAnswer(t *testing.T) {
	const chunk, chunks = 1 << 10, 100
	var body []byte
	for i := range chunks {
		body = append(body, bytes.Repeat([]byte{byte(i)}, chunk)...)
	}
	answered := make(chan struct{})
	received := make(chan []byte, 1)
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		got := make([]byte, chunk)
		if _, err := io.ReadFull(request.Body, got); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe"); err != nil {
			return
		}
		close(answered)
		rest, err := io.ReadAll(request.Body)
		received <- append(got, rest...)
		if err == nil {
			_, _ = io.WriteString(c, "llo")
		}
	})
	entry := newEntry(t, upstream)
	reader, writer := io.Pipe()
	go func() {
		for i := range chunks {
			if _, err := writer.Write(body[i*chunk : (i+1)*chunk]); err != nil {
				return
			}
			if i == 0 {
				<-answered
			}
			time.Sleep(time.Millisecond)
		}
		_ = writer.Close()
	}()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entry+"/ledger/x", reader)
	assert.NilError(t, err)
	request.ContentLength = int64(len(body))
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	answer, err := io.ReadAll(response.Body)
	assert.Check(t, err == nil && string(answer) == "hello", "%q, %v", answer, err)
	assert.NilError(t, response.Body.Close())
	assert.Check(t, bytes.Equal(<-received, body), "the upstream got other bytes than the caller sent")
}

// TestEarlyCompleteAnswer guards against a response that is lost, and against the rest of
// a body that is taken for another request, when an upstream answers before the body has
// been sent.
func TestEarlyCompleteAnswer(t *testing.T) {
	upstream := serveConns(t, func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c)
	})
	c, err := net.Dial("tcp", newEntry(t, upstream))
	assert.NilError(t, err)
	defer c.Close()
	const length = 100 << 10
	_, err = fmt.Fprintf(c, "POST /ledger/x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
	assert.NilError(t, err)
	for range length >> 10 {
		_, err = c.Write(make([]byte, 1<<10))
		assert.NilError(t, err)
		time.Sleep(time.Millisecond)
	}
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "hello")
	assert.Check(t, response.Close, "the connection is not announced to be closed")
	_, err = reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// newEntry starts an entry node, and the node beside an upstream, and returns the address
// at which the entry node serves callers.
func newEntry(t *testing.T, upstream netip.AddrPort) string {
	t.Helper()
	upstreamNode := newRelay(t, netip.AddrPort{}, upstream)
	peers := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { upstreamNode.ServePeer(w, r) }))
	t.Cleanup(peers.Close)
	upstreamNode.Self = netip.MustParseAddrPort(peers.Listener.Addr().String())
	entryNode := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, member.Record{Health: member.Alive, Incarnation: 1, Peers: upstreamNode.Self, Readiness: member.Ready, Service: "ledger", Zone: "zone"})
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { entryNode.ServeCaller(w, r) }))
	t.Cleanup(entry.Close)
	return entry.Listener.Addr().String()
}
