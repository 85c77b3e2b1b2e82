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

	"github.com/wasabibend/wasabibend/internal/process/gates"
)

// TestChains runs the cases of testdata/chains.csv in virtual time. Requests of
// routes with different importance come to several entries; each makes calls one
// after the other to one service with few slots, which is where the pattern that
// a case is named after shows. A request whose call could not be made in time
// has failed, and has wasted what it did before.
func TestChains(t *testing.T) {
	in, err := os.Open("testdata/chains.csv")
	assert.NilError(t, err)
	defer in.Close()
	reader := csv.NewReader(in)
	reader.Comment = '#'
	records, err := reader.ReadAll()
	assert.NilError(t, err)
	for _, record := range records[1:] {
		t.Run(record[0], func(t *testing.T) {
			t.Parallel()
			c := parseCase(t, record)
			with := newModel(c, true)
			with.run()
			without := newModel(c, false)
			without.run()
			t.Logf("asked %v, served with admission %v, without %v", with.asked, with.served, without.served)
			possible := c.slots * c.length.Seconds() / (c.work.Seconds() * float64(c.calls))
			assert.Check(t, with.useful() >= c.leastUseful*possible, "%v of %v possible requests", with.useful(), possible)
			assert.Check(t, with.served["important"] >= c.leastImportant*with.asked["important"])
			assert.Check(t, with.useful() >= c.leastGain*without.useful(), "%v instead of %v", with.useful(), without.useful())
			assert.Check(t, with.after >= c.leastAfter*with.askedAfter, "%v of %v after the surge", with.after, with.askedAfter)
		})
	}
}

// chainCase is a case: the demand of both routes in requests a second, the surge
// by which that of the less important one is multiplied in the middle third, and
// what is demanded of the outcome.
type chainCase struct {
	name                                               string
	slots                                              float64
	work, length                                       time.Duration
	calls                                              int
	important, rest, surge                             float64
	repeats                                            int
	leastUseful, leastImportant, leastGain, leastAfter float64
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
		name: record[0], slots: numbers[1], work: milliseconds(2), calls: int(numbers[3]), important: numbers[4], rest: numbers[5], surge: numbers[6],
		repeats: int(numbers[7]), leastUseful: numbers[8], leastImportant: numbers[9], leastGain: numbers[10], leastAfter: numbers[11],
		length: 30 * time.Second,
	}
}

// Properties of the model that are the same in all cases.
const (
	entries  = 6
	deadline = 2 * time.Second
	// objective is the time within which an answer counts.
	objective = time.Second
	// before is what a request does before its first call.
	before = 60 * time.Millisecond
	// callTime bounds one call.
	callTime = 700 * time.Millisecond
)

// request is a request in the model.
type request struct {
	arrived  time.Time
	entry    int
	left     int // calls
	queuedAt time.Time
	repeats  int
	route    string
	wait     time.Duration // the longest of its calls
}

// event is something that happens in the model.
type event struct {
	at time.Time
	do func()
}

// events are in the order of their times.
type events []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is the state of a case.
type model struct {
	chainCase
	asked, served     map[string]float64
	after, askedAfter float64 // in the last third, from two seconds after the surge
	events            events
	inUse             int
	limits            []*Limits // nil without admission
	now, start        time.Time
	random            *rand.Rand
	waiting           []*request
}

func newModel(c chainCase, admission bool) *model {
	m := &model{chainCase: c, asked: make(map[string]float64), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), served: make(map[string]float64)}
	m.start = m.now
	if admission {
		for range entries {
			m.limits = append(m.limits, New())
		}
	}
	return m
}

func (m *model) useful() float64 {
	return m.served["important"] + m.served["rest"]
}

