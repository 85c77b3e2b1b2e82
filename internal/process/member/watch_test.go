package member

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// TestDelegate guards against two failures when the platform rejects the calls of
// nodes. If it rejects only the watching nodes, other nodes of the availability
// zone have to take over. If it rejects all nodes, only a few may call it, to
// spare the platform.
func TestDelegate(t *testing.T) {
	for _, c := range []struct {
		name string
		// rejects reports whether the platform rejects the calls of a node, given
		// its index among the nodes of the availability zone.
		rejects func(index int) bool
		// maxCalls is the maximum number of calls per second, on average.
		maxCalls float64
		// watched is true if a node that is not rejected must be watching at all
		// times, except in at most 3 of the seconds.
		watched bool
	}{
		{"the watching node", func(index int) bool { return index == 0 }, 3, true},
		{"the first three nodes", func(index int) bool { return index < 3 }, 5, true},
		{"all nodes", func(int) bool { return true }, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newCluster(ctx, t, 60)
				time.Sleep(20 * time.Second)
				zone := s.zone("zone0")
				const seconds = 20
				calls, unwatched := 0, 0
				for range seconds {
					watched := false
					for index, a := range zone {
						if !a.ShouldWatch(time.Now(), 1) {
							continue
						}
						calls++
						if c.rejects(index) {
							a.DelegateWatch(ctx, time.Now())
						} else {
							watched = true
						}
					}
					if !watched {
						unwatched++
					}
					time.Sleep(time.Second)
				}
				assert.Check(t, float64(calls) <= c.maxCalls*seconds, "%d calls in %d seconds, expected at most %v per second", calls, seconds, c.maxCalls)
				assert.Check(t, !c.watched || unwatched <= 3, "only rejected nodes or none watched in %d of %d seconds, expected at most 3", unwatched, seconds)
			})
		})
	}
}

// zone returns the agents of an availability zone in ring order, in which they take
// over watching.
func (s *cluster) zone(name string) []*Agent {
	var all []*Agent
	for _, r := range s.nodes[0].table.View().Zone(name, len(s.nodes)) {
		for _, a := range s.nodes {
			if a.table.Self().Peers == r.Peers {
				all = append(all, a)
			}
		}
	}
	return all
}

// TestAnnounceDuringPartition guards against a change that does not reach all nodes
// because an availability zone is cut off at the same moment. Its nodes are not yet
// known to be dead and break the ring, over which neighbours pass changes on. The
// nodes of the other zones must get the change within 200 ms all the same, before
// any node is suspected.
func TestAnnounceDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newCluster(ctx, t, 90)
		time.Sleep(20 * time.Second)
		for _, a := range s.nodes {
			for _, b := range s.nodes {
				if (a.table.Self().Zone == "zone2") != (b.table.Self().Zone == "zone2") {
					s.net.SetPartitioned(a.table.Self().Peers, b.table.Self().Peers, true)
				}
			}
		}
		for _, name := range []string{"zone0", "zone1"} {
			watcher := s.zone(name)[0]
			watcher.feeds[0].Apply(snaps.Delta{Objects: []store.Object{{Key: "x", Value: []byte("1"), Version: 7}}, Revision: 7})
			go watcher.Announce(ctx)
		}
		time.Sleep(200 * time.Millisecond)
		for _, name := range []string{"zone0", "zone1"} {
			for index, a := range s.zone(name) {
				assert.Check(t, a.feeds[0].Snapshot().Revision() == 7, "%s: node %d does not have the change", name, index)
			}
		}
	})
}

// TestAnnounceSilentNodes guards against changes that reach nodes late because others do
// not answer, as hosts that are down do where packets to them are dropped: a node must
// not wait for those before it pulls the next change. Hosts are restarted meanwhile, so
// that there are records to pass on. Half of the two seconds within which a change must
// be in force is left for finding it in the platform's store.
func TestAnnounceSilentNodes(t *testing.T) {
	const maxDelay = time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newCluster(ctx, t, 13)
		time.Sleep(20 * time.Second)
		zone := s.zone("zone0")
		watcher, silent, alive := zone[0], zone[len(zone)-1], zone[1:len(zone)-1]
		for _, a := range s.nodes {
			if a != silent {
				s.net.SetPartitioned(a.table.Self().Peers, silent.table.Self().Peers, true)
			}
		}
		go func() {
			for ready := Ready; ctx.Err() == nil; ready = Ready + Draining - ready {
				r, _ := alive[0].table.SetSelf(time.Now(), "ledger", ready)
				alive[0].QueueForNeighbours([]Record{r})
				time.Sleep(100 * time.Millisecond)
			}
		}()
		var worst time.Duration
		for version := uint64(1); version <= 30; version++ {
			watcher.feeds[0].Apply(snaps.Delta{From: version - 1, Objects: []store.Object{{Key: "x", Value: []byte("1"), Version: version}}, Revision: version})
			go watcher.Announce(ctx)
			changed := time.Now()
			for i := 0; i < len(alive); {
				if alive[i].feeds[0].Snapshot().Revision() >= version {
					i++
					continue
				}
				time.Sleep(10 * time.Millisecond)
			}
			worst = max(worst, time.Since(changed))
			time.Sleep(150 * time.Millisecond)
		}
		t.Logf("the slowest change reached all nodes after %v", worst)
		assert.Check(t, worst <= maxDelay, "a change reached all nodes only after %v", worst)
		cancel()
		time.Sleep(time.Minute)
	})
}
