package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["poison"] = casePoison
}

// Figures of the case "poison".
const (
	poisonPath   = "/puka111/poison"
	poisonEach   = 1500 * time.Millisecond // from one arrival of the request to the next
	poisonBack   = 2 * time.Second         // after which a crashed backend is back
	poisonQuiet  = 8 * time.Second         // before the restarts
	poisonStops  = 15                      // nodes that are stopped and started, one after the other in turn
	poisonUntil  = 90 * time.Second        // after which no further node is stopped, where stops take long
	poisonTouch  = 3 * time.Second         // stability_window_ms
	poisonRate   = 40                      // other reservations a second
	poisonCounts = 3                       // retries that the rule allows
	rollGap      = time.Second
	rollDelay    = 300 * time.Millisecond // from the end of a node to its start
)

// span is a time in which a machine's node was stopped and started again.
type span struct {
	from, to time.Time
	machine  string
}

// casePoison sends a request that crashes the backends that run it, again and again, while
// all nodes are stopped and started in turn. It must not reach backends in more than three
// retries later than stability_window_ms after it has crashed the third.
func casePoison(ctx context.Context, c *caseRun) (bool, error) {
	var specs []machineSpec
	for _, zone := range []string{"loop-a", "loop-b", "loop-c"} {
		specs = append(specs,
			machineSpec{service: "plotvefur", zone: zone, backendArgs: []string{"-slots", "100", "-work", `{"/":5}`}},
			machineSpec{service: "boka", zone: zone, backendArgs: []string{"-slots", "100", "-work", `{"/":210}`, "-poison", poisonPath}})
	}
	f, err := newFleet(c.root, c.dir, specs)
	if err != nil {
		return false, err
	}
	defer f.close()
	config := newConfiguration(
		route("r-browse", "hulo84.example", "/leny950/", "idempotent", "plotvefur", 6000, 1500, 2, false),
		route("r-reserve", "hulo84.example", "/puka111/", "non_idempotent", "boka", 6000, 2000, 0, false))
	browse := request{host: "hulo84.example", key: apiKey, method: "GET", path: "/leny950/2f", timeout: 6 * time.Second}
	reserve := request{body: make([]byte, 1500), host: "hulo84.example", key: apiKey, method: "POST", path: "/puka111/2f", timeout: 6 * time.Second}
	if err := f.start(ctx, config, []request{browse, reserve}); err != nil {
		return false, err
	}

	workCtx, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var workers sync.WaitGroup
	for _, m := range f.machines {
		if m.service == "boka" {
			workers.Go(func() { m.bringBack(workCtx, c) })
		}
	}
	var mu sync.Mutex
	var down []span
	ready := make(map[string]bool) // machines that take new work, as the platform decides it
	for _, m := range f.machines {
		ready[m.name] = true
	}
	entries := []*machine{f.machines[0], f.machines[2], f.machines[4]}
	next := 0
	// pick returns the next machine at which a client sends.
	pick := func() *machine {
		mu.Lock()
		defer mu.Unlock()
		for range entries {
			next++
			if m := entries[next%len(entries)]; ready[m.name] {
				return m
			}
		}
		return entries[next%len(entries)]
	}
	entryOf := make(map[string]string) // by ID of the poison
	lost := make(map[string]string)    // answers to other reservations that were not served
	served := 0
	workers.Go(func() {
		for i := 0; workCtx.Err() == nil; i++ {
			workers.Go(func() {
				q := reserve
				entry := pick()
				q.id, q.to = newID("res"), entry.address(portOutside)
				a := q.send()
				mu.Lock()
				defer mu.Unlock()
				if a.sealed {
					served++
					return
				}
				lost[q.id] = a.String()
			})
			time.Sleep(time.Second / poisonRate)
		}
	})
	workers.Go(func() {
		for workCtx.Err() == nil {
			workers.Go(func() {
				q := reserve
				entry := pick()
				q.id, q.path, q.to = newID("bad"), poisonPath, entry.address(portOutside)
				mu.Lock()
				entryOf[q.id] = entry.name
				mu.Unlock()
				c.record.add(time.Now(), "sent     %s to %s: the request that crashes backends", q.id, entry.name)
				a := q.send()
				c.record.add(a.at, "answered %s %v", q.id, &a)
			})
			time.Sleep(poisonEach)
		}
	})
	time.Sleep(poisonQuiet)
	for i := range poisonStops {
		if time.Since(c.record.start) > poisonUntil {
			break
		}
		m := f.machines[i%len(f.machines)]
		if !c.trouble {
			time.Sleep(4 * time.Second)
			continue
		}
		s := span{from: time.Now(), machine: m.name}
		c.record.add(s.from, "SIGTERM  node of %s", m.name)
		mu.Lock()
		ready[m.name] = false
		mu.Unlock()
		m.node.signal(syscall.SIGTERM)
		select {
		case <-m.node.done:
		case <-time.After(6 * time.Second):
			m.node.kill()
		}
		time.Sleep(rollDelay)
		if err := m.startAgain(); err != nil {
			return false, err
		}
		s.to = time.Now()
		c.record.add(s.to, "start    node of %s", m.name)
		if err := await(ctx, func() error { return checkReady(m) }); err != nil {
			return false, err
		}
		mu.Lock()
		ready[m.name] = true
		down = append(down, s)
		mu.Unlock()
		time.Sleep(rollGap)
	}
	time.Sleep(2 * poisonEach)
	stopWork()
	workers.Wait()

	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	slices.SortFunc(runs, func(a, b run) int { return a.Arrived.Compare(b.Arrived) })
	inTouch := func(machine string, at time.Time) bool {
		return !slices.ContainsFunc(down, func(s span) bool {
			return s.machine == machine && !at.Before(s.from) && at.Before(s.to.Add(poisonTouch))
		})
	}
	var crashes []time.Time
	counted := 0
	for _, r := range runs {
		entry, ok := entryOf[r.ID]
		if !ok {
			continue
		}
		crashes = append(crashes, r.Arrived)
		verdict := ""
		if len(crashes) > 3 && r.Arrived.After(crashes[2].Add(poisonTouch)) && inTouch(entry, r.Arrived) && inTouch(r.Machine, r.Arrived) {
			counted++
			verdict = fmt.Sprintf("  COUNTS, number %d later than 3 s after the third crash", counted)
		}
		c.record.add(r.Arrived, "run      %s by %s, which crashes: crash %d%s", r.ID, r.Machine, len(crashes), verdict)
	}
	cut := 0
	for _, r := range runs {
		if a, ok := lost[r.ID]; ok {
			cut++
			c.record.add(r.At, "run      %s by %s, began to run, the client got %s", r.ID, r.Machine, a)
		}
	}
	c.record.add(time.Now(), "other reservations: %d served, %d not, of which %d had begun to run", served, len(lost), cut)
	c.record.add(time.Now(), "BUDGET: the request crashed backends %d times; %d of these count, %d may", len(crashes), counted, poisonCounts)
	return counted > poisonCounts, nil
}

// bringBack starts the machine's backend again after each crash, until the context ends.
func (m *machine) bringBack(ctx context.Context, c *caseRun) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.backend.done:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(poisonBack):
		}
		if err := m.backend.start(); err != nil {
			c.record.add(time.Now(), "the backend of %s did not start: %v", m.name, err)
			return
		}
	}
}
