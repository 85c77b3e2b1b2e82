package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a client's request. It is sent on a connection of its own.
type request struct {
	body    []byte
	chunks  int // 0 for a body with a length
	host    string
	id      string
	key     string
	method  string
	path    string
	timeout time.Duration // for which the client waits, sent as Deadline-Ms
	// leaveAfter is when the client leaves, counted from its request; 0 for at timeout.
	leaveAfter time.Duration
	to         string
}

// answer is what a client got.
type answer struct {
	at     time.Time
	body   string
	err    error
	sealed bool // the seal shows that it is the backend's whole answer to this request
	status int
}

func (a *answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, sealed %v, %q", a.status, a.sealed, strings.TrimSpace(a.body))
}

// errLeft means that the client left before an answer came.
var errLeft = errors.New("the client left")

// hash returns a short hash of a body, as backends record it.
func hash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// send sends the request and waits for the answer.
func (q *request) send() (a answer) {
	defer func() { a.at = time.Now() }()
	wait := q.timeout
	if q.leaveAfter > 0 {
		wait = q.leaveAfter
	}
	conn, err := net.DialTimeout("tcp", q.to, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return answer{err: err}
	}
	if err := q.write(conn); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer response.Body.Close()
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			return answer{body: string(body), sealed: response.Header.Get("Request-Id") == q.id && response.Header.Get("Response-Seal") == seal(q.id, body), status: response.StatusCode}
		}
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return answer{err: errLeft}
	}
	return answer{err: err}
}

// write writes the request to a connection.
func (q *request) write(conn net.Conn) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&head, "Api-Key: %s\r\n", q.key)
	}
	switch {
	case q.chunks > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		size := (len(q.body) + q.chunks - 1) / q.chunks
		for rest := q.body; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			n := min(size, len(rest))
			fmt.Fprintf(&head, "%x\r\n%s\r\n", n, rest[:n])
		}
		head.WriteString("0\r\n\r\n")
	case len(q.body) > 0:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	default:
		head.WriteString("\r\n")
	}
	_, err := io.WriteString(conn, head.String())
	return err
}

// expectOK sends the request with a new ID, and returns an error unless it is served.
func (q request) expectOK() error {
	q.id = newID("probe")
	a := q.send()
	if a.err != nil || a.status != http.StatusOK || !a.sealed {
		return errors.New(a.String())
	}
	return nil
}
