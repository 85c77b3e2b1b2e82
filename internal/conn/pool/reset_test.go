package pool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestResponseUnderUpload runs the cases of testdata/resets.csv. It guards against a response
// without a length that is taken for complete although the server reset the connection. The
// kernel reports a reset once: if the write of the request's body gets it, a read of the
// response finds an orderly end.
func TestResponseUnderUpload(t *testing.T) {
	steps.Cases(t, "testdata/resets.csv", func(t *testing.T, record []string) {
		server := newResettingServer(t, unquote(t, record[1]), record[2], record[3])
		upload, sender := io.Pipe()
		body := &closeNotifier{Reader: upload, closed: make(chan struct{})}
		call := (&earlyServer{}).call("/", body)
		call.AllowUnframed = true
		call.To = server.address
		response, err := New().Do(t.Context(), call)
		assert.NilError(t, err)
		begin := make([]byte, len("half"))
		_, err = io.ReadFull(response.Body, begin)
		assert.NilError(t, err)
		close(server.end)
		<-server.ended
		if record[4] != "paused" {
			go func() {
				piece := make([]byte, bufferSize)
				for {
					if _, err := sender.Write(piece); err != nil {
						return
					}
				}
			}()
		}
		if record[4] == "failed" {
			<-body.closed
		}
		rest, err := io.ReadAll(response.Body)
		if record[5] == "" {
			assert.NilError(t, err)
			assert.Equal(t, string(begin)+string(rest), "half and half")
		} else {
			assert.ErrorContains(t, err, record[5])
		}
		assert.NilError(t, response.Body.Close())
		assert.NilError(t, upload.Close())
	})
}

// resettingServer answers one request before it has read the body.
type resettingServer struct {
	address netip.AddrPort
	end     chan struct{} // closed when it is to end the connection
	ended   chan struct{} // closed when it has ended the connection
	ending  string        // how it ends the connection
	first   string        // first part of the response
	rest    string        // sent before it ends the connection
}

// newResettingServer returns a server that sends the parts of a response.
func newResettingServer(t *testing.T, first, rest, ending string) *resettingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &resettingServer{
		address: netip.MustParseAddrPort(listener.Addr().String()),
		end:     make(chan struct{}),
		ended:   make(chan struct{}),
		ending:  ending,
		first:   first,
		rest:    rest,
	}
	closed := make(chan struct{})
	t.Cleanup(func() {
		assert.Check(t, listener.Close())
		<-closed
	})
	go func() {
		defer close(closed)
		if c, err := listener.Accept(); assert.Check(t, err) {
			assert.Check(t, s.serve(t.Context(), c.(*net.TCPConn)))
		}
	}()
	return s
}

// serve answers a request and ends the connection. If it does not reset it, it returns when
// ctx ends.
func (s *resettingServer) serve(ctx context.Context, c *net.TCPConn) error {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, s.first); err != nil {
		return err
	}
	<-s.end
	if _, err := io.WriteString(c, s.rest); err != nil {
		return err
	}
	if s.ending != "reset" {
		if err := c.CloseWrite(); err != nil {
			return err
		}
	}
	if s.ending == "reset" || s.ending == "end and reset" {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		err := c.Close()
		close(s.ended)
		return err
	}
	close(s.ended)
	if s.ending == "end" {
		_, _ = io.Copy(io.Discard, c) // until the client closes the connection
	}
	<-ctx.Done()
	return nil
}
