package relay

import (
	"encoding/csv"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// TestCandidates runs the cases of testdata/candidates.csv: the zones of nodes whose
// upstreams serve a service, and those that are evacuated. It guards against calls to
// upstreams in evacuated zones, and against a refusal that does not tell why there are no
// others.
func TestCandidates(t *testing.T) {
	in, err := os.Open("testdata/candidates.csv")
	assert.NilError(t, err)
	defer in.Close()
	records, err := csv.NewReader(in).ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		t.Run(record[0], func(t *testing.T) {
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
			r := &Relay{Options: Options{Table: table, Zones: zones}}
			nodes, evacuated := r.candidates("ledger")
			var got []string
			for _, n := range nodes {
				got = append(got, n.Zone)
			}
			assert.Equal(t, strings.Join(got, " "), record[3])
			assert.Equal(t, evacuated, record[4] == "true")
		})
	}
}
