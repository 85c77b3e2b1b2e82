package gates

import (
	"math"
	"time"
)

// Parameters of a queue.
const (
	// maxCredit is how many requests, at weight 1, a customer may be served ahead
	// of others after it sent fewer requests than they did.
	maxCredit = 8
	// minDueWait is how long a root request may wait even if its response is due
	// sooner.
	minDueWait = 20 * time.Millisecond
	// maxWait bounds the time in the queue of requests that are not critical and
	// have no due time.
	maxWait = 200 * time.Millisecond
	// minCapacity and maxCapacity bound the number of requests that may wait, which
	// is otherwise computed from maxWait.
	minCapacity = 8
	maxCapacity = 512
	// latencySmoothing is the weight of a new latency in the mean.
	latencySmoothing = 0.05
)

// minCriticalImportance is the lowest importance of critical requests, which run
// before others regardless of the customer.
const minCriticalImportance = 8

// Ticket is a request at a gate.
type Ticket struct {
	Customer string
	Deadline time.Time
	// Depth is 0 for a root request and the number of calls that led here for a
	// sub-call.
	Depth int
	// Due is when the root request should be answered, zero if unknown. Requests
	// with a due time run in the order of these times.
	Due time.Time
	// HasAlternative is set if the request can be sent to another upstream, so that it
	// does not wait for the rate of this one.
	HasAlternative bool
	Importance     int
	Weight         float64

	answered bool      // the upstream has responded
	decided  chan bool // receives whether a waiting request is admitted
	sequence uint64    // of its arrival
	queuedAt time.Time
	started  time.Time
}

// waitLimit returns how long a request may wait. A root request leaves the queue
// when its response is due, to make room for requests that can still be answered
// in time.
func (t *Ticket) waitLimit() time.Duration {
	switch {
	case t.Depth > 0 && !t.Due.IsZero():
		return t.Deadline.Sub(t.queuedAt)
	case !t.Due.IsZero():
		return max(t.Due.Sub(t.queuedAt), minDueWait)
	case t.critical():
		return math.MaxInt64
	}
	return maxWait
}

func (t *Ticket) critical() bool {
	return t.Importance >= minCriticalImportance
}

// before reports whether a request runs before another one, apart from fairness
// between customers. If both have a due time, the earlier due time decides.
// Otherwise the more important request runs first, then sub-calls before root
// requests, then the earlier arrival.
func (t *Ticket) before(other *Ticket) bool {
	if !t.Due.IsZero() && !other.Due.IsZero() {
		return t.Due.Before(other.Due)
	}
	if t.Importance != other.Importance {
		return t.Importance > other.Importance
	}
	if subCall, otherSubCall := t.Depth > 0, other.Depth > 0; subCall != otherSubCall {
		return subCall
	}
	return t.sequence < other.sequence
}

// Queue decides which requests run. Requests with a due time run in the order of
// these times, and critical requests before others. The rest is served by
// weighted fair queueing: the customer that was served least for its weight is
// next, with its most important request. A Queue takes the time as an argument
// and is not safe for concurrent use.
type Queue struct {
	arrivals    uint64
	inFlight    int
	limiter     Limiter
	meanSeconds float64            // mean latency of the upstream
	rates       rates              // of requests that start
	served      map[string]float64 // requests served divided by weight, by customer
	virtualTime float64            // highest service of a customer when one of its requests started
	wait        *WaitAverage
	waiting     []*Ticket
}

// NewQueue returns an empty Queue that uses a Limiter.
func NewQueue(limiter Limiter) *Queue {
	return &Queue{limiter: limiter, rates: newRates(), served: make(map[string]float64), wait: NewWaitAverage()}
}

// InFlight returns the number of requests in flight.
func (q *Queue) InFlight() int {
	return q.inFlight
}

// Limit returns the number of requests that may be in flight. If their rate is limited,
// it is at most the number that are in flight at that rate.
func (q *Queue) Limit() int {
	limit := q.limiter.Limit()
	if inFlight := math.Ceil(q.rates.within(q.meanLatency())); q.meanSeconds > 0 && inFlight < float64(limit) {
		return max(int(inFlight), 1)
	}
	return limit
}

// SetRate sets the number of requests per second that the upstream takes; 0 means no
// limit.
func (q *Queue) SetRate(now time.Time, perSecond float64) {
	q.rates.named.set(now, perSecond)
}

// SetCold records that the upstream becomes warm at a time, which may have passed, and
// how many requests it takes until then.
func (q *Queue) SetCold(now, warmAt time.Time, start ColdStart) {
	q.rates.cold.set(now, warmAt, start)
}

