package node

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/conns"
	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestIdleLimit runs the cases of testdata/idle.csv. It guards against callers' connections
// that are closed by another idle limit than that of the catalog in force.
func TestIdleLimit(t *testing.T) {
	steps.Cases(t, "testdata/idle.csv", func(t *testing.T, record []string) {
		idle, err := time.ParseDuration(record[2])
		assert.NilError(t, err)
		want, err := strconv.Atoi(record[3])
		assert.NilError(t, err)
		n := newIdleNode(t)
		defer n.cancel()
		n.applyIdleLimits(strings.Fields(record[1])...)
		conn := n.accept(t)
		now := time.Unix(1000, 0)
		n.conns.SetState(now, conn, http.StateNew)
		assert.Equal(t, n.conns.CloseIdle(now.Add(idle)), want)
	})
}

// idleNode is a node whose catalogs have only an idle limit.
type idleNode struct {
	*Node
}

func newIdleNode(t *testing.T) idleNode {
	t.Helper()
	decode := func(value []byte) (*rows.Catalog, error) {
		limit, err := time.ParseDuration(string(value))
		return &rows.Catalog{Limits: rows.Limits{IdleTimeout: limit}, Version: 1}, err
	}
	n, err := New(&setup.Settings{Expiry: time.Minute, Peers: netip.MustParseAddrPort("127.0.0.1:1"), Secret: &fleet.Secret{}, Service: "ledger", Zone: "a", Zones: []string{"a"}}, "", zerolog.Nop(), objapi.New().NewMemoryStore(),
		WithCatalog("config/", catalogKey, decode))
	assert.NilError(t, err)
	return idleNode{Node: n}
}

// accept returns a connection of a caller.
func (n idleNode) accept(t *testing.T) net.Conn {
	t.Helper()
	l, err := conns.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	conn, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = caller.Close()
		_ = conn.Close()
	})
	return conn
}

// applyIdleLimits puts catalogs with idle limits in force, one after the other.
func (n idleNode) applyIdleLimits(limits ...string) {
	for i, limit := range limits {
		version := uint64(i) + 1
		n.catalog.Apply(snaps.Delta{From: version - 1, Objects: []store.Object{{Key: catalogKey, Value: []byte(limit), Version: version}}, Revision: version})
	}
}

// TestIdleLimitCatchesUp guards against an idle limit that stays that of an earlier catalog:
// two changes that are taken over at once may end with the earlier one.
func TestIdleLimitCatchesUp(t *testing.T) {
	n := newIdleNode(t)
	defer n.cancel()
	n.applyIdleLimits("5s")
	n.conns.SetIdleTimeout(time.Hour)
	conn := n.accept(t)
	now := time.Unix(1000, 0)
	n.conns.SetState(now, conn, http.StateNew)
	n.conns.SetState(now, conn, http.StateActive)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.reapConns(n.ctx)
	}()
	for {
		n.conns.SetState(now, conn, http.StateActive)
		n.conns.SetState(now, conn, http.StateIdle)
		if n.conns.CloseIdle(now.Add(30*time.Second)) == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	n.cancel()
	<-done
}
