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

// Times of the failure detector.
const (
	// forgetAfter is how long the record of a dead node is kept.
	forgetAfter = time.Hour
	// suspectFor is how long a suspected node may refute.
	suspectFor = 2 * time.Second
)

// buckets is the number of parts of the table that are compared in a sync.
const buckets = 64

// maxPatched is the number of changed records up to which a view is patched.
const maxPatched = 64

// fingerBase is the ratio between the distances of a node's neighbours on the
// ring.
const fingerBase = 8

// Table is the view of the fleet. Its lock is a leaf: nothing else is locked
// under it.
type Table struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	changed []netip.AddrPort // since the last view
	digests [buckets]uint64
	records map[netip.AddrPort]*entry
	self    Record
}

// entry is a record and the time at which its health changed here.
type entry struct {
	record Record
	since  time.Time
}

// View is an immutable state of the table.
type View struct {
	places   []uint64 // on the ring, in the order of ring
	ring     []Record
	services map[string][]Record
}

// NewTable returns a table with only the node itself.
func NewTable(now time.Time, self Record) *Table {
	self.Health = Alive
	self.Incarnation = uint64(now.UnixNano())
	t := &Table{records: make(map[netip.AddrPort]*entry), self: self}
	t.put(now, self)
	t.rebuild()
	return t
}

// Self returns the node's own record.
func (t *Table) Self() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetSelf changes the node's own service and readiness and returns the record
// to spread, or false if nothing changed.
func (t *Table) SetSelf(now time.Time, service string, readiness Readiness) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Service == service && t.self.Readiness == readiness {
		return t.self, false
	}
	t.self.Service = service
	t.self.Readiness = readiness
	t.raise(now, t.self.Incarnation)
	t.rebuild()
	return t.self, true
}

// AnnounceLeave marks the node itself as leaving and returns the record to spread.
func (t *Table) AnnounceLeave(now time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Leaving = true
	t.raise(now, t.self.Incarnation)
	t.rebuild()
	return t.self
}

// Leave marks the node itself as dead and returns the record to spread.
func (t *Table) Leave(now time.Time) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Health = Dead
	t.self.Readiness = Draining
	t.raise(now, t.self.Incarnation)
	t.rebuild()
	return t.self
}

// Gone returns the records of nodes of an availability zone that went within a
// time.
func (t *Table) Gone(now time.Time, zone string, within time.Duration) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []Record
	for _, e := range t.records {
		if e.record.Health == Dead && e.record.Zone == zone && now.Sub(e.since) < within && e.record.Peers != t.self.Peers {
			gone = append(gone, e.record)
		}
	}
	return gone
}

// Merge takes in records and returns those that were news. A record that
// claims the node itself to be suspected, dead or older is refuted by a higher
// incarnation.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Record
	for i := range records {
		r := records[i]
		if r.Check() != nil {
			continue
		}
		if r.Peers == t.self.Peers {
			if r.supersedes(&t.self) {
				t.raise(now, r.Incarnation)
				news = append(news, t.self)
			}
			continue
		}
		if old := t.records[r.Peers]; old != nil && !r.supersedes(&old.record) {
			continue
		}
		t.put(now, r)
		news = append(news, r)
	}
	if len(news) > 0 {
		t.rebuild()
	}
	return news
}

// Suspect records that a node does not answer and returns the record to
// spread, or false if the node is not thought alive.
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
	t.rebuild()
	return r, true
}

// Expire declares nodes dead that were suspected for too long, forgets nodes
// that were dead for long, and returns the records to spread.
func (t *Table) Expire(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Record
	changed := false
	for peer, e := range t.records {
		switch {
		case e.record.Health == Dead && peer != t.self.Peers && now.Sub(e.since) >= forgetAfter:
			t.digests[bucket(peer)] ^= e.record.digest()
			delete(t.records, peer)
			t.changed = append(t.changed, peer)
			changed = true
		case e.record.Health == Suspect && now.Sub(e.since) >= suspectFor:
			r := e.record
			r.Health = Dead
			t.put(now, r)
			news = append(news, r)
		}
	}
	if changed || len(news) > 0 {
		t.rebuild()
	}
	return news
}

// Digests returns a hash of each part of the table.
func (t *Table) Digests() [buckets]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digests
}

