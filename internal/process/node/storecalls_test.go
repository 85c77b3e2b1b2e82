package node

import (
	"context"
	"encoding/csv"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/crash"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/request/relay"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/admin"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestStoreCalls runs the cases of testdata/storecalls.csv in virtual time. Each case
// starts a fleet, triggers an event and counts the calls to the platform's store, each
// of which is charged. It guards against calls whose number grows with that of the
// nodes, and against nodes that do not get the catalog.
func TestStoreCalls(t *testing.T) {
	in, err := os.Open("testdata/storecalls.csv")
	assert.NilError(t, err)
	defer in.Close()
	records, err := csv.NewReader(in).ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		nodes, err := strconv.Atoi(record[1])
		assert.NilError(t, err)
		maxCalls, err := strconv.ParseFloat(record[2], 64)
		assert.NilError(t, err)
		t.Run(record[0]+" "+record[1], func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runStoreCalls(t, record[0], nodes, maxCalls) })
		})
	}
}

// callFleet is a fleet of nodes that follow a platform, without networks and requests.
type callFleet struct {
	addresses []netip.AddrPort
	cancel    context.CancelFunc
	cancels   []context.CancelFunc // by node
	net       *mesh.Network
	nodes     []*Node
	platform  *objapi.Server
	stores    []*objapi.MemoryStore
}

const (
	fleetZones        = 5
	catalogKey        = "config/main"
	evacuationsPrefix = "evacuations/"
)

// newCallFleet returns a fleet of which no node runs yet.
func newCallFleet(size int) *callFleet {
	f := &callFleet{net: mesh.NewNetwork(time.Millisecond), platform: objapi.New()}
	for i := range size {
		f.addresses = append(f.addresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i / 250), byte(i%250 + 1)}), 8001))
	}
	return f
}

// runStoreCalls starts a fleet, triggers the event and checks the calls made during it
// and that all nodes then have the latest catalog.
func runStoreCalls(t *testing.T, event string, size int, maxCalls float64) {
	f := newCallFleet(size)
	operator := f.platform.NewMemoryStore()
	version, err := operator.Put(t.Context(), catalogKey, []byte("1"), 0)
	assert.NilError(t, err)
	f.start(t, true)
	if event != "first start" {
		time.Sleep(20 * time.Second)
	}
	before := cost(f.platform.Counts())
	want := version
	switch event {
	case "first start":
		time.Sleep(10 * time.Second)
	case "calm minute":
		time.Sleep(time.Minute)
	case "outage":
		f.platform.SetFaults(objapi.Faults{Down: true})
		time.Sleep(10 * time.Second)
		f.platform.SetFaults(objapi.Faults{})
		time.Sleep(5 * time.Second)
	case "a third refused":
		f.refuseThird(true)
		time.Sleep(10 * time.Second)
		f.refuseThird(false)
		time.Sleep(5 * time.Second)
	case "lost history":
		for range 10 {
			want, err = operator.Put(t.Context(), catalogKey, []byte("2"), want)
			assert.NilError(t, err)
			f.platform.SetFaults(objapi.Faults{Forget: want})
			time.Sleep(time.Second)
		}
		f.platform.SetFaults(objapi.Faults{})
		time.Sleep(2 * time.Second)
	case "restart of all":
		f.stop()
		f.start(t, false)
		time.Sleep(10 * time.Second)
	default:
		t.Fatalf("unknown event %q", event)
	}
	calls := cost(f.platform.Counts()) - before
	for _, n := range f.nodes {
		assert.Check(t, n.catalog.Object(catalogKey).Version == want, "%v has version %d of the catalog, expected %d", n.table.Self().Peers, n.catalog.Object(catalogKey).Version, want)
	}
	t.Logf("%.1f calls, counting a stale read as a tenth; in all %+v", calls, f.platform.Counts())
	assert.Check(t, calls <= maxCalls, "%.1f calls, expected at most %.1f", calls, maxCalls)
	f.stop()
}

