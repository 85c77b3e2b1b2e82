package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/canned"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestBrokenHeads runs the cases of testdata/broken.csv. It guards against a response that is
// accepted although its head is broken, or from which another one is read.
func TestBrokenHeads(t *testing.T) {
	steps.Cases(t, "testdata/broken.csv", func(t *testing.T, record []string) {
		body, err := readFrom(t, canned.Serve(t, record[1]))
		if record[2] != "" {
			assert.ErrorContains(t, err, record[2])
			return
		}
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	})
}
