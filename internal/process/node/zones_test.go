package node

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/admin"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// newZoneNode returns a Node in zone "a" that follows a catalog and evacuations and has an
// upstream. It does not run.
func newZoneNode(t *testing.T) *Node {
	t.Helper()
	address := netip.MustParseAddrPort("127.0.0.1:1")
	decode := func([]byte) (*rows.Catalog, error) {
		return &rows.Catalog{Services: []rows.ServiceInfo{{ColdRate: 18, ColdTime: 3 * time.Second, Name: "ledger"}}, Version: 1}, nil
	}
	n, err := New(&setup.Settings{Expiry: time.Minute, Peers: address, Secret: &fleet.Secret{}, Service: "ledger", Zone: "a", Zones: []string{"a", "b"}}, "", zerolog.Nop(), objapi.New().NewMemoryStore(),
		WithCatalog("config/", catalogKey, decode), WithEvacuations(evacuationsPrefix))
	assert.NilError(t, err)
	n.catalog.Apply(snaps.Delta{Objects: []store.Object{{Key: catalogKey, Value: []byte("{}"), Version: 1}}, Revision: 1})
	n.Announce(time.Now(), admin.Announcement{Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: time.Now(), Instance: "i-1", Sequence: 1, Service: "ledger", Slots: 30})
	return n
}

// TestGateOfEvacuatedZone guards against requests to an upstream whose availability zone is
// evacuated, or may be, and against a rush on it afterwards, when it may be cold.
func TestGateOfEvacuatedZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newZoneNode(t)
		defer n.cancel()
		evacuation := func(zone string, version uint64, value []byte) {
			n.zones.Apply(snaps.Delta{From: version - 1, Objects: []store.Object{{Key: evacuationsPrefix + zone, Value: value, Version: version}}, Revision: version})
		}
		check := func(name string, closed bool, cold time.Duration, zones int) {
			t.Helper()
			assert.Equal(t, n.gate.Closed(), closed, name)
			assert.Equal(t, n.gate.ColdFor(time.Now()), cold, name)
			assert.Equal(t, len(n.status(time.Now()).Evacuated), zones, name)
		}
		check("evacuations not known yet", true, 0, 0)
		n.zones.Apply(snaps.Delta{Revision: 1})
		check("crashes not known yet", true, 0, 0)
		n.config.Apply(snaps.Delta{Revision: 1})
		check("none", false, 0, 0)
		evacuation("b", 2, []byte("{}"))
		check("another zone", false, 0, 1)
		evacuation("a", 3, []byte("{}"))
		check("the own zone", true, 0, 2)
		began := n.status(time.Now()).Evacuated["a"]
		time.Sleep(time.Second)
		evacuation("b", 4, nil)
		check("another zone ended", true, 0, 1)
		assert.Equal(t, n.status(time.Now()).Evacuated["a"], began)
		evacuation("a", 5, nil)
		check("the own zone ended", false, 3*time.Second, 0)
		time.Sleep(time.Second)
		n.Announce(time.Now(), admin.Announcement{Address: netip.MustParseAddrPort("10.0.0.1:80"), Born: time.Now().Add(-time.Second), Instance: "i-1", Sequence: 2, Service: "ledger", Slots: 30})
		check("warm by its report", false, 0, 0)
	})
}

// TestGateOpensWithoutStore guards against a node that never serves because neither the
// platform nor a peer tells which availability zones are evacuated.
func TestGateOpensWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newZoneNode(t)
		defer n.cancel()
		go n.openGate(n.ctx)
		time.Sleep(startWait - time.Millisecond)
		assert.Check(t, n.gate.Closed())
		time.Sleep(2 * time.Millisecond)
		assert.Check(t, !n.gate.Closed())
	})
}
