package main

import (
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["leave"] = leaveBehindRestart }

// Times of the case.
const (
	drainTime     = 2 * time.Second         // bound drain_ms
	servesOnTime  = 6500 * time.Millisecond // how long the server serves after its deregistration
	restartPause  = 300 * time.Millisecond
	killAfterAck  = 300 * time.Millisecond
	leaveSendTime = 40 * time.Millisecond
)

// leaveBehindRestart: a server deregisters and serves on for some seconds. Its node is killed
// and started again meanwhile, while the server's health check falsely says that all is well.
func leaveBehindRestart(root string, rec *record, trouble bool) (bool, error) {
	kill, lie := trouble, trouble
	if os.Getenv("ONLY") == "kill" {
		lie = false
	}
	f, err := newFleet(root, rec, "za:sa", "zb:sa", "zc:sa", "za:sa", "zb:sa", "zc:sa", "za:sa", "zb:sa", "zc:sa", "za:sa")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.putConfig(configOf("non_idempotent", 5000)); err != nil {
		return false, err
	}
	if err := f.startAll(serverOptions{slots: 100, work: 50 * time.Millisecond, healthLies: lie}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var got answers
	var workers sync.WaitGroup
	begin := time.Now()
	workers.Add(1)
	go func() {
		defer workers.Done()
		clients := []*client{newClient(rec, f.hosts[3]), newClient(rec, f.hosts[6]), newClient(rec, f.hosts[9])}
		for i := 0; time.Since(begin) < 12*time.Second; i++ {
			c := clients[i%len(clients)]
			workers.Add(1)
			go func() {
				defer workers.Done()
				got.add(c.send(request{host: "a.example", key: "keykeykeykeykeykey01", method: http.MethodPost, path: "/a/x", limit: 5 * time.Second}))
			}()
			time.Sleep(leaveSendTime)
		}
	}()
	time.Sleep(2 * time.Second)
	leaving := f.hosts[0]
	leaving.server.mu.Lock()
	leaving.server.draining = true
	leaving.server.stop() // no more status reports
	leaving.server.mu.Unlock()
	for !leaving.server.report("ready", "deregister") {
		time.Sleep(100 * time.Millisecond)
	}
	acked := time.Now()
	rec.add("server %s: deregistration confirmed", leaving.name)
	inTouch := acked
	if kill {
		time.Sleep(killAfterAck)
		f.signal(leaving, syscall.SIGKILL)
		<-leaving.ended
		time.Sleep(restartPause)
		if err := f.start(leaving, false); err != nil {
			return false, err
		}
		inTouch = time.Now().Add(stabilityWindow)
	}
	time.Sleep(time.Until(acked.Add(servesOnTime)))
	leaving.server.close()
	rec.add("server %s has ended", leaving.name)
	workers.Wait()
	late := 0
	lost := 0
	sent := got.byID()
	leaving.server.mu.Lock()
	defer leaving.server.mu.Unlock()
	for _, r := range leaving.server.runs {
		if r.at.Sub(acked) > drainTime && r.at.After(inTouch) {
			late++
			if !sent[r.id].complete || sent[r.id].status != http.StatusOK {
				lost++
			}
		}
	}
	rec.say("%d requests reached server %s later than %v after its leaving was confirmed, from machines in touch; none is allowed. %d of them were not answered with success", late, leaving.name, drainTime, lost)
	return late > 0, nil
}
