package node

import (
	"bytes"
	"context"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// TestLogStoreEra guards against a restored store that leaves no trace in the logs.
func TestLogStoreEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := objapi.New()
		operator := platform.NewMemoryStore()
		version, err := operator.Put(t.Context(), catalogKey, []byte("1"), 0)
		assert.NilError(t, err)
		backup := platform.Copy()
		_, err = operator.Put(t.Context(), catalogKey, []byte("2"), version)
		assert.NilError(t, err)

		address := netip.MustParseAddrPort("127.0.0.1:1")
		n := newFollowingNode(t.Context(), mesh.NewNetwork(0).AddNode(address), platform.NewMemoryStore(), &setup.Settings{Peers: address, Zone: "zone0"})
		var logged bytes.Buffer
		n.log = zerolog.New(&logged)
		assert.NilError(t, n.poll(t.Context(), n.feeds[1]))
		platform.Restore(backup)
		for range 3 {
			assert.NilError(t, n.poll(t.Context(), n.feeds[1]))
			time.Sleep(time.Second)
		}
		assert.Equal(t, strings.Count(logged.String(), "restored from an older copy"), 1, logged.String())
	})
}

const (
	// configBound is the time within which a confirmed configuration must be in force.
	configBound = 2 * time.Second
	// stabilityWindow is the time after the end of a disruption during which the bounds
	// do not hold.
	stabilityWindow = 3 * time.Second
	// storeDelay is the time that the platform's store takes to answer.
	storeDelay = 4 * time.Millisecond
)

// TestStoreRestored runs the cases of testdata/restores.csv in virtual time. It guards
// against a configuration that is not in force, or comes back older, after the platform's
// store was restored from an older copy: the store then assigns revisions again that nodes
// have already seen.
func TestStoreRestored(t *testing.T) {
	steps.Cases(t, "testdata/restores.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runRestore(t, record) })
	})
}

// runRestore runs one record. Its fields are the name, the number of nodes, the number of
// versions that the operator writes after the copy is made, how long the store is away,
// whether the operator writes the lost versions again, and a fault of nodes.
func runRestore(t *testing.T, record []string) {
	number := func(field string) int {
		n, err := strconv.Atoi(field)
		assert.NilError(t, err)
		return n
	}
	nodes, lost, fault := number(record[1]), uint64(number(record[2])), record[5]
	f := newCallFleet(nodes)
	f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
	operator := f.platform.NewMemoryStore()
	f.write(t, operator, 1)
	f.start(t, true)
	time.Sleep(20 * time.Second)
	stopWatch := f.watchVersions(t)
	backup := f.platform.Copy()
	for version := range lost {
		f.write(t, operator, version+2)
		time.Sleep(configBound)
		f.checkVersion(t, version+2)
	}
	if fault == "zone-off" {
		f.setZoneOff("zone4", true)
	}
	f.platform.SetFaults(objapi.Faults{Down: true})
	time.Sleep(time.Duration(number(record[3])) * time.Millisecond)
	f.platform.Restore(backup)
	f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
	if fault == "restart" {
		stopWatch()
		f.stop()
		f.start(t, false)
		stopWatch = f.watchVersions(t)
	}
	if record[4] == "true" {
		for version := range lost {
			f.write(t, operator, version+2)
		}
	}
	time.Sleep(stabilityWindow)
	if fault == "zone-off" {
		time.Sleep(5 * time.Second)
		f.setZoneOff("zone4", false)
		time.Sleep(stabilityWindow + configBound)
	}
	for version := range uint64(4) {
		f.write(t, operator, lost+2+version)
		time.Sleep(configBound)
		f.checkVersion(t, lost+2+version)
	}
	stopWatch()
	t.Logf("calls: %+v", f.platform.Counts())
	f.stop()
}

// TestSecretRestored guards against a second secret. A store that is restored from a copy
// from before the fleet's secret must get it again from the nodes, because a node that
// starts later would create another one and be unable to talk to the others.
func TestSecretRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCallFleet(15)
		f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
		operator := f.platform.NewMemoryStore()
		f.write(t, operator, 1)
		backup := f.platform.Copy()
		f.start(t, true)
		time.Sleep(20 * time.Second)
		f.platform.Restore(backup)
		time.Sleep(stabilityWindow + pollWait)
		object, err := operator.Get(t.Context(), kinds.SecretKey)
		assert.NilError(t, err)
		var secret kinds.Secret
		assert.NilError(t, kinds.Decode(object.Value, &secret))
		assert.Equal(t, secret.Text, f.nodes[0].settings.Load().Secret.Text())
		f.stop()
	})
}