// cost returns the number of calls that the platform charges, of which a stale read is
// a tenth. Refused calls are charged as others.
func cost(c objapi.Counts) float64 {
	return float64(c.Reads+c.Refused+c.Watches+c.Writes) + 0.1*float64(c.StaleReads+c.StaleRefused)
}

// refuseThird sets whether the platform refuses the calls of each third node.
func (f *callFleet) refuseThird(refused bool) {
	for i, s := range f.stores {
		s.SetUnreachable(refused && i%3 == 0)
	}
}

// start starts all nodes within 300 ms.
func (f *callFleet) start(t *testing.T, first bool) {
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	f.cancels = make([]context.CancelFunc, len(f.addresses))
	f.nodes = make([]*Node, len(f.addresses))
	f.stores = make([]*objapi.MemoryStore, len(f.addresses))
	for i, address := range f.addresses {
		f.startNode(ctx, i, &setup.Settings{FirstStart: first, Peers: address, Secret: &fleet.Secret{}, Zone: fmt.Sprintf("zone%d", i%fleetZones)})
		time.Sleep(300 * time.Millisecond / time.Duration(len(f.addresses)))
	}
}

// startNode starts a node.
func (f *callFleet) startNode(ctx context.Context, i int, settings *setup.Settings) {
	ctx, f.cancels[i] = context.WithCancel(ctx)
	f.stores[i] = f.platform.NewMemoryStore()
	n := newFollowingNode(ctx, f.net.AddNode(settings.Peers), f.stores[i], settings)
	f.nodes[i] = n
	for _, loop := range []func(context.Context){n.agent.Run, n.crashes.Run, n.followAll, n.maintainSeeds, n.openGate, n.quota.Run, n.saver.Run} {
		go loop(ctx)
	}
}

// stop stops all nodes and waits until they have ended.
func (f *callFleet) stop() {
	f.cancel()
	for _, address := range f.addresses {
		f.net.Remove(address)
	}
	time.Sleep(time.Minute)
}

// newFollowingNode returns a Node that has the parts that follow the platform.
func newFollowingNode(ctx context.Context, net *mesh.Node, platform store.Store, settings *setup.Settings) *Node {
	n := &Node{
		catalog:      snaps.NewHolder(snaps.WithCatalog(catalogKey, decodeVersion)),
		catalogKey:   catalogKey,
		ctx:          ctx,
		log:          zerolog.Nop(),
		secretStored: true,
		store:        store.NewCounted(platform),
		table:        member.NewTable(time.Now(), member.Record{Peers: settings.Peers, Readiness: member.Ready, Service: "ledger", Zone: settings.Zone}),
		zones:        snaps.NewHolder(snaps.WithEvacuations(evacuationsPrefix)),
	}
	n.settings.Store(settings)
	n.config = snaps.NewHolder(snaps.WithChanged(func() { n.applyCrashes(time.Now()) }))
	n.gate = gates.NewGate(gates.Static(1))
	n.relay = relay.New(relay.Options{})
	n.upstream = newUpstream(n.gate, 24*time.Hour, n.coldStart)
	n.upstream.announce(time.Now(), admin.Announcement{Born: time.Now(), Instance: "i-1", Sequence: 1, Service: "ledger"}, false)
	n.saver = crash.NewSaver(settings.Zone, n.store, n.storedCrashes, n.log)
	n.crashes = crash.NewAgent(net, n.table, n.log, crash.WithSaver(n.saver))
	n.gate.SetClosed(!n.knowsStart())
	n.feeds = []feed{
		{holder: n.config, prefix: kinds.Root, wait: pollWait, watchers: watchersPerZone},
		{checked: true, holder: n.catalog, prefix: "config/", wait: pollWait, watchers: watchersPerZone},
		{firstStartDelay: evacuationsDelay, holder: n.zones, prefix: evacuationsPrefix, wait: evacuationsPollWait, watchers: watchersPerZone},
	}
	n.agent = member.NewAgent(net, n.table, n.log, n.config, n.catalog, n.zones)
	n.agent.Share(n.crashes)
	n.quota = quota.NewClient(time.Now(), quota.Options{
		Config: n.config, Limits: func(quota.Key) (quota.Limit, bool) { return quota.Limit{}, false }, Log: n.log, Mesh: net,
		Self: settings.Peers, Shards: 1, Store: n.store, Table: n.table, Zone: settings.Zone, Zones: []string{"zone0", "zone1", "zone2", "zone3", "zone4"},
	})
	return n
}

