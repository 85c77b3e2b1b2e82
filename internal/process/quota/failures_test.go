package quota

import (
	"context"
	"encoding/csv"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestFailures runs the cases of testdata/failures.csv in virtual time: nodes
// of several availability zones admit requests of two customers while parts of
// the fleet fail. No customer may get more than its burst and rate in any
// window, and the part of requests that are refused although the customer's
// rate over all hosts had room is bounded.
func TestFailures(t *testing.T) {
	in, err := os.Open("testdata/failures.csv")
	assert.NilError(t, err)
	defer in.Close()
	reader := csv.NewReader(in)
	reader.Comment = '#'
	records, err := reader.ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		t.Run(record[0], func(t *testing.T) {
			t.Parallel()
			var sum outcome
			for seed := range seeds(t, record) {
				synctest.Test(t, func(t *testing.T) { runCase(t, record, seed, &sum) })
			}
			percent := 100 * float64(sum.wrongful) / float64(sum.demanded)
			t.Logf("wrongful refusals: %.2f %%", percent)
			assert.Check(t, percent <= parseNumber(t, record[9]), "%.2f %% were refused wrongfully", percent)
		})
	}
}

const (
	testRoute = "GET /ledger"
	// caseTime is how long demand lasts in a case.
	caseTime = 60 * time.Second
	// failAt and healAt are when faults begin and end.
	failAt = 20 * time.Second
	healAt = 40 * time.Second
	// coolDown is the time in which calls under way end.
	coolDown = 10 * time.Second
	// warmUp is the time in which the fleet forms before demand begins.
	warmUp = 15 * time.Second
)

// outcome counts requests.
type outcome struct {
	demanded, wrongful int
}

// seeds returns the number of runs of a case. Cases with a bound for wrongful
// refusals are judged by several.
func seeds(t *testing.T, record []string) int {
	if parseNumber(t, record[9]) >= 100 {
		return 1
	}
	return 5
}

func parseNumber(t *testing.T, text string) float64 {
	t.Helper()
	v, err := strconv.ParseFloat(text, 64)
	assert.NilError(t, err)
	return v
}

// fleet is the nodes of a case.
type fleet struct {
	net      *mesh.Net
	nodes    []*testNode
	platform *objapi.Server

	mu       sync.Mutex // also for changes of nodes, which one goroutine makes
	admitted map[string][]time.Time
	demanded map[string][]time.Time
}

// testNode is a node with the parts that matter to rates.
type testNode struct {
	address netip.AddrPort
	agent   *member.Agent
	cancel  context.CancelFunc
	client  *Client
	config  *snaps.Holder
	memory  *objapi.Memory
	table   *member.Table
	zone    string
}

// runCase runs one record: name, zones, nodes in each, rate, burst, demand of
// the customer and of another one within its rate, where demand comes from,
// faults, the bound of wrongful refusals in percent.
func runCase(t *testing.T, record []string, seed int, sum *outcome) {
	number := func(i int) float64 { return parseNumber(t, record[i]) }
	zones, perZone := int(number(1)), int(number(2))
	limit := Limit{Burst: number(4), Rate: number(3)}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newFleet(ctx, t, zones, perZone, limit)
	time.Sleep(warmUp)
	start := time.Now()
	var work sync.WaitGroup
	for i, customer := range []string{"large", "small"} {
		rate := number(5)
		if customer == "small" {
			rate = number(6)
		}
		work.Go(func() { f.demand(ctx, uint64(2*seed+i), customer, rate, record[7], limit) })
	}
	work.Go(func() { f.fail(record[8]) })
	work.Wait()
	for customer, times := range f.admitted {
		assert.Check(t, withinBound(times, limit), "%s got more than its rate and burst", customer)
		ideal := idealAdmissions(f.demanded[customer], limit)
		sum.wrongful += max(ideal-len(times), 0)
		sum.demanded += len(f.demanded[customer])
		t.Logf("%s: %d of %d admitted in %v, %d ideally", customer, len(times), len(f.demanded[customer]), time.Since(start), ideal)
	}
	cancel()
	time.Sleep(coolDown)
}

