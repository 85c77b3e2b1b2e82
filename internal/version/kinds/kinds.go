// Package kinds defines the kinds of objects in the platform's store: their
// JSON form, their keys and their validation.
package kinds

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/pkg/rows"
)

// Prefixes of the store keys of each kind of object. Nodes watch all objects
// below Root and pass them on to each other.
const (
	Root             = "Wasabibend/"
	PrefixAllocators = Root + "Allocators/"
	PrefixClaims     = "WasabibendClaims/" // outside Root: only the holders of shards read them
	PrefixKeys       = Root + "Keys/"
	PrefixRows       = Root + "Rows/"
	PrefixSeeds      = "WasabibendSeeds/" // outside Root: few nodes read them
)

// SecretKey is the store key of the fleet's secret, which is used if the
// settings have none. It is outside Root, so that nodes do not pass it on with
// the configuration.
const SecretKey = "WasabibendSecret/Fleet"

// APIKeyPrefix is the prefix of all API keys.
const APIKeyPrefix = "wbk_"

// MaxEdits is the number of edits that an object keeps. Older ones are dropped.
const MaxEdits = 8

// Edit identifies a change of an object. If the answer to a write is lost, the
// author finds out by the ID whether the write took effect.
type Edit struct {
	ID   string
	Time time.Time
}

// RowObject is a row of the operators' table.
type RowObject struct {
	Row     rows.Row
	Deleted bool `json:",omitempty"`
	// Edits are the last edits, newest first.
	Edits []Edit
	// Previous are the rows that the last edits replaced, newest first.
	Previous []rows.Row `json:",omitempty"`
}

// Check returns an error if the row is not valid.
func (o *RowObject) Check() error {
	return trace.Wrap(o.Row.Check())
}

// Before reports whether the row was last edited before another version of it.
func (o *RowObject) Before(other *RowObject) bool {
	return lastEdit(o.Edits).Before(lastEdit(other.Edits))
}

// lastEdit returns the time of the newest edit, or zero if there is none.
func lastEdit(edits []Edit) time.Time {
	if len(edits) == 0 {
		return time.Time{}
	}
	return edits[0].Time
}

// RowKey returns the store key of the row of a route and a customer.
func RowKey(route, customer string) string {
	sum := sha256.Sum256([]byte(route + "\x00" + customer))
	return PrefixRows + hex.EncodeToString(sum[:12])
}

// KeyObject is an API key granted to a customer. Only the key's hash is stored.
type KeyObject struct {
	Customer string
	// Hash is the SHA-256 of the key in hexadecimal digits.
	Hash      string
	Withdrawn bool `json:",omitempty"`
	Edits     []Edit
}

// Check returns an error if the hash is not a SHA-256, or if the customer is
// empty or AnyCustomer.
func (o *KeyObject) Check() error {
	if sum, err := hex.DecodeString(o.Hash); err != nil || len(sum) != sha256.Size {
		return trace.BadParameter("Hash: want 64 hexadecimal digits")
	}
	if o.Customer == "" || o.Customer == rows.AnyCustomer {
		return trace.BadParameter("Customer %q: want the name of one customer", o.Customer)
	}
	return nil
}

// Before reports whether the key was last edited before another version of it.
func (o *KeyObject) Before(other *KeyObject) bool {
	return lastEdit(o.Edits).Before(lastEdit(other.Edits))
}

// HashAPIKey returns the hash of an API key, in the form that KeyObject stores.
func HashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyObjectKey returns the store key of the KeyObject with the given hash.
func KeyObjectKey(hash string) string {
	return PrefixKeys + hash
}

// Allocator records which node of an availability zone holds the allocator of a
// shard. An allocator grants tokens of the rates of the shard's customers.
type Allocator struct {
	Zone  string
	Shard int
	// Term increases with each change of the holder.
	Term uint64
	// Holder is the node that holds the allocator.
	Holder netip.AddrPort
	// Candidates are the nodes that may take over, including the holder.
	Candidates []netip.AddrPort
}

// maxTerm leaves room for more changes of the holder than there can be.
const maxTerm = 1 << 60

// Check returns an error if the zone, the shard or the term is not valid, or if
// the holder is not a candidate.
func (o *Allocator) Check() error {
	if o.Term > maxTerm {
		return trace.BadParameter("Allocator: want a term of at most %d", uint64(maxTerm))
	}
	if !o.Holder.IsValid() || o.Holder.Port() == 0 {
		return trace.BadParameter("Holder: want an IP address and port")
	}
	if o.Zone == "" || strings.Contains(o.Zone, "/") || o.Shard < 0 || o.Term == 0 {
		return trace.BadParameter("Allocator: want a zone without a slash, a shard of at least 0 and a term of at least 1")
	}
	if !slices.Contains(o.Candidates, o.Holder) {
		return trace.BadParameter("Candidates: the holder %v is not one of them", o.Holder)
	}
	return nil
}

// Before reports whether the allocator's term is before that of another record of it.
func (o *Allocator) Before(other *Allocator) bool {
	return o.Term < other.Term
}

// Seeds are the addresses of some nodes of an availability zone, which new nodes
// contact to join.
type Seeds struct {
	Zone      string
	Addresses []netip.AddrPort
}

// Check returns an error if the zone is empty.
func (o *Seeds) Check() error {
	if o.Zone == "" {
		return trace.BadParameter("Zone is missing")
	}
	return nil
}

// Secret is the secret with which nodes authenticate to each other.
type Secret struct {
	Text string
}

// Check returns an error if the secret is empty.
func (o *Secret) Check() error {
	if o.Text == "" {
		return trace.BadParameter("Text is missing")
	}
	return nil
}

// Checker is implemented by all kinds of objects. Check validates the object.
type Checker interface {
	Check() error
}

// Decode decodes an object's value and validates it.
func Decode(value []byte, into Checker) error {
	if err := json.Unmarshal(value, into); err != nil {
		return trace.BadParameter("%v", err)
	}
	return trace.Wrap(into.Check())
}

// Encode validates an object and returns its encoded value.
func Encode(from Checker) ([]byte, error) {
	if err := from.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	value, err := json.Marshal(from)
	return value, trace.Wrap(err)
}

// DecodeAllocator decodes the object with the given key, which must be that of its
// allocator.
func DecodeAllocator(key string, value []byte, into *Allocator) error {
	if err := Decode(value, into); err != nil {
		return trace.Wrap(err)
	}
	if AllocatorKey(into.Zone, into.Shard) != key {
		return trace.BadParameter("%s: the record is of shard %d in zone %q", key, into.Shard, into.Zone)
	}
	return nil
}

// AllocatorKey returns the store key of the Allocator of a shard in an
// availability zone.
func AllocatorKey(zone string, shard int) string {
	return PrefixAllocators + zone + "." + strconv.Itoa(shard)
}

// SeedsKey returns the store key of the seeds of an availability zone.
func SeedsKey(zone string) string {
	return PrefixSeeds + zone
}
