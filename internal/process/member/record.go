// Package member keeps the node's view of the fleet: which nodes exist, in
// which availability zone, and the state of the upstream beside each.
package member

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Health is what is known of a node.
type Health uint8

// Values of Health. For one incarnation the higher value wins.
const (
	Alive Health = iota + 1
	Suspect
	Dead
)

// String returns the name.
func (h Health) String() string {
	switch h {
	case Alive:
		return "Alive"
	case Suspect:
		return "Suspect"
	case Dead:
		return "Dead"
	}
	return "Unknown"
}

// Readiness is the state of the upstream beside a node.
type Readiness uint8

// Values of Readiness.
const (
	// Absent means that no upstream is announced.
	Absent Readiness = iota + 1
	// Ready means that the upstream takes requests.
	Ready
	// Draining means that the upstream or its node takes no new request.
	Draining
)

// String returns the name.
func (r Readiness) String() string {
	switch r {
	case Absent:
		return "Absent"
	case Ready:
		return "Ready"
	case Draining:
		return "Draining"
	}
	return "Unknown"
}

// maxName is the longest name of a zone or service in bytes.
const maxName = 64

// Record is what is known of one node. Only the node itself raises its
// incarnation.
type Record struct {
	// Peers is the node's address for peers and its identity.
	Peers       netip.AddrPort
	Zone        string
	Service     string
	Readiness   Readiness
	Health      Health
	Incarnation uint64
	// Leaving tells that the node stops soon and takes no new role.
	Leaving bool `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (r *Record) Check() error {
	switch {
	case !r.Peers.IsValid():
		return trace.BadParameter("Peers is missing")
	case r.Zone == "" || len(r.Zone) > maxName || len(r.Service) > maxName:
		return trace.BadParameter("Zone or Service is not a name")
	case r.Readiness < Absent || r.Readiness > Draining:
		return trace.BadParameter("Readiness %d is unknown", r.Readiness)
	case r.Health < Alive || r.Health > Dead:
		return trace.BadParameter("Health %d is unknown", r.Health)
	}
	return nil
}

// supersedes reports whether the record is newer than another of the node.
func (r *Record) supersedes(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Health > other.Health
}

// takesRequests reports whether the upstream beside the node takes requests.
func (r *Record) takesRequests() bool {
	return r.Service != "" && r.Readiness == Ready && r.Health == Alive
}

// position returns the node's place on the ring of all nodes.
func (r *Record) position() uint64 {
	return position(r.Peers)
}

// digest returns a hash of the whole record.
func (r *Record) digest() uint64 {
	var b [18]byte
	binary.LittleEndian.PutUint64(b[:], r.position())
	binary.LittleEndian.PutUint64(b[8:], r.Incarnation)
	b[16] = byte(r.Health)
	b[17] = byte(r.Readiness)
	if r.Leaving {
		b[17] |= 1 << 7
	}
	return xxhash.Sum64(b[:])
}

func position(address netip.AddrPort) uint64 {
	data, err := address.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