func newFleet(ctx context.Context, t *testing.T, zones, perZone int, limit Limit) *fleet {
	f := &fleet{admitted: make(map[string][]time.Time), demanded: make(map[string][]time.Time), net: mesh.NewNet(time.Millisecond), platform: objapi.New()}
	row := rows.Default(testRoute, rows.AnyCustomer)
	row.Rate, row.Burst = limit.Rate, limit.Burst
	value, err := kinds.Encode(&kinds.RowObject{Row: row})
	assert.NilError(t, err)
	_, err = f.platform.Memory().Put(ctx, kinds.RowKey(row.Route, row.Customer), value, 0)
	assert.NilError(t, err)
	var names []string
	for z := range zones {
		names = append(names, fmt.Sprintf("zone%d", z))
	}
	for i := range zones * perZone {
		f.nodes = append(f.nodes, f.newNode(ctx, i, names[i%zones], names))
	}
	for _, n := range f.nodes[1:] {
		assert.NilError(t, n.agent.Join(ctx, f.nodes[0].address))
	}
	return f
}

func (f *fleet) newNode(ctx context.Context, i int, zone string, zones []string) *testNode {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 8001)
	ctx, cancel := context.WithCancel(ctx)
	end := f.net.Node(address)
	n := &testNode{address: address, cancel: cancel, config: snaps.NewHolder(), memory: f.platform.Memory(), zone: zone}
	n.table = member.NewTable(time.Now(), member.Record{Peers: address, Readiness: member.Ready, Service: "ledger", Zone: zone})
	n.agent = member.NewAgent(end, n.table, zerolog.Nop(), n.config)
	n.client = NewClient(time.Now(), Options{Config: n.config, Limits: n.limitOf, Log: zerolog.Nop(), Mesh: end, Self: address, Shards: 1, Store: n.memory, Table: n.table, Zone: zone, Zones: zones})
	go n.agent.Run(ctx)
	go n.client.Run(ctx)
	go n.follow(ctx)
	return n
}

// limitOf returns the limit of the row of a key.
func (n *testNode) limitOf(key Key) (Limit, bool) {
	row := n.config.Snapshot().Row(key.Route, key.Customer)
	if row == nil {
		return Limit{}, false
	}
	return Limit{Burst: row.Burst, Rate: row.Rate}, true
}

