package relay

import (
	"errors"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/internal/fakes/steps"
	"github.com/wasabibend/wasabibend/internal/process/stats"
)

// TestAttemptsShareNoBody runs the cases of testdata/attempts.csv. It guards against two
// attempts to send a request that each get a part of its body.
func TestAttemptsShareNoBody(t *testing.T) {
	steps.Cases(t, "testdata/attempts.csv", runAttempts)
}

// runAttempts runs one record. Its fields are the name, what happens in turn, the results of
// the reads, and whether the body cannot be sent by another attempt afterwards.
func runAttempts(t *testing.T, record []string) {
	const part, parts = "part", 2
	w := httptest.NewRecorder()
	u := newUpload(w, httptest.NewRequest("POST", "/ledger/x", strings.NewReader(strings.Repeat(part, parts))), time.Now().Add(time.Hour), time.Hour, 0, func(error) {})
	counts := stats.New().Bodies
	attempts := make(map[string]*attemptBody)
	var results []string
	words := strings.Fields(record[1])
	for i := 0; i < len(words); i++ {
		switch words[i] {
		case "begin":
			i++
			attempts[words[i]] = u.newAttempt(counts)
		case "end":
			u.endAttempt()
		case "read":
			i++
			results = append(results, readPart(attempts[words[i]], part))
		case "skip":
			_, err := io.ReadFull(u, make([]byte, len(part)/2))
			assert.NilError(t, err)
		default:
			t.Fatalf("unknown step %q", words[i])
		}
	}
	assert.Equal(t, strings.Join(results, " "), record[2])
	assert.Equal(t, u.isTaken(), record[3] == "true")
}

// readPart reads the next part of a body, and returns how the read ended.
func readPart(a *attemptBody, part string) string {
	got := make([]byte, len(part))
	n, err := io.ReadFull(a, got)
	switch {
	case errors.Is(err, errAttemptEnded):
		return "ended"
	case errors.Is(err, errBodyShifted):
		return "shifted"
	case err != nil:
		return err.Error()
	case string(got[:n]) != part:
		return "other bytes"
	}
	return "none"
}
