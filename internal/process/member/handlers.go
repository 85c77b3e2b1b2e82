package member

import (
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/store"
)

// handlePing answers with the state of the node's tables, and with the digest of the shared
// state, which only the sender compares. If a feed of the sender is newer, it schedules a
// pull from the sender.
func (a *Agent) handlePing(from netip.AddrPort, body []byte) (any, error) {
	var ping Ping
	if err := wire.Decode(body, &ping); err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	for i, state := range ping.Feeds[:min(len(ping.Feeds), len(a.feeds))] {
		if a.mayPull(now, from, i, state.Position()) {
			a.enqueue(from, nil)
		}
	}
	answer := a.newPing(now)
	if a.shared != nil {
		answer.Shared = a.shared.Digest(now)
	}
	return answer, nil
}

// handleNews merges the records and schedules those that were new to be forwarded to
// the neighbours.
func (a *Agent) handleNews(_ netip.AddrPort, body []byte) (any, error) {
	var news News
	if err := wire.Decode(body, &news); err != nil {
		return nil, trace.Wrap(err)
	}
	a.QueueForNeighbours(a.table.Merge(time.Now(), news.Records))
	return nil, nil
}

// handlePull answers with the changes of a feed.
func (a *Agent) handlePull(_ netip.AddrPort, body []byte) (any, error) {
	var pull Pull
	if err := wire.Decode(body, &pull); err != nil {
		return nil, trace.Wrap(err)
	}
	if pull.Feed >= len(a.feeds) {
		return nil, trace.NotFound("the feed %d is not followed here", pull.Feed)
	}
	return a.feeds[pull.Feed].Since(store.Position{Era: pull.Era, Revision: pull.From}, maxDeltaBytes), nil
}

// handleSync answers with the node's digests and the records of the buckets that
// differ.
func (a *Agent) handleSync(_ netip.AddrPort, body []byte) (any, error) {
	var sync Sync
	if err := wire.Decode(body, &sync); err != nil {
		return nil, trace.Wrap(err)
	}
	return SyncAnswer{Digests: a.table.Digests(), Records: a.table.DifferingRecords(sync.Digests)}, nil
}
