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
// and deregistrations arrive late, twice or out of order. Each step applies one of
// them and checks whether it was accepted and the resulting readiness.
func TestUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	born := func(s int) time.Time { return time.Unix(int64(900+s), 0) }
	u := newUpstream(gates.NewGate(gates.NewGradient()), 10*time.Second)
	announce := func(instance string, bornAt time.Time, sequence uint64, draining bool) func(time.Time) bool {
		return func(now time.Time) bool {
			return u.announce(now, admin.Announcement{
				Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: bornAt, Draining: draining,
				Instance: instance, Sequence: sequence, Service: "ledger", Slots: 30,
			})
		}
	}
	deregister := func(instance string, bornAt time.Time) func(time.Time) bool {
		return func(time.Time) bool {
			u.deregister(instance, bornAt)
			return true
		}
	}
	leave := func(instance string) func(time.Time) bool {
		return func(time.Time) bool {
			u.MarkLeaving(instance)
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
		{"response that it leaves", 9 * time.Second, leave("b"), true, member.Draining},
		{"later announcement does not revoke leaving", 9 * time.Second, announce("b", born(8), 2, false), true, member.Draining},
		{"announcement has expired", 19 * time.Second, noEvent, true, member.Absent},
		{"deregistration of an instance that has not announced itself", 19 * time.Second, deregister("c", born(20)), true, member.Absent},
		{"late announcement of that instance", 20 * time.Second, announce("c", born(20), 1, false), false, member.Absent},
	} {
		now := start.Add(c.after)
		assert.Equal(t, c.do(now), c.accepted, c.name)
		_, readiness := u.state(now)
		assert.Equal(t, readiness, c.want, c.name)
	}
}
