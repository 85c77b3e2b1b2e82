// Package store defines the interface to the platform's object API.
package store

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. After any other error it is unknown whether a change took effect.
var (
	// ErrConflict means that the object's version is not the expected one. The
	// change did not take effect.
	ErrConflict = errors.New("the object has another version")
	// ErrGone means that the store no longer has all changes after the given revision.
	ErrGone = errors.New("the history is gone")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("the object does not exist")
)

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

// Object is a key and its value in the store.
type Object struct {
	Key string
	// Value is nil for a deleted object.
	Value []byte
	// Version is the store's revision at the object's last change, 0 for an object that
	// does not exist.
	Version uint64
}

// Listing is a set of objects as of a revision of the store.
type Listing struct {
	// Era is the number of times that the store has been restored from an older copy, as
	// the store counts them. A restored store has lost its latest changes and assigns
	// their revisions again, so revisions and versions of different eras do not compare.
	Era      uint64
	Objects  []Object
	Revision uint64
	// Unreadable is the number of entries whose name or version could not be read. They
	// are not among the objects.
	Unreadable int
}

// Position returns the position that the listing represents.
func (l *Listing) Position() Position {
	return Position{Era: l.Era, Revision: l.Revision}
}

// Position is a state of the store. Positions are ordered by era and then by revision,
// because a restored store assigns revisions again.
type Position struct {
	Era      uint64 `cbor:",omitempty"`
	Revision uint64
}

// Before reports whether a position is older than another one.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Revision < other.Revision
}

// ReadOption changes how a Store reads.
type ReadOption func(*ReadOptions)

// ReadOptions are the combined options of a read.
type ReadOptions struct {
	// Stale is set if the result may be some seconds old.
	Stale bool
}

// NewReadOptions combines options.
func NewReadOptions(options []ReadOption) ReadOptions {
	var all ReadOptions
	for _, option := range options {
		option(&all)
	}
	return all
}

// WithStale allows a read to return what the store held some seconds ago, even if
// that was nothing. Such a read costs the platform a tenth of a linearizable one.
func WithStale() ReadOption {
	return func(o *ReadOptions) { o.Stale = true }
}

// Store is the platform's object API. Reads are linearizable unless an option says
// otherwise.
type Store interface {
	// Get returns the object with a key, or ErrNotFound.
	Get(ctx context.Context, key string, options ...ReadOption) (Object, error)
	// List returns all objects whose keys have a prefix.
	List(ctx context.Context, prefix string, options ...ReadOption) (Listing, error)
	// Put writes a value if the object's version is the expected one, and returns the
	// new version. An expected version of 0 means that the object must not exist.
	Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error)
	// Delete deletes the object if its version is the expected one.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until objects whose keys have a prefix have changed since the revision
	// from, and returns them. If none has changed when the time wait is over, it returns
	// a Listing without objects. After ErrGone the caller must use List.
	Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Listing, error)
}
