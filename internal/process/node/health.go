package node

import (
	"context"
	"errors"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// maxProbeAttempts is the maximum number of probes by which a starting node looks for an
// upstream that has not announced itself yet.
const maxProbeAttempts = 5

// Interval of the health checks of a start of the upstream that does not answer them.
const (
	minCheckInterval = probePoll
	maxCheckInterval = time.Second
)

// ErrUnhealthy means that the upstream answered a health check and takes no requests.
var ErrUnhealthy = errors.New("the upstream takes no requests")

// Probe sends a request to the health path of the upstream beside the node and
// returns the response as an announcement. It returns ErrUnhealthy if the upstream says
// that it takes no requests.
type Probe func(ctx context.Context, settings *setup.Settings, path string) (admin.Announcement, error)

// checksUpstream reports whether the node sends health checks to the upstream.
func (n *Node) checksUpstream() bool {
	return n.probe != nil && n.catalog != nil && n.settings.Load().Server.IsValid()
}

// probeUpstream probes the upstream once the catalog is known, which has the health path,
// and then checks each start of it that announces itself, until the context ends. A
// report may arrive seconds late, and only an earlier process of the node may know that
// its sender has left since, so it is the health check that decides. At the first start of
// the fleet there was no earlier process.
func (n *Node) probeUpstream(ctx context.Context) {
	if !n.checksUpstream() {
		return
	}
	for n.catalog.Snapshot().CatalogVersion() == 0 {
		if !sleep(ctx, probePoll) {
			return
		}
	}
	n.findUpstream(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.checkNeeded:
			n.checkUpstream(ctx)
		}
	}
}

// findUpstream probes the upstream until that succeeds, the upstream announces itself, or
// maxProbeAttempts have failed.
func (n *Node) findUpstream(ctx context.Context) {
	for attempts := 0; attempts < maxProbeAttempts && sleep(ctx, probePoll); attempts++ {
		if n.upstream.announced(time.Now()) {
			return
		}
		if found, err := n.probeOnce(ctx); err == nil {
			n.log.Info().Str("Instance", found.Instance).Int("Slots", found.Slots).Dur("Cold", found.Cold).Msg("upstream found by a probe")
			n.Announce(time.Now(), found)
			if !found.Draining {
				n.recordHealthy(found)
			}
			return
		}
	}
}

// verifiesInstances reports whether the upstream's health check tells which instance is
// there.
func (n *Node) verifiesInstances() bool {
	return n.checksUpstream() && n.healthPath() != ""
}

// checkUpstream sends health checks to the upstream until one has told which start is there
// and its current start has passed one, says that it takes no requests, or is gone. A start
// of a service without health checks passes at once.
func (n *Node) checkUpstream(ctx context.Context) {
	if n.healthPath() == "" {
		n.recordHealthy(n.upstream.announcement())
		return
	}
	for interval := minCheckInterval; n.upstream.needsCheck(time.Now()); interval = min(2*interval, maxCheckInterval) {
		found, err := n.probeOnce(ctx)
		if err == nil || errors.Is(err, ErrUnhealthy) {
			n.decide(found.Instance)
		}
		switch {
		case errors.Is(err, ErrUnhealthy):
			return // its next report wakes the loop
		case err == nil && found.Draining:
			n.upstream.MarkLeaving(time.Now(), found.Instance)
			n.publishUpstream()
			return
		case err == nil && n.recordHealthy(found):
			return
		}
		if !sleep(ctx, interval) {
			return
		}
	}
}

// decide ends a contest between two instances of the upstream, if there is one, by the one
// that answered a health check.
func (n *Node) decide(instance string) {
	if lost, decided := n.upstream.decide(time.Now(), instance); decided {
		n.log.Info().Str("Instance", instance).Str("Contested", lost).Msg("a health check told which instance of the upstream is there")
	}
}

// recordHealthy records that the upstream has passed a health check, and reports whether
// it was the instance that announced itself last.
func (n *Node) recordHealthy(found admin.Announcement) bool {
	if !n.upstream.recordHealthy(found.Instance) {
		return false
	}
	now := time.Now()
	n.upstream.observeProbe(now, found)
	n.logCold(now)
	n.publishUpstream()
	return true
}

// healthPath returns the path of the upstream's health check, or "" if it has none.
func (n *Node) healthPath() string {
	return n.catalog.Snapshot().HealthPath(n.settings.Load().Service)
}

// probeOnce sends a health check to the upstream.
func (n *Node) probeOnce(ctx context.Context) (admin.Announcement, error) {
	found, err := n.probe(ctx, n.settings.Load(), n.healthPath())
	if err != nil {
		n.log.Info().Err(err).Msg("probing the upstream failed")
	}
	return found, err
}
