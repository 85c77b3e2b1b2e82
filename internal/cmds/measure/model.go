package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
)

// Controls that are compared.
const (
	controlGate   = "adaptive gate"
	controlNone   = "none"
	controlStatic = "static limit, queue in order of arrival"
)

var controls = []string{controlGate, controlStatic, controlNone}

const (
	highest = 9
	lowest  = 2
	normal  = 5
	// expireEvery is the interval at which gates look at waiting requests.
	expireEvery = 20 * time.Millisecond
	// retryPause is the pause of a client that tries again on its own.
	retryPause = 50 * time.Millisecond
	// window is the time over which recovery is judged.
	window = 500 * time.Millisecond
	// recovered is the part of the goodput before the trigger at which the
	// service counts as recovered.
	recovered = 0.95
)

// request is one attempt of a client.
type request struct {
	attempt    int
	customer   int
	deadline   time.Time
	done       bool
	importance int
	counted    bool // whether it first came during the trigger
	ticket     *gates.Ticket
	upstream   *upstream
	working    bool
}

// upstream is a host with its gate.
type upstream struct {
	gate    *gates.Queue
	backlog []*request // taken in, without a slot
	busy    int
	tickets map[*gates.Ticket]*request
}

// model is one run.
type model struct {
	*experiment
	control   string
	events    events
	now       time.Time
	random    *rand.Rand
	start     time.Time
	upstreams []*upstream

	demanded, served []int // by customer, during the trigger
	important, kept  int
	servedIn         []int // by window
}

func newModel(c *experiment, control string, seed uint64) *model {
	start := time.Unix(0, 0)
	m := &model{
		control:    control,
		demanded:   make([]int, c.Customers),
		experiment: c,
		now:        start,
		random:     rand.New(rand.NewPCG(seed, 7)),
		served:     make([]int, c.Customers),
		servedIn:   make([]int, int(c.Length/window)+1),
		start:      start,
	}
	for range c.Upstreams {
		m.upstreams = append(m.upstreams, &upstream{gate: gates.NewQueue(m.limiter()), tickets: make(map[*gates.Ticket]*request)})
	}
	return m
}

func (m *model) limiter() gates.Limiter {
	switch m.control {
	case controlGate:
		return gates.NewGradient()
	case controlStatic:
		return gates.Static(m.Slots)
	}
	return gates.Static(1 << 30)
}

func (m *model) run() outcome {
	m.at(0, m.arrive)
	m.at(0, m.expire)
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(*event)
		if e.at.Sub(m.start) > m.Length {
			break
		}
		m.now = e.at
		e.run()
	}
	return m.outcome()
}

func (m *model) at(after time.Duration, run func()) {
	heap.Push(&m.events, &event{at: m.now.Add(after), order: len(m.events), run: run})
}

func (m *model) triggered() bool {
	elapsed := m.now.Sub(m.start)
	return elapsed >= m.Begin && elapsed < m.End
}

