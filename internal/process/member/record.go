// Package member keeps the node's view of the fleet: which nodes exist, in
// which availability zone, and the state of the upstream beside each. The nodes
// exchange their views by gossip and detect failures with heartbeats.
package member

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Health is the state of a node as seen by the failure detector.
type Health uint8

// Values of Health. Of two records with the same incarnation, the one with the
// higher value wins.
const (
	Alive Health = iota + 1
	Suspect
	Dead
)

// String returns the name of the value, or "Unknown".
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
	// Absent means that no upstream has announced itself, that its last
	// announcement has expired, or that it was marked as down.
	Absent Readiness = iota + 1
	// Ready means that the upstream accepts requests.
	Ready
	// Draining means that the upstream or its node accepts no new requests.
	Draining
)

// String returns the name of the value, or "Unknown".
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

// maxNameBytes is the maximum length of the name of a zone or service.
const maxNameBytes = 64

// Record describes one node of the fleet. Only the node itself raises its
// incarnation, which makes the new record supersede all older ones.
type Record struct {
	// Peers is the address at which other nodes reach this one. It identifies
	// the node.
	Peers       netip.AddrPort
	Zone        string
	Service     string
	Readiness   Readiness
	Health      Health
	Incarnation uint64
	// Leaving is set when the node is about to stop and must not be given new
	// roles.
	Leaving bool `cbor:",omitempty"`
}

// Check implements wire.Checker.
func (r *Record) Check() error {
	switch {
	case !r.Peers.IsValid():
		return trace.BadParameter("Peers: missing or invalid address")
	case r.Zone == "" || len(r.Zone) > maxNameBytes || len(r.Service) > maxNameBytes:
		return trace.BadParameter("Zone or Service: expected a zone of 1 to %d bytes and a service of at most %d bytes", maxNameBytes, maxNameBytes)
	case r.Readiness < Absent || r.Readiness > Draining:
		return trace.BadParameter("Readiness: unknown value %d", r.Readiness)
	case r.Health < Alive || r.Health > Dead:
		return trace.BadParameter("Health: unknown value %d", r.Health)
	}
	return nil
}

// supersedes reports whether r is newer than another record of the same node.
func (r *Record) supersedes(other *Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Health > other.Health
}

// acceptsRequests reports whether the node is alive and the upstream beside it
// is ready.
func (r *Record) acceptsRequests() bool {
	return r.Service != "" && r.Readiness == Ready && r.Health == Alive
}

// ringPosition returns the node's position on the hash ring of all nodes.
func (r *Record) ringPosition() uint64 {
	return ringPosition(r.Peers)
}

// digest returns a hash of the record. Zone and Service are left out because
// they change only together with the incarnation.
func (r *Record) digest() uint64 {
	var b [18]byte
	binary.LittleEndian.PutUint64(b[:], r.ringPosition())
	binary.LittleEndian.PutUint64(b[8:], r.Incarnation)
	b[16] = byte(r.Health)
	b[17] = byte(r.Readiness)
	if r.Leaving {
		b[17] |= 1 << 7
	}
	return xxhash.Sum64(b[:])
}

// ringPosition returns the position of an address on the hash ring, or 0 if the
// address cannot be encoded.
func ringPosition(address netip.AddrPort) uint64 {
	data, err := address.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}
