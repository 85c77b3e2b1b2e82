// Package kinds defines the kinds of objects that the system keeps in the
// platform's store, with their keys and checks.
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

// Prefixes of the keys of each kind.
const (
	Root             = "Wasabibend/"
	PrefixAllocators = Root + "Allocators/"
	PrefixClaims     = "WasabibendClaims/" // not below Root, for only holders read them
	PrefixKeys       = Root + "Keys/"
	PrefixRows       = Root + "Rows/"
	PrefixSeeds      = "WasabibendSeeds/" // not below Root, for few nodes read them
)

// SecretKey is the key of the fleet's secret, where no setting has it. It is
// not below Root, so that it is not passed on.
const SecretKey = "WasabibendSecret/Fleet"

// KeyPrefix begins each key.
const KeyPrefix = "wbk_"

// MaxEdits is the number of last edits that an object remembers.
const MaxEdits = 8

// Edit identifies a change of an object, so that its author can tell whether
// it took effect.
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
	// Previous are the rows before the last edits, newest first.
	Previous []rows.Row `json:",omitempty"`
}

// Check returns an error if the object is not valid.
func (o *RowObject) Check() error {
	return trace.Wrap(o.Row.Check())
}

// RowKey returns the key of a row's object.
func RowKey(route, customer string) string {
	sum := sha256.Sum256([]byte(route + "\x00" + customer))
	return PrefixRows + hex.EncodeToString(sum[:12])
}

// KeyObject is a key granted to a customer. The key itself is not stored.
type KeyObject struct {
	Customer string
	// Hash is the SHA-256 of the key in hexadecimal digits.
	Hash      string
	Withdrawn bool `json:",omitempty"`
	Edits     []Edit
}

// Check returns an error if the object is not valid.
func (o *KeyObject) Check() error {
	if sum, err := hex.DecodeString(o.Hash); err != nil || len(sum) != sha256.Size {
		return trace.BadParameter("Hash: want 64 hexadecimal digits")
	}
	if o.Customer == "" || o.Customer == rows.AnyCustomer {
		return trace.BadParameter("Customer %q: want a name", o.Customer)
	}
	return nil
}

// HashKey returns the stored form of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyKey returns the key of a granted key's object by its hash.
func KeyKey(hash string) string {
	return PrefixKeys + hash
}

// Allocator records which node of an availability zone deals out a shard of
// the customers' rates.
type Allocator struct {
	Zone  string
	Shard int
	// Term is raised with each change of holder.
	Term   uint64
	Holder netip.AddrPort
	// Candidates are the nodes that may take over, the holder among them.
	Candidates []netip.AddrPort
}

// Check returns an error if the object is not valid.
func (o *Allocator) Check() error {
	if o.Zone == "" || strings.Contains(o.Zone, "/") || o.Shard < 0 || o.Term == 0 {
		return trace.BadParameter("Allocator: want a zone, a shard and a term")
	}
	if !slices.Contains(o.Candidates, o.Holder) {
		return trace.BadParameter("Candidates: want the holder %v among them", o.Holder)
	}
	return nil
}

// Seeds are addresses of nodes of an availability zone at which new nodes
// join.
type Seeds struct {
	Zone      string
	Addresses []netip.AddrPort
}

// Check returns an error if the object is not valid.
func (o *Seeds) Check() error {
	if o.Zone == "" {
		return trace.BadParameter("Zone: want a name")
	}
	return nil
}

// Secret is the secret that all nodes share.
type Secret struct {
	Text string
}

// Check returns an error if the object is not valid.
func (o *Secret) Check() error {
	if o.Text == "" {
		return trace.BadParameter("Text is missing")
	}
	return nil
}

// Checker is implemented by the kinds of objects.
type Checker interface {
	Check() error
}

// Decode decodes and checks an object's value.
func Decode(value []byte, into Checker) error {
	if err := json.Unmarshal(value, into); err != nil {
		return trace.BadParameter("%v", err)
	}
	return trace.Wrap(into.Check())
}

// Encode returns an object's value.
func Encode(from Checker) ([]byte, error) {
	if err := from.Check(); err != nil {
		return nil, trace.Wrap(err)
	}
	value, err := json.Marshal(from)
	return value, trace.Wrap(err)
}

// AllocatorKey returns the key of a shard's allocator.
func AllocatorKey(zone string, shard int) string {
	return PrefixAllocators + zone + "." + strconv.Itoa(shard)
}

// SeedsKey returns the key of the seeds of an availability zone.
func SeedsKey(zone string) string {
	return PrefixSeeds + zone
}
