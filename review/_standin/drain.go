package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["drain"] = caseDrain
}

// Figures of the case "drain".
const (
	drainLate  = 5 * time.Second        // by which the last ready report is late
	drainStay  = 9 * time.Second        // for which the backend serves on after drain_ms
	drainKill  = 300 * time.Millisecond // from the confirmation to the kill of the node
	drainDown  = 500 * time.Millisecond // for which the node is down
	drainTouch = 3 * time.Second        // stability_window_ms
	drainRate  = 60                     // reservations a second
)

// caseDrain lets a backend leave whose node is killed and started again right after it has
// acknowledged that. No request must reach the backend later than drain_ms after the
// confirmation.
func caseDrain(ctx context.Context, c *caseRun) (bool, error) {
	var specs []machineSpec
	for i, zone := range []string{"loop-a", "loop-b", "loop-c"} {
		boka := []string{"-slots", "100", "-work", `{"/":210}`}
		if i == 0 {
			boka = append(boka, "-late", drainLate.String(), "-stay", drainStay.String())
		}
		specs = append(specs,
			machineSpec{service: "plotvefur", zone: zone, backendArgs: []string{"-slots", "100", "-work", `{"/":5}`}},
			machineSpec{service: "boka", zone: zone, backendArgs: boka})
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

	var mu sync.Mutex
	answered := make(map[string]answer)
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; trafficCtx.Err() == nil; i++ {
			clients.Go(func() {
				q := reserve
				entry := f.machines[i%3*2]
				q.id, q.to = newID("res"), entry.address(portOutside)
				c.record.add(time.Now(), "sent     %s to %s", q.id, entry.name)
				a := q.send()
				c.record.add(a.at, "answered %s %v", q.id, &a)
				mu.Lock()
				defer mu.Unlock()
				answered[q.id] = a
			})
			time.Sleep(time.Second / drainRate)
		}
	})
	time.Sleep(2 * time.Second)
	leaving := f.machines[1]
	c.record.add(time.Now(), "the backend of %s is to leave", leaving.name)
	leaving.backend.signal(syscall.SIGTERM)
	var acknowledged time.Time
	if err := await(ctx, func() error {
		runs, err := f.runs()
		if err != nil {
			return err
		}
		for _, r := range runs {
			if r.Path == "leave acknowledged" {
				acknowledged = r.At
				return nil
			}
		}
		return fmt.Errorf("the node has not acknowledged that its backend leaves")
	}); err != nil {
		return false, err
	}
	var restarted time.Time
	if c.trouble {
		time.Sleep(time.Until(acknowledged.Add(drainKill)))
		c.record.add(time.Now(), "kill     node of %s", leaving.name)
		leaving.node.kill()
		time.Sleep(drainDown)
		c.record.add(time.Now(), "start    node of %s", leaving.name)
		restarted = time.Now()
		if err := leaving.startAgain(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(drain + drainStay + 2*time.Second)))
	stopTraffic()
	clients.Wait()

	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	late, lost := 0, 0
	for _, r := range runs {
		if r.ID == "-" {
			c.record.add(r.At, "backend of %s: %s", r.Machine, r.Path)
			continue
		}
		verdict := ""
		inTouch := restarted.IsZero() || r.Arrived.After(restarted.Add(drainTouch))
		if after := r.Arrived.Sub(r.DrainAcked); !r.DrainAcked.IsZero() && after > drain && inTouch {
			late++
			verdict = fmt.Sprintf("  REACHED A BACKEND %.3f s AFTER THE CONFIRMATION THAT IT LEAVES", after.Seconds())
			if a := answered[r.ID]; a.err != nil || !a.sealed {
				lost++
				verdict += ", the client got " + a.String()
			}
		}
		c.record.add(r.Arrived, "run      %s by %s%s", r.ID, r.Machine, verdict)
	}
	c.record.add(time.Now(), "DRAIN: %d requests reached the leaving backend over %v after the confirmation, from machines in touch; %d of them, which run once at most, were cut off by its exit", late, drain, lost)
	return late > 0, nil
}
