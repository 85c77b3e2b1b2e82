package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Evidence is what callers, upstreams and the operator saw of one run.
type Evidence struct {
	Added    []string // routes that the operator added
	Events   []Event
	Begun    time.Time // of the events
	Healed   time.Time // when all faults had ended
	Outcomes []Outcome
	Records  []mimic.Record
	// Recovery is how long after Healed each host served again.
	Recovery  time.Duration
	Withdrawn map[string]time.Time // keys
}

// Promises that hold whatever the time.
const (
	promiseCustomer = "a request runs for the customer whose key came with it, and the key is not shown"
	promiseNotRun   = "a refusal that says that a request has not run is true"
	promiseOnce     = "a request that must not run twice runs at most once"
	promiseProper   = "a success is the whole answer of an upstream to its own request"
	promiseRoute    = "a request runs at a service of its route, and was asked for"
	promiseValid    = "a request with a valid key and route is not refused as invalid"
)

// Promises with a bound on time. A machine that is busy with other work may break
// them by itself.
const (
	promiseLeave     = "an upstream that leaves gets no new requests after its drain time"
	promiseRate      = "a customer gets no more than its rate and burst"
	promiseRecovery  = "all nodes serve again soon after the last fault"
	promiseStop      = "a graceful stop cuts no request that runs"
	promiseWithdrawn = "a withdrawn key does not work"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
}

func (v Violation) String() string {
	return v.Promise + ": " + v.Detail
}

// finder collects violations.
type finder struct {
	*Evidence
	asked map[string]*Outcome
	calls map[string]bool // IDs of calls that upstreams made
	found []Violation
	runs  map[string][]mimic.Record
}

func newFinder(e *Evidence) *finder {
	f := &finder{Evidence: e, asked: make(map[string]*Outcome), calls: make(map[string]bool), runs: make(map[string][]mimic.Record)}
	for i := range e.Outcomes {
		f.asked[e.Outcomes[i].ID] = &e.Outcomes[i]
	}
	for _, r := range e.Records {
		if r.Kind == mimic.Called {
			f.calls[r.ID] = true
		} else {
			f.runs[r.ID] = append(f.runs[r.ID], r)
		}
	}
	return f
}

