package node

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// TestUpstream guards against wrong states of the upstream when its announcements
// and deregistrations, or the failures of requests to it, arrive late, twice or out of
// order. Each step applies one of them and checks whether it was accepted and the
// resulting readiness.
func TestUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	born := func(s int) time.Time { return time.Unix(int64(900+s), 0) }
	u := newUpstream(gates.NewGate(gates.NewGradient()), 10*time.Second, func(string) gates.ColdStart { return gates.ColdStart{} })
	announce := func(instance string, bornAt time.Time, sequence uint64, draining bool) func(time.Time) bool {
		return func(now time.Time) bool {
			return u.announce(now, admin.Announcement{
				Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: bornAt, Draining: draining,
				Instance: instance, Sequence: sequence, Service: "ledger", Slots: 30,
			}, false) == accepted
		}
	}
	deregister := func(instance string, bornAt time.Time) func(time.Time) bool {
		return func(now time.Time) bool {
			u.deregister(now, instance, bornAt)
			return true
		}
	}
	leave := func(instance string) func(time.Time) bool {
		return func(now time.Time) bool {
			u.MarkLeaving(now, instance)
			return true
		}
	}
	down := func(instance string) func(time.Time) bool {
		return func(time.Time) bool {
			u.MarkDown(instance)
			return true
		}
	}
	noEvent := func(time.Time) bool { return true }
	for _, c := range []struct {
		name     string
		after    time.Duration
		do       func(now time.Time) bool
		accepted bool
		want     member.Readiness
	}{
		{"first announcement", 0, announce("a", born(1), 1, false), true, member.Ready},
		{"duplicate announcement", time.Second, announce("a", born(1), 1, false), false, member.Ready},
		{"announcement that it is draining", 2 * time.Second, announce("a", born(1), 2, true), true, member.Draining},
		{"announcement older than the last one", 2 * time.Second, announce("a", born(1), 1, false), false, member.Draining},
		{"later announcement does not revoke draining", 3 * time.Second, announce("a", born(1), 3, false), true, member.Draining},
		{"another instance at the same address", 4 * time.Second, announce("b", born(4), 1, false), true, member.Ready},
		{"late announcement of the earlier instance", 5 * time.Second, announce("a", born(1), 9, true), false, member.Ready},
		{"late deregistration of the earlier instance", 5 * time.Second, deregister("a", born(1)), true, member.Ready},
		{"deregistration without a previous draining announcement", 6 * time.Second, deregister("b", time.Time{}), true, member.Draining},
		{"announcement of a deregistered start", 7 * time.Second, announce("b", born(4), 2, false), false, member.Draining},
		{"new start with the same instance ID", 8 * time.Second, announce("b", born(8), 1, false), true, member.Ready},
		{"response of an earlier instance that it leaves", 8 * time.Second, leave("a"), true, member.Ready},
		{"failed request to an earlier instance", 8 * time.Second, down("a"), true, member.Ready},
		{"response that it leaves", 9 * time.Second, leave("b"), true, member.Draining},
		{"later announcement does not revoke leaving", 9 * time.Second, announce("b", born(8), 2, false), true, member.Draining},
		{"failed request", 10 * time.Second, down("b"), true, member.Absent},
		{"announcement after the failed request", 11 * time.Second, announce("b", born(8), 3, false), true, member.Draining},
		{"announcement has expired", 21 * time.Second, noEvent, true, member.Absent},
		{"deregistration of an instance that has not announced itself", 21 * time.Second, deregister("c", born(20)), true, member.Absent},
		{"late announcement of that instance", 22 * time.Second, announce("c", born(20), 1, false), false, member.Absent},
	} {
		now := start.Add(c.after)
		assert.Equal(t, c.do(now), c.accepted, c.name)
		_, readiness := u.state(now)
		assert.Equal(t, readiness, c.want, c.name)
	}
}

