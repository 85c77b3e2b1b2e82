package gates

import (
	"math"
	"time"
)

// Bounds of a queue.
const (
	// maxLead is the number of requests, at weight 1, by which a customer that
	// asked for less may be served before others.
	maxLead = 8
	// duePatience is the least time that a root request waits although its
	// answer will be late.
	duePatience = 20 * time.Millisecond
	// maxWait bounds the time in the queue of requests that are not critical.
	maxWait = 200 * time.Millisecond
	// queueLeast and queueMost bound the length of a queue that follows from
	// its delay.
	queueLeast = 8
	queueMost  = 512
	// meanWeight is the weight of a new latency in the mean.
	meanWeight = 0.05
)

// criticalLeast is the least importance of requests that go before all others,
// whoever asks.
const criticalLeast = 8

// Ticket is a request at the gate.
type Ticket struct {
	Customer string
	Deadline time.Time
	Depth    int
	// Due is when the answer of the root request should be there, zero for
	// unknown. Requests that have one are served in the order of these times.
	Due        time.Time
	Importance int
	Weight     float64

	decided  chan bool // admitted or not; only for tickets that wait
	position uint64
	queuedAt time.Time
	started  time.Time
}

// patience returns how long a ticket waits at most. A root request whose answer
// would come late makes room for others.
func (t *Ticket) patience() time.Duration {
	switch {
	case t.Depth > 0 && !t.Due.IsZero():
		return t.Deadline.Sub(t.queuedAt)
	case !t.Due.IsZero():
		return max(t.Due.Sub(t.queuedAt), duePatience)
	case t.critical():
		return math.MaxInt64
	}
	return maxWait
}

func (t *Ticket) critical() bool {
	return t.Importance >= criticalLeast
}

// before reports whether a ticket goes before another of the same customer, or
// a critical one before another: the more important first, then calls within a
// chain before new ones, then in the order of arrival.
func (t *Ticket) before(other *Ticket) bool {
	if !t.Due.IsZero() && !other.Due.IsZero() {
		return t.Due.Before(other.Due)
	}
	if t.Importance != other.Importance {
		return t.Importance > other.Importance
	}
	if inChain, otherInChain := t.Depth > 0, other.Depth > 0; inChain != otherInChain {
		return inChain
	}
	return t.position < other.position
}

// Queue decides which requests run. Critical ones go first. Of the others, the
// customer that was served least by its weight has its turn, with its most
// important request. It has no clock and no lock.
type Queue struct {
	arrivals uint64
	inFlight int
	limiter  Limiter
	mean     float64            // seconds in the upstream
	served   map[string]float64 // requests by weight, by customer
	turn     float64            // what the customer had been served that was served last
	wait     *Wait
	waiting  []*Ticket
}

// NewQueue returns an empty Queue with a Limiter.
func NewQueue(limiter Limiter) *Queue {
	return &Queue{limiter: limiter, served: make(map[string]float64), wait: NewWait()}
}

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int {
	return q.inFlight
}

// Limit returns the number of requests that may be in flight.
func (q *Queue) Limit() int {
	return q.limiter.Limit()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	return len(q.waiting)
}

// Offer takes in a new request. It reports whether the request runs now, and
// returns the requests to refuse, which may include the new one. A request
// that does neither waits.
func (q *Queue) Offer(now time.Time, t *Ticket) (runs bool, refused []*Ticket) {
	q.arrivals++
	t.position = q.arrivals
	t.queuedAt = now
	if len(q.waiting) == 0 && q.inFlight < q.limiter.Limit() {
		q.start(now, t)
		return true, nil
	}
	if now.Add(q.meanTime()).After(t.Deadline) {
		return false, []*Ticket{t}
	}
	q.waiting = append(q.waiting, t)
	if len(q.waiting) > q.capacity() && (t.Due.IsZero() || len(q.waiting) > queueMost) {
		return false, []*Ticket{q.remove(q.last())}
	}
	return false, nil
}

// Finish takes in that a request left the upstream, and returns the requests
// to run and to refuse.
func (q *Queue) Finish(now time.Time, t *Ticket, failed bool) (runs, refused []*Ticket) {
	latency := now.Sub(t.started)
	q.limiter.Observe(now, Sample{Failed: failed, InFlight: q.inFlight, Latency: latency})
	q.inFlight--
	if !failed {
		q.observeMean(latency)
	}
	return q.Next(now)
}

// Abandon takes in that a request that was to run does not reach the upstream.
func (q *Queue) Abandon(now time.Time, _ *Ticket) (runs, refused []*Ticket) {
	q.inFlight--
	return q.Next(now)
}

