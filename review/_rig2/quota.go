package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// playQuotaRestart kills all nodes at once, which start again after a short delay, and counts
// how many requests of a tenant run.
func playQuotaRestart(f *fleet, trouble bool) (bool, error) {
	const perS, burst = 50, 200
	for _, zone := range zones {
		f.add(zone, "plotvefur", backendOptions{})
		f.add(zone, "boka", backendOptions{})
	}
	if err := f.startAll(&config{
		Routes:   []route{{Name: "browse", Host: vhost, PathPrefix: "/browse/", RouteType: "idempotent", TimeoutMS: 6000, TargetMS: 1500, Service: "plotvefur", MaxAttempts: 2}},
		Services: []service{newService("plotvefur"), newService("boka")},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{key}, PerS: perS, Burst: burst}},
	}); err != nil {
		return false, err
	}
	clients := newClient(f)
	sent := make(map[string]time.Time)
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(10 * time.Second)
	for _, h := range f.hosts {
		for range 5 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					a := clients.send(h, ask{method: http.MethodGet, host: vhost, path: "/browse/" + newID(), key: key, deadline: 2 * time.Second})
					mu.Lock()
					sent[a.id] = a.sentAt
					mu.Unlock()
					time.Sleep(80 * time.Millisecond)
				}
			}()
		}
	}
	if trouble {
		time.Sleep(2 * time.Second)
		for _, h := range f.hosts {
			h.signal(syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		for _, h := range f.hosts {
			<-h.exited
			if err := h.start(false); err != nil {
				return false, err
			}
		}
		f.note("all nodes were started again")
	}
	wg.Wait()
	most := mostInWindow(f, sent)
	allowed := (perS*boundQuotaWindow.Seconds()+burst)*(1+boundQuotaExcess) + boundQuotaSlack
	f.note("most requests of the tenant that were sent and ran in %v: %d; allowed: %.0f", boundQuotaWindow, most, allowed)
	fmt.Printf("most in %v: %d, allowed %.0f\n", boundQuotaWindow, most, allowed)
	return float64(most) > allowed, nil
}

// mostInWindow returns the largest number of requests that were both sent and arrived at a
// backend within boundQuotaWindow.
func mostInWindow(f *fleet, sent map[string]time.Time) int {
	var arrivals []arrival
	seen := make(map[string]bool)
	for _, h := range f.hosts {
		h.backend.mu.Lock()
		for _, a := range h.backend.arrivals {
			if !seen[a.id] {
				seen[a.id] = true
				arrivals = append(arrivals, a)
			}
		}
		h.backend.mu.Unlock()
	}
	slices.SortFunc(arrivals, func(x, y arrival) int { return x.at.Compare(y.at) })
	most := 0
	for _, first := range arrivals {
		from := sent[first.id]
		n := 0
		for _, a := range arrivals {
			if !sent[a.id].Before(from) && a.at.Sub(from) <= boundQuotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
