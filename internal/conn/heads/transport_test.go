package heads_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/conn/heads"
	"github.com/wasabibend/wasabibend/internal/fakes/canned"
	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// TestTransport runs the cases of testdata/transport.csv. It guards against answers with
// broken heads that clients of net/http accept.
func TestTransport(t *testing.T) {
	steps.Cases(t, "testdata/transport.csv", func(t *testing.T, record []string) {
		client := &http.Client{Transport: &heads.Transport{Base: &http.Transport{DisableKeepAlives: true}}}
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+canned.Serve(t, record[1]).String(), nil)
		assert.NilError(t, err)
		response, err := client.Do(request)
		if record[2] != "" {
			assert.ErrorContains(t, err, record[2])
			return
		}
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, string(body), "hello")
	})
}
