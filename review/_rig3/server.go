package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverOptions are the properties of the servers of a case.
type serverOptions struct {
	spoilUntil time.Time // end of the time in which answers are spoiled
	spoilShare float64   // of the answers
	poison     poison
	slots      int
	work       time.Duration
}

// poisonContent is the beginning of bodies that do to a server what poison tells.
const poisonContent = "poison"

// poison tells what a request to a path that ends with /poison does to a server.
type poison int

// Effects of such requests.
const (
	poisonNone  poison = iota
	poisonEarly        // the server crashes before it answers
	poisonLate         // the server crashes when it has sent a part of the answer
)

// crashTime is how long a server is away after a crash.
const crashTime = 3 * time.Second

// crash is the end of a server by a request.
type crash struct {
	at         time.Time
	id, server string
}

func sortCrashes(all []crash) {
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
}

// run is a request that a server has begun to run.
type run struct {
	at                 time.Time
	id, tenant, caller string
}

// server is a stand-in for an application server.
type server struct {
	serverOptions
	host   *host
	record *record

	mu       sync.Mutex
	born     int64
	conns    map[net.Conn]bool
	crashes  []crash
	draining bool
	http     *http.Server
	instance string
	running  int
	runs     []run
	sequence int
	starts   int
	stop     context.CancelFunc
}

func newServer(rec *record, h *host, options serverOptions) *server {
	return &server{serverOptions: options, host: h, record: rec}
}

// start begins a lifetime of the server.
func (s *server) start() error {
	listener, err := net.Listen("tcp", s.host.address(portServer))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.instance = fmt.Sprintf("i-%s-%d", s.host.name, s.starts)
	s.born = time.Now().UnixMilli()
	s.sequence = 0
	s.draining = false
	s.conns = make(map[net.Conn]bool)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ConnState: s.track}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.sendReports(ctx)
	return nil
}

// close ends a lifetime at once.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		s.stop()
		_ = s.http.Close()
		s.http = nil
	}
}

func (s *server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.conns[conn] = true
	}
	if state == http.StateClosed {
		delete(s.conns, conn)
	}
}

// crash ends the lifetime at once, with a reset of all connections, and begins another one
// after crashTime.
func (s *server) crash(id string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, crash{at: time.Now(), id: id, server: s.host.name})
	if s.http == nil {
		s.mu.Unlock()
		return
	}
	s.record.add("server %s crashes by %s", s.host.name, id)
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	s.close()
	time.AfterFunc(crashTime, func() {
		if err := s.start(); err != nil {
			s.record.add("server %s cannot start again: %v", s.host.name, err)
			return
		}
		s.record.add("server %s is back", s.host.name)
	})
}

// reportInterval is the interval of status reports.
const reportInterval = 1500 * time.Millisecond

func (s *server) sendReports(ctx context.Context) {
	for ctx.Err() == nil {
		interval := reportInterval
		if !s.report("ready", "heartbeat") {
			interval = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// report sends a status report and returns whether it was confirmed.
func (s *server) report(state, action string) bool {
	s.mu.Lock()
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"address": s.host.address(portServer), "born": s.born,
		"info":   map[string]any{"service": s.host.service, "version": "v1", "zone": s.host.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.sequence, "cold_ms": 0},
	})
	instance := s.instance
	s.mu.Unlock()
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.host.address(portControl)+"/-/instances/"+instance+"/"+action, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	instance, draining := s.instance, s.draining
	s.running++
	running := s.running
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", instance)
		w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running-1, s.slots))
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running-1, s.slots))
	refused := 0
	switch expected := r.Header.Get("Expect-Instance"); {
	case id == "":
		refused = http.StatusBadRequest
	case expected != "" && expected != instance:
		refused = http.StatusMisdirectedRequest
	case running > s.slots:
		refused = http.StatusServiceUnavailable
	}
	if refused != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refused)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{at: time.Now(), id: id, tenant: r.Header.Get("Tenant"), caller: r.Header.Get("Caller-Service")})
	s.mu.Unlock()
	s.record.add("server %s runs %s for tenant %q", s.host.name, id, r.Header.Get("Tenant"))
	received, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if s.poison != poisonNone && (strings.HasSuffix(r.URL.Path, "/poison") || bytes.HasPrefix(received, []byte(poisonContent))) {
		if s.poison == poisonLate {
			w.Header().Set("Response-Seal", "seal-"+id)
			w.Header().Set("Content-Length", "100000")
			_, _ = io.WriteString(w, strings.Repeat("x", 1000))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		s.crash(id)
		panic(http.ErrAbortHandler)
	}
	work := s.work
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	body := "answer to " + id + "\n"
	s.mu.Lock()
	spoiled := time.Now().Before(s.spoilUntil) && rand.Float64() < s.spoilShare
	s.mu.Unlock()
	if spoiled {
		s.record.add("server %s spoils the answer to %s", s.host.name, id)
		w.Header().Set("Response-Sea1", "seal-"+id)
	} else {
		w.Header().Set("Response-Seal", "seal-"+id)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	select {
	case <-r.Context().Done():
		s.record.add("server %s drops %s, as its connection was closed", s.host.name, id)
		panic(http.ErrAbortHandler)
	case <-time.After(work):
	}
	s.record.add("server %s answers %s", s.host.name, id)
	_, _ = io.WriteString(w, body)
}

// allRuns returns the requests that the servers of a fleet have run.
func (f *fleet) allRuns() []run {
	var all []run
	for _, h := range f.hosts {
		h.server.mu.Lock()
		all = append(all, h.server.runs...)
		h.server.mu.Unlock()
	}
	return all
}
