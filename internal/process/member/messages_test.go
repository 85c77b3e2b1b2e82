package member

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
)

// olderPing is the Ping of builds that exchange no shared state.
type olderPing struct {
	Digest uint64
	Feeds  []FeedState
}

// Check implements wire.Checker.
func (*olderPing) Check() error {
	return nil
}

// TestPingOfOtherBuilds guards against pings that nodes of two builds cannot read from each
// other, and against a node of the older build that is taken for one without any entries.
func TestPingOfOtherBuilds(t *testing.T) {
	feeds := []FeedState{{Age: -1, Revision: 7}}
	newer, err := wire.Encode(Ping{Digest: 5, Feeds: feeds, Shared: 9})
	assert.NilError(t, err)
	var older olderPing
	assert.NilError(t, wire.Decode(newer, &older))
	assert.DeepEqual(t, older, olderPing{Digest: 5, Feeds: feeds})
	sent, err := wire.Encode(older)
	assert.NilError(t, err)
	var read Ping
	assert.NilError(t, wire.Decode(sent, &read))
	assert.DeepEqual(t, read, Ping{Digest: 5, Feeds: feeds})
}
