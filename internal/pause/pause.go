// Package pause provides a sleep that ends early if its context ends.
package pause

import (
	"context"
	"time"
)

// For waits for the duration d. If the context ends first, it returns the context's
// error.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
