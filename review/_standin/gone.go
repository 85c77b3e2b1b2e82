package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["gone"] = caseGone
}

// Figures of the case "gone". The routes are those of the small booking site. Without
// trouble the backends are used to six tenths.
const (
	goneQuiet   = 4 * time.Second // before the first slow time, and after each
	goneSlow    = 9 * time.Second // for which one of three backends is slow
	goneLeaving = 5 * time.Second // for which a part of the clients leaves early
	goneRounds  = 5
	goneEntries = 4   // machines of another service in each zone, at which clients send
	goneRate    = 150 // reservations a second
	goneSlots   = 20
	goneWorkMS  = 210
	goneTarget  = 2000 // target_latency_ms
	goneTimeout = 6000 // timeout_ms, and the time for which patient clients wait
	goneShare   = 0.3  // of the clients, which leave within half of the target
	goneLate    = 500 * time.Millisecond
	goneFew     = 5 // requests that may reach a backend late
	goneBody    = 1500
	// goneSlack is allowed for the way of the close and the reading of the clock.
	goneSlack = 50 * time.Millisecond
)

// caseGone sends reservations, of which a part is given up by its clients, while one of the
// three backends of their service is slow at times. Requests
// must not reach a backend over half a second after their client has closed its connection.
func caseGone(ctx context.Context, c *caseRun) (bool, error) {
	var specs []machineSpec
	for _, zone := range []string{"loop-a", "loop-b", "loop-c"} {
		specs = append(specs, machineSpec{service: "boka", zone: zone, backendArgs: []string{"-slots", fmt.Sprint(goneSlots), "-work", fmt.Sprintf(`{"/":%d}`, goneWorkMS)}})
		for range goneEntries {
			specs = append(specs, machineSpec{service: "plotvefur", zone: zone, backendArgs: []string{"-slots", "100", "-work", `{"/":5}`}})
		}
	}
	f, err := newFleet(c.root, c.dir, specs)
	if err != nil {
		return false, err
	}
	defer f.close()
	config := newConfiguration(
		route("r-browse", "hulo84.example", "/leny950/", "idempotent", "plotvefur", 6000, 1500, 2, false),
		route("r-reserve", "hulo84.example", "/puka111/", "non_idempotent", "boka", goneTimeout, goneTarget, 0, false))
	browse := request{host: "hulo84.example", key: apiKey, method: "GET", path: "/leny950/2f", timeout: 6 * time.Second}
	reserve := request{body: make([]byte, goneBody), host: "hulo84.example", key: apiKey, method: "POST", path: "/puka111/2f", timeout: goneTimeout * time.Millisecond}
	if err := f.start(ctx, config, []request{browse, reserve}); err != nil {
		return false, err
	}

	var entries []*machine
	for _, m := range f.machines {
		if m.service == "plotvefur" {
			entries = append(entries, m)
		}
	}
	slow := f.machines[0]
	var mu sync.Mutex
	left := make(map[string]time.Time) // when the client closed its connection, by ID
	statuses := make(map[string]int)
	var clients sync.WaitGroup
	var impatient atomic.Bool
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	clients.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			clients.Go(func() {
				q := reserve
				entry := entries[i%len(entries)]
				q.id, q.to = newID("res"), entry.address(portOutside)
				if impatient.Load() && rand.Float64() < goneShare {
					q.leaveAfter = time.Duration((0.1 + 0.4*rand.Float64()) * goneTarget * float64(time.Millisecond))
				}
				c.record.add(time.Now(), "sent     %s to %s", q.id, entry.name)
				a := q.send()
				c.record.add(a.at, "answered %s %v", q.id, &a)
				mu.Lock()
				defer mu.Unlock()
				if q.leaveAfter > 0 && a.err == errLeft {
					left[q.id] = a.at
					statuses["left"]++
					return
				}
				statuses[fmt.Sprint(a.status)]++
			})
			time.Sleep(time.Duration(rand.ExpFloat64() / goneRate * float64(time.Second)))
		}
	})
	time.Sleep(goneQuiet)
	for range goneRounds {
		if c.trouble {
			c.record.add(time.Now(), "slow     backend of %s", slow.name)
			slow.backend.signal(syscall.SIGUSR1)
			impatient.Store(true)
		}
		time.Sleep(goneLeaving)
		impatient.Store(false)
		time.Sleep(goneSlow - goneLeaving)
		if c.trouble {
			c.record.add(time.Now(), "quick    backend of %s", slow.name)
			slow.backend.signal(syscall.SIGUSR2)
		}
		time.Sleep(goneQuiet)
	}
	stopTraffic()
	clients.Wait()

	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	late := 0
	for _, r := range runs {
		at, gone := left[r.ID]
		verdict := ""
		if after := r.Arrived.Sub(at); gone && after > goneLate+goneSlack {
			late++
			verdict = fmt.Sprintf("  REACHED A BACKEND %.3f s AFTER ITS CLIENT LEFT", after.Seconds())
		}
		c.record.add(r.Arrived, "run      %s by %s%s", r.ID, r.Machine, verdict)
	}
	c.record.add(time.Now(), "answers by status: %v", statuses)
	c.record.add(time.Now(), "GONE: %d clients left; %d of their requests reached a backend over %v later (a few, here %d, may)", len(left), late, goneLate, goneFew)
	return late > goneFew, nil
}
