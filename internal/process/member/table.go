package member

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deadRetention is how long the record of a dead node is kept.
	deadRetention = time.Hour
	// suspicionTimeout is how long a suspected node has to refute the suspicion
	// before it is declared dead.
	suspicionTimeout = 2 * time.Second
)

// digestBuckets is the number of buckets into which the records are hashed. A
// sync exchanges only the records of buckets whose digests differ.
const digestBuckets = 64

// maxPatchedRecords is the maximum number of changed records that are applied to
// a copy of the previous view. After more changes the view is rebuilt.
const maxPatchedRecords = 64

// fingerBase is the ratio between the ring distances of successive neighbours of
// a node: 1, 8, 64 and so on.
const fingerBase = 8

// Table is the membership table: the latest record of each known node. No other
// lock is acquired while its lock is held.
type Table struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	changed []netip.AddrPort // nodes whose records changed since the last view
	digests [digestBuckets]uint64
	records map[netip.AddrPort]*entry
	self    Record
}

// entry is a record and the local time at which it was stored.
type entry struct {
	record    Record
	updatedAt time.Time
}

// View is an immutable snapshot of the nodes that are not dead.
type View struct {
	positions []uint64            // of the nodes in ring, ascending
	ring      []Record            // ordered by position
	services  map[string][]Record // nodes that accept requests, by service
}

// NewTable returns a Table that holds only the node's own record. Its incarnation
// is the time of the start, so that it overrides records of earlier starts.
func NewTable(now time.Time, self Record) *Table {
	self.Health = Alive
	self.Incarnation = uint64(now.UnixNano())
	t := &Table{records: make(map[netip.AddrPort]*entry), self: self}
	t.put(now, self)
	t.updateView()
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetSelf sets the node's own service and readiness. It returns the node's record,
// and true if the record changed and has to be sent to other nodes.
func (t *Table) SetSelf(now time.Time, service string, readiness Readiness) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Service == service && t.self.Readiness == readiness {
		return t.self, false
	}
	t.self.Service = service
	t.self.Readiness = readiness
	t.raiseIncarnation(now, t.self.Incarnation)
	t.updateView()
	return t.self, true
}

// SetSelfLeaving marks the node itself as leaving and returns its record, which
// has to be sent to other nodes.
func (t *Table) SetSelfLeaving(now time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.raiseIncarnation(now, t.self.Incarnation)
	t.updateView()
	return t.self
}

// SetSelfDead marks the node itself as dead and draining and returns its record,
// which has to be sent to other nodes.
func (t *Table) SetSelfDead(now time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Health = Dead
	t.self.Readiness = Draining
	t.raiseIncarnation(now, t.self.Incarnation)
	t.updateView()
	return t.self
}

// Zone returns the availability zone of a node. It returns false if the node is
// unknown.
func (t *Table) Zone(peer netip.AddrPort) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[peer]
	if e == nil {
		return "", false
	}
	return e.record.Zone, true
}

// RecentlyDead returns the records of the other nodes of an availability zone that
// are dead and whose records changed during the given time before now.
func (t *Table) RecentlyDead(now time.Time, zone string, within time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []Record
	for _, e := range t.records {
		if e.record.Health == Dead && e.record.Zone == zone && now.Sub(e.updatedAt) < within && e.record.Peers != t.self.Peers {
			dead = append(dead, e.record)
		}
	}
	return dead
}

// Merge adds the records that are valid and newer than the known ones, and
// returns those that it added. If a record of the node itself is newer than its
// own, for example because another node suspects it, the node refutes it by
// raising its incarnation, and its new record is returned too.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Record
	for i := range records {
		r := records[i]
		if r.Check() != nil {
			continue
		}
		if r.Peers == t.self.Peers {
			if r.supersedes(&t.self) {
				t.raiseIncarnation(now, r.Incarnation)
				updates = append(updates, t.self)
			}
			continue
		}
		if old := t.records[r.Peers]; old != nil && !r.supersedes(&old.record) {
			continue
		}
		t.put(now, r)
		updates = append(updates, r)
	}
	if len(updates) > 0 {
		t.updateView()
	}
	return updates
}

// Suspect marks a node that does not answer as suspected. It returns the changed
// record, which has to be sent to other nodes, or false if the node is unknown,
// not alive or the node itself.
func (t *Table) Suspect(now time.Time, peer netip.AddrPort) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[peer]
	if e == nil || e.record.Health != Alive || peer == t.self.Peers {
		return Record{}, false
	}
	r := e.record
	r.Health = Suspect
	t.put(now, r)
	t.updateView()
	return r, true
}

// Expire declares nodes dead that have been suspected for suspicionTimeout, and
// removes nodes that have been dead for deadRetention. It returns the changed
// records, which have to be sent to other nodes.
func (t *Table) Expire(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []Record
	changed := false
	for peer, e := range t.records {
		switch {
		case e.record.Health == Dead && peer != t.self.Peers && now.Sub(e.updatedAt) >= deadRetention:
			t.digests[bucket(peer)] ^= e.record.digest()
			delete(t.records, peer)
			t.changed = append(t.changed, peer)
			changed = true
		case e.record.Health == Suspect && now.Sub(e.updatedAt) >= suspicionTimeout:
			r := e.record
			r.Health = Dead
			t.put(now, r)
			updates = append(updates, r)
		}
	}
	if changed || len(updates) > 0 {
		t.updateView()
	}
	return updates
}

// Digests returns the digest of each bucket: the XOR of the digests of its records.
func (t *Table) Digests() [digestBuckets]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digests
}

// Digest returns a hash of the whole table, computed from the bucket digests.
func (t *Table) Digest() uint64 {
	digests := t.Digests()
	var sum uint64
	for i, d := range digests {
		sum ^= d + uint64(i)
	}
	return sum
}

