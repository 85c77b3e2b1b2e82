package node

import (
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 4 << 10

// maxDeregistered is the number of deregistered instances that the node keeps. The
// next one replaces them all.
const maxDeregistered = 64

// upstream keeps the last announcement of the upstream beside the node. The ID of an
// instance and the time at which it was born identify one start of the upstream. The
// only lock that is acquired while its lock is held is that of the gate.
type upstream struct {
	// checked is true if a start of the upstream gets requests only after a successful
	// health check. It does not change once the node runs.
	checked   bool
	coldStart func(service string) gates.ColdStart
	expiry    time.Duration // how long an announcement is valid
	gate      *gates.Gate

	mu           sync.Mutex
	cold         time.Duration // how much longer the upstream was cold at coldAt, negative if unknown
	coldAt       time.Time
	current      admin.Announcement
	deregistered map[string]time.Time // born times of instances, by ID
	announcedAt  time.Time            // of current, zero for none and after a crash
	doubtful     bool                 // whether current must pass a health check, even if checked is false
	drainingAt   time.Time            // since when current is known to be draining, zero if it is not
	healthy      upstreamStart        // the last start whose health check succeeded
	reportedAt   time.Time            // of current, also after a crash, zero for none
	rival        rival
}

// upstreamStart identifies one start of an upstream.
type upstreamStart struct {
	born     time.Time // zero if unknown
	instance string
}

// newUpstream returns an upstream that is absent. Its announcements are valid for
// expiry, and coldStart describes the upstreams of a service after a start.
func newUpstream(gate *gates.Gate, expiry time.Duration, coldStart func(service string) gates.ColdStart) *upstream {
	return &upstream{coldStart: coldStart, deregistered: make(map[string]time.Time), expiry: expiry, gate: gate}
}

// Upstream returns the address and the instance ID of the upstream, or false if it
// is of another service or not ready. It implements relay.LocalUpstream.
func (u *upstream) Upstream(service string) (netip.AddrPort, string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.Service != service || u.readiness(time.Now()) != member.Ready {
		return netip.AddrPort{}, "", false
	}
	return u.current.Address, u.current.Instance, true
}

// announce applies an announcement and returns what became of it. verifies tells whether a
// health check names the instance that answers it: then that decides which of two instances
// is there, and not the times at which they say that they were born.
func (u *upstream) announce(now time.Time, a admin.Announcement, verifies bool) reception {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.outdated(now, &a, verifies) {
		return ignored
	}
	if verifies && u.contests(now, &a) {
		return u.challenge(now, a)
	}
	doubtful := verifies && u.contradicts(&a)
	if same := u.store(now, a); doubtful || !same {
		u.doubtful = doubtful
	}
	if doubtful {
		u.healthy = upstreamStart{}
	}
	return accepted
}

// store makes an announcement the current one. It resets the gate if this is another start
// of the upstream, if its slots changed, or if it was absent and announces no slots: an
// upstream that was absent starts cold. A start that is draining stays so, if it has an
// instance ID. It reports whether the start is the one that announced itself last. The
// caller holds the lock.
func (u *upstream) store(now time.Time, a admin.Announcement) (same bool) {
	sameBorn := u.current.Born.Equal(a.Born) || u.current.Born.IsZero() // responses to probes do not tell it
	same = u.current.Instance == a.Instance && sameBorn && u.current.Address == a.Address
	a.Draining = a.Draining || (same && u.current.Draining && a.Instance != "")
	absent := u.expired(now)
	if !same || (absent && a.Slots == 0) || u.current.Slots != a.Slots {
		u.gate.Reset(newLimiter(a.Slots))
	}
	u.setCold(now, a.Service, a.Cold, !same || absent)
	if !same {
		u.drainingAt = time.Time{}
	}
	u.current = a
	u.announcedAt, u.reportedAt = now, now
	if a.Draining {
		u.markDraining(now)
	}
	if u.healthy.instance == a.Instance && u.healthy.born.IsZero() {
		u.healthy.born = a.Born // the response to the health check did not tell it
	}
	return same
}

// needsCheck reports whether a health check has to tell which start is there, or whether
// the upstream gets no requests only because its current start has not passed one yet.
func (u *upstream) needsCheck(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rivalPending(now) || !u.expired(now) && !u.current.Draining && !u.isHealthy()
}

// recordHealthy records that an instance has passed a health check. It returns false if
// another one announced itself last.
func (u *upstream) recordHealthy(instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.Instance != instance {
		return false
	}
	u.healthy = upstreamStart{born: u.current.Born, instance: instance}
	return true
}

// isHealthy reports whether the current start needs no health check or has passed one. The
// caller holds the lock.
func (u *upstream) isHealthy() bool {
	if !u.checked && !u.doubtful || u.current.Instance == "" {
		return true
	}
	return u.healthy.instance == u.current.Instance && u.healthy.born.Equal(u.current.Born)
}

// announcement returns the last announcement.
func (u *upstream) announcement() admin.Announcement {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current
}

// announced reports whether there is a valid announcement.
func (u *upstream) announced(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.expired(now)
}

// expired reports whether there is no valid announcement. The caller holds the lock.
func (u *upstream) expired(now time.Time) bool {
	return u.announcedAt.IsZero() || now.Sub(u.announcedAt) >= u.expiry
}

// setCold records how much longer the upstream is cold and tells the gate. If the cold
// time is unknown, an upstream that may have been started since the last announcement
// counts as cold for as long as its service's upstreams are. The caller holds the lock.
func (u *upstream) setCold(now time.Time, service string, cold time.Duration, mayBeNew bool) {
	if cold < 0 && !mayBeNew {
		return
	}
	u.cold, u.coldAt = cold, now
	u.applyCold(now, service)
}

// applyCold tells the gate how much longer the upstream is cold. The caller holds the
// lock.
func (u *upstream) applyCold(now time.Time, service string) {
	start := u.coldStart(service)
	cold := u.cold
	if cold < 0 || cold > start.Time {
		cold = start.Time
	}
	u.gate.SetCold(now, u.coldAt.Add(cold), start)
}

// refreshCold tells the gate again how much longer the upstream is cold, because what the
// catalog says about that may have changed.
func (u *upstream) refreshCold(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.coldAt.IsZero() {
		u.applyCold(now, u.current.Service)
	}
}

// observeProbe takes over from the response to a health check how much longer the
// upstream is cold, if it is from the instance that announced itself.
func (u *upstream) observeProbe(now time.Time, a admin.Announcement) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if a.Instance == u.current.Instance {
		u.setCold(now, u.current.Service, a.Cold, false)
	}
}