// Answered records that the upstream has responded to an admitted request.
func (q *Queue) Answered(now time.Time, t *Ticket) {
	t.answered = true
	q.rates.cold.answered(now)
}

// TakeRepeat reports whether the request of an admitted ticket may be sent once more, and
// counts it toward the rate.
func (q *Queue) TakeRepeat(now time.Time) bool {
	if !q.rates.ready(now) {
		return false
	}
	q.rates.take()
	return true
}

// RateExhausted reports whether the upstream names a rate that leaves no room for another
// request now.
func (q *Queue) RateExhausted(now time.Time) bool {
	return q.rates.limited() && (len(q.waiting) > 0 || !q.rates.ready(now))
}

// mayStart reports whether a request may start now.
func (q *Queue) mayStart(now time.Time) bool {
	return q.inFlight < q.limiter.Limit() && q.rates.ready(now)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	return len(q.waiting)
}

// Offer adds a new request. It reports whether the request runs now, and returns
// the requests to refuse, which may include the new one. If the request neither
// runs nor is refused, it waits.
func (q *Queue) Offer(now time.Time, t *Ticket) (runs bool, refused []*Ticket) {
	q.arrivals++
	t.sequence = q.arrivals
	t.queuedAt = now
	if len(q.waiting) == 0 && q.mayStart(now) {
		q.start(now, t)
		return true, nil
	}
	if now.Add(q.meanLatency()).After(t.Deadline) {
		return false, []*Ticket{t}
	}
	q.waiting = append(q.waiting, t)
	if len(q.waiting) > q.capacity() && (t.Due.IsZero() || len(q.waiting) > maxCapacity) || !q.startsWithinLimit(t) {
		return false, []*Ticket{q.remove(q.worst())}
	}
	return false, nil
}

// startsWithinLimit reports whether a request that waits last can start within the time
// for which it may wait, at the rate that the upstream takes. One request may always wait.
func (q *Queue) startsWithinLimit(t *Ticket) bool {
	return float64(len(q.waiting)) <= max(q.rates.within(t.waitLimit()), 1)
}

// Finish records that a request has finished at the upstream, and returns the
// waiting requests to run and to refuse.
func (q *Queue) Finish(now time.Time, t *Ticket, failed bool) (runs, refused []*Ticket) {
	latency := now.Sub(t.started)
	q.limiter.Observe(now, Sample{Failed: failed, InFlight: q.inFlight, Latency: latency})
	q.inFlight--
	q.rates.cold.ended(q.inFlight, t.answered)
	if !failed {
		q.observeLatency(latency)
	}
	return q.Next(now)
}

// Abandon records that an admitted request does not run, and returns the waiting
// requests to run and to refuse.
func (q *Queue) Abandon(now time.Time, _ *Ticket) (runs, refused []*Ticket) {
	q.inFlight--
	q.rates.cold.ended(q.inFlight, true)
	q.rates.giveBack()
	return q.Next(now)
}

// Next returns the waiting requests to run and to refuse.
func (q *Queue) Next(now time.Time) (runs, refused []*Ticket) {
	refused = q.expire(now)
	for len(q.waiting) > 0 && q.mayStart(now) {
		t := q.remove(q.best())
		q.start(now, t)
		runs = append(runs, t)
	}
	return runs, refused
}

// RefuseAll removes and returns all waiting requests.
func (q *Queue) RefuseAll() []*Ticket {
	refused := q.waiting
	q.waiting = nil
	return refused
}

// Cancel removes a waiting request. It returns false if the request does not
// wait.
func (q *Queue) Cancel(t *Ticket) bool {
	for i, other := range q.waiting {
		if other == t {
			q.remove(i)
			return true
		}
	}
	return false
}

// RetryAfter returns the time after which a refused request should be retried: the time
// that the requests in flight and waiting are expected to take, at least 50 ms, or the
// time for which the upstream is still cold.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	rounds := 1 + float64(len(q.waiting))/float64(max(q.Limit(), 1))
	return max(time.Duration(rounds*q.meanSeconds*float64(time.Second)), 50*time.Millisecond, q.ColdFor(now))
}

// ColdFor returns how much longer the upstream is cold, 0 if it is warm.
func (q *Queue) ColdFor(now time.Time) time.Duration {
	return max(q.rates.cold.warmAt.Sub(now), 0)
}

