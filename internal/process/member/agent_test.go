package member

import (
	"context"
	"encoding/csv"
	"fmt"
	"net/netip"
	"os"
	"runtime"
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
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// TestSpread runs the cases of testdata/spread.csv in virtual time. Each case
// triggers an event in a fleet and checks that all nodes learn of it within a
// time limit.
func TestSpread(t *testing.T) {
	in, err := os.Open("testdata/spread.csv")
	assert.NilError(t, err)
	defer in.Close()
	records, err := csv.NewReader(in).ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		t.Run(strings.Join(record[:2], " "), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSpread(t, record) })
		})
	}
}

// cluster is a fleet of agents that are connected by a mesh in memory.
type cluster struct {
	cancels []context.CancelFunc
	net     *mesh.Network
	nodes   []*Agent
}

// newCluster starts size agents, spread over three zones, each of which joins at
// the first one.
func newCluster(ctx context.Context, t *testing.T, size int) *cluster {
	s := &cluster{net: mesh.NewNetwork(time.Millisecond)}
	for i := range size {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), 8001)
		table := NewTable(time.Now(), Record{Peers: address, Readiness: Ready, Service: "ledger", Zone: fmt.Sprintf("zone%d", i%3)})
		nodeCtx, cancel := context.WithCancel(ctx)
		agent := NewAgent(s.net.AddNode(address), table, zerolog.Nop(), snaps.NewHolder())
		s.nodes = append(s.nodes, agent)
		s.cancels = append(s.cancels, cancel)
		if i > 0 {
			assert.NilError(t, agent.Join(ctx, s.nodes[0].table.Self().Peers))
		}
		go agent.Run(nodeCtx)
	}
	return s
}

// runSpread runs one record of the file: the event, the number of nodes, and the
// time limit.
func runSpread(t *testing.T, record []string) {
	size, err := strconv.Atoi(record[1])
	assert.NilError(t, err)
	limit, err := time.ParseDuration(record[2])
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := newCluster(ctx, t, size)
	time.Sleep(20 * time.Second)
	for _, a := range s.nodes {
		assert.Equal(t, a.table.View().Size(), size)
	}
	known := s.trigger(ctx, record[0])
	started := time.Now()
	for !s.all(known) {
		time.Sleep(50 * time.Millisecond)
		if !assert.Check(t, time.Since(started) <= limit, "not all nodes have learned of the event after %v", limit) {
			break
		}
	}
	t.Logf("all %d nodes learned of the event within %v", size, time.Since(started))
	cancel()
	time.Sleep(time.Minute)
}

// trigger triggers an event and returns a function that reports whether a node has
// learned of it. It panics if the event is unknown.
func (s *cluster) trigger(ctx context.Context, event string) func(a *Agent) bool {
	victim := s.nodes[len(s.nodes)/2]
	peer := victim.table.Self().Peers
	switch event {
	case "partition heals":
		return s.partitionAndHeal()
	case "node fails":
		s.net.Remove(peer)
		s.cancels[len(s.nodes)/2]()
		s.nodes = append(append([]*Agent{}, s.nodes[:len(s.nodes)/2]...), s.nodes[len(s.nodes)/2+1:]...)
		return func(a *Agent) bool { return len(a.table.View().Service("ledger")) == len(s.nodes) }
	case "node drains":
		r, _ := victim.table.SetSelf(time.Now(), "ledger", Draining)
		victim.SendToNeighbours(ctx, []Record{r})
		return func(a *Agent) bool { return len(a.table.View().Service("ledger")) == len(s.nodes)-1 }
	case "node refutes suspicion":
		// A node that was only paused must refute that it has failed.
		r, _ := s.nodes[0].table.Suspect(time.Now(), peer)
		s.nodes[0].SendToNeighbours(ctx, []Record{r})
		return func(a *Agent) bool {
			return len(a.table.View().Service("ledger")) == len(s.nodes) && victim.table.Self().Incarnation > r.Incarnation
		}
	case "configuration changes":
		victim.feeds[0].Apply(snaps.Delta{Objects: []store.Object{{Key: "x", Value: []byte("1"), Version: 7}}, Revision: 7})
		victim.Announce(ctx)
		return func(a *Agent) bool { return a.feeds[0].Snapshot().Revision() == 7 }
	}
	panic("unknown event: " + event)
}

