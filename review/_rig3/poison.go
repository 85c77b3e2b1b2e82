package main

import (
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonInBody }

// The bounds of the small installations.
const (
	stabilityWindow = 3 * time.Second
	mostRetries     = 3
)

// poisonInBody: a request that crashes the servers that run it comes again and again. They crash
// when they have sent the head and a part of the answer. Without trouble it crashes none. With
// CRASH=early, they crash before they answer.
func poisonInBody(root string, rec *record, trouble bool) (bool, error) {
	mode := poisonNone
	switch {
	case trouble && os.Getenv("CRASH") == "early":
		mode = poisonEarly
	case trouble:
		mode = poisonLate
	}
	f, err := newFleet(root, rec, "za:sa", "zb:sa", "zc:sa", "za:sa", "zb:sa", "zc:sa")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.putConfig(configOf("idempotent", 5000)); err != nil {
		return false, err
	}
	if err := f.startAll(serverOptions{slots: 100, work: 50 * time.Millisecond, poison: mode}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var clients []*client
	for _, h := range f.hosts {
		clients = append(clients, newClient(rec, h))
	}
	var got, poisoned answers
	var workers sync.WaitGroup
	begin := time.Now()
	workers.Add(1)
	go func() {
		defer workers.Done()
		for i := 0; time.Since(begin) < 40*time.Second; i++ {
			c := clients[i%len(clients)]
			workers.Add(1)
			go func() {
				defer workers.Done()
				got.add(c.send(request{host: "a.example", key: "keykeykeykeykeykey01", method: http.MethodGet, path: "/a/x", limit: 5 * time.Second}))
			}()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	for i := 0; time.Since(begin) < 40*time.Second; i++ {
		poisoned.add(clients[i%len(clients)].send(request{host: "a.example", key: "keykeykeykeykeykey01", method: http.MethodGet, path: "/a/poison", limit: 5 * time.Second}))
		time.Sleep(1500 * time.Millisecond)
	}
	workers.Wait()
	return f.judgePoison(&poisoned, &got), nil
}

// judgePoison reports whether a request that crashes servers reached them in more retries than
// are allowed.
func (f *fleet) judgePoison(poisoned, others *answers) bool {
	rec := f.record
	var crashes []crash
	for _, h := range f.hosts {
		h.server.mu.Lock()
		crashes = append(crashes, h.server.crashes...)
		h.server.mu.Unlock()
	}
	sortCrashes(crashes)
	sent := poisoned.byID()
	late := 0
	for i, c := range crashes {
		rec.add("crash of %s by %s", c.server, c.id)
		if i >= 3 && sent[c.id].sent.Sub(crashes[2].at) > stabilityWindow {
			late++
		}
	}
	statuses := map[int]int{}
	for _, a := range others.all {
		statuses[a.status]++
	}
	rec.say("the request was sent %d times and crashed servers %d times", len(sent), len(crashes))
	rec.say("statuses of the other requests: %v", statuses)
	rec.say("%d times it was sent later than %v after the third crash; at most %d are allowed", late, stabilityWindow, mostRetries)
	return late > mostRetries
}
