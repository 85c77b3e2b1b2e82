package cmdln

import (
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wasabibend/wasabibend/pkg/admin"
)

// TestPrintStatus guards against a status that does not show which nodes have not taken
// the newest version of the settings file, and why, or which nodes are behind in a store
// that was restored from an older copy, or do not know of an evacuation, or which values of
// the configuration could not be applied.
func TestPrintStatus(t *testing.T) {
	loaded := time.Unix(1000, 0)
	node := func(n byte, settings admin.Settings) nodeStatus {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 8003)
		return nodeStatus{Node: address, Status: &admin.Status{AgeMS: 400, Limit: 30, Readiness: "Ready", Revision: 7, Service: "ledger", Settings: settings, Zone: "a"}}
	}
	restored := node(6, admin.Settings{Digest: "3f2a9c", LoadedAt: loaded.Add(time.Minute)})
	restored.Status.Era, restored.Status.Revision = 1, 5
	knowing, first := node(7, restored.Status.Settings), node(8, restored.Status.Settings)
	knowing.Status.Evacuated = map[string]time.Time{"a": loaded.Add(time.Second), "b": loaded}
	first.Status.Evacuated = map[string]time.Time{"a": loaded}
	first.Status.Problems = []string{`routes[3] "browse": timeout_ms: "soon" is not a number, counts as left out`}
	var out strings.Builder
	if err := printStatus(&console{out: &out}, []nodeStatus{
		node(1, admin.Settings{Digest: "3f2a9c", LoadedAt: loaded.Add(time.Minute)}),
		node(2, admin.Settings{Digest: "81d0e2", LoadedAt: loaded}),
		node(3, admin.Settings{Digest: "81d0e2", LoadedAt: loaded, Rejected: "Drain: want a duration"}),
		node(4, admin.Settings{Digest: "77aa01", LoadedAt: loaded.Add(time.Second), Pending: []string{"Expiry", "Zones"}}),
		{Node: netip.MustParseAddrPort("10.0.0.5:8003"), Error: "10.0.0.5:8003 does not answer"},
		restored,
		knowing,
		first,
	}); err != nil {
		t.Fatal(err)
	}
	const file = "testdata/status.txt"
	if *update {
		if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", out.String(), want)
	}
}
