package member

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// TestZonePulls guards against a configuration that crosses availability zones once for
// each node instead of a few times for each zone. Traffic between zones is charged.
func TestZonePulls(t *testing.T) {
	const size = 100 << 10
	for _, c := range []struct {
		name    string
		sources []string // zones in which one node reads the change from the platform
		// maxCrossings is the maximum number of copies of the configuration that cross
		// zones.
		maxCrossings int64
		within       time.Duration
	}{
		{"a node of each zone reads the change", []string{"zone0", "zone1", "zone2"}, 0, time.Second},
		{"a node of one zone reads the change", []string{"zone0"}, 20, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newCluster(ctx, t, 195)
				time.Sleep(20 * time.Second)
				var crossings atomic.Int64
				s.net.OnMessage(func(from, to netip.AddrPort, kind wire.Kind, bytes int) {
					fromZone, _ := s.nodes[0].table.Zone(from)
					toZone, _ := s.nodes[0].table.Zone(to)
					if kind == wire.KindPull && fromZone != toZone && bytes >= size {
						crossings.Add(1)
					}
				})
				for _, zone := range c.sources {
					source := s.zone(zone)[0]
					source.feeds[0].Apply(snaps.Delta{Objects: []store.Object{{Key: "x", Value: make([]byte, size), Version: 7}}, Revision: 7})
					go source.Announce(ctx)
				}
				time.Sleep(c.within)
				assert.Check(t, s.all(func(a *Agent) bool { return a.feeds[0].Snapshot().Revision() == 7 }), "not all nodes have the change after %v", c.within)
				assert.Check(t, crossings.Load() <= c.maxCrossings, "%d copies crossed zones, expected at most %d", crossings.Load(), c.maxCrossings)
				t.Logf("%d copies crossed zones", crossings.Load())
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestNewsCrossings guards against a record that crosses availability zones once for
// each node: while a large fleet starts, that is most of the traffic between zones.
func TestNewsCrossings(t *testing.T) {
	for _, c := range []struct {
		nodes        int
		maxCrossings int64
	}{
		{12, 60},
		{195, 100},
	} {
		t.Run(strconv.Itoa(c.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newCluster(ctx, t, c.nodes)
				time.Sleep(20 * time.Second)
				var crossings atomic.Int64
				s.net.OnMessage(func(from, to netip.AddrPort, kind wire.Kind, _ int) {
					fromZone, _ := s.nodes[0].table.Zone(from)
					toZone, _ := s.nodes[0].table.Zone(to)
					if kind == wire.KindNews && fromZone != toZone {
						crossings.Add(1)
					}
				})
				known := s.trigger(ctx, "node drains")
				time.Sleep(time.Second)
				assert.Check(t, s.all(known), "not all nodes know that a node drains")
				assert.Check(t, crossings.Load() <= c.maxCrossings, "the record crossed zones %d times, expected at most %d", crossings.Load(), c.maxCrossings)
				t.Logf("the record crossed zones %d times", crossings.Load())
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}
