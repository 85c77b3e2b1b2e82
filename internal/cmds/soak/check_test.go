package main

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/wasabibend/wasabibend/platform/mimic"
)

// start is the start of the plan in all cases.
var start = time.Unix(1000, 0)

// lookup returns the outcome of a request that was served, sent at a time after
// start, and the record of its run.
func lookup(id, customer string, after time.Duration) (Outcome, mimic.Record) {
	at := start.Add(after)
	o := Outcome{Response: &mimic.Response{Verified: true, Status: http.StatusOK}, Customer: customer, Done: at, ID: id, Route: routeLookup, Sent: at}
	return o, mimic.Record{At: at, Customer: customer, ID: id, Kind: mimic.Ran, Path: "/lookup/x", Service: "ledger"}
}

// TestCheck checks that Check reports a violation of each guarantee and of no other, and
// nothing in similar cases that are allowed.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		// change turns the observations of one served request, which violate no guarantee,
		// into those of the case.
		change func(obs *Observations)
		want   string // the violated guarantee, empty for none
	}{
		{"served request", func(*Observations) {}, ""},
		{"incomplete response", func(obs *Observations) { obs.Outcomes[0].Response.Verified = false }, guaranteeComplete},
		{"successful response without a run", func(obs *Observations) { obs.Records = nil }, guaranteeComplete},
		{"idempotent request runs twice", func(obs *Observations) { obs.Records = append(obs.Records, obs.Records[0]) }, ""},
		{"request that is not idempotent runs twice", func(obs *Observations) {
			obs.Outcomes[0].Route = routeTransfer
			obs.Records = append(obs.Records, obs.Records[0])
		}, guaranteeOnce},
		{"reported as not run but ran", func(obs *Observations) {
			obs.Outcomes[0].Response = &mimic.Response{NotRun: true, Status: http.StatusServiceUnavailable}
		}, guaranteeNotRun},
		{"failed after it ran", func(obs *Observations) { obs.Outcomes[0].Response = &mimic.Response{Status: http.StatusBadGateway} }, ""},
		{"success for a broken answer", func(obs *Observations) { obs.Records[0].Broken = "status 000" }, guaranteeBroken},
		{"success for a broken answer and one in order", func(obs *Observations) {
			obs.Records = append(obs.Records, obs.Records[0])
			obs.Records[0].Broken = "status 000"
		}, ""},
		{"part of a broken answer", func(obs *Observations) {
			obs.Outcomes[0].Response.Verified = false
			obs.Records[0].Broken = "reset without a length"
		}, guaranteeComplete},
		{"failed with a broken answer", func(obs *Observations) {
			obs.Outcomes[0].Response = &mimic.Response{Status: http.StatusBadGateway}
			obs.Records[0].Broken = "status 000"
		}, ""},
		{"reported as not run with a broken answer", func(obs *Observations) {
			obs.Outcomes[0].Response = &mimic.Response{NotRun: true, Status: http.StatusServiceUnavailable}
			obs.Records[0].Broken = "promise behind a blank"
		}, guaranteeNotRun},
		{"cut after a broken answer", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Records[0].Broken = "reset without a length"
		}, ""},
		{"valid key refused", func(obs *Observations) {
			obs.Outcomes[0].Response = &mimic.Response{Status: http.StatusUnauthorized}
			obs.Records = nil
		}, guaranteeValid},
		{"withdrawn key refused", func(obs *Observations) {
			obs.Outcomes[0].Response = &mimic.Response{Status: http.StatusUnauthorized}
			obs.Records = nil
			obs.WithdrawnKeys = map[string]time.Time{"key-amis": start}
		}, ""},
		{"upstream saw the key", func(obs *Observations) { obs.Records[0].KeyShown = true }, guaranteeCustomer},
		{"ran for another customer", func(obs *Observations) { obs.Records[0].Customer = "voisins" }, guaranteeCustomer},
		{"ran at another service", func(obs *Observations) { obs.Records[0].Service = "listings" }, guaranteeRoute},
		{"ran but was never sent", func(obs *Observations) { obs.Records[0].ID, obs.Outcomes = "other", nil }, guaranteeRoute},
		{"call by an upstream", func(obs *Observations) {
			called := obs.Records[0]
			called.Kind = mimic.Called
			obs.Records, obs.Outcomes = append(obs.Records, called), nil
		}, ""},
		{"ran within the drain time", func(obs *Observations) { obs.Records[0].Left = mimic.DrainTime - time.Millisecond }, ""},
		{"ran after the drain time", func(obs *Observations) { obs.Records[0].Left = mimic.DrainTime + time.Second }, guaranteeDrain},
		{"late recovery", func(obs *Observations) { obs.RecoveryTime = maxRecoveryTime + time.Second }, guaranteeRecovery},
		{"ran just after the key was withdrawn", func(obs *Observations) { obs.WithdrawnKeys = map[string]time.Time{"key-amis": obs.Outcomes[0].Sent} }, ""},
		{"ran long after the key was withdrawn", func(obs *Observations) {
			obs.WithdrawnKeys = map[string]time.Time{"key-amis": start.Add(-time.Minute)}
			obs.FaultsEnded = start.Add(-time.Minute)
		}, guaranteeWithdrawn},
		{"added route unknown long after the last fault", func(obs *Observations) {
			obs.AddedRoutes, obs.FaultsEnded = []string{"added0"}, start.Add(-time.Minute)
			obs.Outcomes[0].Route = "added0"
			obs.Outcomes[0].Response = &mimic.Response{Status: http.StatusNotFound}
			obs.Records = nil
		}, guaranteeAdded},
		{"added route unknown just after the last fault", func(obs *Observations) {
			obs.AddedRoutes, obs.FaultsEnded = []string{"added0"}, start
			obs.Outcomes[0].Route = "added0"
			obs.Outcomes[0].Response = &mimic.Response{Status: http.StatusNotFound}
			obs.Records = nil
		}, ""},
		{"cut during a graceful stop", func(obs *Observations) {
			obs.Events = []Event{{At: 0, Fault: StopNode}}
			obs.Outcomes[0].Response, obs.Outcomes[0].Err = nil, io.EOF
		}, guaranteeStop},
		{"cut during a graceful stop on another host", func(obs *Observations) {
			obs.Events = []Event{{At: 0, Fault: StopNode, Host: 1}}
			obs.Outcomes[0].Response, obs.Outcomes[0].Err = nil, io.EOF
		}, guaranteeCut},
		{"cut during a graceful stop and a kill", func(obs *Observations) {
			obs.Events = []Event{{At: 0, Fault: StopNode}, {At: 0, Fault: KillNode}}
			obs.Outcomes[0].Response, obs.Outcomes[0].Err = nil, io.EOF
		}, ""},
		{"cut after it ran", func(obs *Observations) { cut(obs, time.Millisecond) }, guaranteeCut},
		{"cut after it ran at a low idle timeout", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{Fault: LowerIdle, Duration: time.Minute}, {Fault: StoreDown, Duration: time.Minute}}
		}, guaranteeCut},
		{"cut after it ran, a fault elsewhere", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{Fault: PauseNode, Duration: time.Minute, Host: 2}, {Fault: CutZone, Duration: time.Minute, Zone: 2}}
		}, guaranteeCut},
		{"cut after it ran, long after a fault", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{At: -time.Minute, Fault: KillNode}}
		}, guaranteeCut},
		{"cut after it ran, before a fault", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{At: time.Minute, Fault: PauseNode, Duration: time.Minute}}
		}, guaranteeCut},
		{"cut after it ran, its node paused", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{Fault: PauseNode, Duration: time.Minute}}
		}, ""},
		{"cut after it ran, its upstream killed", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{Fault: KillUpstream, Duration: time.Minute, Host: 1}}
		}, ""},
		{"cut after it ran, its zone cut off", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Events = []Event{{Fault: CutZone, Duration: time.Minute, Zone: 1}}
		}, ""},
		{"response cut after it ran", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Outcomes[0].Partial = true
		}, guaranteeCut},
		{"not answered in time after it ran", func(obs *Observations) {
			cut(obs, callerTimeout)
			obs.Outcomes[0].Err = os.ErrDeadlineExceeded
		}, ""},
		{"cut long after its last byte", func(obs *Observations) { cutUnrun(obs, maxCrossing+time.Millisecond) }, guaranteeAnswer},
		{"cut long after its last byte, its node stops", func(obs *Observations) {
			cutUnrun(obs, time.Second)
			obs.Events = []Event{{Fault: StopNode, Duration: time.Minute}, {Fault: PauseNode, Duration: time.Minute, Host: 1}}
		}, guaranteeAnswer},
		{"crosses the end of its connection", func(obs *Observations) { cutUnrun(obs, maxCrossing) }, ""},
		{"cut long after its last byte, its node paused", func(obs *Observations) {
			cutUnrun(obs, time.Second)
			obs.Events = []Event{{Fault: PauseNode, Duration: time.Minute}}
		}, ""},
		{"cut long after its last byte behind another", func(obs *Observations) {
			cutUnrun(obs, time.Second)
			obs.Outcomes[0].Behind = true
		}, ""},
		{"cut behind another after it ran", func(obs *Observations) {
			cut(obs, time.Millisecond)
			obs.Outcomes[0].Behind = true
		}, guaranteeCut},
		{"cut while it was sent", func(obs *Observations) {
			cutUnrun(obs, time.Second)
			obs.Outcomes[0].Whole = time.Time{}
		}, ""},
		{"body of the caller", func(obs *Observations) { upload(obs, mimic.Body{Bytes: 20000, Whole: true}) }, ""},
		{"part of a body", func(obs *Observations) { upload(obs, mimic.Body{Bytes: 19999}) }, ""},
		{"body with other bytes", func(obs *Observations) { upload(obs, mimic.Body{Bytes: 4096, DiffersAt: new(int64)}) }, guaranteeBody},
		{"body of a request that was not sent", func(obs *Observations) {
			upload(obs, mimic.Body{Bytes: 4096})
			obs.Records[1].ID = "other"
		}, guaranteeBody},
		{"whole body with other bytes", func(obs *Observations) { upload(obs, mimic.Body{Bytes: 20000, DiffersAt: new(int64), Whole: true}) }, guaranteeWhole},
		{"whole body that is shorter", func(obs *Observations) { upload(obs, mimic.Body{Bytes: 19999, Whole: true}) }, guaranteeWhole},
		{"whole body that is longer", func(obs *Observations) { upload(obs, mimic.Body{Bytes: 20001, Whole: true}) }, guaranteeWhole},
		{"whole body of a refused request", func(obs *Observations) {
			upload(obs, mimic.Body{Bytes: 19999, Whole: true})
			obs.Records, obs.Outcomes[0].Response = obs.Records[1:], &mimic.Response{NotRun: true, Status: http.StatusServiceUnavailable}
		}, guaranteeWhole},
		{"body read of a refused request", func(obs *Observations) {
			upload(obs, mimic.Body{Bytes: 20000, Whole: true})
			obs.Records, obs.Outcomes[0].Response = obs.Records[1:], &mimic.Response{NotRun: true, Status: http.StatusServiceUnavailable}
		}, ""},
		{"success for another body", func(obs *Observations) { obs.Outcomes[0].Response.BodyDiffers = true }, guaranteeWhole},
		{"long body of a request that is not idempotent runs twice", func(obs *Observations) {
			obs.Outcomes[0].Route = routeUpload
			obs.Records = append(obs.Records, obs.Records[0])
		}, guaranteeOnce},
		{"customer within its rate", func(obs *Observations) { repeat(obs, 100, 5*time.Second) }, ""},
		{"customer beyond its rate", func(obs *Observations) { repeat(obs, 300, 5*time.Second) }, guaranteeRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, r := lookup("r-1", "amis", time.Second)
			obs := &Observations{PlanStart: start, FaultsEnded: start.Add(time.Minute), Outcomes: []Outcome{o}, Records: []mimic.Record{r}}
			c.change(obs)
			violations := Check(obs, true)
			violated := make(map[string]bool)
			for _, v := range violations {
				violated[v.Guarantee] = true
			}
			want := map[string]bool{c.want: true}
			delete(want, "")
			assert.DeepEqual(t, violated, want)
		})
	}
}

