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

// TestUpstream plays what an upstream says of itself, late and out of order, and
// checks what the node makes of it.
func TestUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	born := func(s int) time.Time { return time.Unix(int64(900+s), 0) }
	u := newUpstream(gates.NewGate(gates.NewGradient()), 10*time.Second)
	say := func(instance string, birth time.Time, sequence uint64, draining bool) func(time.Time) bool {
		return func(now time.Time) bool {
			return u.announce(now, admin.Announcement{
				Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: birth, Draining: draining,
				Instance: instance, Sequence: sequence, Service: "ledger", Slots: 30,
			})
		}
	}
	leave := func(instance string, birth time.Time) func(time.Time) bool {
		return func(time.Time) bool {
			u.depart(instance, birth)
			return true
		}
	}
	nothing := func(time.Time) bool { return true }
	for _, c := range []struct {
		name  string
		after time.Duration
		do    func(now time.Time) bool
		taken bool
		want  member.Readiness
	}{
		{"first word", 0, say("a", born(1), 1, false), true, member.Ready},
		{"same word again", time.Second, say("a", born(1), 1, false), false, member.Ready},
		{"leaves", 2 * time.Second, say("a", born(1), 2, true), true, member.Draining},
		{"overtaken word", 2 * time.Second, say("a", born(1), 1, false), false, member.Draining},
		{"a later word does not take the leaving back", 3 * time.Second, say("a", born(1), 3, false), true, member.Draining},
		{"another start at the address", 4 * time.Second, say("b", born(4), 1, false), true, member.Ready},
		{"late word of the earlier start", 5 * time.Second, say("a", born(1), 9, true), false, member.Ready},
		{"late farewell of the earlier start", 5 * time.Second, leave("a", born(1)), true, member.Ready},
		{"farewell without a word before", 6 * time.Second, leave("b", time.Time{}), true, member.Draining},
		{"word of a start that is gone", 7 * time.Second, say("b", born(4), 2, false), false, member.Draining},
		{"a new start under the same name", 8 * time.Second, say("b", born(8), 1, false), true, member.Ready},
		{"silence", 18 * time.Second, nothing, true, member.Absent},
		{"farewell of a start that was not heard of yet", 18 * time.Second, leave("c", born(20)), true, member.Absent},
		{"its late word", 19 * time.Second, say("c", born(20), 1, false), false, member.Absent},
	} {
		now := start.Add(c.after)
		assert.Equal(t, c.do(now), c.taken, c.name)
		_, readiness := u.state(now)
		assert.Equal(t, readiness, c.want, c.name)
	}
}
