package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Observations holds what callers, upstreams and the operator observed in one run.
type Observations struct {
	AddedRoutes []string // names of routes that the operator added
	Events      []Event
	PlanStart   time.Time // start of the plan
	FaultsEnded time.Time // when the last fault had ended
	// InstanceHosts has the index of the host of each instance of an upstream.
	InstanceHosts map[string]int
	Outcomes      []Outcome
	Records       []mimic.Record
	// RecoveryTime is the time from FaultsEnded until all hosts served again.
	RecoveryTime  time.Duration
	WithdrawnKeys map[string]time.Time // by key, when its withdrawal was acknowledged
}

// Guarantees without a time bound, which hold however slow the machine is.
const (
	guaranteeBroken   = "a broken answer of an upstream is a success for no caller"
	guaranteeBody     = "an upstream reads only the bytes that the caller sent, each at its offset"
	guaranteeCut      = "a request that runs is answered whole if no fault affects the hosts that it passes"
	guaranteeCustomer = "a request runs for the customer of its key, and the upstream does not see the key"
	guaranteeNotRun   = "a request that is reported as not run has not run"
	guaranteeOnce     = "a request that is not idempotent runs at most once"
	guaranteeComplete = "a success is the complete response of an upstream to this request"
	guaranteeRoute    = "an upstream runs only requests that were sent, at a service of their route"
	guaranteeWhole    = "a body that is complete at an upstream is the caller's whole body"
	guaranteeValid    = "a request with a valid key and route is not refused as invalid"
)

// Guarantees with a time bound. They may be violated merely because the machine is
// busy with other work.
const (
	guaranteeAnswer    = "a whole request on a kept connection is answered, or the connection ends soon"
	guaranteeAdded     = "a route that was added is known to all nodes soon after the last fault"
	guaranteeDrain     = "a draining upstream gets no new requests after its drain time"
	guaranteeRate      = "a customer is not served beyond its rate and burst"
	guaranteeRecovery  = "all nodes serve again soon after the last fault"
	guaranteeStop      = "a graceful stop of a node does not cut running requests"
	guaranteeWithdrawn = "a withdrawn key is refused"
)

// Violation describes how a guarantee was violated.
type Violation struct {
	Guarantee string
	Detail    string
}

func (v Violation) String() string {
	return v.Guarantee + ": " + v.Detail
}

// checker checks Observations and collects violations.
type checker struct {
	*Observations
	outcomeByID   map[string]*Outcome // by request ID
	upstreamCalls map[string]bool     // IDs of calls that upstreams made
	violations    []Violation
	runsByID      map[string][]mimic.Record // by request ID
}

func newChecker(obs *Observations) *checker {
	c := &checker{Observations: obs, outcomeByID: make(map[string]*Outcome), upstreamCalls: make(map[string]bool), runsByID: make(map[string][]mimic.Record)}
	for i := range obs.Outcomes {
		c.outcomeByID[obs.Outcomes[i].ID] = &obs.Outcomes[i]
	}
	for _, r := range obs.Records {
		switch r.Kind {
		case mimic.Called:
			c.upstreamCalls[r.ID] = true
		case mimic.Ran:
			c.runsByID[r.ID] = append(c.runsByID[r.ID], r)
		}
	}
	return c
}