// cut makes the request of the observations one whose connection ended without a response
// at a time after it was sent. It ran at the host after its own.
func cut(obs *Observations, after time.Duration) {
	o := &obs.Outcomes[0]
	o.Done, o.Err, o.Response, o.Whole = o.Sent.Add(after), io.EOF, nil, o.Sent
	obs.Records[0].Instance, obs.InstanceHosts = "i-1", map[string]int{"i-1": 1}
}

// cutUnrun is like cut for a request that did not run.
func cutUnrun(obs *Observations, after time.Duration) {
	cut(obs, after)
	obs.Records = nil
}

// upload makes the request of the observations one with a body of 20,000 bytes, and adds what
// its upstream read of it.
func upload(obs *Observations, read mimic.Body) {
	obs.Outcomes[0].BodyBytes = 20000
	obs.Records = append(obs.Records, mimic.Record{Body: &read, ID: obs.Outcomes[0].ID, Kind: mimic.Read})
}

// repeat adds served requests of the customer with a rate limit, spread evenly over
// a time.
func repeat(obs *Observations, requests int, over time.Duration) {
	for i := range requests {
		o, r := lookup("r-limited-"+string(rune('a'+i)), limitedCustomer, over*time.Duration(i)/time.Duration(requests))
		obs.Outcomes = append(obs.Outcomes, o)
		obs.Records = append(obs.Records, r)
	}
}