// expectCold makes the gate treat the upstream as cold until it tells that it is not.
func (u *upstream) expectCold(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setCold(now, u.current.Service, admin.ColdUnknown, true)
}

// usableSlotShare is the share of an upstream's slots that the node uses. Upstreams
// may slow down when they are nearly full, and new connections and health checks
// take slots too.
const usableSlotShare = 0.94

// newLimiter returns the limiter for an upstream: a static limit if the number of
// its slots is known, and otherwise one that adapts.
func newLimiter(slots int) gates.Limiter {
	if slots > 0 {
		return gates.Static(max(int(float64(slots)*usableSlotShare), 1))
	}
	return gates.NewGradient()
}

// deregister marks an instance that was born at the given time, or earlier, as
// draining, and makes its later announcements outdated. A zero time means the start
// that the instance last announced.
func (u *upstream) deregister(now time.Time, instance string, born time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := u.current.Instance == instance
	var announced time.Time
	switch {
	case current:
		announced = u.current.Born
	case u.rival.announcement.Instance == instance:
		announced = u.rival.announcement.Born
	}
	if born.IsZero() {
		born = announced
	}
	// A start that is still to come cannot have deregistered: it is a wrong time, which must
	// not hold against later starts under this ID.
	if limit := later(now, announced); born.After(limit) {
		born = limit
	}
	u.recordLeft(instance, born)
	if current && !u.current.Born.After(born) {
		u.markDraining(now)
	}
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordLeft makes announcements outdated that are from an instance that was born at the
// given time, or earlier. The caller holds the lock.
func (u *upstream) recordLeft(instance string, born time.Time) {
	if len(u.deregistered) >= maxDeregistered {
		clear(u.deregistered)
	}
	u.deregistered[instance] = born
}

// markDraining marks the current start as draining. The caller holds the lock.
func (u *upstream) markDraining(now time.Time) {
	u.current.Draining = true
	if u.drainingAt.IsZero() {
		u.drainingAt = now
	}
}

// queuedDrainTime is how long requests that wait at the gate when the upstream begins to
// drain may still be sent to it. Upstreams serve on for 2 s at least.
const queuedDrainTime = time.Second

// Accepts implements relay.LocalUpstream.
func (u *upstream) Accepts(now time.Time, instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.Instance != instance {
		return false
	}
	switch u.readiness(now) {
	case member.Ready:
		return true
	case member.Draining:
		return now.Sub(u.drainingAt) < queuedDrainTime
	}
	return false
}

// Leaving reports whether an instance of the upstream is draining, also if it is down since. It
// implements relay.LocalUpstream.
func (u *upstream) Leaving(instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.Instance == instance && u.current.Draining
}

// MarkDown marks an instance of the upstream as down, because a request to it failed: it is
// absent until it announces itself again. It has no effect once another instance has
// announced itself. It implements relay.LocalUpstream.
func (u *upstream) MarkDown(instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.Instance == instance {
		u.announcedAt = time.Time{}
	}
}

// MarkLeaving marks an instance of the upstream as draining, because it has said in a
// response that it is about to end. It implements relay.LocalUpstream.
func (u *upstream) MarkLeaving(now time.Time, instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.Instance == instance {
		u.markDraining(now)
	}
}

// state returns the upstream's service and its readiness at the time now.
func (u *upstream) state(now time.Time) (string, member.Readiness) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.Service, u.readiness(now)
}