// follow reads the platform's changes.
func (n *testNode) follow(ctx context.Context) {
	for ctx.Err() == nil {
		from := n.config.Snapshot().Revision()
		if listing, err := n.memory.Watch(ctx, kinds.Root, from, 0); err == nil {
			if n.config.Apply(snaps.Delta{From: from, Objects: listing.Objects, Revision: listing.Revision}) {
				n.agent.Announce(ctx)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// demand sends a customer's requests to nodes: all of them, those of one zone,
// or those of one zone after the other.
func (f *fleet) demand(ctx context.Context, seed uint64, customer string, rate float64, where string, limit Limit) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var calls sync.WaitGroup
	for time.Since(start) < caseTime {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		n := f.pick(random, where, time.Since(start))
		calls.Go(func() { f.admit(ctx, n, customer, limit) })
	}
	calls.Wait()
}

func (f *fleet) pick(random *rand.Rand, where string, elapsed time.Duration) *testNode {
	f.mu.Lock()
	nodes := f.nodes
	f.mu.Unlock()
	for {
		n := nodes[random.IntN(len(nodes))]
		switch where {
		case "one":
			if n.zone != "zone1" {
				continue
			}
		case "shifting":
			if n.zone != fmt.Sprintf("zone%d", int(elapsed/(10*time.Second))%2) {
				continue
			}
		}
		return n
	}
}

func (f *fleet) admit(ctx context.Context, n *testNode, customer string, limit Limit) {
	now := time.Now()
	refusal := n.client.Admit(ctx, now, Key{Customer: customer, Route: testRoute}, limit, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demanded[customer] = append(f.demanded[customer], now)
	if refusal == nil {
		f.admitted[customer] = append(f.admitted[customer], time.Now())
	}
}

// fail brings the faults of a case about, and mends them.
func (f *fleet) fail(faults string) {
	time.Sleep(failAt)
	for _, name := range strings.Fields(faults) {
		f.set(name, true)
	}
	time.Sleep(healAt - failAt)
	for _, name := range strings.Fields(faults) {
		f.set(name, false)
	}
}

func (f *fleet) set(name string, on bool) {
	switch name {
	case "allocator-cut":
		holder := f.holder("zone0")
		holder.memory.Cut(on)
		for _, n := range f.nodes {
			if n.zone != holder.zone {
				f.net.Cut(holder.address, n.address, on)
			}
		}
	case "allocator-dies":
		if on {
			f.kill(f.holder("zone0"))
		}
	case "allocator-isolated":
		holder := f.holder("zone0")
		holder.memory.Cut(on)
		for _, n := range f.nodes {
			f.net.Cut(holder.address, n.address, on)
		}
	case "allocator-leaves":
		if on {
			holder := f.holder("zone0")
			holder.client.Leave(context.Background())
			f.kill(holder)
		}
	case "candidate-dies":
		if on {
			f.kill(f.candidate("zone0"))
		}
	case "platform-down":
		f.platform.SetFaults(objapi.Faults{Down: on})
	case "platform-slow":
		f.platform.SetFaults(objapi.Faults{Delay: map[bool]time.Duration{true: 1500 * time.Millisecond}[on]})
	case "zone-cut":
		f.cutZone("zone0", on)
	case "zone-off":
		f.cutZone("zone0", on)
		for _, n := range f.nodes {
			if n.zone == "zone0" {
				n.memory.Cut(on)
			}
		}
	}
}

// holder returns the node that believes to hold a zone's allocator.
func (f *fleet) holder(zone string) *testNode {
	i := slices.IndexFunc(f.nodes, func(n *testNode) bool {
		return n.zone == zone && len(n.client.Holds()) > 0
	})
	if i < 0 {
		panic("no allocator is held in " + zone)
	}
	return f.nodes[i]
}

// candidate returns a node that could take over a zone's allocator.
func (f *fleet) candidate(zone string) *testNode {
	holder := f.holder(zone)
	record, _ := holder.config.Snapshot().Allocator(zone, 0)
	i := slices.IndexFunc(f.nodes, func(n *testNode) bool {
		return n != holder && slices.Contains(record.Candidates, n.address)
	})
	return f.nodes[i]
}

func (f *fleet) kill(n *testNode) {
	f.net.Remove(n.address)
	n.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = slices.DeleteFunc(slices.Clone(f.nodes), func(other *testNode) bool { return other == n })
}

func (f *fleet) cutZone(zone string, on bool) {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a.zone == zone && b.zone != zone {
				f.net.Cut(a.address, b.address, on)
			}
		}
	}
}

// withinBound reports whether no window holds more than its burst and rate.
func withinBound(times []time.Time, limit Limit) bool {
	slices.SortFunc(times, time.Time.Compare)
	tokens := limit.Burst
	for i, at := range times {
		if i > 0 {
			tokens = min(limit.Burst, tokens+limit.Rate*at.Sub(times[i-1]).Seconds())
		}
		if tokens--; tokens < -1e-6 {
			return false
		}
	}
	return true
}

// idealAdmissions returns how many requests one bucket for the whole fleet
// admits.
func idealAdmissions(times []time.Time, limit Limit) int {
	slices.SortFunc(times, time.Time.Compare)
	tokens, admitted := limit.Burst, 0
	for i, at := range times {
		if i > 0 {
			tokens = min(limit.Burst, tokens+limit.Rate*at.Sub(times[i-1]).Seconds())
		}
		if tokens >= 1 {
			tokens--
			admitted++
		}
	}
	return admitted
}
