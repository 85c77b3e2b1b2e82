package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

// evacuationsWait is how long a node that starts keeps requests from the upstream beside
// it until it knows which availability zones are evacuated. Without the platform's store
// and peers that know, it then takes the zone as not evacuated.
const evacuationsWait = 2 * time.Second

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
	if n.gate.SetClosed(snapshot.Evacuated(own)) {
		n.publishUpstream()
	}
}

// openGate opens the gate, which is closed when the node starts, if the node has not
// learned within evacuationsWait which availability zones are evacuated.
func (n *Node) openGate(ctx context.Context) {
	if n.zones == nil || !sleep(ctx, evacuationsWait) {
		return
	}
	n.evacuations.applying.Lock()
	defer n.evacuations.applying.Unlock()
	if n.zones.Snapshot().Revision() > 0 {
		return
	}
	n.log.Warn().Msg("it is unknown which availability zones are evacuated")
	if n.gate.SetClosed(false) {
		n.publishUpstream()
	}
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