// TestUpstreamAcceptsQueued guards against requests that wait for a slot at a start of the
// upstream and are sent to it after it has left, or to another start in its place.
func TestUpstreamAcceptsQueued(t *testing.T) {
	start := time.Unix(1000, 0)
	u := newUpstream(gates.NewGate(gates.NewGradient()), 10*time.Second, func(string) gates.ColdStart { return gates.ColdStart{} })
	announce := func(instance string, sequence uint64, draining bool) func(time.Time) {
		return func(now time.Time) {
			u.announce(now, admin.Announcement{Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: start, Draining: draining, Instance: instance, Sequence: sequence, Service: "ledger"}, false)
		}
	}
	none := func(time.Time) {}
	for _, c := range []struct {
		name  string
		after time.Duration
		do    func(now time.Time)
		want  bool
	}{
		{"ready", 0, announce("a", 1, false), true},
		{"begins to drain", time.Second, announce("a", 2, true), true},
		{"says again that it drains", 1500 * time.Millisecond, announce("a", 3, true), true},
		{"still serves", time.Second + queuedDrainTime - 1, none, true},
		{"has drained", time.Second + queuedDrainTime, none, false},
		{"another start", 4 * time.Second, announce("b", 1, false), false},
		{"the earlier ID again", 5 * time.Second, announce("a", 4, false), true},
		{"leaves by its response", 6 * time.Second, func(now time.Time) { u.MarkLeaving(now, "a") }, true},
		{"deregisters", 6500 * time.Millisecond, func(now time.Time) { u.deregister(now, "a", time.Time{}) }, true},
		{"has left", 6*time.Second + queuedDrainTime, none, false},
		{"down", 8 * time.Second, func(time.Time) { u.MarkDown("a") }, false},
	} {
		now := start.Add(c.after)
		c.do(now)
		assert.Equal(t, u.Accepts(now, "a"), c.want, c.name)
	}
}

// TestUpstreamCold guards against requests at the rate of a warm upstream while the
// upstream is cold, or may be: after each start, when it says so, and before the catalog
// tells what cold upstreams take.
func TestUpstreamCold(t *testing.T) {
	start := time.Unix(1000, 0)
	born := func(s int) time.Time { return time.Unix(int64(900+s), 0) }
	catalog := gates.ColdStart{}
	gate := gates.NewGate(gates.NewGradient())
	u := newUpstream(gate, 10*time.Second, func(string) gates.ColdStart { return catalog })
	announce := func(instance string, bornAt time.Time, sequence uint64, cold time.Duration) func(time.Time) {
		return func(now time.Time) {
			u.announce(now, admin.Announcement{
				Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: bornAt, Cold: cold, Instance: instance, Sequence: sequence, Service: "ledger", Slots: 30,
			}, false)
		}
	}
	probe := func(instance string, cold time.Duration) func(time.Time) {
		return func(now time.Time) { u.observeProbe(now, admin.Announcement{Cold: cold, Instance: instance}) }
	}
	down := func(time.Time) { u.MarkDown(u.announcement().Instance) }
	for _, c := range []struct {
		name  string
		after time.Duration
		do    func(now time.Time)
		want  time.Duration
	}{
		{"cold before the catalog is known", 0, announce("a", born(1), 1, 2*time.Second), 0},
		{"catalog arrives", 500 * time.Millisecond, func(now time.Time) {
			catalog = gates.ColdStart{PerSecond: 18, Time: 3 * time.Second}
			u.refreshCold(now)
		}, 1500 * time.Millisecond},
		{"announcement that it is warm", time.Second, announce("a", born(1), 2, 0), 0},
		{"catalog changes", 1100 * time.Millisecond, u.refreshCold, 0},
		{"announcement that it is cold again", 2 * time.Second, announce("a", born(1), 3, time.Second), time.Second},
		{"late announcement from before that", 2 * time.Second, announce("a", born(1), 2, 0), time.Second},
		{"announcement that does not tell", 2500 * time.Millisecond, announce("a", born(1), 4, admin.ColdUnknown), 500 * time.Millisecond},
		{"longer than its service's upstreams are cold", 3 * time.Second, announce("a", born(1), 5, time.Hour), 3 * time.Second},
		{"warm early", 3500 * time.Millisecond, announce("a", born(1), 6, 0), 0},
		{"crash", 4 * time.Second, down, 0},
		{"return without telling whether it is cold", 5 * time.Second, announce("b", born(5), 1, admin.ColdUnknown), 3 * time.Second},
		{"health check of an earlier instance", 6 * time.Second, probe("a", 0), 2 * time.Second},
		{"health check that does not tell", 6 * time.Second, probe("b", admin.ColdUnknown), 2 * time.Second},
		{"health check", 6 * time.Second, probe("b", time.Second), time.Second},
		{"warm", 8 * time.Second, announce("b", born(5), 2, 0), 0},
		{"new start under the same ID that does not tell", 9 * time.Second, announce("b", born(9), 1, admin.ColdUnknown), 3 * time.Second},
		{"end of an evacuation", 20 * time.Second, u.expectCold, 3 * time.Second},
		{"announcement after it", 21 * time.Second, announce("b", born(9), 2, 0), 0},
	} {
		now := start.Add(c.after)
		c.do(now)
		assert.Equal(t, gate.ColdFor(now), c.want, c.name)
	}
}
