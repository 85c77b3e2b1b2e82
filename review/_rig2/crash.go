package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of the crashes.
const (
	// boardWork is how long a request for the schedule or the plots lasts.
	boardWork   = 2 * time.Second
	crashTime   = 4500 * time.Millisecond // for which a crashed backend is down
	steadyAfter = 6 * time.Second         // from when on the system is steady again
	observeFor  = 8 * time.Second
)

// tally counts the requests of a route in the steady time at the end.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.whole {
		t.served++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(t.sent, 1))
}

// playPopular lets two backends crash, one after the other, while all clients ask for the same
// path on a route that was added later.
func playPopular(f *fleet, trouble bool) (bool, error) {
	for _, zone := range zones {
		f.add(zone, "hlid", backendOptions{work: fixed(boardWork)})
		f.add(zone, "boka", backendOptions{work: fixed(boardWork)})
	}
	c := &config{
		Routes:   []route{{Name: "plots", Host: vhost, PathPrefix: "/plots/", RouteType: "idempotent", TimeoutMS: 6000, TargetMS: 1500, Service: "boka", MaxAttempts: 2}},
		Services: []service{newService("hlid"), newService("boka")},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{key}}},
	}
	if err := f.startAll(c); err != nil {
		return false, err
	}
	c.Routes = append(c.Routes, route{Name: "schedule", Host: vhost, PathPrefix: "/schedule/", RouteType: "idempotent", TimeoutMS: 6000, TargetMS: 4000, Service: "hlid", MaxAttempts: 2})
	if err := f.write(c); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	clients := newClient(f)
	var first, added tally
	var mu sync.Mutex
	var observeFrom, end time.Time
	var wg sync.WaitGroup
	load := func(path string, perHost int, t *tally) {
		for _, h := range f.hosts {
			for range perHost {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(rand.N(boardWork))
					for {
						a := clients.send(h, ask{method: http.MethodGet, host: vhost, path: path, key: key, deadline: 6 * time.Second})
						mu.Lock()
						over, counts := !end.IsZero() && a.sentAt.After(end), !observeFrom.IsZero() && a.sentAt.After(observeFrom)
						mu.Unlock()
						if over {
							return
						}
						if counts {
							t.add(a)
						}
						if !a.whole {
							time.Sleep(200 * time.Millisecond)
						}
					}
				}()
			}
		}
	}
	load("/plots/today", 5, &first)
	time.Sleep(2 * time.Second)
	f.note("the clients begin to use the route that was added")
	load("/schedule/today", 12, &added)
	time.Sleep(600 * time.Millisecond)
	if trouble {
		if err := f.hosts[0].backend.crash(crashTime); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	if trouble {
		next := f.repeatedAt(f.hosts[0])
		if next == nil {
			return false, fmt.Errorf("no request that the crash cut was repeated")
		}
		if err := next.backend.crash(crashTime); err != nil {
			return false, err
		}
	}
	time.Sleep(steadyAfter)
	mu.Lock()
	observeFrom = time.Now()
	end = observeFrom.Add(observeFor)
	mu.Unlock()
	f.note("the system is steady")
	wg.Wait()
	f.note("in the steady time %d of %d requests on the first route were served, and %d of %d on the route that was added", first.served, first.sent, added.served, added.sent)
	fmt.Printf("first route %d of %d, added route %d of %d\n", first.served, first.sent, added.served, added.sent)
	return added.sent >= 20 && added.share() < first.share()/4, nil
}

// repeatedAt returns a host whose backend ran a request that had reached the one beside
// another host before, or nil if there is none.
func (f *fleet) repeatedAt(first *host) *host {
	ran := make(map[string]bool)
	first.backend.mu.Lock()
	for _, a := range first.backend.arrivals {
		ran[a.id] = true
	}
	first.backend.mu.Unlock()
	for _, h := range f.hosts {
		if h == first || h.service != first.service {
			continue
		}
		h.backend.mu.Lock()
		for _, a := range h.backend.arrivals {
			if ran[a.id] {
				h.backend.mu.Unlock()
				return h
			}
		}
		h.backend.mu.Unlock()
	}
	return nil
}