// TestEarlierEra guards against a node that calls the platform's store without a pause,
// because it drops what the store answers from before it was restored.
func TestEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := objapi.New()
		f := &callFleet{}
		f.write(t, platform.NewMemoryStore(), 1)
		platform.Restore(platform.Copy())
		address := netip.MustParseAddrPort("127.0.0.1:1")
		own := platform.NewMemoryStore()
		n := newFollowingNode(t.Context(), mesh.NewNetwork(0).AddNode(address), own, &setup.Settings{Peers: address, Zone: "zone0"})
		assert.NilError(t, n.poll(t.Context(), n.feeds[1]))
		n.store = store.NewCounted(firstEraStore{own})
		assert.ErrorIs(t, n.poll(t.Context(), n.feeds[1]), errEarlierEra)
		assert.Equal(t, n.catalog.Snapshot().Position().Era, uint64(1))
	})
}

// firstEraStore is a Store that answers watches and listings as of the first era.
type firstEraStore struct {
	store.Store
}

// List implements store.Store.
func (s firstEraStore) List(ctx context.Context, prefix string, options ...store.ReadOption) (store.Listing, error) {
	listing, err := s.Store.List(ctx, prefix, options...)
	listing.Era = 0
	return listing, err
}

// Watch implements store.Store.
func (s firstEraStore) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (store.Listing, error) {
	listing, err := s.Store.Watch(ctx, prefix, from, wait)
	listing.Era = 0
	return listing, err
}

// write writes a version of the catalog.
func (f *callFleet) write(t *testing.T, operator store.Store, version uint64) {
	t.Helper()
	var expected uint64
	if object, err := operator.Get(t.Context(), catalogKey); err == nil {
		expected = object.Version
	}
	_, err := operator.Put(t.Context(), catalogKey, []byte(strconv.FormatUint(version, 10)), expected)
	assert.NilError(t, err)
}

// checkVersion checks that all nodes have at least the given version of the catalog.
func (f *callFleet) checkVersion(t *testing.T, version uint64) {
	t.Helper()
	behind := 0
	for _, n := range f.nodes {
		if n.catalog.Snapshot().CatalogVersion() < version {
			behind++
		}
	}
	assert.Check(t, behind == 0, "%d of %d nodes do not have version %d", behind, len(f.nodes), version)
}

// watchVersions checks from now on that the version of the catalog never decreases on a
// node. The function that it returns ends that.
func (f *callFleet) watchVersions(t *testing.T) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		latest := make([]uint64, len(f.nodes))
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for i, n := range f.nodes {
				version := n.catalog.Snapshot().CatalogVersion()
				assert.Check(t, version >= latest[i], "%v went back from version %d to %d", n.table.Self().Peers, latest[i], version)
				latest[i] = version
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// setZoneOff sets whether the nodes of an availability zone are cut off from the
// platform and from the other zones.
func (f *callFleet) setZoneOff(zone string, off bool) {
	for i, a := range f.nodes {
		if a.settings.Load().Zone != zone {
			continue
		}
		f.stores[i].SetUnreachable(off)
		for _, b := range f.nodes {
			if b.settings.Load().Zone != zone {
				f.net.SetPartitioned(a.settings.Load().Peers, b.settings.Load().Peers, off)
			}
		}
	}
}

// TestRestartWithoutStore guards against a configuration from before the last change, such
// as with a key that was withdrawn, at nodes that are restarted one after the other while
// the platform's store is away. Each gets it from peers that have it, or has none.
func TestRestartWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newCallFleet(10)
		f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
		operator := f.platform.NewMemoryStore()
		f.write(t, operator, 1)
		f.start(t, true)
		time.Sleep(20 * time.Second)
		f.write(t, operator, 2)
		time.Sleep(configBound)
		f.checkVersion(t, 2)
		f.platform.SetFaults(objapi.Faults{Down: true})
		for i, n := range f.nodes {
			old := n.settings.Load()
			f.cancels[i]()
			f.net.Remove(old.Peers)
			time.Sleep(time.Second)
			f.startNode(ctx, i, &setup.Settings{Join: f.addresses, Peers: old.Peers, Secret: old.Secret, Zone: old.Zone})
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				version := f.nodes[i].catalog.Snapshot().CatalogVersion()
				assert.Check(t, version == 0 || version == 2, "node %d has version %d", i, version)
			}
			assert.Equal(t, f.nodes[i].catalog.Snapshot().CatalogVersion(), uint64(2))
		}
		cancel()
		f.stop()
	})
}
