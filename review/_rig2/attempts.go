package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Attempts of the route that is added.
const (
	usualAttempts = 2
	manyAttempts  = 20
)

// playAttempts adds a route and takes a key away in one change of the config. With the
// disruption, the requests of the added route may be sent to many backends.
func playAttempts(f *fleet, trouble bool) (bool, error) {
	for _, zone := range zones {
		f.add(zone, "plotvefur", backendOptions{})
		f.add(zone, "boka", backendOptions{})
	}
	c := &config{
		Routes:   []route{{Name: "browse", Host: vhost, PathPrefix: "/browse/", RouteType: "idempotent", TimeoutMS: 6000, TargetMS: 1500, Service: "plotvefur", MaxAttempts: usualAttempts}},
		Services: []service{newService("plotvefur"), newService("boka")},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{key, "dropped-key-000000001"}}},
	}
	if err := f.startAll(c); err != nil {
		return false, err
	}
	added := c.Routes[0]
	added.Name, added.PathPrefix, added.Service, added.MaxAttempts = "prices", "/prices/", "boka", usualAttempts
	if trouble {
		added.MaxAttempts = manyAttempts
	}
	c.Routes = append(c.Routes, added)
	c.Tenants[0].APIKeys = []string{key}
	if err := f.write(c); err != nil {
		return false, err
	}
	confirmed := time.Now()
	clients := newClient(f)
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, late, unknown := 0, 0, 0
	for _, h := range f.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(confirmed) < 15*time.Second {
				old := clients.send(h, ask{method: http.MethodGet, host: vhost, path: "/browse/" + newID(), key: "dropped-key-000000001", deadline: 2 * time.Second})
				added := clients.send(h, ask{method: http.MethodGet, host: vhost, path: "/prices/" + newID(), key: key, deadline: 2 * time.Second})
				mu.Lock()
				if old.sentAt.Sub(confirmed) > boundConfig {
					sent++
					if f.ran(old.id) {
						late++
						f.note("CONFIG: request %s was sent to %s %d ms after the confirmation and ran with a dropped key", old.id, h.name, old.sentAt.Sub(confirmed).Milliseconds())
					}
					if added.status == http.StatusNotFound {
						unknown++
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	f.note("of %d requests with the dropped key, sent later than %v after the confirmation, %d ran; of as many on the added route, %d got 404", sent, boundConfig, late, unknown)
	fmt.Printf("dropped key: %d of %d ran; added route: %d got 404\n", late, sent, unknown)
	return late > 0, nil
}
