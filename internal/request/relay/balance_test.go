package relay

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// balancerCase is a service with one upstream beside each of six nodes, the first
// three of them in the own availability zone.
type balancerCase struct {
	name         string
	failureRates [6]float64 // fraction of the calls that each upstream fails
	// maxFirst is the maximum fraction of the calls for the first node, and
	// minNear the minimum for the own availability zone.
	maxFirst, minNear float64
}

// TestBalancerFailures guards against an upstream that fails some or all of its
// requests but passes its health check, and so keeps getting calls. They must go to
// other upstreams, unless all fail at the same rate.
func TestBalancerFailures(t *testing.T) {
	for _, c := range []balancerCase{
		{"one fails half", [6]float64{0.5}, 0.1, 0.99},
		{"one fails all", [6]float64{1}, 0.1, 0.99},
		{"all fail half", [6]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5}, 0.75, 0.95},
		{"the own availability zone fails", [6]float64{1, 1, 1}, 0.15, 0},
		{"none fails", [6]float64{}, 0.5, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			shares := simulateCalls(c)
			near := shares[0] + shares[1] + shares[2]
			assert.Check(t, shares[0] <= c.maxFirst, "%v", shares)
			assert.Check(t, near >= c.minNear, "%v", shares)
		})
	}
}

// simulateCalls chooses nodes for calls of 20 ms at 100 per second over ten seconds,
// and returns the fraction of the calls that each node got.
func simulateCalls(c balancerCase) [6]float64 {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var nodes []member.Record
	for i := range c.failureRates {
		zone := "near"
		if i >= 3 {
			zone = "far"
		}
		nodes = append(nodes, member.Record{Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 1), Zone: zone})
	}
	balancer := NewBalancer(netip.AddrPort{}, "near")
	const calls = 1000
	var shares [6]float64
	var inFlight []netip.AddrPort
	for range calls {
		now = now.Add(10 * time.Millisecond)
		node, _ := balancer.Choose(now, nodes, nil)
		balancer.Begin(now, node)
		if inFlight = append(inFlight, node); len(inFlight) > 2 {
			done := inFlight[0]
			inFlight = inFlight[1:]
			i := int(done.Addr().As4()[3])
			balancer.End(done)
			balancer.Observe(now, done, gates.Load{InFlight: 10, Limit: 100})
			balancer.RecordResult(now, done, random.Float64() < c.failureRates[i])
			shares[i] += 1.0 / calls
		}
	}
	return shares
}
