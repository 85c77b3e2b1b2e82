package relay

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/process/logs"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// Lines a second that a node writes of requests. Those that were served are a
// sample, as they need no explanation.
const (
	failureLinesPerSecond = 30
	servedLinesPerSecond  = 2
)

// Notes logs the decisions that touch requests.
type Notes struct {
	failures *logs.Budget
	log      zerolog.Logger
	served   *logs.Budget
}

// NewNotes returns Notes that are written to a logger.
func NewNotes(log zerolog.Logger) *Notes {
	return &Notes{failures: logs.NewBudget(failureLinesPerSecond), log: log, served: logs.NewBudget(servedLinesPerSecond)}
}

// Budgets returns the bounds of the lines by their kind.
func (n *Notes) Budgets() map[string]*logs.Budget {
	return map[string]*logs.Budget{"Failures": n.failures, "Served": n.served}
}

// refused logs that a request got a refusal as its answer, and what decided.
func (r *Relay) logRefused(now time.Time, id string, p *policy, refusal *refuse.Refusal) {
	if !r.Notes.failures.Take(now) {
		return
	}
	event := r.Notes.log.Info().Str("Request", id).Str("Route", p.route).Str("Customer", p.customer).
		Str("Cause", string(refusal.Cause)).Str("Ran", string(refusal.Ran)).Dur("RetryAfter", refusal.RetryAfter).Str("Detail", refusal.Detail)
	if r.Catalog != nil {
		age, _ := r.Catalog.Age(now)
		event = event.Uint64("Catalog", r.Catalog.Snapshot().CatalogVersion()).Dur("CatalogAge", age)
	}
	if refusal.Cause == refuse.Overloaded && p.route != "" {
		state := r.admission.State(now, p.route)
		event = event.Dur("Wait", state.Wait).Int("InFlight", state.InFlight).Float64("Limit", state.Limit)
	}
	event.Msg("request refused")
}

// noteServed logs that a request got the answer of an upstream.
func (r *Relay) logServed(now time.Time, id string, p *policy, c *call, status int, took time.Duration) {
	budget := r.Notes.served
	if status >= 500 {
		budget = r.Notes.failures
	}
	if !budget.Take(now) {
		return
	}
	r.Notes.log.Info().Str("Request", id).Str("Route", p.route).Str("Customer", p.customer).Int("Status", status).
		Int("Depth", c.chain.Depth).Stringer("Chain", c.chain.ID).Dur("Took", took).Msg("request answered")
}

// noteAttempt logs that a node did not answer a call, or refused it.
func (s *session) logFailedAttempt(now time.Time, node netip.AddrPort, c *chain.Chain, refusal *refuse.Refusal) {
	r := s.relay
	if !r.Notes.failures.Take(now) {
		return
	}
	r.Notes.log.Info().Str("Request", s.id).Stringer("Chain", c.ID).Str("Route", c.Route).Str("Service", c.Service).Stringer("Node", node).
		Str("Cause", string(refusal.Cause)).Str("Ran", string(refusal.Ran)).Str("Detail", refusal.Detail).
		Dur("Left", s.deadline.Sub(now)).Msg("attempt failed")
}

// noteTurnedAway logs what the upstream beside the node did with a request that
// it did not run to a good end.
func (p *localCall) logNotServed(now time.Time, id, outcome string, tries int) {
	r := p.relay
	if !r.Notes.failures.Take(now) {
		return
	}
	c := &p.running.Chain
	load := r.Gate.Load(now)
	r.Notes.log.Info().Str("Request", id).Stringer("Chain", c.ID).Str("Route", c.Route).Str("Instance", p.instance).Stringer("Upstream", p.address).
		Str("Outcome", outcome).Int("Tries", tries).Int("InFlight", load.InFlight).Int("Limit", load.Limit).Int("Waiting", load.Waiting).
		Dur("Wait", load.Wait).Dur("Left", p.deadline.Sub(now)).Msg("upstream did not serve")
}