// Digest returns a hash of the whole table.
func (t *Table) Digest() uint64 {
	digests := t.Digests()
	var sum uint64
	for i, d := range digests {
		sum ^= d + uint64(i)
	}
	return sum
}

// Differing returns the records of the parts whose hashes differ.
func (t *Table) Differing(digests [buckets]uint64) []Record {
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

// Dead returns the addresses of dead nodes, sorted.
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

func (t *Table) raise(now time.Time, above uint64) {
	t.self.Incarnation = max(above+1, uint64(now.UnixNano()))
	t.put(now, t.self)
}

func (t *Table) put(now time.Time, r Record) {
	b := bucket(r.Peers)
	if old := t.records[r.Peers]; old != nil {
		t.digests[b] ^= old.record.digest()
	}
	t.digests[b] ^= r.digest()
	t.records[r.Peers] = &entry{record: r, since: now}
	t.changed = append(t.changed, r.Peers)
}

// rebuild makes the view of the changed records. It shares with the view before
// what they leave alone.
func (t *Table) rebuild() {
	old := t.view.Load()
	if old == nil || len(t.changed) > maxPatched {
		t.view.Store(t.newView())
	} else {
		t.view.Store(t.patch(old))
	}
	t.changed = t.changed[:0]
}

func (t *Table) newView() *View {
	v := &View{services: make(map[string][]Record)}
	for _, e := range t.records {
		if e.record.Health != Dead {
			v.ring = append(v.ring, e.record)
		}
	}
	places := make(map[netip.AddrPort]uint64, len(v.ring))
	for i := range v.ring {
		places[v.ring[i].Peers] = v.ring[i].position()
	}
	slices.SortFunc(v.ring, func(a, b Record) int { return cmp.Compare(places[a.Peers], places[b.Peers]) })
	for _, r := range v.ring {
		v.places = append(v.places, places[r.Peers])
		if r.takesRequests() {
			v.services[r.Service] = append(v.services[r.Service], r)
		}
	}
	return v
}

// patch returns a view in which only the changed records differ.
func (t *Table) patch(old *View) *View {
	v := &View{places: slices.Clone(old.places), ring: slices.Clone(old.ring), services: maps.Clone(old.services)}
	for _, peer := range t.changed {
		place := position(peer)
		at, there := slices.BinarySearch(v.places, place)
		if there {
			v.drop(&v.ring[at])
		}
		e := t.records[peer]
		switch alive := e != nil && e.record.Health != Dead; {
		case there && alive:
			v.ring[at] = e.record
		case there:
			v.places = slices.Delete(v.places, at, at+1)
			v.ring = slices.Delete(v.ring, at, at+1)
		case alive:
			v.places = slices.Insert(v.places, at, place)
			v.ring = slices.Insert(v.ring, at, e.record)
		}
		if e != nil && e.record.takesRequests() {
			v.services[e.record.Service] = append(slices.Clone(v.services[e.record.Service]), e.record)
		}
	}
	return v
}

// drop takes a record out of its service.
func (v *View) drop(r *Record) {
	service := v.services[r.Service]
	at := slices.IndexFunc(service, func(other Record) bool { return other.Peers == r.Peers })
	if at < 0 {
		return
	}
	kept := slices.Delete(slices.Clone(service), at, at+1)
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

// All returns the nodes that are not dead, in the order of the ring.
func (v *View) All() []Record {
	return v.ring
}

// Service returns the nodes whose upstreams take requests of a service.
func (v *View) Service(name string) []Record {
	return v.services[name]
}

// Zone returns the first nodes of an availability zone in the order of the ring
// that do not leave, at most a number of them.
func (v *View) Zone(zone string, most int) []Record {
	var records []Record
	for _, r := range v.ring {
		if r.Zone == zone && r.Health == Alive && !r.Leaving && len(records) < most {
			records = append(records, r)
		}
	}
	return records
}

// Neighbours returns the nodes at growing distances behind a node on the ring.
func (v *View) Neighbours(self netip.AddrPort) []netip.AddrPort {
	at, ok := slices.BinarySearch(v.places, position(self))
	if !ok {
		return nil
	}
	var peers []netip.AddrPort
	for distance := 1; distance < len(v.ring); distance *= fingerBase {
		peers = append(peers, v.ring[(at+distance)%len(v.ring)].Peers)
	}
	return peers
}

func bucket(peer netip.AddrPort) int {
	return int(position(peer) % buckets)
}
