package relay

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// wordSize is the size in bytes of the words of a body: the request's number and the offset.
const wordSize = 16

// numberedBody returns the body of a request, which tells its number and the offset.
func numberedBody(number uint64, length int) []byte {
	b := make([]byte, 0, length+wordSize)
	for offset := 0; offset < length; offset += wordSize {
		b = binary.BigEndian.AppendUint64(b, number)
		b = binary.BigEndian.AppendUint64(b, uint64(offset))
	}
	return b[:length]
}

type manyBodies struct {
	requests atomic.Uint64
	counts   sync.Map
	faults   chan string
}

func (m *manyBodies) count(what string) {
	n, _ := m.counts.LoadOrStore(what, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (m *manyBodies) fault(format string, args ...any) {
	m.count("FAULT")
	select {
	case m.faults <- fmt.Sprintf(format, args...):
	default:
	}
}

// serveUpstream serves a connection to an upstream, which often answers early.
func (m *manyBodies) serveUpstream(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	last := ""
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !isReset(err) {
				m.fault("no request after %s: %v", last, err)
			}
			return
		}
		number, _ := strconv.ParseUint(request.Header.Get("X-Number"), 10, 64)
		length, _ := strconv.Atoi(request.Header.Get("X-Length"))
		last = fmt.Sprintf("%d (%s, %d bytes, length %d)", number, request.Method, length, request.ContentLength)
		before := 0 // bytes to read before the answer
		switch rand.N(6) {
		case 0, 1:
		case 2:
			before = rand.N(length + 1)
		case 3:
			before = min(rand.N(15000), length)
		default:
			before = length + 1
		}
		status := []int{200, 200, 500, 503, 503}[rand.N(5)]
		if status == 503 {
			before = []int{0, 0, before}[rand.N(3)]
		}
		kind := strconv.Itoa(status)
		want := numberedBody(number, length)
		got := make([]byte, min(before, length))
		n, err := io.ReadFull(request.Body, got)
		if !bytes.Equal(got[:n], want[:n]) {
			m.fault("%s: before the answer: other bytes in %d", last, n)
			return
		}
		if err != nil {
			m.count("cut before " + kind)
			return
		}
		ended := false
		if before > length {
			rest, err := io.ReadAll(request.Body)
			if len(rest) > 0 {
				m.fault("%s: %d bytes too many", last, len(rest))
			}
			if err != nil {
				m.count("cut at end")
				return
			}
			ended = true
		}
		if rand.N(20) == 0 {
			m.count("dropped")
			return
		}
		answerSize := []int{0, 5, 5000, 60000}[rand.N(4)]
		answer := bytes.Repeat([]byte("a"), answerSize)
		head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Number: %d\r\nContent-Length: %d\r\n\r\n", status, number, answerSize)
		part := rand.N(answerSize + 1)
		if _, err := c.Write(append([]byte(head), answer[:part]...)); err != nil {
			m.count("unwritten")
			return
		}
		kind += " early"
		late := rand.N(2) == 0
		if !late {
			if _, err := c.Write(answer[part:]); err != nil {
				return
			}
		}
		if rand.N(3) == 0 {
			time.Sleep(time.Duration(rand.N(20)) * time.Millisecond)
		}
		if !ended {
			rest, err := io.ReadAll(request.Body)
			all := append(got, rest...)
			switch {
			case len(all) > length || !bytes.Equal(all, want[:len(all)]):
				at := 0
				for at < min(len(all), length) && all[at] == want[at] {
					at++
				}
				end := min(at/wordSize*wordSize+2*wordSize, len(all))
				m.fault("%s: after the answer (%d, %d read before): %d bytes, other from %d on: %x", last, status, before, len(all), at, all[at/wordSize*wordSize:end])
				return
			case err == nil && len(all) != length:
				m.fault("%s: after the answer (%d): whole with %d bytes", last, status, len(all))
				return
			case err != nil:
				m.count("cut after " + kind)
				return
			}
			m.count("whole after " + kind)
		} else {
			m.count("whole before " + strconv.Itoa(status))
		}
		if late {
			if _, err := c.Write(answer[part:]); err != nil {
				return
			}
		}
	}
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// call sends requests on connections to an entry node.
func (m *manyBodies) call(address string, end time.Time) {
	var c net.Conn
	var reader *bufio.Reader
	for time.Now().Before(end) {
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", address); err != nil {
				m.fault("dial: %v", err)
				return
			}
			reader = bufio.NewReader(c)
		}
		if !m.callOnce(c, reader) {
			_ = c.Close()
			c = nil
		}
	}
	if c != nil {
		_ = c.Close()
	}
}

