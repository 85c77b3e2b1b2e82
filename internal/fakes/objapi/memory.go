package objapi

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

// errUnreachable is returned for calls that the platform refuses and for calls
// that get no response.
var errUnreachable = errors.New("the platform does not answer")

// MemoryStore is a store.Store of one node that accesses a Server in the same
// process, without HTTP.
type MemoryStore struct {
	unreachable atomic.Bool
	server      *Server
}

// NewMemoryStore returns a MemoryStore for one node.
func (s *Server) NewMemoryStore() *MemoryStore {
	return &MemoryStore{server: s}
}

// SetUnreachable sets whether the platform is unreachable for this node. While it
// is, each call fails.
func (m *MemoryStore) SetUnreachable(unreachable bool) {
	m.unreachable.Store(unreachable)
}

// Get implements store.Store.
func (m *MemoryStore) Get(ctx context.Context, key string, options ...store.ReadOption) (store.Object, error) {
	stale := store.NewReadOptions(options).Stale
	if err := m.simulateCall(ctx, readCounter(stale)); err != nil {
		return store.Object{}, err
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	object, ok := m.server.objects[key]
	if !ok || object.Value == nil || stale && m.server.faults.StaleEmpty {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// List implements store.Store. The listing also includes deleted objects.
func (m *MemoryStore) List(ctx context.Context, prefix string, options ...store.ReadOption) (store.Listing, error) {
	stale := store.NewReadOptions(options).Stale
	if err := m.simulateCall(ctx, readCounter(stale)); err != nil {
		return store.Listing{}, err
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	if stale && m.server.faults.StaleEmpty {
		return store.Listing{Era: m.server.era}, nil
	}
	return m.server.changes(prefix, 0), nil
}

// Put implements store.Store.
func (m *MemoryStore) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	if err := m.simulateCall(ctx, func(c *Counts) *int { return &c.Writes }); err != nil {
		return 0, err
	}
	object, loseAnswer, ok := m.server.apply(key, value, expected)
	switch {
	case loseAnswer:
		return 0, errUnreachable
	case !ok:
		return 0, store.ErrConflict
	}
	return object.Version, nil
}

// Delete implements store.Store.
func (m *MemoryStore) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := m.Put(ctx, key, nil, expected)
	return err
}

// Watch implements store.Store.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (store.Listing, error) {
	if err := m.simulateCall(ctx, func(c *Counts) *int { return &c.Watches }); err != nil {
		return store.Listing{}, err
	}
	return m.server.awaitChanges(ctx, prefix, from, wait)
}

// simulateCall counts a call in the given counter and waits for the delay of the
// faults. It returns errUnreachable if the call is refused or the platform is
// unreachable, and the context's error if that ends first.
func (m *MemoryStore) simulateCall(ctx context.Context, counter func(*Counts) *int) error {
	delay, ok := m.server.countCall(time.Now(), counter)
	if !ok || m.unreachable.Load() {
		return errUnreachable
	}
	return pause.For(ctx, delay)
}