// decodeVersion decodes a catalog that is only its version, as decimal digits.
func decodeVersion(value []byte) (*rows.Catalog, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	return &rows.Catalog{Version: version}, err
}

// TestSecretStale guards against a second secret: a node whose stale read does not find
// the secret must not replace it.
func TestSecretStale(t *testing.T) {
	platform := objapi.New()
	net := mesh.NewNetwork(0)
	newNode := func(port uint16) *Node {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
		return newFollowingNode(t.Context(), net.AddNode(address), platform.NewMemoryStore(), &setup.Settings{Peers: address, Secret: &fleet.Secret{}, Zone: "zone0"})
	}
	first, second := newNode(1), newNode(2)
	found, err := first.readSecret(t.Context(), true)
	assert.NilError(t, err)
	assert.Check(t, found)
	platform.SetFaults(objapi.Faults{StaleEmpty: true})
	found, err = second.readSecret(t.Context(), false)
	assert.NilError(t, err)
	assert.Check(t, !found, "the node must not create the secret yet")
	found, err = second.readSecret(t.Context(), true)
	assert.NilError(t, err)
	assert.Check(t, found)
	assert.Equal(t, second.settings.Load().Secret.Text(), first.settings.Load().Secret.Text())
}

// TestMissedChange guards against a catalog that stays old while a long poll waits, as
// the platform may drop the history with the change. The read during the poll reveals
// it; a read that fails ends the poll as well, so that another node takes over.
func TestMissedChange(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(t *testing.T, platform *objapi.Server, own *objapi.MemoryStore)
		want string
	}{
		{"nothing", func(*testing.T, *objapi.Server, *objapi.MemoryStore) {}, ""},
		{"change", func(t *testing.T, platform *objapi.Server, _ *objapi.MemoryStore) {
			_, err := platform.NewMemoryStore().Put(t.Context(), catalogKey, []byte("2"), 0)
			assert.NilError(t, err)
		}, store.ErrGone.Error()},
		{"refused", func(_ *testing.T, _ *objapi.Server, own *objapi.MemoryStore) { own.SetUnreachable(true) }, "does not answer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := objapi.New()
				own := platform.NewMemoryStore()
				address := netip.MustParseAddrPort("127.0.0.1:1")
				n := newFollowingNode(t.Context(), mesh.NewNetwork(0).AddNode(address), deafStore{own}, &setup.Settings{Peers: address, Zone: "zone0"})
				time.AfterFunc(100*time.Millisecond, func() { c.do(t, platform, own) })
				start := time.Now()
				_, err := n.watch(t.Context(), n.feeds[1], store.Position{})
				if c.want == "" {
					assert.NilError(t, err)
					return
				}
				assert.ErrorContains(t, err, c.want)
				assert.Check(t, time.Since(start) <= checkInterval+answerTimeout, "after %v", time.Since(start))
			})
		})
	}
}

// deafStore is a Store whose long polls miss all changes.
type deafStore struct {
	store.Store
}

// Watch implements store.Store.
func (s deafStore) Watch(ctx context.Context, _ string, from uint64, wait time.Duration) (store.Listing, error) {
	return store.Listing{Revision: from}, pause.For(ctx, wait)
}
