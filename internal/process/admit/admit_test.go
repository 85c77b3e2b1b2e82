package admit

import (
	"container/heap"
	"encoding/csv"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestChains simulates the cases of testdata/chains.csv. Requests of two routes of
// different importance arrive at several entries. Each request makes calls one
// after the other to the same service, which has few slots. A request fails if
// one of its calls does not start in time, and its earlier calls are then wasted.
// The test guards against admission that serves too few of the possible requests,
// delays the important route, or does not recover after a surge. A case is named
// after the load pattern that it simulates.
func TestChains(t *testing.T) {
	in, err := os.Open("testdata/chains.csv")
	assert.NilError(t, err)
	defer in.Close()
	reader := csv.NewReader(in)
	reader.Comment = '#'
	records, err := reader.ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		t.Run(record[0]+" "+record[1], func(t *testing.T) {
			t.Parallel()
			c := parseCase(t, record)
			with := newModel(c, true)
			with.run()
			without := newModel(c, false)
			without.run()
			t.Logf("requested %v, served with admission %v, without %v", with.requested, with.served, without.served)
			possible := c.slots * c.length.Seconds() / (c.work.Seconds() * float64(c.calls))
			assert.Check(t, with.goodput() >= c.minGoodput*possible, "%v of %v possible requests", with.goodput(), possible)
			assert.Check(t, with.served["important"] >= c.minImportant*with.requested["important"])
			assert.Check(t, with.goodput() >= c.minGain*without.goodput(), "%v with admission, %v without", with.goodput(), without.goodput())
			assert.Check(t, with.servedAfter >= c.minServedAfter*with.requestedAfter, "%v of %v after the surge", with.servedAfter, with.requestedAfter)
		})
	}
}

// chainCase is a row of chains.csv.
type chainCase struct {
	name         string
	entries      int
	slots        float64
	work, length time.Duration // mean time of a call, and simulated time
	calls        int           // of each request
	// important and rest are the rates of both routes in requests a second. The
	// rate of the less important one is multiplied by surge in the middle third.
	important, rest, surge float64
	retries                int
	// Ratios that the outcome must reach: requests served to possible ones,
	// important requests served to requested ones, requests served with admission
	// to those without, and requests served after the surge to requested ones.
	minGoodput, minImportant, minGain, minServedAfter float64
}

func parseCase(t *testing.T, record []string) chainCase {
	t.Helper()
	numbers := make([]float64, len(record))
	for i, text := range record[1:] {
		v, err := strconv.ParseFloat(text, 64)
		assert.NilError(t, err)
		numbers[i+1] = v
	}
	milliseconds := func(i int) time.Duration { return time.Duration(numbers[i] * float64(time.Millisecond)) }
	return chainCase{
		name: record[0], entries: int(numbers[1]), slots: numbers[2], work: milliseconds(3), calls: int(numbers[4]), important: numbers[5], rest: numbers[6], surge: numbers[7],
		retries: int(numbers[8]), minGoodput: numbers[9], minImportant: numbers[10], minGain: numbers[11], minServedAfter: numbers[12],
		length: 30 * time.Second,
	}
}

// Parameters that are the same in all cases.
const (
	deadline = 2 * time.Second
	// objective is the time within which a response counts.
	objective = time.Second
	// entryTime is the time that a request takes before its first call.
	entryTime = 60 * time.Millisecond
	// callTimeout bounds the time that a call waits for a slot.
	callTimeout = 700 * time.Millisecond
)

// request is a simulated request.
type request struct {
	arrived  time.Time
	entry    int
	left     int // calls still to make
	queuedAt time.Time
	retries  int // still allowed
	route    string
	wait     time.Duration // longest wait of its calls
}

// event is a function to run at a simulated time.
type event struct {
	at time.Time
	do func()
}

// events is a heap of events by time.
type events []event

// Len, Less and Swap implement sort.Interface for heap.Interface.
func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model simulates a case.
type model struct {
	chainCase
	requested, served           map[string]float64 // by route
	servedAfter, requestedAfter float64            // of the last third, from two seconds after the surge
	events                      events
	inUse                       int       // slots
	limits                      []*Limits // one for each entry, nil without admission
	now, start                  time.Time
	random                      *rand.Rand
	waiting                     []*request
}

func newModel(c chainCase, admission bool) *model {
	m := &model{chainCase: c, requested: make(map[string]float64), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), served: make(map[string]float64)}
	m.start = m.now
	if admission {
		// The limits have a source of their own, so that the same requests arrive
		// with and without them.
		random := rand.New(rand.NewPCG(3, 4))
		for range c.entries {
			m.limits = append(m.limits, New(WithRandom(random.Float64)))
		}
	}
	return m
}

// goodput returns the number of requests that were answered within the objective.
func (m *model) goodput() float64 {
	return m.served["important"] + m.served["rest"]
}

// schedule runs a function after a delay.
func (m *model) schedule(delay time.Duration, do func()) {
	heap.Push(&m.events, event{m.now.Add(delay), do})
}

