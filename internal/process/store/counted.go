package store

import (
	"context"
	"errors"
	"expvar"
	"strings"
	"time"
)

// Counted is a Store that counts the calls to another Store. It is safe for concurrent
// use if the other one is.
type Counted struct {
	calls *expvar.Map
	store Store
}

// NewCounted returns a Counted for a Store.
func NewCounted(store Store) *Counted {
	return &Counted{calls: new(expvar.Map).Init(), store: store}
}

// Calls returns the live numbers of calls. The names consist of the operation, the kind
// of the objects and the outcome, for example "Watch Wasabibend Gone". The operation of
// a read that may be stale begins with Stale. The entries that could not be read are
// counted as "Unreadable" and the kind.
func (c *Counted) Calls() *expvar.Map {
	return c.calls
}

// Get implements Store.
func (c *Counted) Get(ctx context.Context, key string, options ...ReadOption) (Object, error) {
	object, err := c.store.Get(ctx, key, options...)
	c.count(readName("Get", options), key, err)
	return object, err
}

// List implements Store.
func (c *Counted) List(ctx context.Context, prefix string, options ...ReadOption) (Listing, error) {
	listing, err := c.store.List(ctx, prefix, options...)
	c.count(readName("List", options), prefix, err)
	c.countUnreadable(prefix, listing.Unreadable)
	return listing, err
}

// Put implements Store.
func (c *Counted) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	version, err := c.store.Put(ctx, key, value, expected)
	c.count("Put", key, err)
	return version, err
}

// Delete implements Store.
func (c *Counted) Delete(ctx context.Context, key string, expected uint64) error {
	err := c.store.Delete(ctx, key, expected)
	c.count("Delete", key, err)
	return err
}

// Watch implements Store.
func (c *Counted) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Listing, error) {
	listing, err := c.store.Watch(ctx, prefix, from, wait)
	c.count("Watch", prefix, err)
	c.countUnreadable(prefix, listing.Unreadable)
	return listing, err
}

// count counts one call with its outcome.
func (c *Counted) count(operation, key string, err error) {
	kind, _, _ := strings.Cut(key, "/")
	c.calls.Add(operation+" "+kind+" "+outcome(err), 1)
}

// countUnreadable counts the entries of a response that could not be read.
func (c *Counted) countUnreadable(prefix string, entries int) {
	if entries > 0 {
		kind, _, _ := strings.Cut(prefix, "/")
		c.calls.Add("Unreadable "+kind, int64(entries))
	}
}

// readName returns the name of a read with options.
func readName(operation string, options []ReadOption) string {
	if NewReadOptions(options).Stale {
		return "Stale" + operation
	}
	return operation
}

// outcome returns the name of a call's outcome.
func outcome(err error) string {
	switch {
	case err == nil:
		return "OK"
	case errors.Is(err, ErrConflict):
		return "Conflict"
	case errors.Is(err, ErrGone):
		return "Gone"
	case errors.Is(err, ErrNotFound):
		return "NotFound"
	}
	return "Failed"
}
