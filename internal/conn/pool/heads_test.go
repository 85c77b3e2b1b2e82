package pool

import (
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
)

// maxHeadAlloc is the memory that the exchange of one request may take: a host has 284 MB for
// some 300 requests, as in TestEndlessResponses.
const maxHeadAlloc = 512 << 10

// TestHeadsOfManyLines runs the cases of testdata/heads.csv. It guards against heads of short
// lines without end, which take far more memory than bytes: a head of 64 KiB takes megabytes
// once it is parsed.
func TestHeadsOfManyLines(t *testing.T) {
	steps.Cases(t, "testdata/heads.csv", func(t *testing.T, record []string) {
		lines, err := strconv.Atoi(record[2])
		assert.NilError(t, err)
		var head strings.Builder
		head.WriteString(unquote(t, record[1]))
		ending := "\r\n"
		if !strings.Contains(record[1], `\r`) {
			ending = "\n"
		}
		for i := range lines {
			fmt.Fprintf(&head, "%x:%s", i, ending)
		}
		head.WriteString(strings.ReplaceAll(unquote(t, record[3]), "@newlines", strings.Repeat("\n", 512)))
		server := newEndlessServer(t, strconv.Quote(head.String())[1:len(strconv.Quote(head.String()))-1], "x")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, err := server.do(t.Context())
		runtime.ReadMemStats(&after)
		allocated := after.TotalAlloc - before.TotalAlloc
		t.Logf("%d bytes were allocated", allocated)
		assert.Check(t, allocated <= maxHeadAlloc, "%d bytes were allocated, want at most %d", allocated, maxHeadAlloc)
		if record[4] == "no" {
			assert.ErrorIs(t, err, errHeadTooLong)
			return
		}
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Check(t, len(body) == 5 || len(body) == 512, "a body of %d bytes", len(body))
		assert.NilError(t, response.Body.Close())
	})
}

// unquote returns a text that is given in the syntax of Go strings.
func unquote(t *testing.T, text string) string {
	t.Helper()
	unquoted, err := strconv.Unquote(`"` + text + `"`)
	assert.NilError(t, err)
	return unquoted
}
