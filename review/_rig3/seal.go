package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["seal"] = spoiledSeals }

// spoiledSeals: a third of the servers spoil two of a hundred answers for 5.5 seconds: a byte in the
// name of the field Response-Seal is wrong.
func spoiledSeals(root string, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(root, rec, "za:sa", "zb:sa", "zc:sa", "za:sa", "zb:sa", "zc:sa")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.putConfig(configOf("non_idempotent", 5000)); err != nil {
		return false, err
	}
	if err := f.startAll(serverOptions{slots: 100, work: 20 * time.Millisecond}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, h := range f.hosts[:2] {
			h.server.mu.Lock()
			h.server.spoilUntil, h.server.spoilShare = time.Now().Add(5500*time.Millisecond), 0.02
			h.server.mu.Unlock()
			rec.add("server %s spoils 2 of 100 answers for 5.5 s", h.name)
		}
	}
	var clients []*client
	for _, h := range f.hosts {
		clients = append(clients, newClient(rec, h))
	}
	var got answers
	var workers sync.WaitGroup
	for i, begin := 0, time.Now(); time.Since(begin) < 5500*time.Millisecond; i++ {
		c := clients[i%len(clients)]
		workers.Add(1)
		go func() {
			defer workers.Done()
			got.add(c.send(request{host: "a.example", key: "keykeykeykeykeykey01", method: http.MethodPost, path: "/a/x", limit: 5 * time.Second}))
		}()
		time.Sleep(3 * time.Millisecond)
	}
	workers.Wait()
	unsealed, successes := 0, 0
	for _, a := range got.all {
		if a.status/100 != 2 {
			continue
		}
		successes++
		if a.seal != "seal-"+a.id {
			unsealed++
			rec.add("%s: success without the server's Response-Seal", a.id)
		}
	}
	rec.say("%d requests, %d successes, of which %d without the server's Response-Seal; none is allowed", len(got.all), successes, unsealed)
	return unsealed > 0, nil
}
