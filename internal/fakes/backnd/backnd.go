// Package backnd is a fake of an upstream. It has slots and a service time, and the
// query of a request makes it inject faults or call other services through the node
// on its host.
package backnd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// PathRuns is the path that returns, as a JSON object, how often each request ran.
// The keys are values of the header X-Request, and "VALUE/DEPTH" for requests with
// the query parameter Depth.
const PathRuns = "/stand-in/runs"

// headerToken carries the token of a request, which its sub-calls present to the
// node.
const headerToken = "Wasabibend-Token"

// announceInterval is the interval between announcements and the timeout of each.
const announceInterval = time.Second

// Options configure a Server.
type Options struct {
	// Address is the upstream's own address, which it announces to its node.
	Address netip.AddrPort
	// Crash is called by a request with Fault=Crash. It should end the process.
	Crash func()
	// Node is the address of the node's listener for its upstream.
	Node    netip.AddrPort
	Service string
	// ServiceTime is the minimum time for which a request holds a slot.
	ServiceTime time.Duration
	// Slots is the maximum number of requests in progress; 0 means no limit.
	// Further requests wait.
	Slots int
}

// Server is the http.Handler of an upstream. Query parameters of a request control
// what it does:
//
//	Bytes=N    respond with a body of N bytes
//	Call=PATH  make a sub-call first; may be repeated
//	Depth=N    if N > 0, make a sub-call to the same path with Depth=N-1
//	Fail=N     respond with status N; only works together with Depth=0
//	Fault=F    inject a fault:
//	           Crash     call Options.Crash
//	           Cut       drop the connection in the middle of the body
//	           Late      send a second response that no request belongs to
//	           Silent    do not respond
//	           Unframed  respond without length or chunks, and close
//	Retry=N    retry each failed sub-call up to N times
//	Sleep=D    add the duration D to the service time
//
// If a sub-call fails, it responds with 502.
type Server struct {
	client   *http.Client
	draining atomic.Bool
	options  Options
	slots    chan struct{} // has an element for each request in progress; nil for no limit

	mu      sync.Mutex
	headers map[string]http.Header // by X-Request
	runs    map[string]int         // as at PathRuns
}

// New returns a Server.
func New(options Options) *Server {
	s := &Server{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		headers: make(map[string]http.Header),
		options: options,
		runs:    make(map[string]int),
	}
	if options.Slots > 0 {
		s.slots = make(chan struct{}, options.Slots)
	}
	return s
}

// SetDraining sets whether later announcements say that the upstream drains.
func (s *Server) SetDraining(draining bool) {
	s.draining.Store(draining)
}

// Runs returns how often requests with a value of X-Request have run. For the value
// with "/DEPTH" added, it returns how often they have run with that Depth.
func (s *Server) Runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

// Header returns the header of the last request with a value of X-Request.
func (s *Server) Header(request string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headers[request]
}

// Announce announces the upstream to its node once a second until the context ends.
// It ignores failed announcements.
func (s *Server) Announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announce(ctx context.Context) error {
	data, err := json.Marshal(admin.Announcement{Address: s.options.Address, Draining: s.draining.Load(), Service: s.options.Service})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.options.Node.String()+admin.PathAnnounce, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathRuns {
		s.getRuns(w)
		return
	}
	s.recordRequest(r)
	query := r.URL.Query()
	if s.slots != nil {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = pause.For(r.Context(), s.options.ServiceTime+parseDuration(query.Get("Sleep")))
	if s.injectFault(w, query.Get("Fault")) {
		return
	}
	calls := query["Call"]
	if depth, _ := strconv.Atoi(query.Get("Depth")); depth > 0 {
		calls = append(calls, withDepth(r.URL, depth-1))
	}
	retries, _ := strconv.Atoi(query.Get("Retry"))
	for _, call := range calls {
		if status := s.subCall(r, call, retries); status >= http.StatusBadRequest {
			w.WriteHeader(http.StatusBadGateway)
			fmt.Fprintf(w, "sub-call: %d\n", status)
			return
		}
	}
	if status, _ := strconv.Atoi(query.Get("Fail")); status > 0 && query.Get("Depth") == "0" {
		w.WriteHeader(status)
		return
	}
	if n, _ := strconv.Atoi(query.Get("Bytes")); n > 0 {
		writeBytes(w, n)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %s %d\n", s.options.Service, r.URL.Path, length)
}

// recordRequest counts a request that has an X-Request header and keeps its header.
func (s *Server) recordRequest(r *http.Request) {
	s.reportKey(r)
	request := r.Header.Get("X-Request")
	if request == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[request]++
	if depth := r.URL.Query().Get("Depth"); depth != "" {
		s.runs[request+"/"+depth]++
	}
	s.headers[request] = r.Header.Clone()
}

// reportKey prints to standard error each request that contains a customer's API
// key. Nodes must remove the key before they forward a request.
func (s *Server) reportKey(r *http.Request) {
	text := fmt.Sprint(r.URL, r.Header)
	if strings.Contains(text, "wbk_") {
		fmt.Fprintln(os.Stderr, "a key reached the upstream:", text)
	}
}

func (s *Server) getRuns(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

// injectFault injects the fault of a name, if there is one, and reports whether the
// request is done.
func (s *Server) injectFault(w http.ResponseWriter, name string) bool {
	switch name {
	case "Crash":
		s.options.Crash()
		return true
	case "Cut":
		w.Header().Set("Content-Length", "100000")
		_, _ = w.Write(make([]byte, 50000))
		panic(http.ErrAbortHandler)
	case "Late":
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nown\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nother\n", false)
		return true
	case "Silent":
		writeRaw(w, "", false)
		return true
	case "Unframed":
		writeRaw(w, "HTTP/1.1 200 OK\r\n\r\nhalf", true)
		return true
	}
	return false
}

// subCall sends a request through the node and returns the last response's status,
// or 502 if there was no response. It retries failed requests.
func (s *Server) subCall(r *http.Request, call string, retries int) int {
	status := http.StatusBadGateway
	for range retries + 1 {
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+s.options.Node.String()+call, nil)
		if err != nil {
			return status
		}
		request.Header.Set(headerToken, r.Header.Get(headerToken))
		request.Header.Set("X-Request", r.Header.Get("X-Request"))
		response, err := s.client.Do(request)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
		if err == nil && status < http.StatusBadRequest {
			return status
		}
	}
	return status
}

// withDepth returns the path and query of a URL with another Depth.
func withDepth(u *url.URL, depth int) string {
	query := u.Query()
	query.Set("Depth", strconv.Itoa(depth))
	return u.Path + "?" + query.Encode()
}

// writeBytes writes a body of n bytes.
func writeBytes(w http.ResponseWriter, n int) {
	w.Header().Set("Content-Length", strconv.Itoa(n))
	pattern := []byte(strings.Repeat("0123456789abcdef", 2048))
	for n > 0 {
		size := min(n, len(pattern))
		if _, err := w.Write(pattern[:size]); err != nil {
			return
		}
		n -= size
	}
}

// writeRaw takes over the connection and writes a text in place of a response. It
// then closes the connection, or leaves it open for good.
func writeRaw(w http.ResponseWriter, text string, closeConn bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	if closeConn {
		_ = conn.Close()
	}
}

// parseDuration parses a duration. It returns 0 if that fails.
func parseDuration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}
