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

// TestDelegate answers the pattern of a platform that turns nodes away: where it
// does so to the one that watches, others of its availability zone watch all the
// while; where it does so to all, only a few of them find that out.
func TestDelegate(t *testing.T) {
	for _, c := range []struct {
		name string
		// turnsAway reports whether the platform turns away a node, by its place
		// among those of an availability zone.
		turnsAway func(place int) bool
		// mostCalls is the most calls in a second, on average, and watched tells that
		// one that is not turned away must watch at any time.
		mostCalls float64
		watched   bool
	}{
		{"the one that watches", func(place int) bool { return place == 0 }, 3, true},
		{"the first three", func(place int) bool { return place < 3 }, 5, true},
		{"all", func(int) bool { return true }, 4, false},
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
					for place, a := range zone {
						if !a.Watches(time.Now(), 1) {
							continue
						}
						calls++
						if c.turnsAway(place) {
							a.Delegate(ctx, time.Now())
						} else {
							watched = true
						}
					}
					if !watched {
						unwatched++
					}
					time.Sleep(time.Second)
				}
				assert.Check(t, float64(calls) <= c.mostCalls*seconds, "%d calls", calls)
				assert.Check(t, !c.watched || unwatched <= 3, "nobody watched in %d of %d seconds", unwatched, seconds)
			})
		})
	}
}

// zone returns the agents of an availability zone in the order in which they are
// to watch.
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

// TestAnnounceInCut answers the pattern of a change at the moment at which an
// availability zone is cut off: the others know it before anybody can know that
// the nodes there are gone.
func TestAnnounceInCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newCluster(ctx, t, 90)
		time.Sleep(20 * time.Second)
		for _, a := range s.nodes {
			for _, b := range s.nodes {
				if (a.table.Self().Zone == "zone2") != (b.table.Self().Zone == "zone2") {
					s.net.Cut(a.table.Self().Peers, b.table.Self().Peers, true)
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
			for place, a := range s.zone(name) {
				assert.Check(t, a.feeds[0].Snapshot().Revision() == 7, "%s, place %d", name, place)
			}
		}
	})
}
