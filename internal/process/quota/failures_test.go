package quota

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
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
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestFailures runs the cases of testdata/failures.csv in virtual time: nodes
// of several availability zones admit requests of two customers while parts of
// the fleet fail. No customer may get more than its burst and rate in any time
// window. The percentage of wrongful refusals is limited: those that a single
// bucket for all hosts would have avoided.
func TestFailures(t *testing.T) {
	steps.Cases(t, "testdata/failures.csv", func(t *testing.T, record []string) {
		t.Parallel()
		var sum outcome
		for seed := range seedCount(t, record) {
			synctest.Test(t, func(t *testing.T) { runCase(t, record, seed, &sum) })
		}
		percent := 100 * float64(sum.wrongful) / float64(sum.demanded)
		t.Logf("wrongful refusals: %.2f %%", percent)
		assert.Check(t, percent <= parseNumber(t, record[9]), "%.2f %% of the requests were refused wrongfully", percent)
	})
}

const (
	testRoute = "GET /ledger"
	// caseDuration is how long customers send requests in a case.
	caseDuration = 60 * time.Second
	// faultStart and faultEnd are the times, since requests began, at which
	// faults begin and end.
	faultStart = 20 * time.Second
	faultEnd   = 40 * time.Second
	// joiningNodes is the number of nodes that join in a fault, and firstJoiningNode the
	// number of the first of them.
	joiningNodes     = 8
	firstJoiningNode = 100
	// settleTime is the time in which others take over from a node that failed.
	settleTime = 5 * time.Second
	// drainTime is the time after a case in which calls in flight end.
	drainTime = 10 * time.Second
	// warmUp is the time for the nodes to find each other before requests
	// begin.
	warmUp = 15 * time.Second
)

// outcome counts the requests of a case.
type outcome struct {
	demanded, wrongful int
}

// seedCount returns the number of runs of a case, each with its own seed. Cases
// that limit wrongful refusals run several times.
func seedCount(t *testing.T, record []string) int {
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

// fleet contains the nodes and the platform of a case.
type fleet struct {
	copied   objapi.Copy // of the platform's store, at first from before the allocators
	isolated *testNode   // nil for none
	net      *mesh.Network
	nodes    []*testNode
	platform *objapi.Server
	zones    []string

	mu       sync.Mutex // also guards changes of nodes, which only one goroutine makes
	admitted map[string][]time.Time
	demanded map[string][]time.Time
}

// testNode is a node with only the parts that quotas need.
type testNode struct {
	address netip.AddrPort
	agent   *member.Agent
	cancel  context.CancelFunc
	client  *Client
	config  *snaps.Holder
	memory  *objapi.MemoryStore
	table   *member.Table
	zone    string
}

// runCase runs one record with one seed. The fields of the record are: name,
// number of zones, nodes per zone, rate, burst, requests per second of the
// large customer and of the small one (which stays within its rate), origin of
// the requests (see sendRequests), faults, and the largest percentage of
// wrongful refusals.
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
		work.Go(func() { f.sendRequests(ctx, uint64(2*seed+i), customer, rate, record[7], limit) })
	}
	work.Go(func() { f.injectFaults(ctx, record[8]) })
	work.Wait()
	for customer, times := range f.admitted {
		assert.Check(t, withinLimit(times, limit), "%s got more than its rate and burst", customer)
		ideal := idealAdmissions(f.demanded[customer], limit)
		sum.wrongful += max(ideal-len(times), 0)
		sum.demanded += len(f.demanded[customer])
		t.Logf("%s: %d of %d admitted in %v, %d ideally", customer, len(times), len(f.demanded[customer]), time.Since(start), ideal)
	}
	cancel()
	time.Sleep(drainTime)
}

