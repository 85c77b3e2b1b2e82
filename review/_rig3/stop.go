package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopWithLongRequest }

// stopWithLongRequest: both nodes of a zone are stopped in turn. Clients press on, as fewer than
// half of the zone's nodes are ready. Some requests take longer than those before.
func stopWithLongRequest(root string, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(root, rec, "za:sa", "za:sa", "zb:sa", "zb:sa")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.putConfig(configOf("non_idempotent", 5000)); err != nil {
		return false, err
	}
	if err := f.startAll(serverOptions{slots: 100, work: 100 * time.Millisecond}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c := newClient(rec, f.hosts[0])
	var got answers
	var workers sync.WaitGroup
	send := func(path string) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			got.add(c.send(request{host: "a.example", key: "keykeykeykeykeykey01", method: http.MethodPost, path: path, limit: 5 * time.Second}))
		}()
	}
	begin := time.Now()
	for time.Since(begin) < 3*time.Second {
		send("/a/x")
		time.Sleep(40 * time.Millisecond)
	}
	stopped := time.Now()
	if trouble {
		f.signal(f.hosts[0], syscall.SIGTERM)
	}
	second := false
	for i := 0; time.Since(stopped) < 3250*time.Millisecond; i++ {
		if !second && trouble && time.Since(stopped) > time.Second {
			second = true
			f.signal(f.hosts[1], syscall.SIGTERM)
		}
		if time.Since(stopped) > 3030*time.Millisecond {
			send("/a/x?work=2500")
		} else {
			send("/a/x")
		}
		time.Sleep(40 * time.Millisecond)
	}
	workers.Wait()
	ran := map[string]time.Time{}
	for _, r := range f.allRuns() {
		ran[r.id] = r.at
	}
	lost := 0
	for _, a := range got.all {
		if at, ok := ran[a.id]; ok && !a.complete && a.sent.Sub(stopped) > 3*time.Second {
			lost++
			rec.say("%s was sent %v after the SIGTERM, ran %v after it, and its connection ended without an answer %v after it", a.id, a.sent.Sub(stopped), at.Sub(stopped), a.ended.Sub(stopped))
		}
	}
	return lost > 0, nil
}
