// Package edits changes the operators' table and the customers' keys in the
// platform's store.
//
// Each change is one conditional write of an object, which keeps the IDs of its
// last edits. If the answer to a write is lost, the Editor reads the object and
// finds out by the ID whether the write took effect. If operators change an
// object concurrently, one write succeeds and the others return a Conflict.
package edits

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// Limits of the retries after a write that failed.
const (
	retryBackoff = 100 * time.Millisecond // after a failed read
	maxAttempts  = 20
)

// Conflict is the error of a change that was not made because another one was
// made first.
type Conflict struct {
	// Mine describes the rejected change, Theirs the object in the store.
	Mine, Theirs string
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("another change came first; nothing was written\n  yours:  %s\n  theirs: %s", c.Mine, c.Theirs)
}

// Unknown is the error of a change that may or may not have taken effect,
// because the store did not answer.
type Unknown struct {
	// ID is the ID of the edit.
	ID  string
	Err error
}

// Error implements error.
func (u *Unknown) Error() string {
	return fmt.Sprintf("the platform does not answer; edit %s may have taken effect: %v", u.ID, u.Err)
}

// Unwrap returns the store's last error.
func (u *Unknown) Unwrap() error {
	return u.Err
}

// Editor reads and changes rows and keys in a store.
type Editor struct {
	store store.Store
}

// New returns an Editor for a store.
func New(s store.Store) *Editor {
	return &Editor{store: s}
}

// VersionedRow is a row with the version of its object in the store.
type VersionedRow struct {
	kinds.RowObject
	Version uint64
}

// Rows returns all rows that are not deleted, sorted by route and customer, and the keys of
// the objects that are not valid rows. Nodes use the last valid row of such a key, if any.
func (e *Editor) Rows(ctx context.Context) (table []VersionedRow, unreadable []string, err error) {
	listing, err := e.store.List(ctx, kinds.PrefixRows)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	for _, object := range listing.Objects {
		row := VersionedRow{Version: object.Version}
		if err := decodeRow(object, &row.RowObject); err != nil {
			unreadable = append(unreadable, object.Key)
			continue
		}
		if !row.Deleted {
			table = append(table, row)
		}
	}
	slices.SortFunc(table, func(a, b VersionedRow) int {
		return strings.Compare(a.Row.Route+"\x00"+a.Row.Customer, b.Row.Route+"\x00"+b.Row.Customer)
	})
	return table, unreadable, nil
}

// decodeRow decodes an object, which must have the key of its row.
func decodeRow(object store.Object, into *kinds.RowObject) error {
	if err := kinds.Decode(object.Value, into); err != nil {
		return trace.Wrap(err)
	}
	if kinds.RowKey(into.Row.Route, into.Row.Customer) != object.Key {
		return trace.BadParameter("%s: the row belongs to another key", object.Key)
	}
	return nil
}

// Row returns a row with its history, even if it is deleted. If there never was
// such a row, the error wraps store.ErrNotFound.
func (e *Editor) Row(ctx context.Context, route, customer string) (*VersionedRow, error) {
	object, err := e.store.Get(ctx, kinds.RowKey(route, customer))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	row := &VersionedRow{Version: object.Version}
	if err := kinds.Decode(object.Value, &row.RowObject); err != nil {
		return nil, trace.Wrap(err)
	}
	return row, nil
}

// SetRow changes a row and returns the new one. If there is no such row, change
// gets a row of default values. If the base is not 0 and the row has another
// version, the error is a *Conflict.
func (e *Editor) SetRow(ctx context.Context, now time.Time, route, customer string, base uint64, change func(*rows.Row) error) (*rows.Row, error) {
	var written *rows.Row
	err := e.editRow(ctx, now, route, customer, base, false, func(o *kinds.RowObject) error {
		if err := change(&o.Row); err != nil {
			return trace.Wrap(err)
		}
		if o.Row.Route != route || o.Row.Customer != customer {
			return trace.BadParameter("Route and Customer of a row cannot be changed")
		}
		o.Deleted = false
		written = &o.Row
		return nil
	})
	return written, trace.Wrap(err)
}

