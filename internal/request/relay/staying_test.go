package relay

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// TestStoppingEntryPrefersStaying guards against a request of the first seconds of a planned
// stop that fails because the entry sends it to a node that stops earlier.
func TestStoppingEntryPrefersStaying(t *testing.T) {
	steps.Cases(t, "testdata/staying.csv", func(t *testing.T, record []string) {
		now := time.Now()
		self := netip.MustParseAddrPort("10.0.0.1:1")
		r := newRelay(t, self, netip.AddrPort{})
		names := map[netip.AddrPort]string{}
		var tried []netip.AddrPort
		for i, name := range strings.Fields(record[2]) {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
			stops := strings.HasSuffix(name, "!")
			if strings.HasPrefix(name, "self") {
				address = self
				r.Table.SetSelf(now, "ledger", member.Ready)
				if stops {
					r.Table.SetSelfLeaving(now)
				}
			} else {
				r.Table.Merge(now, []member.Record{{Health: member.Alive, Incarnation: 1, Leaving: stops, Peers: address, Readiness: member.Ready, Service: "ledger", Zone: "zone"}})
			}
			names[address] = name
			if slices.Contains(strings.Fields(record[3]), name) {
				tried = append(tried, address)
			}
		}
		if record[1] == "stops" {
			r.FinishBy(now.Add(time.Minute), now.Add(time.Second))
		}
		nodes, refusal := r.candidates("ledger", nil)
		assert.Check(t, refusal == nil, "%v", refusal)
		got := map[string]bool{}
		for _, n := range r.preferStaying(nodes, tried) {
			got[names[n.Peers]] = true
		}
		want := map[string]bool{}
		for _, name := range strings.Fields(record[4]) {
			want[name] = true
		}
		assert.DeepEqual(t, got, want)
	})
}