// DifferingRecords returns the records of the buckets whose digests differ from the
// given ones.
func (t *Table) DifferingRecords(digests [digestBuckets]uint64) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for peer, e := range t.records {
		if b := bucket(peer); t.digests[b] != digests[b] {
			records = append(records, e.record)
		}
	}
	return records
}

// Dead returns the sorted addresses of other nodes that are dead.
func (t *Table) Dead() []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dead []netip.AddrPort
	for peer, e := range t.records {
		if e.record.Health == Dead && peer != t.self.Peers {
			dead = append(dead, peer)
		}
	}
	slices.SortFunc(dead, netip.AddrPort.Compare)
	return dead
}

// View returns the current view.
func (t *Table) View() *View {
	return t.view.Load()
}

// raiseIncarnation gives the node's own record an incarnation greater than above
// and not before now, and stores it. The caller holds the lock.
func (t *Table) raiseIncarnation(now time.Time, above uint64) {
	t.self.Incarnation = max(above+1, uint64(now.UnixNano()))
	t.put(now, t.self)
}

// put stores a record and updates its bucket's digest. The caller holds the lock.
func (t *Table) put(now time.Time, r Record) {
	b := bucket(r.Peers)
	if old := t.records[r.Peers]; old != nil {
		t.digests[b] ^= old.record.digest()
	}
	t.digests[b] ^= r.digest()
	t.records[r.Peers] = &entry{record: r, updatedAt: now}
	t.changed = append(t.changed, r.Peers)
}

// updateView publishes a view that includes the changed records. If they are few,
// the new view shares unchanged service lists with the previous one. The caller
// holds the lock.
func (t *Table) updateView() {
	old := t.view.Load()
	if old == nil || len(t.changed) > maxPatchedRecords {
		t.view.Store(t.newView())
	} else {
		t.view.Store(t.patchView(old))
	}
	t.changed = t.changed[:0]
}

// newView builds a view from all records.
func (t *Table) newView() *View {
	v := &View{services: make(map[string][]Record)}
	for _, e := range t.records {
		if e.record.Health != Dead {
			v.ring = append(v.ring, e.record)
		}
	}
	positions := make(map[netip.AddrPort]uint64, len(v.ring))
	for i := range v.ring {
		positions[v.ring[i].Peers] = v.ring[i].ringPosition()
	}
	slices.SortFunc(v.ring, func(a, b Record) int { return cmp.Compare(positions[a.Peers], positions[b.Peers]) })
	for _, r := range v.ring {
		v.positions = append(v.positions, positions[r.Peers])
		if r.acceptsRequests() {
			v.services[r.Service] = append(v.services[r.Service], r)
		}
	}
	return v
}

// patchView returns a copy of the view old to which the changed records are applied.
func (t *Table) patchView(old *View) *View {
	v := &View{positions: slices.Clone(old.positions), ring: slices.Clone(old.ring), services: maps.Clone(old.services)}
	for _, peer := range t.changed {
		pos := ringPosition(peer)
		index, present := slices.BinarySearch(v.positions, pos)
		if present {
			v.removeFromService(&v.ring[index])
		}
		e := t.records[peer]
		switch alive := e != nil && e.record.Health != Dead; {
		case present && alive:
			v.ring[index] = e.record
		case present:
			v.positions = slices.Delete(v.positions, index, index+1)
			v.ring = slices.Delete(v.ring, index, index+1)
		case alive:
			v.positions = slices.Insert(v.positions, index, pos)
			v.ring = slices.Insert(v.ring, index, e.record)
		}
		if e != nil && e.record.acceptsRequests() {
			v.services[e.record.Service] = append(slices.Clone(v.services[e.record.Service]), e.record)
		}
	}
	return v
}

// removeFromService removes a node from the list of its service. It replaces the
// list instead of modifying it, because older views may share it.
func (v *View) removeFromService(r *Record) {
	service := v.services[r.Service]
	index := slices.IndexFunc(service, func(other Record) bool { return other.Peers == r.Peers })
	if index < 0 {
		return
	}
	kept := slices.Delete(slices.Clone(service), index, index+1)
	if len(kept) == 0 {
		delete(v.services, r.Service)
		return
	}
	v.services[r.Service] = kept
}

// Size returns the number of nodes that are not dead.
func (v *View) Size() int {
	return len(v.ring)
}

// All returns the nodes that are not dead, in ring order. The slice must not be
// modified.
func (v *View) All() []Record {
	return v.ring
}

// Service returns the nodes whose upstreams accept requests for a service. The
// slice must not be modified.
func (v *View) Service(name string) []Record {
	return v.services[name]
}

// Zone returns the first nodes of an availability zone, in ring order, that are
// alive and not leaving. It returns at most limit nodes.
func (v *View) Zone(zone string, limit int) []Record {
	var records []Record
	for _, r := range v.ring {
		if r.Zone == zone && r.Health == Alive && !r.Leaving && len(records) < limit {
			records = append(records, r)
		}
	}
	return records
}

// Neighbours returns the nodes at the distances 1, fingerBase, fingerBase^2 and so
// on after a node on the ring, or nil if the node is not in the view.
func (v *View) Neighbours(self netip.AddrPort) []netip.AddrPort {
	index, ok := slices.BinarySearch(v.positions, ringPosition(self))
	if !ok {
		return nil
	}
	var peers []netip.AddrPort
	for distance := 1; distance < len(v.ring); distance *= fingerBase {
		peers = append(peers, v.ring[(index+distance)%len(v.ring)].Peers)
	}
	return peers
}

// bucket returns the index of the bucket of a node.
func bucket(peer netip.AddrPort) int {
	return int(ringPosition(peer) % digestBuckets)
}