// PutRow replaces a whole row, also one whose object is not valid. The base has the same
// meaning as in SetRow.
func (e *Editor) PutRow(ctx context.Context, now time.Time, row rows.Row, base uint64) error {
	return trace.Wrap(e.editRow(ctx, now, row.Route, row.Customer, base, true, func(o *kinds.RowObject) error {
		o.Row, o.Deleted = row, false
		return nil
	}))
}

// DeleteRow marks a row as deleted; its object stays, with its history. The base
// has the same meaning as in SetRow. If the row is missing or deleted already, the
// error is of the kind trace.NotFound.
func (e *Editor) DeleteRow(ctx context.Context, now time.Time, route, customer string, base uint64) error {
	return trace.Wrap(e.editRow(ctx, now, route, customer, base, false, func(o *kinds.RowObject) error {
		if len(o.Edits) == 0 || o.Deleted {
			return trace.NotFound("there is no row for route %q and customer %q", route, customer)
		}
		o.Deleted = true
		return nil
	}))
}

// editRow changes the object of a row. If that is not valid, it is replaced if replace is
// set: a change of single columns would lose the others.
func (e *Editor) editRow(ctx context.Context, now time.Time, route, customer string, base uint64, replace bool, change func(*kinds.RowObject) error) error {
	build := func(current []byte, edit kinds.Edit) ([]byte, string, error) {
		object := kinds.RowObject{Row: rows.Default(route, customer)}
		if current != nil {
			var stored kinds.RowObject
			err := decodeRow(store.Object{Key: kinds.RowKey(route, customer), Value: current}, &stored)
			switch {
			case err == nil:
				object = stored
				object.Previous = prepend(object.Previous, object.Row)
			case !replace:
				return nil, "", trace.Wrap(err)
			}
		}
		if err := change(&object); err != nil {
			return nil, "", trace.Wrap(err)
		}
		object.Edits = prepend(object.Edits, edit)
		value, err := kinds.Encode(&object)
		return value, describeRow(&object), trace.Wrap(err)
	}
	return e.edit(ctx, now, kinds.RowKey(route, customer), base, build, func(value []byte) ([]kinds.Edit, string) {
		var object kinds.RowObject
		if kinds.Decode(value, &object) != nil {
			return nil, "a value that cannot be decoded"
		}
		return object.Edits, describeRow(&object)
	})
}

