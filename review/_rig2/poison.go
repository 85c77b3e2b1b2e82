package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the request that crashes backends.
const (
	boundStability = 3 * time.Second // stability_window_ms
	poisonPath     = "/lookup/poison"
	poisonDown     = 2 * time.Second // for which a crashed backend is down
	poisonPause    = 1200 * time.Millisecond
	poisonSends    = 4 // between two kills
	poisonKills    = 3
	maxRetries     = 3 // that may reach backends after the third crash
)

// poison records the runs of a request that crashes each backend that begins to run it.
type poison struct {
	mu        sync.Mutex
	runs      []time.Time
	startedAt time.Time // of the nodes
	counted   int       // runs that the rule counts
}

// run records a run, and counts it if it comes later than boundStability after the third one,
// from machines that have run as long.
func (p *poison) run(f *fleet, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, now)
	if len(p.runs) > 3 && now.Sub(p.runs[2]) > boundStability && now.Sub(p.startedAt) > boundStability {
		p.counted++
		f.note("BUDGET: run %d of the request, %d ms after the third, %d ms after the start of the nodes", len(p.runs), now.Sub(p.runs[2]).Milliseconds(), now.Sub(p.startedAt).Milliseconds())
	}
}

// playPoison kills all nodes several times while a request comes again and again that crashes
// backends.
func playPoison(f *fleet, trouble bool) (bool, error) {
	p := &poison{startedAt: time.Now()}
	for _, zone := range zones {
		for range 2 {
			b := f.add(zone, "boka", backendOptions{}).backend
			b.work = func(r *http.Request) time.Duration {
				if r.URL.Path != poisonPath {
					return 100 * time.Millisecond
				}
				p.run(f, time.Now())
				// The case ends if the backend cannot start again, as nothing serves then.
				go func() { _ = b.crash(poisonDown) }()
				return time.Minute
			}
		}
	}
	if err := f.startAll(&config{
		Routes: []route{
			{Name: "lookup", Host: vhost, PathPrefix: "/lookup/", RouteType: "idempotent", TimeoutMS: 6000, TargetMS: 2000, Service: "boka", MaxAttempts: 2},
			{Name: "reserve", Host: vhost, PathPrefix: "/reserve/", RouteType: "non_idempotent", TimeoutMS: 6000, TargetMS: 2000, Service: "boka", MaxAttempts: 2},
		},
		Services: []service{newService("boka")},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{key}}},
	}); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients := newClient(f)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, lost := 0, 0
	for _, h := range f.hosts {
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for ctx.Err() == nil {
					a := clients.send(h, ask{method: http.MethodPost, host: vhost, path: "/reserve/" + newID(), key: key, deadline: 6 * time.Second})
					mu.Lock()
					sent++
					if a.status == http.StatusBadGateway && f.ran(a.id) {
						lost++
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
	for life := 0; ; life++ {
		for i := range poisonSends {
			clients.send(f.hosts[i], ask{method: http.MethodGet, host: vhost, path: poisonPath, key: key, deadline: boundStability})
			time.Sleep(poisonPause)
		}
		if life == poisonKills {
			break
		}
		if !trouble {
			time.Sleep(boundStability)
			continue
		}
		if err := f.killAll(p); err != nil {
			return false, err
		}
	}
	cancel()
	wg.Wait()
	f.note("the request ran %d times, %d of them counted; of %d other reservations %d got 502 after they had begun to run", len(p.runs), p.counted, sent, lost)
	fmt.Printf("runs %d, counted %d, allowed %d; others lost %d of %d\n", len(p.runs), p.counted, maxRetries, lost, sent)
	return p.counted > maxRetries, nil
}

// killAll kills all nodes, starts them after a short delay and waits until they are in touch.
func (f *fleet) killAll(p *poison) error {
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(300 * time.Millisecond)
	for _, h := range f.hosts {
		<-h.exited
		if err := h.start(false); err != nil {
			return err
		}
	}
	p.mu.Lock()
	p.startedAt = time.Now()
	p.mu.Unlock()
	f.note("all nodes were started again")
	time.Sleep(boundStability + time.Second)
	return nil
}