// start counts a request as in flight and as served to its customer. If nothing
// else is in flight or waiting, it first discards the service counted so far.
// Otherwise it first raises the customer's service to at least maxCredit below the
// virtual time, so that a customer gets no more credit than that for the time in
// which it sent little.
func (q *Queue) start(now time.Time, t *Ticket) {
	if q.inFlight == 0 && len(q.waiting) == 0 {
		clear(q.served)
		q.virtualTime = 0
	}
	q.rates.cold.sent(now, q.inFlight)
	q.inFlight++
	q.rates.take()
	t.started = now
	q.wait.Observe(now, now.Sub(t.queuedAt))
	q.virtualTime = max(q.servedTo(t.Customer), q.virtualTime)
	q.served[t.Customer] = q.servedTo(t.Customer) + 1/t.Weight
}

// servedTo returns the service that a customer has received, but no more than
// maxCredit below the virtual time.
func (q *Queue) servedTo(customer string) float64 {
	return max(q.served[customer], q.virtualTime-maxCredit)
}

// Wait returns how long requests have waited recently: the average of requests
// that have started, or half the wait so far of the oldest waiting one if that
// is longer.
func (q *Queue) Wait(now time.Time) time.Duration {
	oldest := now
	for _, t := range q.waiting {
		if t.queuedAt.Before(oldest) {
			oldest = t.queuedAt
		}
	}
	return max(q.wait.Value(now), now.Sub(oldest)/2)
}

// capacity returns the number of requests that may wait: as many as the upstream
// is expected to take within maxWait, but no fewer than the limit. Offer lets a
// request with a due time wait beyond the capacity, up to maxCapacity.
func (q *Queue) capacity() int {
	limit := q.Limit()
	lowest := max(limit, minCapacity)
	if q.meanSeconds == 0 {
		return lowest
	}
	return max(lowest, min(int(float64(limit)*maxWait.Seconds()/q.meanSeconds), maxCapacity))
}

func (q *Queue) meanLatency() time.Duration {
	return time.Duration(q.meanSeconds * float64(time.Second))
}

func (q *Queue) observeLatency(latency time.Duration) {
	if q.meanSeconds == 0 {
		q.meanSeconds = latency.Seconds()
	} else {
		q.meanSeconds += (latency.Seconds() - q.meanSeconds) * latencySmoothing
	}
	q.rates.cold.latency = q.meanLatency()
}

// expire removes and returns the requests that waited too long or are not
// expected to finish before their deadline.
func (q *Queue) expire(now time.Time) []*Ticket {
	var refused []*Ticket
	mean := q.meanLatency()
	for i := 0; i < len(q.waiting); {
		t := q.waiting[i]
		if now.Sub(t.queuedAt) >= t.waitLimit() || now.Add(mean).After(t.Deadline) {
			refused = append(refused, q.remove(i))
			continue
		}
		i++
	}
	return refused
}

// best returns the index of the waiting request to run next.
func (q *Queue) best() int {
	best := 0
	for i, t := range q.waiting {
		if q.runsBefore(t, q.waiting[best]) {
			best = i
		}
	}
	return best
}

// runsBefore reports whether a runs before b.
func (q *Queue) runsBefore(a, b *Ticket) bool {
	if a.critical() || b.critical() || a.Customer == b.Customer || (!a.Due.IsZero() && !b.Due.IsZero()) {
		return a.before(b)
	}
	if servedA, servedB := q.servedTo(a.Customer), q.servedTo(b.Customer); servedA != servedB {
		return servedA < servedB
	}
	return a.before(b)
}

// worst returns the index of the waiting request to refuse first: the one that
// would run last of the customer with the highest demand, which is the number of
// its requests served and waiting, divided by its weight. Critical requests are
// refused only if no others wait.
func (q *Queue) worst() int {
	demand := make(map[string]float64)
	for _, t := range q.waiting {
		if _, ok := demand[t.Customer]; !ok {
			demand[t.Customer] = q.servedTo(t.Customer)
		}
		demand[t.Customer] += 1 / t.Weight
	}
	worst := 0
	for i, t := range q.waiting {
		if refusedBefore(t, q.waiting[worst], demand) {
			worst = i
		}
	}
	return worst
}

// refusedBefore reports whether a is refused before b, given the demand of each
// customer.
func refusedBefore(a, b *Ticket, demand map[string]float64) bool {
	if a.critical() != b.critical() {
		return b.critical()
	}
	if a.Customer == b.Customer || a.critical() || demand[a.Customer] == demand[b.Customer] {
		return b.before(a)
	}
	return demand[a.Customer] > demand[b.Customer]
}

// remove removes and returns the waiting request at an index. It does not keep
// the order of the others.
func (q *Queue) remove(i int) *Ticket {
	t := q.waiting[i]
	last := len(q.waiting) - 1
	q.waiting[i] = q.waiting[last]
	q.waiting[last] = nil
	q.waiting = q.waiting[:last]
	return t
}
