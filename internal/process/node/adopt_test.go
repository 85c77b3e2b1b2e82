package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/wasabibend/wasabibend/internal/conn/fleet"
	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/process/setup"
)

// TestRestartedNodeGetsSecret guards against a node that is restarted while the platform's
// store is away and refuses everything until the others have taken it for dead: it gets
// the secret from the first node that it refuses a link.
func TestRestartedNodeGetsSecret(t *testing.T) {
	old := newListeningNode(t)
	assert.NilError(t, old.settings.Load().Secret.Set("the secret of the fleet"))
	restarted := newListeningNode(t)
	peer := restarted.settings.Load().Peers
	old.table.Merge(time.Now(), []member.Record{{Health: member.Alive, Incarnation: 1, Peers: peer, Readiness: member.Absent, Zone: "a"}})
	assert.Check(t, old.mesh.Call(t.Context(), peer, wire.KindPing, &adoption{}, &adoption{}) != nil)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if restarted.settings.Load().Secret.Known() {
			return poll.Success()
		}
		return poll.Continue("the node does not know the secret")
	}, poll.WithTimeout(time.Minute))
	assert.Equal(t, restarted.settings.Load().Secret.Text(), "the secret of the fleet")
	assert.Equal(t, len(old.table.Dead()), 0)
}

// TestOffersBegin checks that a node is offered the secret at most once in an interval.
func TestOffersBegin(t *testing.T) {
	o := newOffers()
	now := time.Now()
	one, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	assert.Check(t, o.begin(now, one))
	assert.Check(t, !o.begin(now.Add(offerInterval-1), one))
	assert.Check(t, o.begin(now, other))
	assert.Check(t, o.begin(now.Add(offerInterval), one))
	assert.Equal(t, len(o.at), 1)
}

// newListeningNode returns a Node that does not run, but serves other nodes. It gets the
// fleet's secret from the platform's store, which has none.
func newListeningNode(t *testing.T) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings := &setup.Settings{Peers: listener.Addr().(*net.TCPAddr).AddrPort(), Secret: &fleet.Secret{}, Zone: "a", Zones: []string{"a"}}
	n, err := New(settings, "", zerolog.Nop(), objapi.New().NewMemoryStore())
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.Handler = n.peersHandler()
	assert.NilError(t, server.Listener.Close())
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		n.cancel()
		n.background.Wait()
		n.mesh.Wait()
		server.Close()
	})
	return n
}
