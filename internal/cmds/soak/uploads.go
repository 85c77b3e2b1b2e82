package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Parameters of callers with long bodies.
const (
	minUploadBytes  = 17_000
	maxUploadBytes  = 700_000
	chunkedFraction = 1.0 / 3
	expectFraction  = 0.25
	// uploadPieceBytes is the number of bytes that a caller sends at a time.
	uploadPieceBytes = 8000
	// maxExpectWait is the longest wait of a caller that asks whether to send the body.
	maxExpectWait = 300 * time.Millisecond
)

// uploadTimes are the times within which callers send a body at an even pace.
var uploadTimes = []time.Duration{0, 0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second}

// startUploading starts callers at a host that send long bodies until the context ends.
// The seed fixes their requests.
func (c *callers) startUploading(ctx context.Context, host int, seed uint64, n int) {
	for i := range n {
		u := &uploadCaller{callers: c, host: host, random: rand.New(rand.NewPCG(seed, 1<<32+uint64(host*n+i)))}
		c.workers.Go(func() { u.run(ctx) })
	}
}

// uploadCaller is a caller that sends long bodies, and goes on sending after an answer.
type uploadCaller struct {
	callers *callers
	host    int
	random  *rand.Rand
}

// run sends requests until the context ends. It connects again when its connection has
// ended.
func (u *uploadCaller) run(ctx context.Context) {
	dialer := net.Dialer{Timeout: dialTimeout}
	for pause.For(ctx, time.Duration(u.random.Int64N(int64(maxDialPause)))) == nil {
		conn, err := dialer.DialContext(ctx, "tcp", u.callers.hosts[u.host].Callers().String())
		if err != nil {
			continue // the node is away
		}
		reader := bufio.NewReader(conn)
		for pause.For(ctx, time.Duration(u.random.Int64N(int64(maxCallerPause)))) == nil {
			next := u.randomUpload(conn, reader)
			outcome, open := next.exchange(context.WithoutCancel(ctx), time.Now())
			outcome.Host = u.host
			u.callers.record(outcome)
			if !open {
				break
			}
		}
		// The node may have closed the connection already.
		_ = conn.Close()
	}
}

// randomUpload returns a request that is as likely idempotent as not. With HTTP/1.0 its body
// has a length.
func (u *uploadCaller) randomUpload(conn net.Conn, reader *bufio.Reader) *longRequest {
	route := routeStore
	if u.random.IntN(2) == 0 {
		route = routeUpload
	}
	id := fmt.Sprintf("u-%016x", u.random.Uint64())
	next := &longRequest{
		asked: make(chan struct{}, 1), conn: conn, ended: make(chan struct{}), protocol: "HTTP/1.1", reader: reader,
		request: &mimic.Request{
			Address: u.callers.hosts[u.host].Callers(), BodyBytes: minUploadBytes + u.random.IntN(maxUploadBytes-minUploadBytes), Chunked: u.random.Float64() < chunkedFraction,
			Expect: u.random.Float64() < expectFraction, Host: hostName, ID: id, Key: "key-amis", Method: http.MethodPost, Path: "/" + route + "/" + id, Timeout: callerTimeout,
		},
		route: route, time: uploadTimes[u.random.IntN(len(uploadTimes))],
	}
	if u.callers.oldProtocol > 0 && u.random.Float64() < u.callers.oldProtocol {
		next.protocol, next.request.Chunked, next.request.Expect = "HTTP/1.0", false, false
	}
	return next
}

// longRequest is a request with a long body.
type longRequest struct {
	asked    chan struct{} // receives when the node asks for the body
	conn     net.Conn
	ended    chan struct{} // closed when no more interim responses are read
	protocol string
	reader   *bufio.Reader
	request  *mimic.Request
	route    string
	time     time.Duration // within which the body is sent
}

// exchange sends the request and reads its response meanwhile. It returns when the body
// has been sent, or cannot be sent further, and reports whether the connection can be used
// further.
func (u *longRequest) exchange(ctx context.Context, now time.Time) (Outcome, bool) {
	o := Outcome{BodyBytes: u.request.BodyBytes, Customer: "amis", ID: u.request.ID, Route: u.route, Sent: now, Upload: true}
	if o.Err = u.conn.SetDeadline(now.Add(callerTimeout)); o.Err != nil {
		o.Done = time.Now()
		return o, false
	}
	sent := make(chan error, 1)
	go func() { sent <- u.send(ctx) }()
	var open bool
	o.Response, o.Partial, open, o.Err = u.receive()
	o.Done = time.Now()
	close(u.ended)
	if o.Err != nil && !o.Done.Before(now.Add(callerTimeout)) {
		// The node, too, ends a response at the caller's deadline.
		o.Err = errors.Join(os.ErrDeadlineExceeded, o.Err)
	}
	if o.Err != nil {
		// Ends the sending of the body, too.
		_ = u.conn.Close()
	}
	sendErr := <-sent
	return o, open && sendErr == nil
}

// send sends the request at its pace.
func (u *longRequest) send(ctx context.Context) error {
	request, err := u.request.HTTP(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	defer request.Body.Close()
	if err := u.sendHeader(request); err != nil {
		return trace.Wrap(err)
	}
	if u.request.Expect {
		select {
		case <-u.asked:
		case <-u.ended:
		case <-time.After(maxExpectWait):
		}
	}
	data := u.request.Body()
	interval := u.time / time.Duration((len(data)+uploadPieceBytes-1)/uploadPieceBytes)
	for len(data) > 0 {
		n := min(len(data), uploadPieceBytes)
		piece := data[:n]
		if u.request.Chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", n, piece)
		}
		if _, err := u.conn.Write(piece); err != nil {
			return trace.Wrap(err)
		}
		data = data[n:]
		if err := pause.For(ctx, interval); err != nil {
			return trace.Wrap(err)
		}
	}
	if u.request.Chunked {
		_, err = io.WriteString(u.conn, "0\r\n\r\n")
	}
	return trace.Wrap(err)
}

// sendHeader sends the header of the request. http.Request.Write would send the body with
// it.
func (u *longRequest) sendHeader(request *http.Request) error {
	if u.request.Chunked {
		request.Header.Set("Transfer-Encoding", "chunked")
	} else {
		request.Header.Set("Content-Length", fmt.Sprint(u.request.BodyBytes))
	}
	writer := bufio.NewWriter(u.conn)
	fmt.Fprintf(writer, "%s %s %s\r\nHost: %s\r\n", request.Method, request.URL.RequestURI(), u.protocol, request.Host)
	if err := request.Header.Write(writer); err != nil {
		return trace.Wrap(err)
	}
	_, _ = writer.WriteString("\r\n") // Flush returns the error
	return trace.Wrap(writer.Flush())
}

// receive reads the response, and reports whether it was cut after its header and whether
// the node keeps the connection open.
func (u *longRequest) receive() (response *mimic.Response, partial, open bool, err error) {
	for {
		began, err := http.ReadResponse(u.reader, &http.Request{Method: u.request.Method})
		if err != nil {
			return nil, false, false, trace.Wrap(err)
		}
		if began.StatusCode >= http.StatusOK {
			response, err = u.request.ReadResponse(began)
			return response, err != nil, !began.Close, trace.Wrap(err)
		}
		if began.StatusCode == http.StatusContinue && len(u.asked) == 0 {
			u.asked <- struct{}{}
		}
	}
}
