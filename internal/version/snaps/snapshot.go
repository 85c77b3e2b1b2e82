// Package snaps keeps the configuration in force as an immutable snapshot. A new
// position of the store replaces the snapshot atomically; the position never decreases.
package snaps

import (
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// AnyMethod is the method of a row that matches requests of all methods.
const AnyMethod = "*"

// shardID identifies a shard's allocator.
type shardID struct {
	zone  string
	shard int
}

// rowID identifies a row among the rows of one path.
type rowID struct {
	method, customer string
}

// Snapshot is the configuration at a position of the store. It is immutable.
type Snapshot struct {
	position   store.Position
	allocators map[shardID]kinds.Allocator
	catalog    *catalog                       // nil for none
	crashes    map[string]kinds.Crashes       // by availability zone
	evacuated  map[string]bool                // availability zones
	keys       map[string]kinds.KeyObject     // by hash
	rows       map[string]map[rowID]*rows.Row // by path
	source     *catalogSource                 // nil for none

	evacuationsPrefix string // of the keys of evacuations; empty for none
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		allocators: make(map[shardID]kinds.Allocator),
		crashes:    make(map[string]kinds.Crashes),
		keys:       make(map[string]kinds.KeyObject),
		rows:       make(map[string]map[rowID]*rows.Row),
	}
}

// Position returns the store's position that the snapshot represents. Its revision is 0
// for an empty snapshot.
func (s *Snapshot) Position() store.Position {
	return s.position
}

// Revision returns the revision of the snapshot's position.
func (s *Snapshot) Revision() uint64 {
	return s.position.Revision
}

// Allocator returns the record of the allocator of a shard in an availability zone,
// or false if there is none.
func (s *Snapshot) Allocator(zone string, shard int) (kinds.Allocator, bool) {
	a, ok := s.allocators[shardID{zone, shard}]
	return a, ok
}

// Crashes returns the requests that have crashed upstreams, by availability zone. The map
// must not be modified.
func (s *Snapshot) Crashes() map[string]kinds.Crashes {
	return s.crashes
}

// Customer returns the customer to which an API key was granted, or false for an
// unknown or withdrawn key.
func (s *Snapshot) Customer(key string) (string, bool) {
	hash := kinds.HashAPIKey(key)
	object, ok := s.keys[hash]
	if !ok || object.Withdrawn {
		return "", false
	}
	if subtle.ConstantTimeCompare([]byte(object.Hash), []byte(hash)) != 1 {
		return "", false
	}
	return object.Customer, true
}

// Keys returns all granted keys, withdrawn ones included, sorted by customer and
// hash.
func (s *Snapshot) Keys() []kinds.KeyObject {
	var keys []kinds.KeyObject
	for _, key := range s.keys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b kinds.KeyObject) int {
		return strings.Compare(a.Customer+a.Hash, b.Customer+b.Hash)
	})
	return keys
}

// Match returns the row for a request. It tries the prefixes of the path from
// the longest to the shortest, in whole segments. On each prefix it tries the
// rows for the method before those for any method, and among these the
// customer's own row before the row for any customer. The customer is empty for
// a request without a key, which matches open rows only.
//
// The search ends at the first prefix and method with any rows. If none of these
// rows admits the request, the row is nil and routed is true.
func (s *Snapshot) Match(method, path, customer string) (row *rows.Row, routed bool) {
	for path = strings.TrimRight(path, "/"); path != ""; path = path[:max(strings.LastIndexByte(path, '/'), 0)] {
		index, ok := s.rows[path]
		if !ok {
			continue
		}
		for _, m := range [...]string{method, AnyMethod} {
			if row, known := matchCustomer(index, m, customer); known {
				return row, true
			}
		}
	}
	return nil, false
}

// matchCustomer returns the row for a customer among the rows of one path and
// method. If there are rows but none is for the customer, it returns nil and
// true, so that the caller does not try a shorter prefix, whose row could
// admit a request that the longer prefix does not allow.
func matchCustomer(index map[rowID]*rows.Row, method, customer string) (row *rows.Row, known bool) {
	if row, ok := index[rowID{method, customer}]; ok && customer != "" {
		return row, true
	}
	if row, ok := index[rowID{method, rows.AnyCustomer}]; ok {
		if customer == "" && !row.Open {
			return nil, true
		}
		return row, true
	}
	for id := range index {
		if id.method == method {
			return nil, true
		}
	}
	return nil, false
}

// Row returns the row of a route for a customer: the customer's own row, or else
// the row for any customer, or nil if there is neither.
func (s *Snapshot) Row(route, customer string) *rows.Row {
	wanted := rows.Row{Route: route}
	index := s.rows[wanted.Path()]
	if row, ok := index[rowID{wanted.Method(), customer}]; ok {
		return row
	}
	return index[rowID{wanted.Method(), rows.AnyCustomer}]
}

// Rows returns all rows, sorted by route and customer.
func (s *Snapshot) Rows() []rows.Row {
	var table []rows.Row
	for _, index := range s.rows {
		for _, row := range index {
			table = append(table, *row)
		}
	}
	slices.SortFunc(table, func(a, b rows.Row) int {
		return strings.Compare(a.Route+"\x00"+a.Customer, b.Route+"\x00"+b.Customer)
	})
	return table
}
