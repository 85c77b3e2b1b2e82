// Package store is the interface to the platform's object API.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. Any other error leaves open whether a change took effect.
var (
	// ErrConflict means that the object's version is not the expected one. The
	// change did not take effect.
	ErrConflict = errors.New("the object has another version")
	// ErrGone means that the changes after a revision are not known any more.
	ErrGone = errors.New("the history is gone")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("the object does not exist")
)

// MaxValue is the largest value in bytes.
const MaxValue = 1 << 20

// Object is a stored object.
type Object struct {
	Key string
	// Value is nil for a deleted object.
	Value []byte
	// Version is the revision of the store at the object's last change, 0 for
	// an object that does not exist.
	Version uint64
}

// Listing is a set of objects and the store's revision that it shows.
type Listing struct {
	Objects  []Object
	Revision uint64
}

// Store is the platform's object API.
type Store interface {
	// Get returns the object of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose keys begin with a prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes a value if the object's version is still the expected one, 0
	// for an object that must not exist, and returns the new version.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
	// Delete removes the object if its version is still the expected one.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits for changes past a revision and returns them. A Listing
	// without objects means that nothing changed within the wait. An error of
	// ErrGone asks for a List.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Listing, error)
}
