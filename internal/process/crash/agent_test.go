package crash

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// guilty is the request that crashes upstreams in the tests.
const guilty Fingerprint = 7

// TestQuarantine runs the cases of testdata/quarantine.csv in virtual time. It guards
// against a quarantined request that crashes upstreams again because a node that has
// started, was cut off, stood still or missed the report does not know of it.
func TestQuarantine(t *testing.T) {
	steps.Cases(t, "testdata/quarantine.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runQuarantine(t, record) })
	})
}

// crashFleet is a fleet of nodes that are connected by a mesh in memory.
type crashFleet struct {
	cancels []context.CancelFunc
	ctx     context.Context
	net     *mesh.Network
	nodes   []*Agent
	older   bool // the nodes at odd positions do not exchange states
}

// runQuarantine runs one record, whose fields the file describes. The quarantine must end
// on all nodes at its time.
func runQuarantine(t *testing.T, record []string) {
	size, err := strconv.Atoi(record[1])
	assert.NilError(t, err)
	within, err := time.ParseDuration(record[3])
	assert.NilError(t, err)
	fault, length, _ := strings.Cut(record[2], " ")
	ctx, cancel := context.WithCancel(t.Context())
	f := &crashFleet{cancels: make([]context.CancelFunc, size), ctx: ctx, net: mesh.NewNetwork(time.Millisecond), nodes: make([]*Agent, size), older: fault == "mixed"}
	for i := range size {
		f.start(t, i)
	}
	time.Sleep(20 * time.Second)
	began := time.Now()
	switch fault {
	case "cut", "lost", "pause":
		f.faultDuringCrash(t, fault, length)
	case "mixed", "none", "roll":
		f.crash(t, 0)
		time.Sleep(time.Second)
	default:
		t.Fatalf("unknown fault %q", fault)
	}
	if fault == "mixed" || fault == "roll" {
		f.roll(t, within)
	} else {
		time.Sleep(within)
		f.check(t, true)
	}
	time.Sleep(time.Until(began.Add(QuarantineTime + minExchanged)))
	f.check(t, false)
	time.Sleep(time.Minute)
	f.check(t, false)
	cancel()
	time.Sleep(time.Minute)
}

// address returns the address of a node.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), 8001)
}

// start starts a node that knows nothing and joins at the one before it.
func (f *crashFleet) start(t *testing.T, i int) {
	f.startWith(t, i, nil)
}

// startWith starts a node. If known is not nil, the node goes on with it, as one does that
// has been running before.
func (f *crashFleet) startWith(t *testing.T, i int, known *Table) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancels[i] = cancel
	endpoint := f.net.AddNode(address(i))
	table := member.NewTable(time.Now(), member.Record{Peers: address(i), Readiness: member.Ready, Service: "ledger", Zone: fmt.Sprintf("zone%d", i%3)})
	members := member.NewAgent(endpoint, table, zerolog.Nop())
	f.nodes[i] = NewAgent(endpoint, table, zerolog.Nop())
	if known != nil {
		f.nodes[i].Table, f.nodes[i].exchanged = known, true
	}
	if f.older && i%2 == 1 {
		// Nodes that do not know the kind of message answer with an error.
		endpoint.Handle(wire.KindCrashes, nil)
	} else {
		members.Share(f.nodes[i])
	}
	if peer := f.nodes[(i+len(f.nodes)-1)%len(f.nodes)]; peer != nil {
		assert.NilError(t, members.Join(ctx, address((i+len(f.nodes)-1)%len(f.nodes))))
	}
	go members.Run(ctx)
	go f.nodes[i].Run(ctx)
}

// crash makes a request crash the upstream beside a node twice.
func (f *crashFleet) crash(t *testing.T, i int) {
	for range 2 {
		now := time.Now()
		run := f.nodes[i].Begin(now, guilty, false)
		assert.Check(t, run != nil)
		f.nodes[i].ReportCrash(now)
		f.nodes[i].End(now, run, false)
		time.Sleep(crashDebounce)
	}
	assert.Check(t, f.nodes[i].QuarantineLeft(time.Now(), guilty) > 0)
}

// faultDuringCrash lets a request crash upstreams while a node is impaired, and returns
// when it has been well again.
func (f *crashFleet) faultDuringCrash(t *testing.T, fault, length string) {
	duration, err := time.ParseDuration(length)
	assert.NilError(t, err)
	impaired := len(f.nodes) / 2
	reporter := 0
	if fault == "lost" {
		reporter = impaired
	}
	setCut := func(cut bool) {
		for i := range f.nodes {
			f.net.SetPartitioned(address(i), address(impaired), cut && i != impaired)
		}
	}
	setCut(true)
	if fault == "pause" {
		// A process that stands still sends nothing and gets nothing.
		f.cancels[impaired]()
	}
	f.crash(t, reporter)
	time.Sleep(duration)
	setCut(false)
	if fault == "pause" {
		f.resume(t, impaired)
	}
}

// resume lets a node that stood still go on with what it knew.
func (f *crashFleet) resume(t *testing.T, i int) {
	known := f.nodes[i].Table
	assert.Check(t, known.QuarantineLeft(time.Now(), guilty) == 0)
	f.startWith(t, i, known)
}

// roll restarts all nodes in turn. Each must know the quarantined request when it has
// joined, or within the given time. In a fleet of two builds only the newer one must.
func (f *crashFleet) roll(t *testing.T, within time.Duration) {
	for i := range f.nodes {
		if f.older && i%2 == 1 {
			continue
		}
		f.cancels[i]()
		f.net.Remove(address(i))
		time.Sleep(300 * time.Millisecond)
		f.start(t, i)
		time.Sleep(within)
		if !f.older {
			assert.Check(t, f.nodes[i].QuarantineLeft(time.Now(), guilty) > 0, "node %d", i)
		}
		time.Sleep(2 * time.Second)
		assert.Check(t, f.nodes[i].QuarantineLeft(time.Now(), guilty) > 0, "node %d", i)
	}
}

// check checks whether all nodes refuse the request.
func (f *crashFleet) check(t *testing.T, refused bool) {
	t.Helper()
	wrong := 0
	for _, n := range f.nodes {
		if (n.QuarantineLeft(time.Now(), guilty) > 0) != refused {
			wrong++
		}
	}
	assert.Check(t, wrong == 0, "%d of %d nodes, want refused: %v", wrong, len(f.nodes), refused)
}

// TestSuspectsAfterStart guards against a node that has just started and runs two requests
// at a time that may crash its upstream.
func TestSuspectsAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &crashFleet{cancels: make([]context.CancelFunc, 3), ctx: ctx, net: mesh.NewNetwork(time.Millisecond), nodes: make([]*Agent, 3)}
		for i := range f.nodes {
			f.start(t, i)
		}
		time.Sleep(5 * time.Second)
		now := time.Now()
		for suspect := range Fingerprint(2) {
			assert.Check(t, f.nodes[0].Begin(now, suspect, false) != nil)
		}
		f.nodes[0].ReportCrash(now)
		time.Sleep(time.Second)
		f.start(t, 2)
		assert.Check(t, f.nodes[2].Begin(time.Now(), 0, false) != nil)
		assert.Check(t, f.nodes[2].Begin(time.Now(), 1, false) == nil, "two suspects run at a time")
		cancel()
		time.Sleep(time.Minute)
	})
}
