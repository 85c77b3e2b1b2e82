package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stopGap is the time between the stops of two nodes.
const stopGap = 1300 * time.Millisecond

// stop is a planned stop of the nodes of a zone in turn.
type stop struct {
	fleet *fleet
	nodes []*host

	mu   sync.Mutex
	at   map[*host]time.Time // of the SIGTERM
	lost int
}

func newStop(f *fleet, nodes []*host) *stop {
	return &stop{at: make(map[*host]time.Time), fleet: f, nodes: nodes}
}

// run stops one node after the other and starts each again once it has ended.
func (s *stop) run() error {
	errs := make(chan error, len(s.nodes))
	for i, h := range s.nodes {
		if i > 0 {
			time.Sleep(stopGap)
		}
		go func() { errs <- s.restart(h) }()
	}
	for range s.nodes {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// restart sends SIGTERM to a node and SIGKILL after the grace time, and starts it again.
func (s *stop) restart(h *host) error {
	at := time.Now()
	s.mu.Lock()
	s.at[h] = at
	s.mu.Unlock()
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(time.Until(at.Add(boundGrace))):
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	s.fleet.note("%s ended %d ms after the SIGTERM", h.name, time.Since(at).Milliseconds())
	return h.start(false)
}

// since returns the time since a node's SIGTERM, 0 before.
func (s *stop) since(h *host) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.at[h]; ok {
		return time.Since(at)
	}
	return 0
}

// excusedUntil is until when after a SIGTERM a request must be sent so that its end in the
// last sixth of the grace time is excused while a backend is at work on it.
const excusedUntil = 3 * time.Second

// judge checks an answer by LOST: a request that was passed on to a backend must get a whole
// answer, unless it was sent within excusedUntil of the SIGTERM and the backend was still at
// work in the last sixth of the grace time.
func (s *stop) judge(h *host, a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[h]
	if !ok || !a.cut || !s.fleet.ran(a.id) {
		return
	}
	sent, ended := a.sentAt.Sub(at), a.sentAt.Add(a.took).Sub(at)
	if sent <= excusedUntil && ended >= boundGrace*5/6 {
		return
	}
	s.lost++
	s.fleet.note("LOST: request %s was sent to %s %d ms after the SIGTERM, reached a backend, and its connection ended without an answer %d ms after the SIGTERM", a.id, h.name, sent.Milliseconds(), ended.Milliseconds())
}

// playOpenStop stops the nodes of a zone while their clients use a route without keys.
func playOpenStop(f *fleet, trouble bool) (bool, error) {
	for _, zone := range zones {
		f.add(zone, "boka", backendOptions{work: fixed(150 * time.Millisecond)})
		f.add(zone, "boka", backendOptions{work: fixed(150 * time.Millisecond)})
	}
	if err := f.startAll(&config{
		Routes:   []route{{Name: "reserve", Host: vhost, PathPrefix: "/reserve/", RouteType: "non_idempotent", TimeoutMS: 6000, TargetMS: 2000, Service: "boka", MaxAttempts: 2, NoAuth: true}},
		Services: []service{newService("boka")},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{key}}},
	}); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready := watchReadiness(ctx, f)
	clients := newClient(f)
	s := newStop(f, f.hosts[:2])
	begun := time.Now()
	sent, answered := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range f.hosts {
		for range 8 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Since(begun) < 12*time.Second {
					if !ready.mayWork(h) {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					body := []byte("plot for " + newID())
					a := clients.send(h, ask{method: http.MethodPost, host: vhost, path: "/reserve/" + newID(), deadline: 6 * time.Second, body: bytes.NewReader(body), bodyBytes: int64(len(body))})
					s.judge(h, a)
					mu.Lock()
					sent++
					if a.whole {
						answered++
					}
					mu.Unlock()
					if !a.whole {
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := s.run(); err != nil {
			return false, err
		}
	}
	wg.Wait()
	f.note("%d requests were sent, %d were answered by a backend, %d were lost", sent, answered, s.lost)
	fmt.Printf("sent %d, answered %d, lost %d\n", sent, answered, s.lost)
	return s.lost > 0, nil
}
