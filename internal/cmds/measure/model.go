package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
)

// Overload controls that are compared.
const (
	controlGate   = "adaptive gate"
	controlNone   = "none"
	controlStatic = "static limit, queue in order of arrival"
)

var controls = []string{controlGate, controlStatic, controlNone}

// Parameters of the model.
const (
	highImportance   = 9
	lowImportance    = 2
	normalImportance = 5
	// expiryInterval is the interval at which gates check their waiting requests.
	expiryInterval = 20 * time.Millisecond
	// minRetryBackoff is the shortest backoff of clients. A refusal's Retry-After time
	// can lengthen it.
	minRetryBackoff = 50 * time.Millisecond
	// goodputWindow is the length of the windows in which goodput is counted to find
	// the time of recovery.
	goodputWindow = 500 * time.Millisecond
	// recoveredFraction is the fraction of the goodput before the trigger at which the
	// service counts as recovered.
	recoveredFraction = 0.95
)

// request is one attempt of a client. A retry is a new request.
type request struct {
	attempt       int
	customer      int
	deadline      time.Time
	done          bool // served, refused, or given up by its client
	importance    int
	duringTrigger bool // whether its first attempt was made during the trigger
	ticket        *gates.Ticket
	upstream      *upstream
	hasSlot       bool
}

// upstream is an upstream with the gate of its node.
type upstream struct {
	gate    *gates.Queue
	backlog []*request // admitted by the gate, waiting for a slot
	busy    int        // slots in use
	tickets map[*gates.Ticket]*request
}

// model is one run of a case with one control and one seed.
type model struct {
	*overloadCase
	control   string
	events    events
	now       time.Time
	random    *rand.Rand
	start     time.Time
	upstreams []*upstream

	demanded, served                   []int // requests during the trigger, by customer
	importantDemanded, importantServed int   // requests of high importance that came during the trigger
	servedByWindow                     []int // by window of length goodputWindow
}

// newModel returns a model at the start of its run. The seed determines all random
// draws.
func newModel(c *overloadCase, control string, seed uint64) *model {
	start := time.Unix(0, 0)
	m := &model{
		control:        control,
		demanded:       make([]int, c.Customers),
		overloadCase:   c,
		now:            start,
		random:         rand.New(rand.NewPCG(seed, 7)),
		served:         make([]int, c.Customers),
		servedByWindow: make([]int, int(c.Length/goodputWindow)+1),
		start:          start,
	}
	for range c.Upstreams {
		m.upstreams = append(m.upstreams, &upstream{gate: gates.NewQueue(m.limiter()), tickets: make(map[*gates.Ticket]*request)})
	}
	return m
}

// limiter returns the limiter of a gate. The limit of controlNone is never reached.
func (m *model) limiter() gates.Limiter {
	switch m.control {
	case controlGate:
		return gates.NewGradient()
	case controlStatic:
		return gates.Static(m.Slots)
	}
	return gates.Static(1 << 30)
}

// run simulates the whole run and returns its outcome.
func (m *model) run() outcome {
	m.schedule(0, m.arrive)
	m.schedule(0, m.expireWaiting)
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

// schedule runs a function after a delay in virtual time.
func (m *model) schedule(delay time.Duration, run func()) {
	heap.Push(&m.events, &event{at: m.now.Add(delay), order: len(m.events), run: run})
}

// inTrigger reports whether the trigger is active.
func (m *model) inTrigger() bool {
	elapsed := m.now.Sub(m.start)
	return elapsed >= m.Begin && elapsed < m.End
}

// arrive creates a new request and schedules the next one. The times between
// arrivals are exponentially distributed.
func (m *model) arrive() {
	demand := m.Demand
	if m.inTrigger() {
		demand = m.Surge
	}
	rate := demand * m.capacity()
	m.schedule(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), m.arrive)
	customer := 0
	if m.random.Float64() >= m.Large {
		customer = 1 + m.random.IntN(m.Customers-1)
	}
	importance := normalImportance
	switch p := m.random.Float64(); {
	case p < m.Important:
		importance = highImportance
	case p < m.Important+m.Low:
		importance = lowImportance
	}
	if m.inTrigger() {
		m.demanded[customer]++
		if importance == highImportance {
			m.importantDemanded++
		}
	}
	m.attempt(&request{duringTrigger: m.inTrigger(), customer: customer, importance: importance})
}