// Keys returns all granted keys, withdrawn ones included, sorted by customer and
// hash, and the keys of the objects that are not valid ones.
func (e *Editor) Keys(ctx context.Context) (keys []kinds.KeyObject, unreadable []string, err error) {
	listing, err := e.store.List(ctx, kinds.PrefixKeys)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	for _, object := range listing.Objects {
		var key kinds.KeyObject
		if err := kinds.Decode(object.Value, &key); err != nil || kinds.KeyObjectKey(key.Hash) != object.Key {
			unreadable = append(unreadable, object.Key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b kinds.KeyObject) int {
		return strings.Compare(a.Customer+"\x00"+a.Hash, b.Customer+"\x00"+b.Hash)
	})
	return keys, unreadable, nil
}

// GrantKey creates an API key for a customer and returns it. Only its hash is
// stored.
func (e *Editor) GrantKey(ctx context.Context, now time.Time, customer string) (string, error) {
	key := kinds.APIKeyPrefix + rand.Text()
	hash := kinds.HashAPIKey(key)
	err := e.editKey(ctx, now, hash, func(o *kinds.KeyObject) error {
		o.Customer = customer
		return nil
	})
	return key, trace.Wrap(err)
}

// WithdrawKey withdraws the API key with the given hash. If the hash is unknown,
// the error is of the kind trace.NotFound.
func (e *Editor) WithdrawKey(ctx context.Context, now time.Time, hash string) error {
	return trace.Wrap(e.editKey(ctx, now, hash, func(o *kinds.KeyObject) error {
		if len(o.Edits) == 0 {
			return trace.NotFound("there is no key with this hash")
		}
		o.Withdrawn = true
		return nil
	}))
}

func (e *Editor) editKey(ctx context.Context, now time.Time, hash string, change func(*kinds.KeyObject) error) error {
	build := func(current []byte, edit kinds.Edit) ([]byte, string, error) {
		object := kinds.KeyObject{Hash: hash}
		if current != nil {
			if err := kinds.Decode(current, &object); err != nil {
				return nil, "", trace.Wrap(err)
			}
		}
		if err := change(&object); err != nil {
			return nil, "", trace.Wrap(err)
		}
		object.Edits = prepend(object.Edits, edit)
		value, err := kinds.Encode(&object)
		return value, describeKey(&object), trace.Wrap(err)
	}
	return e.edit(ctx, now, kinds.KeyObjectKey(hash), 0, build, func(value []byte) ([]kinds.Edit, string) {
		var object kinds.KeyObject
		if kinds.Decode(value, &object) != nil {
			return nil, "a value that cannot be decoded"
		}
		return object.Edits, describeKey(&object)
	})
}

// edit changes the object with the given key. The function build returns the new
// value, with the edit among its edits, and a description of it; inspect returns
// the edits of a value and a description of it.
//
// A write that fails is sent again while the object has its old version. Once
// the object has another version, the edits in its value tell whether the write
// took effect or another change came first.
func (e *Editor) edit(ctx context.Context, now time.Time, key string, base uint64, build func([]byte, kinds.Edit) ([]byte, string, error), inspect func([]byte) ([]kinds.Edit, string)) error {
	edit := kinds.Edit{ID: rand.Text(), Time: now.UTC().Truncate(time.Millisecond)}
	current, err := e.get(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	value, mine, err := build(current.Value, edit)
	if err != nil {
		return trace.Wrap(err)
	}
	if base != 0 && base != current.Version {
		_, theirs := inspect(current.Value)
		return trace.Wrap(&Conflict{Mine: mine, Theirs: theirs})
	}
	_, err = e.store.Put(ctx, key, value, current.Version)
	for range maxAttempts {
		if err == nil {
			return nil
		}
		latest, readErr := e.get(ctx, key)
		switch {
		case readErr != nil:
			err = readErr
		case latest.Version == current.Version:
			_, err = e.store.Put(ctx, key, value, current.Version)
			continue
		default:
			return resolve(latest.Value, edit.ID, mine, inspect)
		}
		if waitErr := pause.For(ctx, retryBackoff); waitErr != nil {
			break
		}
	}
	if err == nil {
		return nil
	}
	return trace.Wrap(&Unknown{ID: edit.ID, Err: err})
}

// resolve returns nil if the edit with the given ID is among the edits of an
// object's current value, and a *Conflict if not.
func resolve(value []byte, id, mine string, inspect func([]byte) ([]kinds.Edit, string)) error {
	edits, theirs := inspect(value)
	if slices.ContainsFunc(edits, func(e kinds.Edit) bool { return e.ID == id }) {
		return nil
	}
	return trace.Wrap(&Conflict{Mine: mine, Theirs: theirs})
}

func (e *Editor) get(ctx context.Context, key string) (store.Object, error) {
	object, err := e.store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.Object{Key: key}, nil
	}
	return object, trace.Wrap(err)
}

// prepend inserts an item before the others and drops those past
// kinds.MaxEdits.
func prepend[T any](items []T, item T) []T {
	items = slices.Insert(items, 0, item)
	return items[:min(len(items), kinds.MaxEdits)]
}

func describeRow(o *kinds.RowObject) string {
	if o.Deleted {
		return "deleted: " + strings.Join(o.Row.Record(), ",")
	}
	return strings.Join(o.Row.Record(), ",")
}

func describeKey(o *kinds.KeyObject) string {
	return fmt.Sprintf("key of %s, withdrawn: %t", o.Customer, o.Withdrawn)
}
