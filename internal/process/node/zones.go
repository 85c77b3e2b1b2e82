package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// startWait is how long a node that starts keeps requests from the upstream beside it until
// it knows which availability zones are evacuated and which requests are quarantined. Without
// the platform's store and peers that know, it then sends it all of them.
const startWait = 2 * time.Second

// evacuationsDelay is how long a node waits at the first start of the whole fleet before
// it reads which availability zones are evacuated.
const evacuationsDelay = time.Second

// evacuations are the availability zones that the node knows to be evacuated. No other
// lock is acquired while mu is held.
type evacuations struct {
	applying sync.Mutex // held while a change is applied; acquired before all other locks

	mu    sync.Mutex
	since map[string]time.Time // when the node learned of it, by zone
}

// update replaces the zones, and returns those that are new and those that are gone.
func (e *evacuations) update(now time.Time, zones []string) (begun, ended []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := make(map[string]time.Time, len(zones))
	for _, zone := range zones {
		at, ok := e.since[zone]
		if !ok {
			at = now
			begun = append(begun, zone)
		}
		since[zone] = at
	}
	for zone := range e.since {
		if !slices.Contains(zones, zone) {
			ended = append(ended, zone)
		}
	}
	e.since = since
	return begun, ended
}

// all returns the evacuated zones and since when the node knows of each.
func (e *evacuations) all() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.since)
}

// applyEvacuations takes over which availability zones are evacuated from the platform's
// store. While the node's own is, its gate refuses all requests. Afterwards the upstream
// counts as cold until it tells otherwise.
func (n *Node) applyEvacuations(now time.Time) {
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	snapshot := n.zones.Snapshot()
	begun, ended := n.evacuations.update(now, snapshot.Evacuations())
	for _, zone := range begun {
		n.log.Warn().Str("Zone", zone).Uint64("Revision", snapshot.Revision()).Msg("availability zone is evacuated")
	}
	for _, zone := range ended {
		n.log.Warn().Str("Zone", zone).Uint64("Revision", snapshot.Revision()).Msg("availability zone is no longer evacuated")
	}
	own := n.settings.Load().Zone
	if slices.Contains(ended, own) {
		n.upstream.expectCold(now)
		n.logCold(now)
		n.spawn("probe of the upstream", func() { n.probeCold(n.ctx) })
	}
	n.updateGate()
}

// applyCrashes takes over from the platform's store which requests have crashed upstreams.
func (n *Node) applyCrashes(now time.Time) {
	n.crashes.MergeStored(now, n.config.Snapshot().Crashes())
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	n.updateGate()
}

// storedCrashes returns the object of the store with the crashes of the node's availability
// zone, as the node knows it.
func (n *Node) storedCrashes() store.Object {
	return n.config.Object(kinds.CrashesKey(n.settings.Load().Zone))
}

// updateGate closes or opens the gate, by what the node knows. The caller holds
// evacuations.applying.
func (n *Node) updateGate() {
	evacuated := n.zones != nil && n.zones.Snapshot().Evacuated(n.settings.Load().Zone)
	waiting := !n.startWaitOver.Load() && !n.knowsStart()
	if n.gate.SetClosed(evacuated || waiting) {
		n.publishUpstream()
	}
}

// knowsStart reports whether the node knows what it waits for at its start.
func (n *Node) knowsStart() bool {
	return n.zones == nil || n.zones.Snapshot().Revision() > 0 && n.knowsCrashes()
}

// knowsCrashes reports whether the node knows which requests crashed upstreams before it
// started. At the first start of the whole fleet there are none. A node with a table has them
// with the rows, without which it serves no callers.
func (n *Node) knowsCrashes() bool {
	return n.settings.Load().FirstStart || n.config.Snapshot().Revision() > 0
}

// openGate opens the gate, which is closed when the node starts, if the node has not
// learned within startWait what it waits for.
func (n *Node) openGate(ctx context.Context) {
	if !sleep(ctx, startWait) {
		return
	}
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	n.startWaitOver.Store(true)
	if !n.knowsStart() {
		n.log.Warn().Bool("Crashes", n.knowsCrashes()).Bool("Evacuations", n.zones.Snapshot().Revision() > 0).
			Msg("the node serves without knowing which availability zones are evacuated or which requests are quarantined")
	}
	n.updateGate()
}

// probeCold sends a health check to the upstream to learn whether it is cold.
func (n *Node) probeCold(ctx context.Context) {
	if !n.checksUpstream() {
		return
	}
	found, err := n.probeOnce(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	n.upstream.observeProbe(now, found)
	n.logCold(now)
}