func newFleet(ctx context.Context, t *testing.T, zones, perZone int, limit Limit) *fleet {
	f := &fleet{admitted: make(map[string][]time.Time), demanded: make(map[string][]time.Time), net: mesh.NewNetwork(usualDelay), platform: objapi.New()}
	row := rows.Default(testRoute, rows.AnyCustomer)
	row.Rate, row.Burst = limit.Rate, limit.Burst
	value, err := kinds.Encode(&kinds.RowObject{Row: row})
	assert.NilError(t, err)
	_, err = f.platform.NewMemoryStore().Put(ctx, kinds.RowKey(row.Route, row.Customer), value, 0)
	assert.NilError(t, err)
	f.copied = f.platform.Copy()
	for z := range zones {
		f.zones = append(f.zones, fmt.Sprintf("zone%d", z))
	}
	for i := range zones * perZone {
		f.nodes = append(f.nodes, f.newNode(ctx, i, f.zones[i%zones]))
	}
	for _, n := range f.nodes[1:] {
		assert.NilError(t, n.agent.Join(ctx, f.nodes[0].address))
	}
	return f
}

func (f *fleet) newNode(ctx context.Context, i int, zone string) *testNode {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 8001)
	ctx, cancel := context.WithCancel(ctx)
	endpoint := f.net.AddNode(address)
	n := &testNode{address: address, cancel: cancel, config: snaps.NewHolder(), memory: f.platform.NewMemoryStore(), zone: zone}
	n.table = member.NewTable(time.Now(), member.Record{Peers: address, Readiness: member.Ready, Service: "ledger", Zone: zone})
	n.agent = member.NewAgent(endpoint, n.table, zerolog.Nop(), n.config)
	n.client = NewClient(time.Now(), Options{Config: n.config, Limits: n.limitOf, Log: zerolog.Nop(), Mesh: endpoint, Self: address, Shards: 1, Store: n.memory, Table: n.table, Zone: zone, Zones: f.zones})
	go n.agent.Run(ctx)
	go n.client.Run(ctx)
	go n.watchPlatform(ctx)
	return n
}

// limitOf returns the limit in the row of a key. It returns false if there is
// no row.
func (n *testNode) limitOf(key Key) (Limit, bool) {
	row := n.config.Snapshot().Row(key.Route, key.Customer)
	if row == nil {
		return Limit{}, false
	}
	return Limit{Burst: row.Burst, Rate: row.Rate}, true
}