func (f *finder) report(promise, format string, args ...any) {
	f.found = append(f.found, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// Check returns the promises that were broken, those with a bound on time only if
// it is told to.
func Check(e *Evidence, timed bool) []Violation {
	f := newFinder(e)
	for i := range e.Outcomes {
		f.checkOutcome(&e.Outcomes[i])
	}
	for _, r := range e.Records {
		f.checkRecord(&r)
	}
	if timed {
		f.checkRate()
		f.checkRecovery()
		for i := range e.Outcomes {
			f.checkWithdrawn(&e.Outcomes[i])
			f.checkStop(&e.Outcomes[i])
		}
	}
	return f.found
}

func (f *finder) checkOutcome(o *Outcome) {
	runs := len(f.runs[o.ID])
	if o.Route == routeTransfer && runs > 1 {
		f.report(promiseOnce, "%s ran %d times", o.ID, runs)
	}
	if o.Answer == nil {
		return
	}
	switch {
	case o.Answer.Status == http.StatusOK && !o.Answer.Verified:
		f.report(promiseProper, "%s at host %d", o.ID, o.Host+1)
	case o.Answer.Status == http.StatusOK && runs == 0:
		f.report(promiseProper, "%s was answered and did not run", o.ID)
	case o.Answer.NotRun && runs > 0:
		f.report(promiseNotRun, "%s was answered by %d and ran %d times", o.ID, o.Answer.Status, runs)
	case f.wronglyInvalid(o):
		f.report(promiseValid, "%s for %s of %s was answered by %d at host %d", o.ID, o.Route, o.Customer, o.Answer.Status, o.Host+1)
	}
}

// wronglyInvalid reports whether a request was refused as invalid although every
// configuration allowed it.
func (f *finder) wronglyInvalid(o *Outcome) bool {
	if slices.Contains(f.Added, o.Route) {
		return false
	}
	if _, withdrawn := f.Withdrawn["key-"+o.Customer]; withdrawn {
		return false
	}
	s := o.Answer.Status
	return s >= http.StatusMultipleChoices && s < http.StatusInternalServerError && !o.Answer.NotRun
}

func (f *finder) checkRecord(r *mimic.Record) {
	if r.Kind != mimic.Ran {
		return
	}
	o := f.asked[r.ID]
	switch {
	case r.KeyShown:
		f.report(promiseCustomer, "%s showed its key", r.ID)
	case o == nil && !f.calls[r.ID]:
		f.report(promiseRoute, "%s at %s was not asked for", r.ID, r.Service)
	case o != nil && r.Customer != o.Customer:
		f.report(promiseCustomer, "%s of %s ran for %s", r.ID, o.Customer, r.Customer)
	case serviceOf(r.Path) != r.Service:
		f.report(promiseRoute, "%s to %s ran at %s", r.ID, r.Path, r.Service)
	case r.Left > mimic.DrainTime+leaveSlack:
		f.report(promiseLeave, "%s ran %v after its upstream left", r.ID, r.Left)
	}
}

// leaveSlack is what the way of the acknowledgement and of the request may take.
const leaveSlack = 300 * time.Millisecond

// serviceOf returns the service of the route of a path.
func serviceOf(path string) string {
	route, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if route == routeBrowse || strings.HasPrefix(route, "added") {
		return "listings"
	}
	return "ledger"
}

// Bounds of rates, as the users' platform states them.
const (
	rateWindow = 5 * time.Second
	rateExcess = 0.1
	rateSlack  = 20
)

// checkRate counts the requests of the customer with a rate in each window.
func (f *finder) checkRate() {
	var times []time.Time
	for id, runs := range f.runs {
		if o := f.asked[id]; o != nil && o.Customer == customerLimited {
			times = append(times, runs[0].At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateExcess)) + rateSlack
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > rateWindow {
			first++
		}
		if last-first+1 > most {
			f.report(promiseRate, "%d requests in %v until %v, want at most %d", last-first+1, rateWindow, times[last].Sub(f.Begun), most)
			return
		}
	}
}

// recoveryMost is the users' bound on the time to recovery.
const recoveryMost = 15 * time.Second

func (f *finder) checkRecovery() {
	if f.Recovery > recoveryMost {
		f.report(promiseRecovery, "after %v", f.Recovery)
	}
}

// settleTime is when a change must be in force everywhere after faults have ended:
// the users' bounds for a calm machine.
const settleTime = 5 * time.Second

func (f *finder) checkWithdrawn(o *Outcome) {
	at, withdrawn := f.Withdrawn["key-"+o.Customer]
	if !withdrawn || f.Healed.After(at) {
		at = f.Healed
	}
	if withdrawn && o.Sent.After(at.Add(settleTime)) && len(f.runs[o.ID]) > 0 {
		f.report(promiseWithdrawn, "%s of %s ran", o.ID, o.Customer)
	}
}

// graceTime is the time within which a graceful stop must end.
const graceTime = 6 * time.Second

// checkStop looks for requests that ran and were cut while the node that took them
// stopped gracefully and nothing else was wrong.
func (f *finder) checkStop(o *Outcome) {
	if !o.cut() || len(f.runs[o.ID]) == 0 {
		return
	}
	sent := o.Sent.Sub(f.Begun)
	stopping := false
	for _, e := range f.Events {
		if e.Fault == StopNode && e.Host == o.Host && sent >= e.At-patience && sent <= e.At+graceTime {
			stopping = true
		} else if !e.planned() && sent >= e.At-patience && sent <= e.At+e.For+patience {
			return
		}
	}
	if stopping {
		f.report(promiseStop, "%s at host %d: %v", o.ID, o.Host+1, o.Err)
	}
}

// planned reports whether an event is planned work that must cut nothing.
func (e *Event) planned() bool {
	switch e.Fault {
	case StopNode, LeaveUpstream, ChangeCatalog, WithdrawKey, StoreDown, StoreForgets, StoreLoses, StoreSlow:
		return true
	}
	return false
}
