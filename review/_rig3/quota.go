package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = quotaAfterKill }

// The allowance of the tenant, and the bounds of the small installations.
const (
	perS         = 40
	burst        = 200
	quotaWindow  = 5 * time.Second
	quotaExcess  = 0.1
	quotaSlack   = 20
	sendInterval = 6 * time.Millisecond
)

// quotaAfterKill: a tenant presses at all nodes. All nodes are killed at the same moment and
// start again.
func quotaAfterKill(root string, rec *record, trouble bool) (bool, error) {
	f, err := newFleet(root, rec, "za:sa", "zb:sa", "zc:sa", "za:sa", "zb:sa", "zc:sa")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.putConfig(fmt.Sprintf(`"routes":[{"name":"r1","host":"a.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":5000,"target_latency_ms":1200,"priority":1,"service":"sa","max_attempts":2,"no_auth":false}],
"services":[{"name":"sa","health_path":"/healthz","max_connections":900}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["keykeykeykeykeykey01"],"priority":1,"per_s":%d,"burst":%d}]`, perS, burst)); err != nil {
		return false, err
	}
	if err := f.startAll(serverOptions{slots: 200, work: 20 * time.Millisecond}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var got answers
	var workers sync.WaitGroup
	begin := time.Now()
	rec.add("the tenant begins to press")
	var clients []*client
	for _, h := range f.hosts {
		clients = append(clients, newClient(rec, h))
	}
	workers.Add(1)
	go func() {
		defer workers.Done()
		for i := 0; time.Since(begin) < 7*time.Second; i++ {
			c := clients[i%len(clients)]
			workers.Add(1)
			go func() {
				defer workers.Done()
				got.add(c.send(request{host: "a.example", key: "keykeykeykeykeykey01", method: "GET", path: "/a/x", limit: 2 * time.Second}))
			}()
			time.Sleep(sendInterval)
		}
	}()
	if trouble {
		time.Sleep(2 * time.Second)
		for _, h := range f.hosts {
			f.signal(h, syscall.SIGKILL)
		}
		for _, h := range f.hosts {
			<-h.ended
		}
		time.Sleep(300 * time.Millisecond)
		for _, h := range f.hosts {
			if err := f.start(h, false); err != nil {
				return false, err
			}
		}
	}
	workers.Wait()
	return f.checkQuota(&got)
}

// checkQuota finds the window with the most requests that were both sent and run in it.
func (f *fleet) checkQuota(got *answers) (bool, error) {
	sent := got.byID()
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, r := range f.allRuns() {
		if r.tenant == "t1" {
			spans = append(spans, span{sent[r.id].sent, r.at})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].ran.Before(spans[j].ran) })
	most := 0
	for _, from := range spans {
		n := 0
		for _, s := range spans {
			if !s.sent.Before(from.sent) && s.ran.Sub(from.sent) < quotaWindow {
				n++
			}
		}
		most = max(most, n)
	}
	limit := (perS*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	statuses := map[int]int{}
	for _, a := range sent {
		statuses[a.status]++
	}
	f.record.say("statuses %v, run %d", statuses, len(spans))
	f.record.say("most requests of the tenant sent and run within %v: %d; at most %.0f are allowed", quotaWindow, most, limit)
	return float64(most) > limit, nil
}