func (c *checker) addViolation(guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// Check returns the violations of guarantees. It checks those with a time bound only
// if checkTimeBounds is set.
func Check(obs *Observations, checkTimeBounds bool) []Violation {
	c := newChecker(obs)
	for i := range obs.Outcomes {
		c.checkOutcome(&obs.Outcomes[i])
	}
	for _, r := range obs.Records {
		c.checkRecord(&r)
		c.checkBody(&r)
	}
	if checkTimeBounds {
		c.checkRate()
		c.checkRecovery()
		for i := range obs.Outcomes {
			c.checkAnswer(&obs.Outcomes[i])
			c.checkAdded(&obs.Outcomes[i])
			c.checkWithdrawn(&obs.Outcomes[i])
			c.checkStop(&obs.Outcomes[i])
		}
	}
	return c.violations
}

// checkOutcome checks the response to a request against the runs of the request.
func (c *checker) checkOutcome(o *Outcome) {
	runs := len(c.runsByID[o.ID])
	if (o.Route == routeOrder || o.Route == routePublic || o.Route == routeTransfer || o.Route == routeUpload) && runs > 1 {
		c.addViolation(guaranteeOnce, "%s ran %d times", o.ID, runs)
	}
	if o.Response == nil {
		if o.cut() && runs > 0 && !c.disturbed(o) && !c.anyBroken(o) {
			c.addViolation(guaranteeCut, "%s to route %s at host %d, sent %v after the start, cut %v later: %v", o.ID, o.Route, o.Host+1, o.Sent.Sub(c.PlanStart), o.Done.Sub(o.Sent), o.Err)
		}
		return
	}
	switch {
	case o.Response.Status == http.StatusOK && !o.Response.Verified:
		c.addViolation(guaranteeComplete, "%s got a wrong or incomplete response at host %d%s", o.ID, o.Host+1, c.brokenForms(o))
	case o.Response.Status == http.StatusOK && runs > 0 && c.allBroken(o):
		c.addViolation(guaranteeBroken, "%s got a successful response at host %d%s", o.ID, o.Host+1, c.brokenForms(o))
	case o.Response.BodyDiffers:
		c.addViolation(guaranteeWhole, "%s got a successful response of an upstream that had read another whole body", o.ID)
	case o.Response.Status == http.StatusOK && runs == 0:
		c.addViolation(guaranteeComplete, "%s got a successful response but did not run", o.ID)
	case o.Response.NotRun && runs > 0:
		c.addViolation(guaranteeNotRun, "%s got status %d but ran %d times%s", o.ID, o.Response.Status, runs, c.brokenForms(o))
	case c.refusedAsInvalid(o):
		c.addViolation(guaranteeValid, "%s to route %s for customer %s got status %d at host %d", o.ID, o.Route, o.Customer, o.Response.Status, o.Host+1)
	}
}

// anyBroken reports whether an upstream gave a request a broken answer, which may cut that of
// its caller.
func (c *checker) anyBroken(o *Outcome) bool {
	return slices.ContainsFunc(c.runsByID[o.ID], isBroken)
}

// allBroken reports whether no upstream that ran a request gave it an answer in order.
func (c *checker) allBroken(o *Outcome) bool {
	return !slices.ContainsFunc(c.runsByID[o.ID], func(r mimic.Record) bool { return !isBroken(r) })
}

// brokenForms names the forms of the broken answers to a request, empty if there were none.
func (c *checker) brokenForms(o *Outcome) string {
	text := ""
	for _, r := range c.runsByID[o.ID] {
		if isBroken(r) {
			text += "; an upstream answered with " + r.Broken
		}
	}
	return text
}

// isBroken reports whether a run got a broken answer.
func isBroken(r mimic.Record) bool {
	return r.Broken != ""
}

// refusedAsInvalid reports whether a request was refused as invalid although it was
// valid in every version of the configuration.
func (c *checker) refusedAsInvalid(o *Outcome) bool {
	if slices.Contains(c.AddedRoutes, o.Route) {
		return false
	}
	if _, withdrawn := c.WithdrawnKeys["key-"+o.Customer]; withdrawn {
		return false
	}
	s := o.Response.Status
	return s >= http.StatusMultipleChoices && s < http.StatusInternalServerError && !o.Response.NotRun
}

// checkRecord checks that a request was run at the right upstream, for the right
// customer.
func (c *checker) checkRecord(r *mimic.Record) {
	if r.Kind != mimic.Ran {
		return
	}
	o := c.outcomeByID[r.ID]
	switch {
	case r.KeyShown:
		c.addViolation(guaranteeCustomer, "the upstream of %s saw the key", r.ID)
	case o == nil && !c.upstreamCalls[r.ID]:
		c.addViolation(guaranteeRoute, "%s ran at service %s but was not sent", r.ID, r.Service)
	case o != nil && r.Customer != o.Customer:
		c.addViolation(guaranteeCustomer, "%s of customer %s ran for customer %q", r.ID, o.Customer, r.Customer)
	case serviceOf(r.Path) != r.Service:
		c.addViolation(guaranteeRoute, "%s to path %s ran at service %s", r.ID, r.Path, r.Service)
	case r.Left > mimic.DrainTime+drainSlack:
		c.addViolation(guaranteeDrain, "%s ran %v after the node had acknowledged that its upstream drains", r.ID, r.Left)
	}
}

// checkBody checks what an upstream read of a request's body.
func (c *checker) checkBody(r *mimic.Record) {
	if r.Kind != mimic.Read {
		return
	}
	o := c.outcomeByID[r.ID]
	switch {
	case o == nil:
		c.addViolation(guaranteeBody, "%s at host %d: the body of a request that was not sent", r.ID, c.InstanceHosts[r.Instance]+1)
	case r.Body.Whole && (r.Body.Bytes != int64(o.BodyBytes) || r.Body.DiffersAt != nil):
		c.addViolation(guaranteeWhole, "%s sent at host %d, read at host %d: %d bytes%s, the caller's body has %d", r.ID, o.Host+1, c.InstanceHosts[r.Instance]+1, r.Body.Bytes, difference(r.Body), o.BodyBytes)
	case r.Body.DiffersAt != nil:
		c.addViolation(guaranteeBody, "%s sent at host %d, read at host %d: %d bytes%s", r.ID, o.Host+1, c.InstanceHosts[r.Instance]+1, r.Body.Bytes, difference(r.Body))
	}
}

// difference describes how a body differs from the caller's, empty if it does not.
func difference(body *mimic.Body) string {
	switch {
	case body.DiffersAt == nil:
		return ""
	case body.SentAt == nil:
		return fmt.Sprintf(", other ones from offset %d on", *body.DiffersAt)
	}
	return fmt.Sprintf(", from offset %d on those that were sent at offset %d", *body.DiffersAt, *body.SentAt)
}

// drainSlack allows for the time that the acknowledgement that the upstream drains and
// the request spend in transit.
const drainSlack = 300 * time.Millisecond

// serviceOf returns the service to which a path's route leads.
func serviceOf(path string) string {
	route, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if route == routeBrowse || route == routeOrder || route == routePublic || route == routeStore || strings.HasPrefix(route, "added") {
		return "listings"
	}
	return "ledger"
}

// Tolerance of rate limits, as the users' platform states it: in each window a
// customer may exceed its rate and burst by a fraction and by a number of requests.
const (
	rateWindow = 5 * time.Second
	rateExcess = 0.1
	rateSlack  = 20
)

// checkRate checks the runs of the customer with a rate limit in each window. A
// request that ran several times counts once.
func (c *checker) checkRate() {
	var times []time.Time
	for id, runs := range c.runsByID {
		if o := c.outcomeByID[id]; o != nil && o.Customer == limitedCustomer {
			times = append(times, runs[0].At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	maxRequests := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateExcess)) + rateSlack
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > rateWindow {
			first++
		}
		if last-first+1 > maxRequests {
			c.addViolation(guaranteeRate, "%d requests ran within %v until %v after the start, want at most %d", last-first+1, rateWindow, times[last].Sub(c.PlanStart), maxRequests)
			return
		}
	}
}

// maxRecoveryTime is the recovery time that the users require.
const maxRecoveryTime = 15 * time.Second

func (c *checker) checkRecovery() {
	if c.RecoveryTime > maxRecoveryTime {
		c.addViolation(guaranteeRecovery, "all hosts served again only after %v", c.RecoveryTime)
	}
}

// settleTime is the time within which a change must be in force on all nodes once no
// faults are left. It is the bound that the users require on an idle machine.
const settleTime = 5 * time.Second

// checkAdded checks that a request on a route that was added is not refused as invalid
// after settleTime, which begins at the end of all faults.
func (c *checker) checkAdded(o *Outcome) {
	if o.Response == nil || !slices.Contains(c.AddedRoutes, o.Route) || !o.Sent.After(c.FaultsEnded.Add(settleTime)) {
		return
	}
	if _, withdrawn := c.WithdrawnKeys["key-"+o.Customer]; withdrawn {
		return
	}
	switch o.Response.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.addViolation(guaranteeAdded, "%s to route %s got status %d at host %d %v after the last fault", o.ID, o.Route, o.Response.Status, o.Host+1, o.Sent.Sub(c.FaultsEnded))
	}
}

