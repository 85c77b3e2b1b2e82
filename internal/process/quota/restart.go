package quota

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/wasabibend/wasabibend/internal/conn/wire"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
)

// maxRestartWait is how long a restarted holder of a first term waits for the answers of the
// other candidates.
const maxRestartWait = LeaseDuration

// restart is how far the holder of a first term has got that has found its record.
type restart struct {
	began   time.Time // first question to the other candidates
	decided bool
}

// heardHolder is what a node knows of earlier processes of the holder of a term, from which
// it heard as a candidate, or about which it asked as the holder.
type heardHolder struct {
	byNobody bool // the other candidates have not heard of an earlier process of this node
	process  uint64
	term     uint64
}

// hear records that the holder of a term holds it. It ignores a term before the last one,
// as a store restored from an older copy names such.
func (h *heardHolder) hear(term uint64) {
	if h.term < term {
		h.process, h.term = 0, term
	}
}

// HearHolder records that the holder of a term answered that it holds it.
func (l *Lease) HearHolder(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard.hear(term)
}

// HearRestart records that a process of the holder of a term starts. It reports whether the
// node has heard of no other process that held this term or a later one.
func (l *Lease) HearRestart(term, process uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard.term < term {
		l.heard.process, l.heard.term = process, term
	}
	return l.heard.term == term && l.heard.process == process
}

// RestartUnheard records that no other candidate has heard of an earlier process of this
// node: all have been restarted as well.
func (l *Lease) RestartUnheard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard.byNobody = true
}

// maintainRestart asks the other candidates whether they have heard of an earlier process of
// this node, if it is the holder of a first term that it has not begun. It returns false if
// the answers are still awaited.
func (c *Client) maintainRestart(ctx context.Context, now time.Time, shard int, lease *Lease, record *kinds.Allocator) bool {
	state := &c.restarts[shard]
	if record.Term > 1 || lease.Holds() || state.decided {
		return true
	}
	if state.began.IsZero() {
		state.began = now
	}
	unheard, all := c.restartHeard(ctx, shard, record)
	waited := time.Since(state.began)
	if unheard && !all && waited < maxRestartWait {
		c.fastRounds.Store(fastRoundCount)
		return false
	}
	if unheard && all {
		lease.RestartUnheard()
	}
	state.decided = true
	c.Log.Info().Int("Shard", shard).Bool("Unheard", unheard && all).Dur("Waited", waited).Msg("began the allocator's first term again")
	return true
}

// restartHeard asks the other candidates of a record whether they have heard of an earlier
// process of this node. It reports whether those that answered have not, and whether all of
// them, at least one, answered.
func (c *Client) restartHeard(ctx context.Context, shard int, record *kinds.Allocator) (unheard, all bool) {
	peers := slices.DeleteFunc(slices.Clone(record.Candidates), func(p netip.AddrPort) bool { return p == c.Self })
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	question := promise{Process: c.process, Shard: shard, Term: record.Term, Zone: c.Zone}
	answers := pool.NewWithResults[*promised]().WithErrors()
	for _, peer := range peers {
		answers.Go(func() (*promised, error) {
			var answer promised
			err := c.Mesh.Call(ctx, peer, wire.KindPromise, question, &answer)
			return &answer, err
		})
	}
	answered, err := answers.Wait()
	unheard = len(peers) > 0 && !slices.ContainsFunc(answered, func(a *promised) bool { return !a.Unheard })
	return unheard, err == nil
}
