package node

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/mesh"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/setup"
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
