package node

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// TestOddObjects runs the cases of testdata/odd.csv in virtual time. It guards against
// seeds or a secret that cannot be read and keep nodes out for good, and against a second
// secret in place of one that other nodes may run with.
func TestOddObjects(t *testing.T) {
	steps.Cases(t, "testdata/odd.csv", func(t *testing.T, record []string) {
		t.Parallel()
		synctest.Test(t, func(t *testing.T) { runOddObject(t, record) })
	})
}

// runOddObject runs one record, whose fields the file describes.
func runOddObject(t *testing.T, record []string) {
	repeat, err := strconv.Atoi(record[4])
	assert.NilError(t, err)
	odd := strings.Repeat(record[3], repeat) + record[5] + strings.Repeat(record[6], repeat)
	f := newCallFleet(2 * fleetZones)
	operator := f.platform.NewMemoryStore()
	overwrite := func() {
		object, err := operator.Get(t.Context(), record[1])
		if !errors.Is(err, store.ErrNotFound) {
			assert.NilError(t, err)
		}
		_, err = operator.Put(t.Context(), record[1], []byte(odd), object.Version)
		assert.NilError(t, err)
	}
	if record[2] == "before" {
		overwrite()
	}
	f.addresses = f.addresses[:2*fleetZones-1]
	f.start(t, true)
	defer f.stop()
	time.Sleep(20 * time.Second)
	secret := f.nodes[0].settings.Load().Secret
	if record[2] == "after" {
		assert.Check(t, secret.Known())
		overwrite()
	}
	time.Sleep(2 * time.Minute)
	object, err := operator.Get(t.Context(), record[1])
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value) == odd, record[7] == "kept", "value kept")
	if record[1] == kinds.SecretKey && record[7] == "kept" {
		assert.Check(t, !secret.Known())
		return
	}
	f.checkLateNode(t, secret)
}

// checkLateNode starts another node and checks that it gets the fleet's secret and joins,
// and that all nodes know which node of the fleet holds each allocator.
func (f *callFleet) checkLateNode(t *testing.T, secret *fleet.Secret) {
	var stored kinds.Secret
	object, err := f.stores[0].Get(t.Context(), kinds.SecretKey)
	assert.NilError(t, err)
	assert.NilError(t, kinds.Decode(object.Value, &stored))
	assert.Equal(t, stored.Text, secret.Text())
	late := newCallFleet(2 * fleetZones)
	late.addresses, late.net, late.platform = late.addresses[2*fleetZones-1:], f.net, f.platform
	late.nodes, late.stores, late.cancels = make([]*Node, 1), f.stores, f.cancels
	late.startNode(t.Context(), 0, &setup.Settings{Peers: late.addresses[0], Secret: &fleet.Secret{}, Zone: "zone4"})
	time.Sleep(20 * time.Second)
	assert.Equal(t, late.nodes[0].settings.Load().Secret.Text(), secret.Text())
	assert.Equal(t, len(late.nodes[0].table.View().All()), 2*fleetZones)
	for _, n := range append(late.nodes, f.nodes...) {
		for zone := range fleetZones {
			record, known := n.config.Snapshot().Allocator(fmt.Sprintf("zone%d", zone), 0)
			assert.Check(t, known, "%v does not know the allocator of zone%d", n.table.Self().Peers, zone)
			assert.Check(t, slices.Contains(f.addresses, record.Holder) || record.Holder == late.addresses[0], "%v believes that %v holds the allocator of zone%d", n.table.Self().Peers, record.Holder, zone)
		}
	}
	late.cancels[0]()
	f.net.Remove(late.addresses[0])
}
