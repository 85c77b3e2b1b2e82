package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/wasabibend/wasabibend/internal/process/logs"
	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
)

// Maximum log lines per second about requests. Served requests are only sampled,
// as they need no explanation.
const (
	failureLinesPerSecond = 30
	servedLinesPerSecond  = 2
)

// RequestLog logs decisions on requests, at a limited rate.
type RequestLog struct {
	failures *logs.Limiter
	log      zerolog.Logger
	served   *logs.Limiter
}

// NewRequestLog returns a RequestLog that writes to a logger.
func NewRequestLog(log zerolog.Logger) *RequestLog {
	return &RequestLog{failures: logs.NewLimiter(failureLinesPerSecond), log: log, served: logs.NewLimiter(servedLinesPerSecond)}
}

// Limiters returns the limiters of the log lines by the kind of the lines.
func (l *RequestLog) Limiters() map[string]*logs.Limiter {
	return map[string]*logs.Limiter{"Failures": l.failures, "Served": l.served}
}

// logRefused logs that a request was refused, and the state that led to it.
func (r *Relay) logRefused(now time.Time, id string, p *policy, refusal *refuse.Refusal) {
	if !r.Log.failures.Allow(now) {
		return
	}
	event := r.Log.log.Info().Str("Request", id).Str("Route", p.route).Str("Customer", p.customer).
		Str("Cause", string(refusal.Cause)).Str("Ran", string(refusal.Ran)).Dur("RetryAfter", refusal.RetryAfter).Str("Detail", refusal.Detail).Bool("SubCall", p.subCall)
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

// logServed logs that a request got an upstream's response.
func (r *Relay) logServed(now time.Time, id string, p *policy, c *call, status int, took time.Duration) {
	limiter := r.Log.served
	if status >= 500 {
		limiter = r.Log.failures
	}
	if !limiter.Allow(now) {
		return
	}
	r.Log.log.Info().Str("Request", id).Str("Route", p.route).Str("Customer", p.customer).Int("Status", status).
		Int("Depth", c.chain.Depth).Stringer("Chain", c.chain.ID).Dur("Took", took).Msg("request answered")
}

// logCut logs that a response was cut behind its header, and why.
func (r *Relay) logCut(now time.Time, req *http.Request, c *chain.Chain, err error) {
	if !r.Log.failures.Allow(now) {
		return
	}
	r.Log.log.Info().Str("Request", r.Dialect.RequestID(req.Header)).Stringer("Chain", c.ID).Str("Route", c.Route).
		AnErr("Cause", context.Cause(req.Context())).Err(err).Msg("answer cut")
}

// logFailedAttempt logs that a node did not respond to a call, or refused it.
func (s *session) logFailedAttempt(now time.Time, node netip.AddrPort, c *chain.Chain, refusal *refuse.Refusal) {
	r := s.relay
	if !r.Log.failures.Allow(now) {
		return
	}
	event := r.Log.log.Info().Str("Request", s.id).Stringer("Chain", c.ID).Str("Route", c.Route).Str("Service", c.Service).Stringer("Node", node).
		Str("Cause", string(refusal.Cause)).Str("Ran", string(refusal.Ran)).Str("Detail", refusal.Detail).
		Dur("Left", s.deadline.Sub(now))
	if s.upload != nil {
		event = event.Int64("BodyRead", s.upload.offset.Load())
	}
	event.Msg("attempt failed")
}

// logMaxRate logs that the local upstream has begun or ceased to name the number of
// requests per second that it takes.
func (lc *localCall) logMaxRate(now time.Time, rate float64) {
	r := lc.relay
	if !r.Log.failures.Allow(now) {
		return
	}
	r.Log.log.Info().Str("Instance", lc.instance).Stringer("Upstream", lc.address).Float64("MaxRate", rate).Msg("upstream changed its maximum rate")
}

// logNotServed logs that the local upstream failed or rejected a request. The
// outcome is the error or the cause of the refusal.
func (lc *localCall) logNotServed(now time.Time, id, outcome string, tries int) {
	r := lc.relay
	if !r.Log.failures.Allow(now) {
		return
	}
	c := &lc.running.Chain
	load := r.Gate.Load(now)
	r.Log.log.Info().Str("Request", id).Stringer("Chain", c.ID).Str("Route", c.Route).Str("Instance", lc.instance).Stringer("Upstream", lc.address).
		Str("Outcome", outcome).Int("Tries", tries).Int("InFlight", load.InFlight).Int("Limit", load.Limit).Int("Waiting", load.Waiting).
		Dur("Wait", load.Wait).Dur("Left", lc.deadline.Sub(now)).Msg("upstream did not serve the request")
}
