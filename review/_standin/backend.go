package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// run is a line in a backend's journal: a request that it began to run.
type run struct {
	// Arrived is when the head of the request had arrived, and At when its body had.
	Arrived, At time.Time
	Bytes       int
	Caller      string
	Hash        string // of the body
	ID          string
	Instance    string
	Machine     string `json:",omitempty"` // filled in by the driver
	Path        string
	// DrainAcked is when the node acknowledged that this backend drains; zero before.
	DrainAcked time.Time `json:",omitzero"`
}

// backend is a sound application backend, as the users' protocol describes it.
type backend struct {
	address, control, service, zone string

	born     time.Time
	client   *http.Client
	drained  atomic.Pointer[time.Time]
	draining atomic.Bool
	id       string
	inUse    atomic.Int64
	journal  *os.File
	mu       sync.Mutex // guards journal
	poison   string     // path of the request that crashes the backend
	sequence atomic.Int64
	slots    int64
	slow     atomic.Bool // work takes slowFactor times as long
	work     map[string]time.Duration
	stay     time.Duration // how long it goes on serving after drain_ms
	// late is set for a backend that leaves without ever reporting draining: it
	// deregisters first. Its last ready report arrives this much later.
	late time.Duration
}

func runBackend(args []string) error {
	flags := flag.NewFlagSet("backend", flag.ExitOnError)
	b := &backend{born: time.Now(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, id: fmt.Sprintf("i-%08x", rand.Uint32()), work: make(map[string]time.Duration)}
	flags.StringVar(&b.address, "address", "", "address to listen on")
	flags.StringVar(&b.control, "control", "", "the node's address for status reports")
	flags.StringVar(&b.service, "service", "", "name of the service")
	flags.StringVar(&b.zone, "zone", "", "name of the zone")
	flags.Int64Var(&b.slots, "slots", 100, "requests that run at a time")
	flags.DurationVar(&b.stay, "stay", time.Second, "how long it serves on after drain_ms")
	flags.DurationVar(&b.late, "late", 0, "deregister first, and let the last ready report arrive this late")
	flags.StringVar(&b.poison, "poison", "", "path of the request that crashes the backend")
	journal := flags.String("journal", "", "file to record runs in")
	work := flags.String("work", "{}", "work time in ms by path prefix, as JSON")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ms := make(map[string]int)
	if err := json.Unmarshal([]byte(*work), &ms); err != nil {
		return err
	}
	for prefix, n := range ms {
		b.work[prefix] = time.Duration(n) * time.Millisecond
	}
	var err error
	if b.journal, err = os.OpenFile(*journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go b.report(ctx)
	go b.turnSlow()
	server := &http.Server{Addr: b.address, Handler: b, IdleTimeout: 10 * time.Second}
	return server.ListenAndServe()
}

// slowFactor is the largest dose of the impairment "backends turn slow" in the small site files.
const slowFactor = 12

// turnSlow makes the backend slow on SIGUSR1 and quick again on SIGUSR2.
func (b *backend) turnSlow() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	for s := range signals {
		b.slow.Store(s == syscall.SIGUSR1)
	}
}

// report sends a status report each 500 ms, and drains the backend when the context ends:
// it reports draining, serves on for drain_ms after the confirmation and a little longer,
// deregisters and exits.
func (b *backend) report(ctx context.Context) {
	for ctx.Err() == nil {
		_ = b.post("heartbeat", "ready")
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
	if b.late > 0 {
		b.deregisterFirst()
		return
	}
	b.draining.Store(true)
	for b.post("heartbeat", "draining") != nil {
		time.Sleep(100 * time.Millisecond)
	}
	now := time.Now()
	b.drained.Store(&now)
	b.add(run{ID: "-", Path: "drain acknowledged", At: now, DrainAcked: now})
	end := now.Add(drain + b.stay)
	for time.Now().Before(end) {
		time.Sleep(min(500*time.Millisecond, time.Until(end)))
		_ = b.post("heartbeat", "draining")
	}
	_ = b.post("deregister", "draining")
	os.Exit(0)
}

// deregisterFirst leaves as the backends do that never report draining: it deregisters,
// serves on for drain_ms after the confirmation and a little longer, and exits. A ready
// report that it had begun before is late on its way.
func (b *backend) deregisterFirst() {
	report := b.newReport("ready")
	b.draining.Store(true)
	for b.post("deregister", "ready") != nil {
		time.Sleep(100 * time.Millisecond)
	}
	now := time.Now()
	b.drained.Store(&now)
	b.add(run{ID: "-", Path: "leave acknowledged", At: now, DrainAcked: now})
	time.Sleep(b.late)
	err := b.sendReport("heartbeat", report)
	b.add(run{ID: "-", Path: fmt.Sprintf("late report arrived, error %v", err), At: time.Now(), DrainAcked: now})
	time.Sleep(time.Until(now.Add(drain + b.stay)))
	b.add(run{ID: "-", Path: "exit", At: time.Now(), DrainAcked: now})
	os.Exit(0)
}

// drain is drain_ms of the small deployments.
const drain = 2 * time.Second

func (b *backend) post(action, state string) error {
	return b.sendReport(action, b.newReport(state))
}

// newReport returns the body of a report, with the next sequence.
func (b *backend) newReport(state string) []byte {
	body, err := json.Marshal(map[string]any{
		"address": b.address, "born": b.born.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": state, "sequence": b.sequence.Add(1), "cold_ms": 0},
	})
	if err != nil {
		panic(err)
	}
	return body
}

func (b *backend) sendReport(action string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.control+"/-/instances/"+b.id+"/"+action, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := b.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("the node answers %s", response.Status)
	}
	return nil
}

// add writes a line to the journal.
func (b *backend) add(r run) {
	line, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, err := b.journal.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

// ServeHTTP answers health checks and runs requests.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	inUse := b.inUse.Add(1)
	defer b.inUse.Add(-1)
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", inUse-1, b.slots))
	if r.URL.Path == "/healthz" {
		h.Set("Instance-Id", b.id)
		if b.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" || inUse > b.slots {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The request is cut, so it does not run.
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	hash := hex.EncodeToString(sum[:8])
	line := run{Arrived: arrived, At: time.Now(), Bytes: len(body), Caller: r.Header.Get("Caller-Service"), Hash: hash, ID: id, Instance: b.id, Path: r.URL.Path}
	if at := b.drained.Load(); at != nil {
		line.DrainAcked = *at
	}
	b.add(line)
	if b.poison != "" && r.URL.Path == b.poison {
		os.Exit(1)
	}
	limit := 5 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	if b.runFor(ctx, r.URL.Path) != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	answer := []byte(fmt.Sprintf("%s %d %s\n", id, len(body), hash))
	h.Set("Response-Seal", seal(id, answer))
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// runFor takes the work time of a path.
func (b *backend) runFor(ctx context.Context, path string) error {
	for prefix, d := range b.work {
		if len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			if b.slow.Load() {
				d *= slowFactor
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(d):
			}
		}
	}
	return nil
}

// seal returns the value of Response-Seal, by which a client knows that an answer is the
// backend's whole answer to its request.
func seal(id string, answer []byte) string {
	sum := sha256.Sum256(append([]byte(id+"\n"), answer...))
	return hex.EncodeToString(sum[:8])
}
