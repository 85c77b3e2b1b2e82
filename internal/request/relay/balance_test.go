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

// balanceCase is a service with an upstream in each of six nodes, the first three
// in the node's own availability zone, and the part of the calls that each fails.
type balancerCase struct {
	name         string
	failureRates [6]float64
	// mostFirst is the most that the first node gets of all calls, and leastNear
	// the least that the own availability zone gets.
	maxFirst, minNear float64
}

// TestBalanceFailing answers the pattern of an upstream that fails a part of its
// requests, or all, while its health check is good: calls go elsewhere, unless all
// fail alike, and come back when it is well.
func TestBalancerFailures(t *testing.T) {
	for _, c := range []balancerCase{
		{"one fails half", [6]float64{0.5}, 0.1, 0.99},
		{"one fails all", [6]float64{1}, 0.1, 0.99},
		{"all fail half", [6]float64{0.5, 0.5, 0.5, 0.5, 0.5, 0.5}, 0.75, 0.95},
		{"the own availability zone fails", [6]float64{1, 1, 1}, 0.15, 0},
		{"none fails", [6]float64{}, 0.5, 0.99},
	} {
		t.Run(c.name, func(t *testing.T) {
			counts := simulateCalls(c)
			near := counts[0] + counts[1] + counts[2]
			assert.Check(t, counts[0] <= c.maxFirst, "%v", counts)
			assert.Check(t, near >= c.minNear, "%v", counts)
		})
	}
}

// playBalance chooses nodes for 100 calls a second of 20 ms over ten seconds, and
// returns the part that each node got.
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
	balance := NewBalance(netip.AddrPort{}, "near")
	const calls = 1000
	var shares [6]float64
	var inFlight []netip.AddrPort
	for range calls {
		now = now.Add(10 * time.Millisecond)
		node, _ := balance.Choose(now, nodes, nil)
		balance.Begin(now, node)
		if inFlight = append(inFlight, node); len(inFlight) > 2 {
			done := inFlight[0]
			inFlight = inFlight[1:]
			i := int(done.Addr().As4()[3])
			balance.End(done)
			balance.Observe(now, done, gates.Load{InFlight: 10, Limit: 100})
			balance.Result(now, done, random.Float64() < c.failureRates[i])
			shares[i] += 1.0 / calls
		}
	}
	return shares
}