// checkWithdrawn checks that a request with a withdrawn key did not run after
// settleTime, which begins at the end of all faults or at the withdrawal if that was
// later.
func (c *checker) checkWithdrawn(o *Outcome) {
	at, withdrawn := c.WithdrawnKeys["key-"+o.Customer]
	if !withdrawn || c.FaultsEnded.After(at) {
		at = c.FaultsEnded
	}
	if withdrawn && o.Sent.After(at.Add(settleTime)) && len(c.runsByID[o.ID]) > 0 {
		c.addViolation(guaranteeWithdrawn, "%s of customer %s ran", o.ID, o.Customer)
	}
}

// maxCrossing is how long after its last byte a request may still cross the end of its
// connection.
const maxCrossing = 200 * time.Millisecond

// checkAnswer checks that the connection of a whole request that did not run does not end
// without a response more than maxCrossing after its last byte, unless the request waited
// behind another or its node was paused or killed.
func (c *checker) checkAnswer(o *Outcome) {
	if !o.cut() || o.Whole.IsZero() || o.Behind || len(c.runsByID[o.ID]) > 0 {
		return
	}
	if age := o.Done.Sub(o.Whole); age > maxCrossing && !c.impaired(o) {
		c.addViolation(guaranteeAnswer, "%s at host %d, sent %v after the start: cut %v after its last byte, %s", o.ID, o.Host+1, o.Sent.Sub(c.PlanStart), age, o.Reached)
	}
}

