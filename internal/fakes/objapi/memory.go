package objapi

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

// errUnreachable is the error of a call to a platform that does not answer.
var errUnreachable = errors.New("the platform does not answer")

// Memory is a Store that calls a Server in memory, as one node sees it.
type Memory struct {
	cut    atomic.Bool
	server *Server
}

// Memory returns a Store for one node.
func (s *Server) Memory() *Memory {
	return &Memory{server: s}
}

// Cut sets whether the node is cut off from the platform.
func (m *Memory) Cut(cut bool) {
	m.cut.Store(cut)
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key string) (store.Object, error) {
	if err := m.reach(ctx, func(c *Counts) *int { return &c.Reads }); err != nil {
		return store.Object{}, err
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	object, ok := m.server.objects[key]
	if !ok || object.Value == nil {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// List implements store.Store.
func (m *Memory) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := m.reach(ctx, func(c *Counts) *int { return &c.Reads }); err != nil {
		return store.Listing{}, err
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.server.changes(prefix, 0), nil
}

// Put implements store.Store.
func (m *Memory) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	if err := m.reach(ctx, func(c *Counts) *int { return &c.Writes }); err != nil {
		return 0, err
	}
	object, lost, ok := m.server.apply(key, value, expected)
	switch {
	case lost:
		return 0, errUnreachable
	case !ok:
		return 0, store.ErrConflict
	}
	return object.Version, nil
}

// Delete implements store.Store.
func (m *Memory) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := m.Put(ctx, key, nil, expected)
	return err
}

// Watch implements store.Store. It does not wait.
func (m *Memory) Watch(ctx context.Context, prefix string, from uint64, _ time.Duration) (store.Listing, error) {
	if err := m.reach(ctx, func(c *Counts) *int { return &c.Watches }); err != nil {
		return store.Listing{}, err
	}
	m.server.mu.Lock()
	defer m.server.mu.Unlock()
	return m.server.changes(prefix, from), nil
}

// reach counts a call and waits for its way to the platform.
func (m *Memory) reach(ctx context.Context, count func(*Counts) *int) error {
	delay, ok := m.server.countCall(time.Now(), count)
	if !ok || m.cut.Load() {
		return errUnreachable
	}
	return pause.For(ctx, delay)
}