func (m *model) at(after time.Duration, do func()) {
	heap.Push(&m.events, event{m.now.Add(after), do})
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

// rate returns the demand of a route now.
func (m *model) rate(route string) float64 {
	if route == "important" {
		return m.important
	}
	if third := m.length / 3; m.now.Sub(m.start) >= third && m.now.Sub(m.start) < 2*third {
		return m.rest * m.surge
	}
	return m.rest
}

func (m *model) arrive(route string) {
	if m.now.Sub(m.start) >= m.length {
		return
	}
	m.at(time.Duration(m.random.ExpFloat64()/m.rate(route)*float64(time.Second)), func() {
		m.ask(&request{arrived: m.now, entry: m.random.IntN(entries), left: m.calls, repeats: m.repeats, route: route})
		m.arrive(route)
	})
}

func (m *model) isAfter(r *request) bool {
	return r.arrived.Sub(m.start) >= 2*m.length/3+2*time.Second
}

func (m *model) ask(r *request) {
	if r.repeats == m.repeats {
		m.asked[r.route]++
		if m.isAfter(r) {
			m.askedAfter++
		}
	}
	if m.limits != nil {
		importance := map[string]int{"important": 9, "rest": 7}[r.route]
		if _, ok := m.limits[r.entry].Enter(m.now, Request{Importance: importance, Objective: objective, Route: r.route}); !ok {
			m.again(r)
			return
		}
	}
	m.at(before, func() { m.call(r) })
}

// again lets a client that was not served ask once more at once, if it does.
func (m *model) again(r *request) {
	if r.repeats > 0 {
		m.ask(&request{arrived: m.now, entry: m.random.IntN(entries), left: m.calls, repeats: r.repeats - 1, route: r.route})
	}
}

func (m *model) call(r *request) {
	r.queuedAt = m.now
	m.waiting = append(m.waiting, r)
	m.next()
}

// next starts the calls whose requests are due first while there are slots.
func (m *model) next() {
	for float64(m.inUse) < m.slots && len(m.waiting) > 0 {
		first := 0
		for i, r := range m.waiting {
			if r.arrived.Before(m.waiting[first].arrived) {
				first = i
			}
		}
		r := m.waiting[first]
		m.waiting = append(m.waiting[:first], m.waiting[first+1:]...)
		if m.now.Sub(r.queuedAt) >= callTime || m.now.Sub(r.arrived) >= deadline {
			m.finish(r, false)
			continue
		}
		r.wait = max(r.wait, m.now.Sub(r.queuedAt))
		m.inUse++
		m.at(time.Duration((0.5+m.random.Float64())*float64(m.work)), func() {
			m.inUse--
			if r.left--; r.left > 0 {
				m.call(r)
			} else {
				m.finish(r, true)
			}
			m.next()
		})
	}
}

func (m *model) finish(r *request, whole bool) {
	if m.limits != nil {
		m.limits[r.entry].Observe(m.now, r.route, r.wait)
		m.limits[r.entry].Leave(m.now, r.route)
	}
	switch {
	case !whole:
		m.again(r)
	case m.now.Sub(r.arrived) <= objective:
		m.served[r.route]++
		if m.isAfter(r) {
			m.after++
		}
	}
}

// TestEnterHoldsNothingBack checks that there is no limit while nothing waits.
func TestEnterHoldsNothingBack(t *testing.T) {
	l := New()
	now := time.Unix(1000, 0)
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		l.Observe(now, "browse", 0)
		_, ok := l.Enter(now, Request{Importance: 7, Objective: time.Second, Route: "browse"})
		assert.Check(t, ok, "request %d", i)
	}
}

// TestAllowedWait checks that the less important are refused sooner.
func TestAllowedWait(t *testing.T) {
	for importance := 1; importance <= 9; importance++ {
		assert.Check(t, allowedWait(importance) >= allowedWait(importance-1))
	}
	assert.Equal(t, allowedWait(9), waitMost)
	assert.Equal(t, allowedWait(0), waitLeast)
}

// TestWaitFades checks that a wait that nothing confirms is forgotten within a
// second, so that a route that was refused altogether is tried again.
func TestWaitFades(t *testing.T) {
	w := gates.NewWait()
	now := time.Unix(1000, 0)
	w.Observe(now, 10*time.Second)
	assert.Check(t, w.Lately(now) > time.Second)
	assert.Check(t, w.Lately(now.Add(time.Second)) < 5*time.Millisecond)
}
