package guard

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestLoop guards against a loop that is dead after one unexpected error while the process
// goes on without it.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged strings.Builder
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		Loop(ctx, zerolog.New(&logged), "loop", func(ctx context.Context) {
			calls++
			if calls <= 2 {
				var table map[string]int
				table["a"]++
			}
			<-ctx.Done()
		})
		assert.Equal(t, calls, 3)
		assert.Equal(t, strings.Count(logged.String(), "unexpected error"), 2, logged.String())
		assert.Check(t, strings.Contains(logged.String(), "guard_test.go"), "the place is missing: %s", logged.String())
	})
}

// TestHandler guards against a request that ends with an unexpected error without a trace
// in the log, and against lines for connections that are closed on purpose.
func TestHandler(t *testing.T) {
	for _, c := range []struct {
		name  string
		panic any
		lines int
	}{
		{"unexpected error", "index out of range", 1},
		{"closed on purpose", http.ErrAbortHandler, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var logged strings.Builder
			server := httptest.NewServer(Handler(zerolog.New(&logged), http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(c.panic) })))
			response, err := http.Get(server.URL)
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.Check(t, err != nil, "the connection was not closed")
			server.Close()
			assert.Equal(t, strings.Count(logged.String(), "unexpected error"), c.lines, logged.String())
		})
	}
}
