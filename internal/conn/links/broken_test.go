package links

import (
	"net/netip"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/canned"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestBrokenRefusals runs the cases of testdata/brokenrefusals.csv. It guards against a node
// that is offered the fleet's secret because of an answer with a broken head.
func TestBrokenRefusals(t *testing.T) {
	steps.Cases(t, "testdata/brokenrefusals.csv", func(t *testing.T, record []string) {
		want, err := strconv.ParseBool(record[2])
		assert.NilError(t, err)
		refused := false
		m := NewMesh(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), newSecret(t, "the secret of the test"), WithRefused(func(netip.AddrPort) { refused = true }))
		_, err = m.dial(t.Context(), canned.Serve(t, record[1]))
		assert.ErrorContains(t, err, "cannot open a link")
		assert.Equal(t, refused, want)
	})
}