// partitionAndHeal cuts off a third of the nodes until each side considers the
// other dead, and then reconnects them.
func (s *cluster) partitionAndHeal() func(a *Agent) bool {
	setCut := func(cut bool) {
		for _, a := range s.nodes {
			for _, b := range s.nodes {
				if a.table.Self().Zone == "zone0" && b.table.Self().Zone != "zone0" {
					s.net.SetPartitioned(a.table.Self().Peers, b.table.Self().Peers, cut)
				}
			}
		}
	}
	setCut(true)
	time.Sleep(time.Minute)
	if s.nodes[0].table.View().Size() == len(s.nodes) {
		panic("no node was declared dead during the partition")
	}
	setCut(false)
	return func(a *Agent) bool { return len(a.table.View().Service("ledger")) == len(s.nodes) }
}

// all reports whether known holds for all nodes.
func (s *cluster) all(known func(a *Agent) bool) bool {
	for _, a := range s.nodes {
		if !known(a) {
			return false
		}
	}
	return true
}

// BenchmarkView measures merging one changed record into tables of several sizes,
// which includes updating the view.
func BenchmarkView(b *testing.B) {
	for _, size := range []int{100, 1000, 5700} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			table := newLargeTable(size)
			b.ReportAllocs()
			i := uint64(1)
			for b.Loop() {
				i++
				table.Merge(time.Unix(1, 0), []Record{{Health: Alive, Incarnation: i, Peers: largeAddress(1), Readiness: Ready, Service: "s1", Zone: "zone1"}})
			}
		})
	}
}

// largeAddress returns the address of a node of newLargeTable.
func largeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8001)
}

// newLargeTable returns a Table of size nodes in 180 services and 9 zones.
func newLargeTable(size int) *Table {
	table := NewTable(time.Unix(0, 0), Record{Peers: largeAddress(0), Readiness: Ready, Service: "s0", Zone: "zone0"})
	records := make([]Record, 0, size)
	for i := 1; i < size; i++ {
		records = append(records, Record{Health: Alive, Incarnation: 1, Peers: largeAddress(i), Readiness: Ready, Service: fmt.Sprintf("s%d", i%180), Zone: fmt.Sprintf("zone%d", i%9)})
	}
	table.Merge(time.Unix(0, 0), records)
	return table
}

// BenchmarkSizes measures the bytes of a ping with its answer, the bytes of a News
// message with one record, and the heap memory per member of a large table.
func BenchmarkSizes(b *testing.B) {
	const size = 5700
	frame := func(kind wire.Kind, message any) float64 {
		body, err := wire.Encode(message)
		assert.NilError(b, err)
		data, err := wire.Encode(wire.Frame{Body: body, ID: 100000, Kind: kind})
		assert.NilError(b, err)
		return float64(len(data))
	}
	var before, after runtime.MemStats
	var table *Table
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		table = newLargeTable(size)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	ping := Ping{Digest: 1 << 63, Feeds: []FeedState{{Age: time.Second, Revision: 1 << 30}}}
	b.ReportMetric(2*frame(wire.KindPing, ping), "B/ping")
	b.ReportMetric(frame(wire.KindNews, News{Records: []Record{table.Self()}}), "B/news")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/size, "B/member")
	runtime.KeepAlive(table)
}

// TestSlowNodes guards against nodes that take each other for dead, or do not pass changes
// on, because they answer slowly, as on hosts that are short of processor.
func TestSlowNodes(t *testing.T) {
	steps.Cases(t, "testdata/slow.csv", func(t *testing.T, record []string) {
		t.Parallel()
		delay, err := time.ParseDuration(record[1])
		assert.NilError(t, err)
		synctest.Test(t, func(t *testing.T) { runSlowNodes(t, delay) })
	})
}

// runSlowNodes makes the messages in a fleet slow, and then changes a feed.
func runSlowNodes(t *testing.T, delay time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := newCluster(ctx, t, 30)
	time.Sleep(20 * time.Second)
	s.net.SetDelay(delay)
	time.Sleep(10 * time.Second)
	s.nodes[3].feeds[0].Apply(snaps.Delta{Revision: 7})
	s.nodes[3].Announce(ctx)
	time.Sleep(20 * time.Second)
	for _, a := range s.nodes {
		assert.Equal(t, len(a.table.Dead()), 0)
		for _, r := range a.table.View().All() {
			assert.Equal(t, r.Health, Alive)
		}
		assert.Equal(t, a.feeds[0].Snapshot().Revision(), uint64(7))
	}
	cancel()
	time.Sleep(time.Minute)
}
