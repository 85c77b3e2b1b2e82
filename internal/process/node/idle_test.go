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
		decode := func(value []byte) (*rows.Catalog, error) {
			limit, err := time.ParseDuration(string(value))
			return &rows.Catalog{Limits: rows.Limits{IdleTimeout: limit}, Version: 1}, err
		}
		n, err := New(&setup.Settings{Expiry: time.Minute, Peers: netip.MustParseAddrPort("127.0.0.1:1"), Secret: &fleet.Secret{}, Service: "ledger", Zone: "a", Zones: []string{"a"}}, "", zerolog.Nop(), objapi.New().NewMemoryStore(),
			WithCatalog("config/", catalogKey, decode))
		assert.NilError(t, err)
		defer n.cancel()
		for i, limit := range strings.Fields(record[1]) {
			version := uint64(i) + 1
			n.catalog.Apply(snaps.Delta{From: version - 1, Objects: []store.Object{{Key: catalogKey, Value: []byte(limit), Version: version}}, Revision: version})
		}
		l, err := conns.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		assert.NilError(t, err)
		defer l.Close()
		caller, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer caller.Close()
		conn, err := l.Accept()
		assert.NilError(t, err)
		defer conn.Close()
		now := time.Unix(1000, 0)
		n.conns.SetState(now, conn, http.StateNew)
		assert.Equal(t, n.conns.CloseIdle(now.Add(idle)), want)
	})
}
