package relay

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabibend/wasabibend/internal/request/chain"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// call is a request to be sent to an upstream.
type call struct {
	maxAttempts int // maximum number of upstreams that it is sent to
	budget      *chain.Budget
	chain       chain.Chain
	context     context.Context // of the request that made the sub-call; nil for a root request
	deadline    time.Time
	due         time.Time // time by which the root request should be answered; zero for none
	fingerprint uint64    // of a sub-call
	id          string    // request ID in the caller's logs
	idempotent  bool
	maxBody     int64 // bytes; 0 for no limit
	received    time.Time
	regions     []string // in which the request may be served; nil for all
	release     func()   // releases the claim of the idempotency key; nil without one
	route       string   // of a caller's request; empty for a sub-call
}

// rootCall returns the call of an admitted request of a caller.
func (r *Relay) rootCall(now time.Time, p *policy, info CallerInfo) *call {
	c := &call{
		maxAttempts: p.maxAttempts,
		budget:      chain.NewBudget(p.retries),
		chain: chain.Chain{
			Caller:     r.Service,
			Customer:   p.customer,
			Importance: p.importance,
			Route:      p.catalogRoute(),
			Service:    p.service,
			Weight:     p.weight,
		},
		deadline:   now.Add(p.longest(info)),
		idempotent: p.idempotent,
		maxBody:    p.maxBody,
		received:   now,
		regions:    p.regions,
	}
	if p.subCall {
		c.chain.Depth = 1
	} else {
		c.route = p.route
	}
	if p.objective > 0 {
		c.due = now.Add(p.objective)
	}
	for i := 0; i < len(c.chain.ID); i += 8 {
		binary.LittleEndian.PutUint64(c.chain.ID[i:], rand.Uint64())
	}
	return c
}

// longest returns the longest time that a request of a caller may take.
func (p *policy) longest(info CallerInfo) time.Duration {
	if info.Timeout > 0 {
		return min(p.timeout, info.Timeout)
	}
	return p.timeout
}

// subCall returns the call that the local upstream makes for a request that it is
// running, or a refusal.
func (r *Relay) subCall(now time.Time, req *http.Request, running *chain.RunningRequest) (*call, *refuse.Refusal) {
	if refusal := checkPath(req); refusal != nil {
		return nil, refusal
	}
	if running.Chain.Depth >= chain.MaxDepth {
		return nil, refuse.New(refuse.DepthExceeded, 0, "the chain is %d calls deep", chain.MaxDepth)
	}
	if !now.Before(running.Deadline) {
		return nil, refuse.New(refuse.DeadlineExceeded, 0, "the root request's deadline has passed")
	}
	c := &call{
		maxAttempts: maxAttempts,
		budget:      running.Budget,
		chain:       running.Chain,
		context:     running.Context,
		deadline:    running.Deadline,
		fingerprint: fingerprint(req),
		idempotent:  idempotent(req.Method),
		received:    now,
	}
	c.chain.Depth++
	c.chain.Parent = running.Span
	c.chain.Service = rows.Service(req.URL.Path)
	if c.chain.Service == "" {
		return nil, refuse.New(refuse.RouteUnknown, 0, "the path names no service")
	}
	if !running.Budget.Begin(c.fingerprint) {
		return nil, refuse.New(refuse.RetriesExceeded, 0, "the root request's retries are used up")
	}
	return c, nil
}

// fingerprint returns a hash that identifies a sub-call among the sub-calls of a
// request.
func fingerprint(req *http.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{req.Method, req.URL.RequestURI(), req.Header.Get(headerIdempotency)} {
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// idempotent reports whether HTTP defines a method as idempotent.
func idempotent(method string) bool {
	switch method {
	case http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodTrace:
		return true
	}
	return false
}

// callID returns the ID that the response to a call must carry. Each process of a
// node numbers its calls from a random start, so that a response to a call of an
// earlier process does not match.
func callID(c *chain.Chain) string {
	return strconv.FormatUint(c.Call, 36)
}
