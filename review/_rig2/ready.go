package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// readiness asks all nodes once a second whether they are ready, as the platform does. The
// clients on a host get no new work after two misses of its node, unless fewer than half of
// the zone's nodes are in.
type readiness struct {
	client *http.Client
	fleet  *fleet

	mu     sync.Mutex
	misses map[*host]int
}

const maxMisses = 2

func watchReadiness(ctx context.Context, f *fleet) *readiness {
	r := &readiness{client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, fleet: f, misses: make(map[*host]int)}
	for _, h := range f.hosts {
		go func() {
			for ctx.Err() == nil {
				r.ask(h)
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return r
}

func (r *readiness) ask(h *host) {
	response, err := r.client.Get("http://" + h.address(portReady) + "/-/readyz")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.misses[h] = 0
		return
	}
	if r.misses[h]++; r.misses[h] == maxMisses {
		r.fleet.note("%s has missed %d questions for its readiness", h.name, maxMisses)
	}
}

// mayWork reports whether the clients on a host get new work.
func (r *readiness) mayWork(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, in := 0, 0
	for _, other := range r.fleet.hosts {
		if other.zone != h.zone {
			continue
		}
		all++
		if r.misses[other] < maxMisses {
			in++
		}
	}
	return r.misses[h] < maxMisses || 2*in < all
}