// arrive lets a new request arrive and plans the next.
func (m *model) arrive() {
	demand := m.Demand
	if m.triggered() {
		demand = m.Surge
	}
	rate := demand * m.capacity()
	m.at(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	customer := 0
	if m.random.Float64() >= m.Large {
		customer = 1 + m.random.IntN(m.Customers-1)
	}
	importance := normal
	switch p := m.random.Float64(); {
	case p < m.Important:
		importance = highest
	case p < m.Important+m.Low:
		importance = lowest
	}
	if m.triggered() {
		m.demanded[customer]++
		if importance == highest {
			m.important++
		}
	}
	m.attempt(&request{counted: m.triggered(), customer: customer, importance: importance})
}

// attempt sends a request to the less loaded of two upstreams.
func (m *model) attempt(r *request) {
	r.deadline = m.now.Add(m.Deadline)
	r.upstream = m.upstreams[m.random.IntN(len(m.upstreams))]
	if other := m.upstreams[m.random.IntN(len(m.upstreams))]; other.gate.InFlight()+other.gate.Waiting() < r.upstream.gate.InFlight()+r.upstream.gate.Waiting() {
		r.upstream = other
	}
	r.ticket = &gates.Ticket{Customer: fmt.Sprint(r.customer), Deadline: r.deadline, Importance: r.importance, Weight: 1}
	if m.control != controlGate {
		r.ticket.Customer, r.ticket.Importance = "", 0
	}
	m.at(m.Deadline, func() { m.timeOut(r) })
	u := r.upstream
	u.tickets[r.ticket] = r
	runs, refused := u.gate.Offer(m.now, r.ticket)
	if runs {
		m.takeIn(r)
	}
	m.refuse(u, refused)
}

// takeIn gives a request a slot of its upstream, or lets it wait there.
func (m *model) takeIn(r *request) {
	u := r.upstream
	if u.busy >= m.Slots {
		u.backlog = append(u.backlog, r)
		return
	}
	u.busy++
	r.working = true
	mean := m.ServiceTime.Seconds()
	if m.triggered() {
		mean *= m.Slow
	}
	m.at(time.Duration(m.random.ExpFloat64()*mean*float64(time.Second)), func() { m.finish(r) })
}

// finish ends the work on a request.
func (m *model) finish(r *request) {
	u := r.upstream
	if !r.working {
		return
	}
	r.working = false
	u.busy--
	late := r.done
	if !late {
		r.done = true
		m.succeed(r)
	}
	m.leave(r, late)
	for u.busy < m.Slots && len(u.backlog) > 0 {
		next := u.backlog[0]
		u.backlog = u.backlog[1:]
		m.takeIn(next)
	}
}

// leave takes a request out of its gate.
func (m *model) leave(r *request, failed bool) {
	u := r.upstream
	delete(u.tickets, r.ticket)
	runs, refused := u.gate.Finish(m.now, r.ticket, failed)
	m.startAll(u, runs)
	m.refuse(u, refused)
}

func (m *model) startAll(u *upstream, runs []*gates.Ticket) {
	for _, t := range runs {
		m.takeIn(u.tickets[t])
	}
}

func (m *model) refuse(u *upstream, refused []*gates.Ticket) {
	for _, t := range refused {
		r := u.tickets[t]
		delete(u.tickets, t)
		r.done = true
		m.again(r, max(u.gate.RetryAfter(), retryPause))
	}
}

// timeOut lets a client give up on an attempt and try again. With control the
// work on it ends, and without it goes on in vain.
func (m *model) timeOut(r *request) {
	if r.done {
		return
	}
	r.done = true
	u := r.upstream
	if m.control != controlNone && u.gate.Cancel(r.ticket) {
		delete(u.tickets, r.ticket)
	} else if m.control != controlNone {
		m.cancel(r)
	}
	m.again(r, retryPause)
}

// cancel ends the work on a request at once.
func (m *model) cancel(r *request) {
	if r.working {
		m.finish(r)
		return
	}
	if i := slices.Index(r.upstream.backlog, r); i >= 0 {
		r.upstream.backlog = slices.Delete(r.upstream.backlog, i, i+1)
		m.leave(r, true)
	}
}

// again lets a client try again after a pause.
func (m *model) again(r *request, pause time.Duration) {
	if r.attempt >= m.Retries {
		return
	}
	next := &request{attempt: r.attempt + 1, counted: r.counted, customer: r.customer, importance: r.importance}
	m.at(pause+time.Duration(m.random.Float64()*float64(pause)), func() { m.attempt(next) })
}

func (m *model) succeed(r *request) {
	m.servedIn[int(m.now.Sub(m.start)/window)]++
	if m.triggered() {
		m.served[r.customer]++
	}
	if r.counted && r.importance == highest {
		m.kept++
	}
}

// expire lets the gates look at waiting requests.
func (m *model) expire() {
	for _, u := range m.upstreams {
		runs, refused := u.gate.Next(m.now)
		m.startAll(u, runs)
		m.refuse(u, refused)
	}
	m.at(expireEvery, m.expire)
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap of events by time.
type events []*event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}
