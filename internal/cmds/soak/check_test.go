package main

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// begun is when the events of the cases begin.
var begun = time.Unix(1000, 0)

// lookup returns the outcome of a request that was answered, and the record of its
// run.
func lookup(id, customer string, after time.Duration) (Outcome, mimic.Record) {
	at := begun.Add(after)
	o := Outcome{Answer: &mimic.Response{Verified: true, Status: http.StatusOK}, Customer: customer, ID: id, Route: routeLookup, Sent: at}
	return o, mimic.Record{At: at, Customer: customer, ID: id, Kind: mimic.Ran, Path: "/lookup/x", Service: "ledger"}
}

// TestCheck breaks each promise once, and has cases beside them that are allowed.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		// change makes the evidence of one good request that of the case.
		change func(e *Evidence)
		want   string // the promise that is broken, empty for none
	}{
		{"all is well", func(*Evidence) {}, ""},
		{"half an answer", func(e *Evidence) { e.Outcomes[0].Answer.Verified = false }, promiseProper},
		{"an answer without a run", func(e *Evidence) { e.Records = nil }, promiseProper},
		{"an idempotent request runs twice", func(e *Evidence) { e.Records = append(e.Records, e.Records[0]) }, ""},
		{"a transfer runs twice", func(e *Evidence) {
			e.Outcomes[0].Route = routeTransfer
			e.Records = append(e.Records, e.Records[0])
		}, promiseOnce},
		{"not run, though it has", func(e *Evidence) {
			e.Outcomes[0].Answer = &mimic.Response{NotRun: true, Status: http.StatusServiceUnavailable}
		}, promiseNotRun},
		{"failed and ran", func(e *Evidence) { e.Outcomes[0].Answer = &mimic.Response{Status: http.StatusBadGateway} }, ""},
		{"a valid key is unknown", func(e *Evidence) {
			e.Outcomes[0].Answer = &mimic.Response{Status: http.StatusUnauthorized}
			e.Records = nil
		}, promiseValid},
		{"a withdrawn key is unknown", func(e *Evidence) {
			e.Outcomes[0].Answer = &mimic.Response{Status: http.StatusUnauthorized}
			e.Records = nil
			e.Withdrawn = map[string]time.Time{"key-amis": begun}
		}, ""},
		{"the key is shown", func(e *Evidence) { e.Records[0].KeyShown = true }, promiseCustomer},
		{"another customer", func(e *Evidence) { e.Records[0].Customer = "voisins" }, promiseCustomer},
		{"another service", func(e *Evidence) { e.Records[0].Service = "listings" }, promiseRoute},
		{"nobody asked", func(e *Evidence) { e.Records[0].ID, e.Outcomes = "other", nil }, promiseRoute},
		{"an upstream's own call", func(e *Evidence) {
			called := e.Records[0]
			called.Kind = mimic.Called
			e.Records, e.Outcomes = append(e.Records, called), nil
		}, ""},
		{"drained", func(e *Evidence) { e.Records[0].Left = mimic.DrainTime - time.Millisecond }, ""},
		{"drained for too long", func(e *Evidence) { e.Records[0].Left = mimic.DrainTime + time.Second }, promiseLeave},
		{"recovers late", func(e *Evidence) { e.Recovery = recoveryMost + time.Second }, promiseRecovery},
		{"withdrawn a moment ago", func(e *Evidence) { e.Withdrawn = map[string]time.Time{"key-amis": e.Outcomes[0].Sent} }, ""},
		{"withdrawn long ago", func(e *Evidence) {
			e.Withdrawn = map[string]time.Time{"key-amis": begun.Add(-time.Minute)}
			e.Healed = begun.Add(-time.Minute)
		}, promiseWithdrawn},
		{"cut by a graceful stop", func(e *Evidence) {
			e.Events = []Event{{At: 0, Fault: StopNode}}
			e.Outcomes[0].Answer, e.Outcomes[0].Err = nil, io.EOF
		}, promiseStop},
		{"cut by a graceful stop of another host", func(e *Evidence) {
			e.Events = []Event{{At: 0, Fault: StopNode, Host: 1}}
			e.Outcomes[0].Answer, e.Outcomes[0].Err = nil, io.EOF
		}, ""},
		{"cut by a kill beside a graceful stop", func(e *Evidence) {
			e.Events = []Event{{At: 0, Fault: StopNode}, {At: 0, Fault: KillNode}}
			e.Outcomes[0].Answer, e.Outcomes[0].Err = nil, io.EOF
		}, ""},
		{"a customer at its rate", func(e *Evidence) { repeat(e, 100, 5*time.Second) }, ""},
		{"a customer beyond its rate", func(e *Evidence) { repeat(e, 300, 5*time.Second) }, promiseRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, r := lookup("r-1", "amis", time.Second)
			e := &Evidence{Begun: begun, Healed: begun.Add(time.Minute), Outcomes: []Outcome{o}, Records: []mimic.Record{r}}
			c.change(e)
			found := Check(e, true)
			if c.want == "" {
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Check(t, slices.ContainsFunc(found, func(v Violation) bool { return v.Promise == c.want }), "%v", found)
		})
	}
}

// repeat adds requests of the customer with a rate, evenly over a time.
func repeat(e *Evidence, requests int, over time.Duration) {
	for i := range requests {
		o, r := lookup("r-limited-"+string(rune('a'+i)), customerLimited, over*time.Duration(i)/time.Duration(requests))
		e.Outcomes = append(e.Outcomes, o)
		e.Records = append(e.Records, r)
	}
}

// TestPlan checks that a seed always gives the same events, in order, within the
// time, and others than the next one.
func TestPlan(t *testing.T) {
	const hosts = 6
	first := plan(7, 20*time.Second, 14, hosts, 3)
	assert.DeepEqual(t, first, plan(7, 20*time.Second, 14, hosts, 3))
	assert.Check(t, !slices.Equal(first, plan(8, 20*time.Second, 14, hosts, 3)))
	assert.Check(t, len(first) >= 14)
	assert.Check(t, slices.IsSortedFunc(first, func(a, b Event) int { return int(a.At - b.At) }))
	for _, e := range first {
		assert.Check(t, e.At >= calmBefore && e.Host >= 0 && e.Host < hosts && e.Zone < 3 && e.For <= longestFault, "%+v", e)
	}
}

// TestOutcome tells apart how a request may end without an answer.
func TestOutcome(t *testing.T) {
	assert.Check(t, (&Outcome{Err: io.ErrUnexpectedEOF}).cut())
	assert.Check(t, !(&Outcome{Err: errors.New("x"), Answer: &mimic.Response{}}).cut())
}
