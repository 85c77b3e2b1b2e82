package quota

import (
	"net/netip"
	"runtime"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// BenchmarkGrantTokens measures the answer to an Ask, by the number of nodes
// that hold tokens of the key.
func BenchmarkGrantTokens(b *testing.B) {
	for _, nodes := range []int{10, 100, 630} {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			now := time.Unix(1000, 0)
			a := NewAllocator(1, now)
			key := Key{Customer: "amis", Route: testRoute}
			limit := Limit{Burst: 1e6, Rate: 1e6}
			seq := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				seq++
				now = now.Add(100 * time.Microsecond)
				node := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(seq % uint64(nodes) >> 8), byte(seq % uint64(nodes))}), 1)
				a.GrantTokens(now, node, &Ask{Held: 1, Key: key, Now: 1, NowSeq: seq, Below: seq, Seq: seq, Want: 2, Zone: "zone"}, limit)
			}
		})
	}
}

// BenchmarkTake measures the use of a token that the node holds.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	cache := NewCache(now)
	key := Key{Customer: "amis", Route: testRoute}
	cache.entries[key] = &entry{expires: now.Add(time.Hour), tokens: 1 << 60, updated: now}
	b.ReportAllocs()
	for b.Loop() {
		cache.Take(now, key, Limit{})
	}
}

// BenchmarkMemoryPerKey measures the memory per key in a node's cache and in an
// allocator, with four nodes that hold tokens.
func BenchmarkMemoryPerKey(b *testing.B) {
	const keys = 10000
	for b.Loop() {
		var before, between, after runtime.MemStats
		now := time.Unix(1000, 0)
		runtime.GC()
		runtime.ReadMemStats(&before)
		cache := NewCache(now)
		for i := range keys {
			cache.Take(now, Key{Customer: strconv.Itoa(i), Route: testRoute}, Limit{})
		}
		runtime.GC()
		runtime.ReadMemStats(&between)
		a := NewAllocator(1, now)
		for i := range keys {
			for n := range byte(4) {
				a.GrantTokens(now, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1), &Ask{Key: Key{Customer: strconv.Itoa(i), Route: testRoute}, Seq: 1, Want: 1, Zone: "zone"}, Limit{Burst: 100, Rate: 100})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(between.HeapAlloc-before.HeapAlloc)/keys, "B/key-node")
		b.ReportMetric(float64(after.HeapAlloc-between.HeapAlloc)/keys, "B/key-allocator")
		runtime.KeepAlive(cache)
		runtime.KeepAlive(a)
	}
}

// BenchmarkAskSize measures the encoded size of an Ask and its answer, with
// their frames.
func BenchmarkAskSize(b *testing.B) {
	size := 0
	for b.Loop() {
		ask, err := wire.Encode(Ask{Below: 1 << 60, Held: 3, Key: Key{Customer: "customer-1", Route: "POST /ledger/transfers"}, Now: 1, NowSeq: 1 << 60, Seq: 1 << 60, Want: 4, Zone: "zone1"})
		assert.NilError(b, err)
		request, err := wire.Encode(wire.Frame{Body: ask, ID: 1000, Kind: wire.KindAsk})
		assert.NilError(b, err)
		grant, err := wire.Encode(Grant{Held: 4, Now: 1, Term: 7})
		assert.NilError(b, err)
		answer, err := wire.Encode(wire.Frame{Answer: true, Body: grant, ID: 1000})
		assert.NilError(b, err)
		size = len(request) + len(answer)
	}
	b.ReportMetric(float64(size), "B/ask")
}