// readiness returns the upstream's readiness. The caller holds the lock.
func (u *upstream) readiness(now time.Time) member.Readiness {
	switch {
	case u.expired(now):
		return member.Absent
	case u.current.Draining:
		return member.Draining
	case !u.isHealthy():
		return member.Absent
	}
	return member.Ready
}

// Announce stores an announcement of the upstream beside the node and tells the
// other nodes of changes. It returns false if the announcement is outdated, or if a health
// check has to tell first whether it is from the instance that is there.
func (n *Node) Announce(now time.Time, a admin.Announcement) bool {
	reception := n.upstream.announce(now, a, n.verifiesInstances())
	n.logCold(now)
	n.publishUpstream()
	if reception != ignored && n.upstream.needsCheck(now) {
		select {
		case n.checkNeeded <- struct{}{}:
		default:
		}
	}
	return reception == accepted
}

// logCold logs when the upstream beside the node becomes cold or warm.
func (n *Node) logCold(now time.Time) {
	left := n.gate.ColdFor(now)
	if cold := left > 0; n.upstreamCold.Swap(cold) != cold {
		n.log.Info().Bool("Cold", cold).Dur("For", left).Msg("upstream became cold or warm")
	}
}

// Deregister marks an instance of the upstream beside the node as draining and tells
// the other nodes. Starts of the instance that were born after the given time are not
// affected. A zero time means the start that the instance last announced.
func (n *Node) Deregister(instance string, born time.Time) {
	n.upstream.deregister(time.Now(), instance, born)
	n.publishUpstream()
}

// handleAnnounce handles an announcement in the native dialect.
func (n *Node) handleAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var a admin.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := a.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.Announce(time.Now(), a)
	w.WriteHeader(http.StatusNoContent)
}

// monitorUpstream checks regularly whether the upstream's announcement has expired
// and tells the other nodes, until the context ends.
func (n *Node) monitorUpstream(ctx context.Context) {
	for sleep(ctx, upstreamPoll) {
		n.publishUpstream()
	}
}

// publishUpstream updates the upstream in the node's own record and sends it to
// other nodes if it changed. Once the relay has closed its gate, the upstream is
// published as draining, and while the gate refuses all requests, as absent.
func (n *Node) publishUpstream() {
	now := time.Now()
	service, readiness := n.upstream.state(now)
	switch {
	case n.relay.GateClosed():
		readiness = member.Draining
	case n.gate.Closed():
		readiness = member.Absent
	}
	r, changed := n.table.SetSelf(now, service, readiness)
	if !changed {
		return
	}
	n.log.Info().Str("Service", service).Str("Readiness", readiness.String()).Msg("upstream changed")
	n.agent.QueueForNeighbours([]member.Record{r})
}

// sleep waits for the duration, and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d) == nil
}

// discardLogger returns a logger that discards all lines. The HTTP servers use it:
// their log has only errors of single connections, which callers handle.
func discardLogger() *stdlog.Logger {
	return stdlog.New(io.Discard, "", 0)
}