// TestPlan checks that a seed always gives the same events, that another seed gives
// others, and that events are sorted and within their bounds.
func TestPlan(t *testing.T) {
	const hosts = 6
	first := plan(7, 20*time.Second, 14, hosts, 3)
	assert.DeepEqual(t, first, plan(7, 20*time.Second, 14, hosts, 3))
	assert.Check(t, !slices.Equal(first, plan(8, 20*time.Second, 14, hosts, 3)))
	assert.Check(t, len(first) >= 14)
	assert.Check(t, slices.IsSortedFunc(first, func(a, b Event) int { return int(a.At - b.At) }))
	for _, e := range first {
		assert.Check(t, e.At >= faultFreePeriod && e.Host >= 0 && e.Host < hosts && e.Zone < 3 && e.Duration <= maxFaultDuration, "%+v", e)
	}
}

// TestIdleEvents checks that the events of each idle run are sorted, and that each fault
// is within the run.
func TestIdleEvents(t *testing.T) {
	for name, run := range idleRuns {
		events := run.events(1)
		assert.Check(t, slices.IsSortedFunc(events, func(a, b Event) int { return int(a.At - b.At) }), name)
		want := idleChanges
		if run.fault != "" {
			want *= 2
		}
		assert.Equal(t, len(events), want, name)
		assert.Check(t, events[0].At > 0, name)
	}
}

// TestBodiesEvents checks that a seed fixes the events of each bodies run, that they are
// sorted, and that each kind of fault occurs.
func TestBodiesEvents(t *testing.T) {
	for name, run := range bodiesRuns {
		events := run.events(7)
		assert.DeepEqual(t, events, run.events(7))
		assert.Check(t, slices.IsSortedFunc(events, func(a, b Event) int { return int(a.At - b.At) }), name)
		for _, fault := range run.faults {
			assert.Check(t, slices.ContainsFunc(events, func(e Event) bool { return e.Fault == fault }), name)
		}
		for _, e := range events {
			assert.Check(t, e.At >= faultFreePeriod && e.At < bodiesLength && e.Host < run.hosts() && e.Duration <= maxBodiesPause, "%+v", e)
		}
	}
}

// TestOutcomeCut checks that an unexpected end of the connection counts as cut, and a
// request with a response does not.
func TestOutcomeCut(t *testing.T) {
	assert.Check(t, (&Outcome{Err: io.ErrUnexpectedEOF}).cut())
	assert.Check(t, !(&Outcome{Err: os.ErrDeadlineExceeded}).cut())
	assert.Check(t, !(&Outcome{Err: errors.New("x"), Response: &mimic.Response{}}).cut())
}
