package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a backend.
const (
	heartbeat = 1500 * time.Millisecond
	ackLimit  = time.Second // for the answer to a report
	// drainMargin is how much longer than promised a backend serves after it has said that it
	// leaves.
	drainMargin = 500 * time.Millisecond
)

// backendOptions say how a backend behaves.
type backendOptions struct {
	slots int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
}

// arrival is a request that reached a backend and was not rejected.
type arrival struct {
	at     time.Time
	id     string
	tenant string
}

// backend is a stand-in for an application's backend beside a node.
type backend struct {
	backendOptions
	born    time.Time
	client  *http.Client
	host    *host
	id      string
	server  *http.Server
	running atomic.Int64

	mu       sync.Mutex
	ackedAt  time.Time // when the node acknowledged that the backend leaves
	arrivals []arrival
	draining bool
	sequence int
	stopped  context.CancelFunc
}

func newBackend(h *host, options backendOptions) *backend {
	if options.slots == 0 {
		options.slots = 200
	}
	return &backend{backendOptions: options, client: &http.Client{Timeout: ackLimit}, host: h, id: fmt.Sprintf("i-%08x", rand.Uint32())}
}

func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.host.address(portApp))
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b}
	b.born = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	b.stopped = cancel
	go func() { _ = b.server.Serve(listener) }()
	go func() {
		for ctx.Err() == nil {
			b.report()
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat - time.Duration(rand.IntN(200))*time.Millisecond):
			}
		}
	}()
	return nil
}

func (b *backend) stop() {
	if b.stopped != nil {
		b.stopped()
		_ = b.server.Close()
	}
}

// report sends a heartbeat and reports whether it was acknowledged.
func (b *backend) report() bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"address": b.host.address(portApp),
		"born":    b.born.UnixMilli(),
		"info":    map[string]any{"service": b.host.service, "slots": b.slots, "version": "v1", "zone": b.host.zone},
		"status":  map[string]any{"state": state, "sequence": b.sequence, "cold_ms": 0},
	})
	b.mu.Unlock()
	if err != nil {
		return false
	}
	response, err := b.client.Post("http://"+b.host.address(portControl)+"/-/instances/"+b.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	acked := err == nil && response.StatusCode/100 == 2 && len(answer) <= 4096
	if acked && state == "draining" {
		b.mu.Lock()
		if b.ackedAt.IsZero() {
			b.ackedAt = time.Now()
			b.host.fleet.note("%s acknowledged that %s is draining", b.host.name, b.id)
		}
		b.mu.Unlock()
	}
	return acked
}

// drain reports that the backend is draining until that is acknowledged.
func (b *backend) drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.host.fleet.note("%s at %s begins to drain", b.id, b.host.name)
	for range 20 {
		if b.report() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// crash ends the backend without a word. It starts again under another ID after a time.
func (b *backend) crash(down time.Duration) error {
	b.host.fleet.note("%s at %s crashes", b.id, b.host.name)
	b.stop()
	time.Sleep(down)
	b.mu.Lock()
	b.id = fmt.Sprintf("i-%08x", rand.Uint32())
	b.sequence = 0
	b.mu.Unlock()
	b.host.fleet.note("%s at %s starts", b.id, b.host.name)
	return b.start()
}

// leave ends the backend once its drain time and a little more have passed since the
// acknowledgement.
func (b *backend) leave() {
	time.Sleep(boundDrain + drainMargin)
	response, err := b.client.Post("http://"+b.host.address(portControl)+"/-/instances/"+b.id+"/deregister", "application/json", nil)
	if err == nil {
		_ = response.Body.Close()
	}
	b.host.fleet.note("%s ends", b.id)
	b.stop()
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := b.running.Add(1)
	defer b.running.Add(-1)
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running-1, b.slots))
	if r.URL.Path == "/healthz" {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != b.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case running > int64(b.slots):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.arrivals = append(b.arrivals, arrival{at: now, id: id, tenant: r.Header.Get("Tenant")})
	late := ""
	if !b.ackedAt.IsZero() {
		late = fmt.Sprintf(", %d ms after the acknowledgement", now.Sub(b.ackedAt).Milliseconds())
	}
	b.mu.Unlock()
	b.host.fleet.note("request %s reaches %s at %s%s", id, b.id, b.host.name, late)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		b.host.fleet.note("request %s: its body is cut at %s", id, b.id)
		panic(http.ErrAbortHandler)
	}
	work := 20 * time.Millisecond
	if b.work != nil {
		work = b.work(r)
	}
	select {
	case <-r.Context().Done():
		b.host.fleet.note("request %s: its connection to %s ends while it runs", id, b.id)
		panic(http.ErrAbortHandler)
	case <-time.After(work):
	}
	body := []byte("answer to " + id + "\n")
	w.Header().Set("Response-Seal", seal(id, body))
	_, _ = w.Write(body)
}

// lateArrivals returns the requests that arrived later than a time after the acknowledgement.
func (b *backend) lateArrivals(after time.Duration) []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var late []arrival
	for _, a := range b.arrivals {
		if !b.ackedAt.IsZero() && a.at.Sub(b.ackedAt) > after {
			late = append(late, a)
		}
	}
	return late
}

func seal(id string, body []byte) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	_, _ = h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// ran reports whether a request reached a backend.
func (f *fleet) ran(id string) bool {
	for _, h := range f.hosts {
		h.backend.mu.Lock()
		for _, a := range h.backend.arrivals {
			if a.id == id {
				h.backend.mu.Unlock()
				return true
			}
		}
		h.backend.mu.Unlock()
	}
	return false
}