// attempt sends a request to the less loaded of two random upstreams. Controls other
// than the adaptive gate ignore customers and importance.
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
	m.schedule(m.Deadline, func() { m.timeOut(r) })
	u := r.upstream
	u.tickets[r.ticket] = r
	runs, refused := u.gate.Offer(m.now, r.ticket)
	if runs {
		m.assignSlot(r)
	}
	m.refuse(u, refused)
}

// assignSlot assigns a slot of its upstream to an admitted request. If no slot is
// free, the request joins the upstream's backlog.
func (m *model) assignSlot(r *request) {
	u := r.upstream
	if u.busy >= m.Slots {
		u.backlog = append(u.backlog, r)
		return
	}
	u.busy++
	r.hasSlot = true
	mean := m.ServiceTime.Seconds()
	if m.inTrigger() {
		mean *= m.Slow
	}
	m.schedule(time.Duration(m.random.ExpFloat64()*mean*float64(time.Second)), func() { m.finish(r) })
}

// finish releases the slot of a request and starts requests of the backlog. The
// request counts as served unless its client has given up.
func (m *model) finish(r *request) {
	u := r.upstream
	if !r.hasSlot {
		return
	}
	r.hasSlot = false
	u.busy--
	late := r.done
	if !late {
		r.done = true
		m.succeed(r)
	}
	m.release(r, late)
	for u.busy < m.Slots && len(u.backlog) > 0 {
		next := u.backlog[0]
		u.backlog = u.backlog[1:]
		m.assignSlot(next)
	}
}

// release reports to its gate that an admitted request has ended, and handles the
// waiting requests that the gate admits or refuses in turn.
func (m *model) release(r *request, failed bool) {
	u := r.upstream
	delete(u.tickets, r.ticket)
	runs, refused := u.gate.Finish(m.now, r.ticket, failed)
	m.startAll(u, runs)
	m.refuse(u, refused)
}

// startAll assigns slots to requests that the gate of an upstream has admitted.
func (m *model) startAll(u *upstream, runs []*gates.Ticket) {
	for _, t := range runs {
		m.assignSlot(u.tickets[t])
	}
}

// refuse lets the clients of refused requests retry after the gate's Retry-After
// time.
func (m *model) refuse(u *upstream, refused []*gates.Ticket) {
	for _, t := range refused {
		r := u.tickets[t]
		delete(u.tickets, t)
		r.done = true
		m.retry(r, max(u.gate.RetryAfter(m.now), minRetryBackoff))
	}
}

// timeOut ends an attempt whose client has timed out, and lets the client retry. With
// a control, the request is cancelled at its upstream. With controlNone, the upstream
// continues to work on it although nobody waits for the response.
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
	m.retry(r, minRetryBackoff)
}

// cancel ends an admitted request at once, in its slot or in the backlog.
func (m *model) cancel(r *request) {
	if r.hasSlot {
		m.finish(r)
		return
	}
	if i := slices.Index(r.upstream.backlog, r); i >= 0 {
		r.upstream.backlog = slices.Delete(r.upstream.backlog, i, i+1)
		m.release(r, true)
	}
}

// retry schedules the next attempt of a request after a backoff with jitter, if the
// client has retries left.
func (m *model) retry(r *request, backoff time.Duration) {
	if r.attempt >= m.Retries {
		return
	}
	next := &request{attempt: r.attempt + 1, duringTrigger: r.duringTrigger, customer: r.customer, importance: r.importance}
	m.schedule(backoff+time.Duration(m.random.Float64()*float64(backoff)), func() { m.attempt(next) })
}

// succeed counts a request that was served before its client timed out.
func (m *model) succeed(r *request) {
	m.servedByWindow[int(m.now.Sub(m.start)/goodputWindow)]++
	if m.inTrigger() {
		m.served[r.customer]++
	}
	if r.duringTrigger && r.importance == highImportance {
		m.importantServed++
	}
}

// expireWaiting lets the gates admit and refuse waiting requests, and schedules its
// next call.
func (m *model) expireWaiting() {
	for _, u := range m.upstreams {
		runs, refused := u.gate.Next(m.now)
		m.startAll(u, runs)
		m.refuse(u, refused)
	}
	m.schedule(expiryInterval, m.expireWaiting)
}

// event is a function that runs at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// events is a heap of events ordered by time.
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
