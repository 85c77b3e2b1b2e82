package relay

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// TestCandidates runs the cases of testdata/candidates.csv: the zones of nodes whose
// upstreams serve a service, those that are evacuated, and the regions in which the route
// and the customer allow requests. Zone z is in no known region. It guards against calls to
// upstreams in evacuated zones or other regions, and against a refusal that does not tell
// why there are no others.
func TestCandidates(t *testing.T) {
	steps.Cases(t, "testdata/candidates.csv", func(t *testing.T, record []string) {
		now := time.Unix(1000, 0)
		self := member.Record{Peers: netip.MustParseAddrPort("10.0.0.1:1"), Readiness: member.Absent, Zone: "a"}
		table := member.NewTable(now, self)
		for i, zone := range strings.Fields(record[1]) {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 1)
			table.Merge(now, []member.Record{{Health: member.Alive, Incarnation: 1, Peers: address, Readiness: member.Ready, Service: "ledger", Zone: zone}})
		}
		zones := snaps.NewHolder(snaps.WithEvacuations("evacuations/"))
		delta := snaps.Delta{Revision: 10}
		for i, zone := range strings.Fields(record[2]) {
			delta.Objects = append(delta.Objects, store.Object{Key: "evacuations/" + zone, Value: []byte("{}"), Version: uint64(i + 1)})
		}
		zones.Apply(delta)
		r := &Relay{Options: Options{Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, Table: table, Zones: zones}}
		nodes, refusal := r.candidates("ledger", intersectRegions(strings.Fields(record[3]), strings.Fields(record[4])))
		var got []string
		for _, n := range nodes {
			got = append(got, n.Zone)
		}
		assert.Equal(t, strings.Join(got, " "), record[5])
		if record[6] == "" {
			assert.Check(t, refusal == nil)
			return
		}
		assert.Equal(t, refusal.Ran, refuse.NotRun)
		assert.Equal(t, string(refusal.Cause)+": "+refusal.Detail, record[6])
	})
}