func (m *model) run() {
	m.arrive("important")
	m.arrive("rest")
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// rate returns the current rate of a route in requests a second.
func (m *model) rate(route string) float64 {
	if route == "important" {
		return m.important
	}
	if third := m.length / 3; m.now.Sub(m.start) >= third && m.now.Sub(m.start) < 2*third {
		return m.rest * m.surge
	}
	return m.rest
}

// arrive schedules the next request of a route, up to the end of the case.
func (m *model) arrive(route string) {
	if m.now.Sub(m.start) >= m.length {
		return
	}
	m.schedule(time.Duration(m.random.ExpFloat64()/m.rate(route)*float64(time.Second)), func() {
		m.submit(&request{arrived: m.now, entry: m.random.IntN(m.entries), left: m.calls, retries: m.retries, route: route})
		m.arrive(route)
	})
}

// isAfter reports whether a request arrived at least two seconds after the surge.
func (m *model) isAfter(r *request) bool {
	return r.arrived.Sub(m.start) >= 2*m.length/3+2*time.Second
}

// submit sends a request to its entry.
func (m *model) submit(r *request) {
	if r.retries == m.retries {
		m.requested[r.route]++
		if m.isAfter(r) {
			m.requestedAfter++
		}
	}
	if m.limits != nil {
		importance := map[string]int{"important": 9, "rest": 7}[r.route]
		if _, ok := m.limits[r.entry].Enter(m.now, Request{Importance: importance, Objective: objective, Route: r.route}); !ok {
			m.retry(r)
			return
		}
	}
	m.schedule(entryTime, func() { m.call(r) })
}

// retry immediately submits a request that was not served as a new one, if its
// client has retries left.
func (m *model) retry(r *request) {
	if r.retries > 0 {
		m.submit(&request{arrived: m.now, entry: m.random.IntN(m.entries), left: m.calls, retries: r.retries - 1, route: r.route})
	}
}

// call queues the next call of a request.
func (m *model) call(r *request) {
	r.queuedAt = m.now
	m.waiting = append(m.waiting, r)
	m.startCalls()
}

// startCalls starts waiting calls while slots are free, those of the earliest
// requests first.
func (m *model) startCalls() {
	for float64(m.inUse) < m.slots && len(m.waiting) > 0 {
		first := 0
		for i, r := range m.waiting {
			if r.arrived.Before(m.waiting[first].arrived) {
				first = i
			}
		}
		r := m.waiting[first]
		m.waiting = append(m.waiting[:first], m.waiting[first+1:]...)
		if m.now.Sub(r.queuedAt) >= callTimeout || m.now.Sub(r.arrived) >= deadline {
			m.finish(r, false)
			continue
		}
		r.wait = max(r.wait, m.now.Sub(r.queuedAt))
		m.inUse++
		m.schedule(time.Duration((0.5+m.random.Float64())*float64(m.work)), func() {
			m.inUse--
			if r.left--; r.left > 0 {
				m.call(r)
			} else {
				m.finish(r, true)
			}
			m.startCalls()
		})
	}
}

// finish ends a request. It counts as served if it made all its calls and was
// answered within the objective.
func (m *model) finish(r *request, complete bool) {
	if m.limits != nil {
		m.limits[r.entry].Observe(m.now, r.route, Observation{Wait: r.wait})
		m.limits[r.entry].Leave(m.now, r.route)
	}
	switch {
	case !complete:
		m.retry(r)
	case m.now.Sub(r.arrived) <= objective:
		m.served[r.route]++
		if m.isAfter(r) {
			m.servedAfter++
		}
	}
}

// TestEnterAdmitsAllWithoutWaits checks that no request is refused while no
// request waits.
func TestEnterAdmitsAllWithoutWaits(t *testing.T) {
	l := New()
	now := time.Unix(1000, 0)
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		l.Observe(now, "browse", Observation{})
		_, ok := l.Enter(now, Request{Importance: 7, Objective: time.Second, Route: "browse"})
		assert.Check(t, ok, "request %d", i)
	}
}

// TestAllowedWait checks that the allowed wait grows with the importance, between
// its bounds.
func TestAllowedWait(t *testing.T) {
	for importance := 1; importance <= 9; importance++ {
		assert.Check(t, allowedWait(importance) >= allowedWait(importance-1))
	}
	assert.Equal(t, allowedWait(9), maxAllowedWait)
	assert.Equal(t, allowedWait(0), minAllowedWait)
}

// TestRetryAfterCold guards against callers that come back, and are refused again, while
// the services that their route reaches are cold, and against callers that stay away for
// the sake of one cold upstream.
func TestRetryAfterCold(t *testing.T) {
	const objective = time.Second
	for _, c := range []struct {
		name         string
		cold, warm   int // responses
		after        time.Duration
		least, most  time.Duration
		wantColdTime time.Duration
	}{
		{"all cold", 20, 0, 0, 2150 * time.Millisecond, 2450 * time.Millisecond, 2 * time.Second},
		{"half of the time later", 20, 0, time.Second, 1150 * time.Millisecond, 1450 * time.Millisecond, time.Second},
		{"warm again", 20, 0, 3 * time.Second, 150 * time.Millisecond, 450 * time.Millisecond, 0},
		{"one of many", 1, 20, 0, 150 * time.Millisecond, 450 * time.Millisecond, 0},
		{"none", 0, 20, 0, 150 * time.Millisecond, 450 * time.Millisecond, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := New()
			request := Request{Importance: 5, Objective: objective, Route: "browse"}
			for range 20 {
				_, ok := l.Enter(now, request)
				assert.Check(t, ok)
			}
			for i := range c.cold + c.warm {
				o := Observation{Wait: time.Second}
				if i < c.cold {
					o.ColdFor = 2 * time.Second
				}
				l.Observe(now, "browse", o)
			}
			refused := now.Add(c.after)
			l.Observe(refused, "browse", Observation{ColdFor: l.ColdFor(refused, "browse"), Wait: time.Second})
			for range 20 {
				refused = refused.Add(interval)
				_, _ = l.Enter(refused, request)
			}
			refused = now.Add(c.after)
			after, ok := l.Enter(refused, request)
			assert.Check(t, !ok)
			assert.Check(t, after >= c.least && after <= c.most, "retry after %v", after)
			assert.Equal(t, l.ColdFor(refused, "browse"), c.wantColdTime)
		})
	}
}
