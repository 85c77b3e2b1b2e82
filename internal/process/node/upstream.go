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

// maxAnnouncement bounds an announcement in bytes.
const maxAnnouncement = 4 << 10

// maxDeparted bounds the starts that are remembered as gone.
const maxDeparted = 64

// upstream is the upstream beside the node. Its lock is a leaf.
type upstream struct {
	expiry time.Duration // of an announcement
	gate   *gates.Gate

	mu       sync.Mutex
	current  admin.Announcement
	departed map[string]time.Time // starts that are gone, with their births
	heardAt  time.Time
}

func newUpstream(gate *gates.Gate, expiry time.Duration) *upstream {
	return &upstream{departed: make(map[string]time.Time), expiry: expiry, gate: gate}
}

// Upstream implements relay.LocalUpstream.
func (u *upstream) Upstream(service string) (netip.AddrPort, string, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current.Service != service || u.readiness(time.Now()) != member.Ready {
		return netip.AddrPort{}, "", false
	}
	return u.current.Address, u.current.Instance, true
}

// announce takes in an announcement, and reports false for one that is out of
// date. An upstream that was away starts cold.
func (u *upstream) announce(now time.Time, a admin.Announcement) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.outdated(&a) {
		return false
	}
	same := u.current.Instance == a.Instance && u.current.Born.Equal(a.Born) && u.current.Address == a.Address
	a.Draining = a.Draining || (same && u.current.Draining && a.Instance != "")
	if !same || (u.readiness(now) == member.Absent && a.Slots == 0) || u.current.Slots != a.Slots {
		u.gate.Reset(limiterOf(a.Slots))
	}
	u.current = a
	u.heardAt = now
	return true
}

// outdated reports whether an announcement was overtaken by a later one, or is
// of a start that is gone.
func (u *upstream) outdated(a *admin.Announcement) bool {
	if a.Instance == "" {
		return false
	}
	if born, gone := u.departed[a.Instance]; gone && !a.Born.After(born) {
		return true
	}
	if a.Instance == u.current.Instance && a.Born.Equal(u.current.Born) {
		return a.Sequence != 0 && a.Sequence <= u.current.Sequence
	}
	return a.Born.Before(u.current.Born)
}

// slotsInUse is the part of an upstream's slots that the node uses. Upstreams
// may slow down when they are nearly full, and new connections and health checks
// take slots too.
const slotsInUse = 0.94

// limiterOf returns the limiter of an upstream with a number of slots.
func limiterOf(slots int) gates.Limiter {
	if slots > 0 {
		return gates.Static(max(int(float64(slots)*slotsInUse), 1))
	}
	return gates.NewGradient()
}

// depart takes in that a start of an upstream leaves. Later announcements of it
// do not count. A zero birth stands for the start that is known.
func (u *upstream) depart(instance string, born time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	current := u.current.Instance == instance
	if born.IsZero() && current {
		born = u.current.Born
	}
	if len(u.departed) >= maxDeparted {
		clear(u.departed)
	}
	u.departed[instance] = born
	if current && !u.current.Born.After(born) {
		u.current.Draining = true
	}
}

// MarkDown marks the upstream as down until it announces itself again.
func (u *upstream) MarkDown() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heardAt = time.Time{}
}

// state returns the service and readiness at a time.
func (u *upstream) state(now time.Time) (string, member.Readiness) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.current.Service, u.readiness(now)
}

func (u *upstream) readiness(now time.Time) member.Readiness {
	switch {
	case u.heardAt.IsZero() || now.Sub(u.heardAt) >= u.expiry:
		return member.Absent
	case u.current.Draining:
		return member.Draining
	}
	return member.Ready
}

// Announce takes in an announcement of the upstream beside the node and lets
// the other nodes know. It reports false for one that is out of date.
func (n *Node) Announce(now time.Time, a admin.Announcement) bool {
	counts := n.upstream.announce(now, a)
	n.publishUpstream()
	return counts
}

// Depart takes in that a start of the upstream beside the node leaves, and lets
// the other nodes know. A zero birth stands for the start that is known.
func (n *Node) Depart(instance string, born time.Time) {
	n.upstream.depart(instance, born)
	n.publishUpstream()
}

func (n *Node) handleAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var a admin.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
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

// probeTries bounds the probes of a node that starts.
const probeTries = 5

// probeUpstream asks the upstream who it is, once the configuration tells where,
// unless it has announced itself by then.
func (n *Node) probeUpstream(ctx context.Context) {
	settings := n.settings.Load()
	if n.probe == nil || n.catalog == nil || !settings.Server.IsValid() {
		return
	}
	for n.catalog.Snapshot().CatalogVersion() == 0 {
		if !sleep(ctx, probePoll) {
			return
		}
	}
	for tries := 0; tries < probeTries && sleep(ctx, probePoll); tries++ {
		if _, readiness := n.upstream.state(time.Now()); readiness != member.Absent {
			return
		}
		announcement, err := n.probe(ctx, settings, n.catalog.Snapshot().HealthPath(settings.Service))
		if err != nil {
			n.log.Info().Err(err).Msg("the upstream did not tell who it is")
			continue
		}
		n.log.Info().Str("Instance", announcement.Instance).Int("Slots", announcement.Slots).Msg("the upstream told who it is")
		n.Announce(time.Now(), announcement)
		return
	}
}

// watchUpstream notices when the upstream falls silent.
func (n *Node) watchUpstream(ctx context.Context) {
	for sleep(ctx, upstreamPoll) {
		n.publishUpstream()
	}
}

// publishUpstream lets the other nodes know of a change of the upstream.
func (n *Node) publishUpstream() {
	now := time.Now()
	service, readiness := n.upstream.state(now)
	if n.relay.GateClosed() {
		readiness = member.Draining
	}
	r, changed := n.table.SetSelf(now, service, readiness)
	if !changed {
		return
	}
	n.log.Info().Str("Service", service).Str("Readiness", readiness.String()).Msg("upstream changed")
	n.agent.Queue([]member.Record{r})
}

// sleep waits, and reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	return pause.For(ctx, d) == nil
}

// quiet returns a logger for servers, whose errors of single connections are
// the callers' matter.
func quiet() *stdlog.Logger {
	return stdlog.New(io.Discard, "", 0)
}