// callOnce sends a request and reports whether the connection can carry another.
func (m *manyBodies) callOnce(c net.Conn, reader *bufio.Reader) bool {
	number := m.requests.Add(1)
	length := []int{rand.N(16 << 10), 16<<10 + rand.N(10000), rand.N(100000), rand.N(700000)}[rand.N(4)] + 1
	body := numberedBody(number, length)
	chunked := rand.N(2) == 0
	expects := rand.N(4) == 0
	method := []string{"POST", "PUT", "PUT", "DELETE"}[rand.N(4)]
	proto := "HTTP/1.1"
	if !chunked && rand.N(8) == 0 {
		proto = "HTTP/1.0"
	}
	head := fmt.Sprintf("%s /ledger/x %s\r\nHost: x\r\nX-Number: %d\r\nX-Length: %d\r\n", method, proto, number, length)
	if proto == "HTTP/1.0" {
		head += "Connection: keep-alive\r\n"
	}
	if expects {
		head += "Expect: 100-continue\r\n"
	}
	if chunked {
		head += "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	}
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	sent := make(chan error, 1)
	leave := rand.N(40) == 0
	pace := rand.N(4)
	go func() {
		if _, err := io.WriteString(c, head); err != nil {
			sent <- err
			return
		}
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 1+rand.N(40000))
			var err error
			if chunked {
				_, err = c.Write(append(fmt.Appendf(nil, "%x\r\n", n), append(rest[:n:n], "\r\n"...)...))
			} else {
				_, err = c.Write(rest[:n])
			}
			if err != nil {
				sent <- err
				return
			}
			rest = rest[n:]
			if pace == 0 {
				time.Sleep(time.Duration(rand.N(5000)) * time.Microsecond)
			}
			if leave && rand.N(3) == 0 {
				_ = c.Close()
				sent <- net.ErrClosed
				return
			}
		}
		var err error
		if chunked {
			_, err = fmt.Fprintf(c, "0\r\nX-Sum: %d\r\n\r\n", number)
		}
		sent <- err
	}()
	defer func() { <-sent }()
	var response *http.Response
	for {
		var err error
		if response, err = http.ReadResponse(reader, nil); err != nil {
			m.count("no answer")
			if errors.Is(err, os.ErrDeadlineExceeded) {
				m.fault("%d: no answer in 30 s (%s, %d bytes, chunked %t, expects %t)", number, method, length, chunked, expects)
			}
			_ = c.Close()
			return false
		}
		if response.StatusCode >= 200 {
			break
		}
	}
	m.count(fmt.Sprintf("caller got %d %s %s", response.StatusCode, response.Header.Get("Wasabibend-Refusal"), response.Header.Get("Wasabibend-Detail")))
	if by := response.Header.Get("X-Number"); by != "" && by != strconv.FormatUint(number, 10) {
		m.fault("%d got the answer to %s", number, by)
	}
	_, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.Close {
		if response.Close && rand.N(2) == 0 {
			time.Sleep(time.Duration(rand.N(20)) * time.Millisecond) // sends on
		}
		_ = c.Close()
		return false
	}
	m.count("kept")
	if response.StatusCode == 400 {
		m.fault("%d: 400 %v", number, response.Header)
	}
	return true
}

// TestManyBodies sends bodies of many kinds through nodes to upstreams that often answer
// before they have read them.
func TestManyBodies(t *testing.T) {
	duration, err := time.ParseDuration(os.Getenv("MANY_BODIES"))
	if err != nil {
		duration = 2 * time.Second
	}
	m := &manyBodies{faults: make(chan string, 20)}
	var nodes []*Relay
	var records []member.Record
	for range 3 {
		node := newRelay(t, netip.AddrPort{}, serveConns(t, m.serveUpstream))
		node.Dialect = refusingDialect{}
		node.SetRetryBounds(1, 100000, 1, 1)
		node.Self = serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { node.ServePeer(w, r) })
		nodes = append(nodes, node)
		records = append(records, readyRecord(node.Self))
	}
	var addresses []string
	for i, node := range nodes {
		node.Table = member.NewTable(time.Now(), records[i])
		node.Table.Merge(time.Now(), records)
		addresses = append(addresses, serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { node.ServeCaller(w, r) }).String())
	}
	only := newRelay(t, netip.MustParseAddrPort("127.0.0.1:1"), netip.AddrPort{}, records...)
	only.Dialect = refusingDialect{}
	only.SetRetryBounds(1, 100000, 1, 1)
	addresses = append(addresses, serveHTTP(t, func(w http.ResponseWriter, r *http.Request) { only.ServeCaller(w, r) }).String())
	nodes = append(nodes, only)
	end := time.Now().Add(duration)
	var calling sync.WaitGroup
	for i := range 24 {
		calling.Go(func() { m.call(addresses[i%len(addresses)], end) })
	}
	calling.Wait()
	m.counts.Range(func(what, n any) bool {
		t.Logf("%6d %v", n.(*atomic.Int64).Load(), what)
		return true
	})
	for _, node := range nodes {
		t.Logf("bodies %v retries %v", node.Stats.Bodies, node.Stats.Retries)
		assert.Check(t, node.Stats.Bodies.Get("Shifted") == nil)
	}
	close(m.faults)
	for fault := range m.faults {
		t.Error(fault)
	}
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
