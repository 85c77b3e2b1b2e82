package node

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

const (
	// crashesUpstreams is the request of the tests that crashes each upstream that runs it.
	crashesUpstreams crash.Fingerprint = 1<<63 + 7
	// otherRequest also crashed an upstream.
	otherRequest crash.Fingerprint = 8
)

// TestCrashesAfterKill runs the cases of testdata/crashes.csv in virtual time. It guards
// against a request that crashes upstreams again because all nodes that knew of it were
// killed at once.
func TestCrashesAfterKill(t *testing.T) {
	steps.Cases(t, "testdata/crashes.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runCrashes(t, record) })
	})
}

// runCrashes runs one record, whose fields the file describes.
func runCrashes(t *testing.T, record []string) {
	crashes, err := strconv.Atoi(record[1])
	assert.NilError(t, err)
	kill, err := time.ParseDuration(record[3])
	assert.NilError(t, err)
	away, err := time.ParseDuration(record[4])
	assert.NilError(t, err)
	fault := record[5]
	f := newCallFleet(2 * fleetZones)
	operator := f.platform.NewMemoryStore()
	if fault == "odd" {
		_, err := operator.Put(t.Context(), kinds.CrashesKey("zone1"), []byte("{"), 0)
		assert.NilError(t, err)
	}
	f.write(t, operator, 1)
	f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
	f.start(t, true)
	time.Sleep(20 * time.Second)
	if fault == "crash" {
		f.platform.SetFaults(objapi.Faults{Down: true})
		time.AfterFunc(5*time.Second, func() { f.platform.SetFaults(objapi.Faults{Delay: storeDelay}) })
	}
	if fault == "other" {
		f.crash(t, f.nodes[5], otherRequest)
	}
	running := f.nodes[3].crashes.Begin(time.Now(), crashesUpstreams, false)
	began := time.Now()
	reporters := strings.Fields(record[2])
	for i := range crashes {
		reporter, err := strconv.Atoi(reporters[i])
		assert.NilError(t, err)
		f.crash(t, f.nodes[reporter], crashesUpstreams)
		if i+1 < crashes {
			time.Sleep(time.Second)
		}
	}
	if fault == "released" {
		f.nodes[3].crashes.End(time.Now(), running, true)
	}
	time.Sleep(kill)
	f.kill()
	time.Sleep(away)
	if fault == "start" {
		f.platform.SetFaults(objapi.Faults{Down: true})
		time.AfterFunc(startWait+time.Second, func() { f.platform.SetFaults(objapi.Faults{Delay: storeDelay}) })
	}
	f.start(t, false)
	if fault == "start" {
		time.Sleep(startWait)
		for i, n := range f.nodes {
			assert.Check(t, !n.gate.Closed(), "node %d serves without the store", i)
		}
		time.Sleep(5 * time.Second)
	}
	f.checkCrashes(t, record[6])
	if record[6] == "refused" {
		time.Sleep(time.Until(began.Add(crash.QuarantineTime + time.Minute)))
		for i, n := range f.nodes {
			assert.Equal(t, n.crashes.QuarantineLeft(time.Now(), crashesUpstreams), time.Duration(0), "node %d", i)
		}
	}
	f.stop()
}

// TestCrashAtStop guards against a crash that is noticed in the last moments of a planned stop,
// and of which neither the other nodes nor the store are told.
func TestCrashAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCallFleet(2 * fleetZones)
		operator := f.platform.NewMemoryStore()
		f.write(t, operator, 1)
		f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
		f.start(t, true)
		time.Sleep(20 * time.Second)
		stopping := f.nodes[1]
		settings := *stopping.settings.Load()
		settings.Drain, settings.LameDuck = 5*time.Second, 2*time.Second
		stopping.settings.Store(&settings)
		time.AfterFunc(settings.LameDuck, func() { f.crash(t, stopping, crashesUpstreams) })
		stopping.drain(stopping.ctx, nil)
		f.cancels[1]()
		f.net.Remove(f.addresses[1])
		time.Sleep(time.Second)
		stored, err := operator.Get(t.Context(), kinds.CrashesKey("zone1"))
		assert.NilError(t, err)
		var crashes kinds.Crashes
		assert.NilError(t, kinds.DecodeCrashes(stored.Key, stored.Value, &crashes))
		assert.Equal(t, len(crashes.Suspects), 1, "suspects in the store")
		for i, n := range f.nodes {
			assert.Equal(t, len(n.crashes.State(time.Now()).Suspects), 1, "suspects that node %d knows", i)
		}
		f.stop()
	})
}

// crash lets a request crash the upstream beside a node.
func (f *callFleet) crash(t *testing.T, n *Node, request crash.Fingerprint) {
	t.Helper()
	now := time.Now()
	run := n.crashes.Begin(now, request, false)
	assert.Check(t, run != nil)
	n.crashes.ReportCrash(now)
	n.crashes.End(now, run, false)
}

// kill ends all nodes at once.
func (f *callFleet) kill() {
	f.cancel()
	for _, address := range f.addresses {
		f.net.Remove(address)
	}
}

// checkCrashes checks what the nodes that have just started know of the request, from the
// moment at which they send requests to their upstreams.
func (f *callFleet) checkCrashes(t *testing.T, want string) {
	t.Helper()
	open := make(map[*Node]bool)
	for end := time.Now().Add(startWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, n := range f.nodes {
			now := time.Now()
			if n.gate.Closed() || open[n] {
				continue
			}
			open[n] = true
			refused := n.crashes.QuarantineLeft(now, crashesUpstreams) > 0
			assert.Check(t, refused == (want == "refused" || want == "late"), "node %d, refused: %v", i, refused)
			if want == "suspect" {
				run := n.crashes.Begin(now, crashesUpstreams, false)
				assert.Check(t, run != nil)
				assert.Check(t, n.crashes.Begin(now, otherRequest, true) == nil, "node %d does not suspect the request", i)
				n.crashes.End(now, run, false)
			}
		}
	}
	assert.Equal(t, len(open), len(f.nodes), "nodes that serve")
}
