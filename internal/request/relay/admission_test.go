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

// fakeAdmitter is an Admitter that admits a fixed number of requests.
type fakeAdmitter struct{ left int }

// Admit implements Admitter.
func (a *fakeAdmitter) Admit(context.Context, time.Time, quota.Key, quota.Limit, time.Duration) *refuse.Refusal {
	if a.left == 0 {
		return refuse.New(refuse.RateExceeded, time.Second, "")
	}
	a.left--
	return nil
}

// TestAdmitCaller guards against refused requests that use up the rate or the
// concurrency limit, as happens when callers of an overloaded service retry. A
// request refused for overload must not use the customer's rate, and one refused
// by the rate must not stay in flight.
func TestAdmitCaller(t *testing.T) {
	r := newRelay(t, netip.AddrPort{}, netip.AddrPort{})
	r.Catalog = snaps.NewHolder()
	admitter := &fakeAdmitter{left: 2}
	r.Admitter = admitter
	// A limit below one request admits one with a probability. It always does here.
	r.admission = admit.New(admit.WithRandom(func() float64 { return 0 }))
	p := &policy{importance: 7, limit: quota.Limit{Burst: 2, Rate: 1}, objective: time.Second, route: "browse"}
	now := time.Now()
	doneFirst, refusal := r.admitCaller(t.Context(), now, p)
	assert.Check(t, refusal == nil)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		r.admission.Observe(now, p.route, admit.Observation{Wait: time.Second})
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