// watchPlatform applies the changes of the platform's objects until the context
// ends.
func (n *testNode) watchPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		held := n.config.Snapshot().Position()
		from := held.Revision
		sent := time.Now()
		listing, err := n.memory.Watch(ctx, kinds.Root, from, 0)
		if errors.Is(err, store.ErrGone) || err == nil && listing.Era != held.Era {
			from = 0
			listing, err = n.memory.List(ctx, kinds.Root)
		}
		if err == nil {
			if n.config.Apply(snaps.Delta{Era: listing.Era, From: from, Objects: listing.Objects, Revision: listing.Revision}) {
				n.agent.Announce(ctx)
			}
			n.config.MarkFresh(listing.Position(), sent)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sendRequests sends a customer's requests to nodes and waits for the answers.
// The parameter origin selects the nodes: all ("even"), those of zone1 ("one"),
// or those of zone0 and zone1 by turns of 10 seconds ("shifting").
func (f *fleet) sendRequests(ctx context.Context, seed uint64, customer string, rate float64, origin string, limit Limit) {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	var calls sync.WaitGroup
	for time.Since(start) < caseDuration {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		n := f.pickNode(random, origin, time.Since(start))
		calls.Go(func() { f.admit(ctx, n, customer, limit) })
	}
	calls.Wait()
}

func (f *fleet) pickNode(random *rand.Rand, origin string, elapsed time.Duration) *testNode {
	f.mu.Lock()
	nodes := f.nodes
	f.mu.Unlock()
	for {
		n := nodes[random.IntN(len(nodes))]
		switch origin {
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

// admit sends one request to a node and counts it.
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

// injectFaults begins and ends the faults of a case, whose names are separated
// by spaces.
func (f *fleet) injectFaults(ctx context.Context, faults string) {
	time.Sleep(faultStart)
	for _, name := range strings.Fields(faults) {
		f.setFault(ctx, name, true)
	}
	time.Sleep(faultEnd - faultStart)
	for _, name := range strings.Fields(faults) {
		f.setFault(ctx, name, false)
	}
}

// setFault begins or ends a fault. A node that died or left stays away. While a fault
// begins, "slow-MS" delays all messages by that many milliseconds, "settle" waits for the others to react, and "allocator-rejoins" ends
// "allocator-isolated".
func (f *fleet) setFault(ctx context.Context, name string, on bool) {
	if ms, ok := strings.CutPrefix(name, "slow-"); ok {
		f.setDelay(ms, on)
		return
	}
	switch name {
	case "allocator-cut":
		holder := f.holder("zone0")
		holder.memory.SetUnreachable(on)
		for _, n := range f.nodes {
			if n.zone != holder.zone {
				f.net.SetPartitioned(holder.address, n.address, on)
			}
		}
	case "allocator-dies":
		if on {
			f.kill(f.holder("zone0"))
		}
	case "allocator-isolated":
		if on {
			f.isolated = f.holder("zone0")
		}
		f.isolate(f.isolated, on)
	case "allocator-rejoins":
		f.isolate(f.isolated, false)
	case "allocator-leaves":
		if on {
			holder := f.holder("zone0")
			holder.client.HandOver(context.Background())
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
	case "nodes-join":
		if on {
			f.addNodes(ctx, "zone0", joiningNodes)
		}
	case "settle":
		if on {
			time.Sleep(settleTime)
		}
	case "store-copied":
		if on {
			f.copied = f.platform.Copy()
		}
	case "store-restored":
		if on {
			f.platform.Restore(f.copied)
		}
	case "zone-cut":
		f.cutZone("zone0", on)
	case "zone-off":
		f.cutZone("zone0", on)
		for _, n := range f.nodes {
			if n.zone == "zone0" {
				n.memory.SetUnreachable(on)
			}
		}
	}
}

// usualDelay is how long messages between nodes take.
const usualDelay = time.Millisecond

// setDelay makes messages between nodes take the given number of milliseconds, or as long
// as usual.
func (f *fleet) setDelay(ms string, on bool) {
	delay := usualDelay
	if n, err := strconv.Atoi(ms); err == nil && on {
		delay = time.Duration(n) * time.Millisecond
	}
	f.net.SetDelay(delay)
}

// addNodes starts nodes of an availability zone that join the fleet.
func (f *fleet) addNodes(ctx context.Context, zone string, count int) {
	for i := range count {
		n := f.newNode(ctx, firstJoiningNode+i, zone)
		if err := n.agent.Join(ctx, f.nodes[0].address); err != nil {
			panic(err)
		}
		f.mu.Lock()
		f.nodes = append(slices.Clone(f.nodes), n)
		f.mu.Unlock()
	}
}

// isolate cuts a node off from the platform and all other nodes, or ends that.
func (f *fleet) isolate(node *testNode, on bool) {
	node.memory.SetUnreachable(on)
	for _, n := range f.nodes {
		f.net.SetPartitioned(node.address, n.address, on)
	}
}

// holder returns a node that holds a zone's allocator, as far as it knows.
func (f *fleet) holder(zone string) *testNode {
	i := slices.IndexFunc(f.nodes, func(n *testNode) bool {
		return n.zone == zone && len(n.client.HeldShards()) > 0
	})
	if i < 0 {
		panic("no node holds the allocator of " + zone)
	}
	return f.nodes[i]
}

// candidate returns a node other than the holder that may take over a zone's
// allocator.
func (f *fleet) candidate(zone string) *testNode {
	holder := f.holder(zone)
	record, _ := holder.config.Snapshot().Allocator(zone, 0)
	i := slices.IndexFunc(f.nodes, func(n *testNode) bool {
		return n != holder && slices.Contains(record.Candidates, n.address)
	})
	return f.nodes[i]
}

// kill stops a node and removes it from the fleet.
func (f *fleet) kill(n *testNode) {
	f.net.Remove(n.address)
	n.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = slices.DeleteFunc(slices.Clone(f.nodes), func(other *testNode) bool { return other == n })
}

// cutZone cuts or restores the connections between a zone and all others.
func (f *fleet) cutZone(zone string, on bool) {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a.zone == zone && b.zone != zone {
				f.net.SetPartitioned(a.address, b.address, on)
			}
		}
	}
}

// withinLimit reports whether no time window contains more admissions than the
// burst and rate allow.
func withinLimit(times []time.Time, limit Limit) bool {
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

// idealAdmissions returns the number of requests that a single bucket for the
// whole fleet would admit.
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
