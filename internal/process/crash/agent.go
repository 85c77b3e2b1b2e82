package crash

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/internal/process/member"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// sendTimeout bounds the time to send a report to one neighbour.
const sendTimeout = 800 * time.Millisecond

// maxQueued is the number of reports that may wait to be sent.
const maxQueued = 64

// exchangeInterval is the minimum interval at which a node starts to exchange states. Full
// tables may differ for long.
const exchangeInterval = time.Second

// clearDelay is the time for which cleared requests are collected into one report.
const clearDelay = 100 * time.Millisecond

// Mesh sends messages between nodes.
type Mesh interface {
	Call(ctx context.Context, to netip.AddrPort, kind wire.Kind, request any, answer wire.Checker) error
	Handle(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
	Send(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) error
}

// Agent exchanges crash reports with other nodes. A node sends each report that is
// new to it on to its neighbours, so that it reaches all nodes that are there. A node that
// is not, because it starts, is cut off or stands still, gets what it has missed by an
// exchange of states, or from the platform's store. It implements member.Shared.
type Agent struct {
	*Table
	log     zerolog.Logger
	members *member.Table
	mesh    Mesh
	queue   chan Report
	saver   *Saver       // nil for none
	unsent  atomic.Int32 // reports in the queue, and the one that is being sent

	mu          sync.Mutex    // acquired before the table's
	cleared     []Fingerprint // to be reported
	exchanged   bool          // an exchange has succeeded since the start
	exchangedAt time.Time     // when the last exchange was begun
}

// Option configures an Agent in NewAgent.
type Option func(*Agent)

// WithSaver makes the Agent write its reports to the platform's store.
func WithSaver(saver *Saver) Option {
	return func(a *Agent) { a.saver = saver }
}

// NewAgent returns an Agent and registers its handler with the mesh.
func NewAgent(mesh Mesh, members *member.Table, log zerolog.Logger, options ...Option) *Agent {
	a := &Agent{Table: NewTable(), log: log, members: members, mesh: mesh, queue: make(chan Report, maxQueued)}
	a.onCleared = a.queueCleared
	for _, option := range options {
		option(a)
	}
	mesh.Handle(wire.KindCrashes, a.handleExchange)
	mesh.Handle(wire.KindQuarantine, a.handle)
	return a
}

// ReportCrash records a crash of the local upstream and reports it to other
// nodes.
func (a *Agent) ReportCrash(now time.Time) {
	if report, isNew := a.RecordCrash(now); isNew {
		a.log.Warn().Int("Guilty", len(report.Guilty)).Int("Suspects", len(report.Suspects)).Msg("upstream crashed")
		a.enqueue(report)
		if a.saver != nil {
			a.saver.Add(now, report)
		}
	}
}

// queueCleared makes the agent tell other nodes within clearDelay that a request has succeeded
// which was a suspect or quarantined.
func (a *Agent) queueCleared(now time.Time, f Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.cleared) < maxReportEntries {
		a.cleared = append(a.cleared, f)
	}
	if len(a.cleared) == 1 {
		time.AfterFunc(clearDelay, func() { a.reportCleared(now.Add(clearDelay)) })
	}
}

// reportCleared reports the requests that have been cleared to the other nodes, and those that
// are in the platform's store.
func (a *Agent) reportCleared(now time.Time) {
	a.mu.Lock()
	report := Report{Cleared: a.cleared}
	a.cleared = nil
	a.mu.Unlock()
	a.enqueue(report)
	released := slices.DeleteFunc(slices.Clone(report.Cleared), func(f Fingerprint) bool { return !a.wasReleased(now, f) })
	if len(released) == 0 {
		return
	}
	a.log.Warn().Int("Requests", len(released)).Msg("released quarantined requests that succeeded")
	if a.saver != nil {
		a.saver.Add(now, Report{Cleared: released})
	}
}

