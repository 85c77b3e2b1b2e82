package crash

import (
	"context"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/process/member"
)

// sendTimeout bounds the time to send a report to one neighbour.
const sendTimeout = 800 * time.Millisecond

// maxQueued is the number of reports that may wait to be sent.
const maxQueued = 64

// Mesh sends messages between nodes.
type Mesh interface {
	Handle(kind wire.Kind, handler func(from netip.AddrPort, body []byte) (any, error))
	Send(ctx context.Context, to netip.AddrPort, kind wire.Kind, message any) error
}

// Agent exchanges crash reports with other nodes. A node sends each report that is
// new to it on to its neighbours, so that it reaches all nodes.
type Agent struct {
	*Table
	log     zerolog.Logger
	members *member.Table
	mesh    Mesh
	queue   chan Report
}

// NewAgent returns an Agent and registers its handler with the mesh.
func NewAgent(mesh Mesh, members *member.Table, log zerolog.Logger) *Agent {
	a := &Agent{Table: NewTable(), log: log, members: members, mesh: mesh, queue: make(chan Report, maxQueued)}
	mesh.Handle(wire.KindQuarantine, a.handle)
	return a
}

// ReportCrash records a crash of the local upstream and reports it to other
// nodes.
func (a *Agent) ReportCrash(now time.Time) {
	if report, isNew := a.RecordCrash(now); isNew {
		a.log.Warn().Int("Guilty", len(report.Guilty)).Int("Suspects", len(report.Suspects)).Msg("upstream crashed")
		a.enqueue(report)
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
		}
	}
}

// enqueue queues a report to be sent. If the queue is full, it drops the report,
// as the next crash brings another.
func (a *Agent) enqueue(report Report) {
	select {
	case a.queue <- report:
	default:
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