// impaired reports whether a request's node was paused or killed.
func (c *checker) impaired(o *Outcome) bool {
	return slices.ContainsFunc(c.Events, func(e Event) bool {
		return (e.Fault == KillNode || e.Fault == PauseNode) && e.Host == o.Host && c.overlaps(&e, o)
	})
}

// overlaps reports whether a request was in progress during an event, or less than
// callerTimeout after it.
func (c *checker) overlaps(e *Event, o *Outcome) bool {
	return o.Sent.Sub(c.PlanStart) <= e.At+e.Duration+callerTimeout && o.Done.Sub(c.PlanStart) >= e.At
}

// disturbed reports whether a fault that may cut requests affected the request's node or a
// host at which it ran, or whether its node stopped gracefully, which checkStop checks.
func (c *checker) disturbed(o *Outcome) bool {
	hosts := []int{o.Host}
	for _, r := range c.runsByID[o.ID] {
		hosts = append(hosts, c.InstanceHosts[r.Instance])
	}
	for _, e := range c.Events {
		if !c.overlaps(&e, o) {
			continue
		}
		switch {
		case e.Fault == StopNode || e.Fault == StopHost:
			if e.Host == o.Host {
				return true
			}
		case e.mustNotCut():
		case e.Fault == CutZone:
			if slices.ContainsFunc(hosts, func(host int) bool { return host%len(zones) == e.Zone }) {
				return true
			}
		case slices.Contains(hosts, e.Host):
			return true
		}
	}
	return false
}

// gracefulStopTimeout is the time within which a graceful stop must end.
const gracefulStopTimeout = 6 * time.Second

// checkStop checks that a request that ran was not cut while its caller's node
// stopped gracefully. It ignores requests during another fault that may cut them.
func (c *checker) checkStop(o *Outcome) {
	if !o.cut() || len(c.runsByID[o.ID]) == 0 {
		return
	}
	sent := o.Sent.Sub(c.PlanStart)
	stopping := false
	for _, e := range c.Events {
		if (e.Fault == StopNode || e.Fault == StopHost) && e.Host == o.Host && sent >= e.At-callerTimeout && sent <= e.At+gracefulStopTimeout {
			stopping = true
		} else if !e.mustNotCut() && sent >= e.At-callerTimeout && sent <= e.At+e.Duration+callerTimeout {
			return
		}
	}
	if stopping {
		c.addViolation(guaranteeStop, "%s at host %d: %v", o.ID, o.Host+1, o.Err)
	}
}

// mustNotCut reports whether an event must not cut running requests: a graceful
// stop, a change of the configuration, or a fault of the store.
func (e *Event) mustNotCut() bool {
	switch e.Fault {
	case StopHost, StopNode, LeaveUpstream, ChangeCatalog, LowerIdle, WithdrawKey, StoreDown, StoreForgets, StoreLoses, StoreRestored, StoreSlow:
		return true
	}
	return false
}
