// Package guard keeps unexpected errors, which Go reports as panics, from ending the
// process or a part of it. They are logged with the place at which they arose.
package guard

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/pause"
)

// restartDelay is the pause before a loop that has panicked is run again. It
// keeps a loop that fails at once from using up the processor.
const restartDelay = time.Second

// Call calls a function. If the function panics, it logs that and returns it as an error.
func Call(log zerolog.Logger, name string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = report(log, name, value)
		}
	}()
	return f()
}

// Run calls a function and reports whether it returned. If the function panics, it logs
// that.
func Run(log zerolog.Logger, name string, f func()) bool {
	return Call(log, name, func() error {
		f()
		return nil
	}) == nil
}

// Loop calls a function until it returns. If the function panics, it is called again after
// restartDelay, unless the context has ended.
func Loop(ctx context.Context, log zerolog.Logger, name string, f func(context.Context)) {
	for {
		if Run(log, name, func() { f(ctx) }) || pause.For(ctx, restartDelay) != nil {
			return
		}
	}
}

// Handler returns a handler that logs a panic of another one and closes the connection.
func Handler(log zerolog.Logger, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if err, ok := value.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				_ = report(log, "handler", value)
			}
			panic(http.ErrAbortHandler)
		}()
		handler.ServeHTTP(w, r)
	})
}

// report logs a panic and returns it as an error.
func report(log zerolog.Logger, name string, value any) error {
	log.Error().Str("Part", name).Str("Panic", fmt.Sprint(value)).Bytes("Stack", debug.Stack()).Msg("unexpected error")
	return trace.Errorf("unexpected error: %v", value)
}
