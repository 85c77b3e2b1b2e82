package relay

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/admit"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// tokens is an Admitter with a number of tokens left.
type tokens struct{ left int }

// Admit implements Admitter.
func (a *tokens) Admit(context.Context, time.Time, quota.Key, quota.Limit, time.Duration) *refuse.Refusal {
	if a.left == 0 {
		return refuse.New(refuse.RateExceeded, time.Second, "")
	}
	a.left--
	return nil
}

// TestLetIn answers the pattern of a contended service in a surge, whose callers
// come back after a refusal: what is refused for want of room takes nothing of
// the customer's rate, and what is refused by the rate takes no room.
func TestAdmitCaller(t *testing.T) {
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.Catalog = snaps.NewHolder()
	admitter := &tokens{left: 2}
	r.Admitter = admitter
	p := &policy{importance: 7, limit: quota.Limit{Burst: 2, Rate: 1}, objective: time.Second, route: "browse"}
	now := time.Now()
	doneFirst, refusal := r.admitCaller(t.Context(), now, p)
	assert.Check(t, refusal == nil)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		r.admission.Observe(now, p.route, time.Second)
		if _, ok := r.admission.Enter(now, admit.Request{Importance: p.importance, Route: p.route}); ok {
			r.admission.Leave(now, p.route)
		}
	}
	_, refusal = r.admitCaller(t.Context(), now, p)
	assert.Equal(t, refusal.Cause, refuse.Overloaded)
	assert.Equal(t, admitter.left, 1)
	doneFirst()
	doneSecond, refusal := r.admitCaller(t.Context(), now, p)
	assert.Check(t, refusal == nil)
	doneSecond()
	_, refusal = r.admitCaller(t.Context(), now, p)
	assert.Equal(t, refusal.Cause, refuse.RateExceeded)
	assert.Equal(t, r.admission.State(now, p.route).InFlight, 0)
}
