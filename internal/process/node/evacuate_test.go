package node

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

// evacuationBound is the time within which a confirmed evacuation, or its end, must be in
// force on all nodes that are in touch with the platform.
const evacuationBound = time.Second

// TestEvacuations runs the cases of testdata/evacuations.csv in virtual time. It guards
// against an evacuation that is not in force in time, that is forgotten, or that does not
// end with its object in the platform's store.
func TestEvacuations(t *testing.T) {
	steps.Cases(t, "testdata/evacuations.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runEvacuation(t, record) })
	})
}

// runEvacuation runs one record. Its fields are the name, the number of nodes, the zones
// that are evacuated, the fault during that and the zones that are evacuated after it. At
// the end the operator ends all evacuations.
func runEvacuation(t *testing.T, record []string) {
	nodes, err := strconv.Atoi(record[1])
	assert.NilError(t, err)
	zones, fault, want := strings.Fields(record[2]), record[3], strings.Fields(record[4])
	f := newCallFleet(nodes)
	f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
	operator := f.platform.NewMemoryStore()
	f.write(t, operator, 1)
	f.start(t, true)
	time.Sleep(20 * time.Second)
	backup := f.platform.Copy()
	for _, zone := range zones {
		_, err := operator.Put(t.Context(), evacuationsPrefix+zone, []byte("{}"), 0)
		assert.NilError(t, err)
	}
	time.Sleep(evacuationBound)
	f.checkEvacuated(t, "begun", zones)
	switch fault {
	case "":
	case "configuration":
		f.write(t, operator, 2)
	case "lost history":
		f.platform.SetFaults(objapi.Faults{Delay: storeDelay, Forget: 1 << 20})
	case "restart":
		f.stop()
		f.start(t, false)
		time.Sleep(startWait)
		f.checkEvacuated(t, "restarted", want)
	case "restored":
		f.platform.Restore(backup)
		time.Sleep(evacuationsPollWait)
	case "store down":
		f.platform.SetFaults(objapi.Faults{Down: true})
		time.Sleep(time.Minute)
		f.checkEvacuated(t, "store down", want)
		f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
		time.Sleep(stabilityWindow)
	case "zone cut":
		f.setZoneOff("zone4", true)
		time.Sleep(10 * time.Second)
		f.checkEvacuated(t, "zone cut", want)
		f.setZoneOff("zone4", false)
		time.Sleep(stabilityWindow)
	default:
		t.Fatalf("unknown fault %q", fault)
	}
	time.Sleep(stabilityWindow)
	f.checkEvacuated(t, fault, want)
	f.platform.SetFaults(objapi.Faults{Delay: storeDelay})
	for _, zone := range want {
		object, err := operator.Get(t.Context(), evacuationsPrefix+zone)
		assert.NilError(t, err)
		assert.NilError(t, operator.Delete(t.Context(), object.Key, object.Version))
	}
	time.Sleep(evacuationBound)
	f.checkEvacuated(t, "ended", nil)
	f.stop()
}

// checkEvacuated checks that exactly the given availability zones are evacuated by what
// each node knows.
func (f *callFleet) checkEvacuated(t *testing.T, when string, zones []string) {
	t.Helper()
	wrong := 0
	for _, n := range f.nodes {
		if strings.Join(n.zones.Snapshot().Evacuations(), " ") != strings.Join(zones, " ") {
			wrong++
		}
	}
	assert.Check(t, wrong == 0, "%s: %d of %d nodes have other zones than %v", when, wrong, len(f.nodes), zones)
}

// TestEvacuationsListed guards against an evacuation that a node keeps although its object
// was deleted while the node could not follow the changes.
func TestEvacuationsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCallFleet(1)
		operator := f.platform.NewMemoryStore()
		f.write(t, operator, 1)
		f.start(t, true)
		time.Sleep(5 * time.Second)
		version, err := operator.Put(t.Context(), evacuationsPrefix+"zone0", []byte("{}"), 0)
		assert.NilError(t, err)
		time.Sleep(evacuationBound)
		f.checkEvacuated(t, "begun", []string{"zone0"})
		n := f.nodes[0]
		n.store = store.NewCounted(listedStore{f.stores[0]})
		time.Sleep(2 * evacuationsPollWait)
		assert.NilError(t, operator.Delete(t.Context(), evacuationsPrefix+"zone0", version))
		time.Sleep(2 * evacuationsPollWait)
		f.checkEvacuated(t, "ended", nil)
		f.stop()
	})
}

// listedStore is a Store that has no history, and whose listings do not contain deleted
// objects.
type listedStore struct {
	store.Store
}

// List implements store.Store.
func (s listedStore) List(ctx context.Context, prefix string, options ...store.ReadOption) (store.Listing, error) {
	listing, err := s.Store.List(ctx, prefix, options...)
	listing.Objects = slices.DeleteFunc(listing.Objects, func(o store.Object) bool { return o.Value == nil })
	return listing, err
}

// Watch implements store.Store.
func (s listedStore) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Listing, error) {
	if err := pause.For(ctx, wait); err != nil {
		return store.Listing{}, err
	}
	return store.Listing{}, store.ErrGone
}