// Next returns the waiting requests to run and to refuse.
func (q *Queue) Next(now time.Time) (runs, refused []*Ticket) {
	refused = q.expire(now)
	for len(q.waiting) > 0 && q.inFlight < q.limiter.Limit() {
		t := q.remove(q.best())
		q.start(now, t)
		runs = append(runs, t)
	}
	return runs, refused
}

// Withdraw takes a waiting request out, or reports false if it does not wait.
func (q *Queue) Withdraw(t *Ticket) bool {
	for i, other := range q.waiting {
		if other == t {
			q.remove(i)
			return true
		}
	}
	return false
}

// RetryAfter returns when a refused request may find room: the time in which
// the requests in flight and waiting are done.
func (q *Queue) RetryAfter() time.Duration {
	rounds := 1 + float64(len(q.waiting))/float64(max(q.limiter.Limit(), 1))
	return max(time.Duration(rounds*q.mean*float64(time.Second)), 50*time.Millisecond)
}

// start counts a request as served to its customer. A customer that comes back
// is not owed what it did not ask for.
func (q *Queue) start(now time.Time, t *Ticket) {
	if q.inFlight == 0 && len(q.waiting) == 0 {
		clear(q.served)
		q.turn = 0
	}
	q.inFlight++
	t.started = now
	q.wait.Observe(now, now.Sub(t.queuedAt))
	q.turn = max(q.servedTo(t.Customer), q.turn)
	q.served[t.Customer] = q.servedTo(t.Customer) + 1/t.Weight
}

// servedTo returns what a customer has been served, but not less than others
// had been when it was their turn, by a bounded lead.
func (q *Queue) servedTo(customer string) float64 {
	return max(q.served[customer], q.turn-maxLead)
}

// Wait returns how long requests have waited lately.
func (q *Queue) Wait(now time.Time) time.Duration {
	oldest := now
	for _, t := range q.waiting {
		if t.queuedAt.Before(oldest) {
			oldest = t.queuedAt
		}
	}
	return max(q.wait.Lately(now), now.Sub(oldest)/2)
}

// capacity returns the number of requests that may wait: as many as the
// upstream takes within the longest wait, but not fewer than it runs at a time.
func (q *Queue) capacity() int {
	limit := q.limiter.Limit()
	least := max(limit, queueLeast)
	if q.mean == 0 {
		return least
	}
	return max(least, min(int(float64(limit)*maxWait.Seconds()/q.mean), queueMost))
}

func (q *Queue) meanTime() time.Duration {
	return time.Duration(q.mean * float64(time.Second))
}

func (q *Queue) observeMean(latency time.Duration) {
	if q.mean == 0 {
		q.mean = latency.Seconds()
		return
	}
	q.mean += (latency.Seconds() - q.mean) * meanWeight
}

// expire takes out the requests that waited too long or cannot finish in time.
func (q *Queue) expire(now time.Time) []*Ticket {
	var refused []*Ticket
	mean := q.meanTime()
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		if now.Sub(t.queuedAt) >= t.patience() || now.Add(mean).After(t.Deadline) {
			refused = append(refused, q.remove(i))
			continue
		}
		i++
	}
	return refused
}

// best returns the place of the ticket to run next.
func (q *Queue) best() int {
	best := 0
	for i, t := range q.waiting {
		if q.goesBefore(t, q.waiting[best]) {
			best = i
		}
	}
	return best
}

func (q *Queue) goesBefore(a, b *Ticket) bool {
	if a.critical() || b.critical() || a.Customer == b.Customer || (!a.Due.IsZero() && !b.Due.IsZero()) {
		return a.before(b)
	}
	if servedA, servedB := q.servedTo(a.Customer), q.servedTo(b.Customer); servedA != servedB {
		return servedA < servedB
	}
	return a.before(b)
}

// last returns the place of the ticket to refuse first: the least important and
// latest of the customer that has been served and waits for most.
func (q *Queue) last() int {
	wanted := make(map[string]float64)
	for _, t := range q.waiting {
		if _, ok := wanted[t.Customer]; !ok {
			wanted[t.Customer] = q.servedTo(t.Customer)
		}
		wanted[t.Customer] += 1 / t.Weight
	}
	last := 0
	for i, t := range q.waiting {
		if worse(t, q.waiting[last], wanted) {
			last = i
		}
	}
	return last
}

func worse(a, b *Ticket, wanted map[string]float64) bool {
	if a.critical() != b.critical() {
		return b.critical()
	}
	if a.Customer == b.Customer || a.critical() || wanted[a.Customer] == wanted[b.Customer] {
		return b.before(a)
	}
	return wanted[a.Customer] > wanted[b.Customer]
}

func (q *Queue) remove(i int) *Ticket {
	t := q.waiting[i]
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	return t
}
