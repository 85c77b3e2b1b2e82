package node

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// TestProblemsAreTold guards against a value of the configuration, or an object of the store,
// that is not in force as it was written without a line in the log or the status that names it.
func TestProblemsAreTold(t *testing.T) {
	decode := func(value []byte) (*rows.Catalog, error) {
		if len(value) == 0 {
			return nil, errors.New("it is empty")
		}
		catalog := &rows.Catalog{Version: 1}
		for i := range maxProblemLines + 5 {
			catalog.Problems = append(catalog.Problems, rows.Problem{Detail: "is odd", Entry: fmt.Sprintf("routes[%d]", i), Field: "timeout_ms"})
		}
		return catalog, nil
	}
	var logged bytes.Buffer
	n, err := New(&setup.Settings{Expiry: time.Minute, Peers: netip.MustParseAddrPort("127.0.0.1:1"), Secret: &fleet.Secret{}, Service: "ledger", Zone: "a", Zones: []string{"a"}}, "", zerolog.New(&logged), objapi.New().NewMemoryStore(),
		WithCatalog("config/", catalogKey, decode))
	assert.NilError(t, err)
	defer n.cancel()
	put := func(holder *snaps.Holder, key, value string, version uint64) {
		holder.Apply(snaps.Delta{From: version - 1, Objects: []store.Object{{Key: key, Value: []byte(value), Version: version}}, Revision: version})
	}
	lines := func(text string) int { return strings.Count(logged.String(), text) }

	put(n.catalog, catalogKey, "{}", 1)
	n.catalog.Apply(snaps.Delta{From: 1, Revision: 2}) // another object of the kind has changed
	assert.Equal(t, lines(`"a value of the configuration cannot be applied as it is"`), maxProblemLines, logged.String())
	assert.Equal(t, lines(`"Entry":"routes[3]","Field":"timeout_ms","Detail":"is odd"`), 1, logged.String())
	assert.Equal(t, lines(`"More":5`), 1, logged.String())
	status := n.status(time.Now())
	assert.Equal(t, len(status.Problems), maxProblemLines+5)
	assert.Equal(t, status.Problems[3], "routes[3]: timeout_ms: is odd")
	assert.Equal(t, status.Rejected, 0)

	put(n.catalog, catalogKey, "", 3)
	put(n.config, kinds.RowKey("* /ledger", "amis"), "{", 1)
	assert.Equal(t, n.status(time.Now()).Rejected, 2)
	assert.Equal(t, n.configurationMetrics().Get("Rejected").String(), "2")
	assert.Equal(t, lines(`"error":"it is empty","Object":"`+catalogKey+`","Version":3`), 1, logged.String())
	assert.Equal(t, lines(`"Object":"`+kinds.RowKey("* /ledger", "amis")+`"`), 1, logged.String())
}
