package pool

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

const (
	// endlessDeadline is the time until the deadline of a call.
	endlessDeadline = 3 * time.Second
	// endlessInterval is the time between two writes of an endless response.
	endlessInterval = time.Millisecond
)

// TestEndlessResponses runs the cases of testdata/endless.csv. It guards against an
// upstream that sends bytes without end where the head, the frame or the trailer of a
// response is due: reading them until the deadline would use up the host's memory.
// MaxBytes is the largest number of bytes that may be read: 512 KiB where they take
// memory, as a host has 284 MB for some 300 requests, and otherwise twice what another
// node sends in an hour to show that it is alive.
func TestEndlessResponses(t *testing.T) {
	steps.Cases(t, "testdata/endless.csv", func(t *testing.T, record []string) {
		synctest.Test(t, func(t *testing.T) {
			maxBytes, err := strconv.ParseInt(record[1], 10, 64)
			assert.NilError(t, err)
			server := newEndlessServer(t, record[2], record[3])
			started := time.Now()
			err = server.exchange(t.Context())
			assert.Check(t, err != nil, "the response was accepted")
			assert.Check(t, server.sent.Load() <= maxBytes, "%d bytes were read, want at most %d", server.sent.Load(), maxBytes)
			assert.Check(t, time.Since(started) < endlessDeadline, "the response was read until the deadline")
			time.Sleep(2 * endlessInterval) // the server notices that the connection is closed
		})
	})
}

// TestEndlessBody checks that the body of a response that does not end is passed on, and
// that nothing more is read once the caller has closed it.
func TestEndlessBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newEndlessServer(t, `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n`, `5\r\nhello\r\n`)
		response, err := server.do(t.Context())
		assert.NilError(t, err)
		passed, err := io.CopyN(io.Discard, response.Body, 10<<20)
		assert.NilError(t, err)
		assert.Equal(t, passed, int64(10<<20))
		assert.NilError(t, response.Body.Close())
		time.Sleep(2 * endlessInterval)
		before := server.sent.Load()
		time.Sleep(time.Second)
		assert.Equal(t, server.sent.Load(), before, "the response was read on")
	})
}

// endlessServer sends a beginning and then the same bytes again and again, over a pipe.
type endlessServer struct {
	begin, repeat []byte
	pool          *Pool
	sent          atomic.Int64 // bytes that were read
}

// newEndlessServer returns a server whose bytes are given in the syntax of Go strings.
func newEndlessServer(t *testing.T, begin, repeat string) *endlessServer {
	t.Helper()
	s := &endlessServer{begin: []byte(unquote(t, begin))}
	unit := []byte(unquote(t, repeat))
	s.repeat = bytes.Repeat(unit, 16<<10/len(unit)+1)
	s.pool = New(WithDialer(s))
	return s
}

// DialContext implements Dialer.
func (s *endlessServer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go s.serve(server)
	return client, nil
}

func (s *endlessServer) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	for next := s.begin; ; next = s.repeat {
		n, err := c.Write(next)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(endlessInterval)
	}
}

// do sends a request to the server.
func (s *endlessServer) do(ctx context.Context) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://x/", nil)
	if err != nil {
		return nil, err
	}
	return s.pool.Do(ctx, &Call{
		Accept: func(response *http.Response) Match {
			if response.Header.Get("X-Other") != "" {
				return Other
			}
			return Matched
		},
		Deadline:      time.Now().Add(endlessDeadline),
		HeaderTimeout: endlessDeadline,
		Request:       request,
		To:            netip.MustParseAddrPort("127.0.0.1:1"),
	})
}

// exchange sends a request to the server and reads the whole response.
func (s *endlessServer) exchange(ctx context.Context) error {
	response, err := s.do(ctx)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return err
}