// MergeStored adds what the platform's store has of the crashes of availability zones, and
// logs what was new.
func (a *Agent) MergeStored(now time.Time, stored map[string]kinds.Crashes) {
	for zone, crashes := range stored {
		if added := a.Table.MergeStored(now, &crashes); added > 0 {
			a.log.Info().Int("Quarantined", added).Str("Zone", zone).Msg("took over quarantined requests from the platform's store")
		}
	}
}

// Run sends queued reports until the context ends.
func (a *Agent) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-a.queue:
			for _, peer := range a.members.View().Neighbours(a.members.Self().Peers) {
				sendCtx, cancel := context.WithTimeout(ctx, sendTimeout)
				_ = a.mesh.Send(sendCtx, peer, wire.KindQuarantine, report)
				cancel()
			}
			a.unsent.Add(-1)
		}
	}
}

// flushPoll is how often Flush checks whether a report waits.
const flushPoll = 5 * time.Millisecond

// Flush waits until all reports have been sent and written to the platform's store, or the
// context ends.
func (a *Agent) Flush(ctx context.Context) {
	for a.unsent.Load() > 0 || a.saver != nil && a.saver.pends() {
		if pause.For(ctx, flushPoll) != nil {
			return
		}
	}
}

// emptyDigest is the digest of a node without quarantined requests.
const emptyDigest = 1

// Digest implements member.Shared.
func (a *Agent) Digest(now time.Time) uint64 {
	return max(a.digest(now), emptyDigest)
}

// Lacks implements member.Shared. A node that has just started lacks the suspects, too,
// which are not in the digest because nodes clear them one by one.
func (a *Agent) Lacks(now time.Time, digest uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.exchangedAt) >= exchangeInterval && (!a.exchanged || a.Digest(now) != digest)
}

// Exchange implements member.Shared.
func (a *Agent) Exchange(ctx context.Context, peer netip.AddrPort) error {
	now := time.Now()
	a.mu.Lock()
	first := !a.exchanged
	a.exchangedAt = now
	a.mu.Unlock()
	var theirs State
	if err := a.mesh.Call(ctx, peer, wire.KindCrashes, a.requestState(now), &theirs); err != nil {
		return trace.Wrap(err)
	}
	a.mu.Lock()
	a.exchanged = true
	a.mu.Unlock()
	a.mergeState(time.Now(), peer, &theirs, first)
	return nil
}

// requestState returns the state for a request, which has no suspects.
func (a *Agent) requestState(now time.Time) State {
	s := a.State(now)
	s.Suspects = nil
	return s
}

// mergeState adds the state of another node and logs what was new.
func (a *Agent) mergeState(now time.Time, peer netip.AddrPort, s *State, suspects bool) {
	if added := a.MergeState(now, s, suspects); added > 0 {
		a.log.Info().Int("Quarantined", added).Stringer("Peer", peer).Msg("took over quarantined requests from a node")
	}
}

// handleExchange takes over the quarantined requests of another node and answers with the
// state of this one.
func (a *Agent) handleExchange(from netip.AddrPort, body []byte) (any, error) {
	var theirs State
	if err := wire.Decode(body, &theirs); err != nil {
		return nil, trace.Wrap(err)
	}
	now := time.Now()
	a.mergeState(now, from, &theirs, false)
	return a.State(now), nil
}

// enqueue queues a report to be sent. If the queue is full, it drops the report,
// as the next crash brings another.
func (a *Agent) enqueue(report Report) {
	a.unsent.Add(1)
	select {
	case a.queue <- report:
	default:
		a.unsent.Add(-1)
	}
}

func (a *Agent) handle(_ netip.AddrPort, body []byte) (any, error) {
	var report Report
	if err := wire.Decode(body, &report); err != nil {
		return nil, trace.Wrap(err)
	}
	if a.Merge(time.Now(), &report) {
		a.enqueue(report)
	}
	return nil, nil
}
