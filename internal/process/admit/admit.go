// Package admit decides at the entry of the call graph whether a request is
// admitted. Once requests of a route wait too long at a service that the route
// reaches, directly or through sub-calls, the number of its admitted requests that
// are not answered yet is limited so that the wait becomes short again. A request refused
// at the entry has cost nothing, while one that fails deep in the graph wastes the
// work of its callers.
package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// Parameters of a limit.
const (
	// interval is the shortest time between two changes of a limit, several times
	// the service time of short requests. A change after a longer time is that of as
	// many intervals, up to maxIntervals: an entry with few requests changes its limit
	// rarely.
	interval     = 50 * time.Millisecond
	maxIntervals = 10
	// maxDecrease is the largest fraction by which a limit falls in one interval. A
	// lower limit takes a few intervals to show in the wait, as the requests that
	// were admitted before still run.
	maxDecrease = 0.1
	// maxIncrease is the largest fraction by which a limit grows in one interval, and
	// maxIncreaseIdle the largest if requests hardly wait. A small limit may grow by
	// up to the limit's step.
	maxIncrease     = 0.1
	maxIncreaseIdle = 0.25
	// idleRatio is the fraction of the allowed wait up to which maxIncreaseIdle
	// applies.
	idleRatio = 0.1
	// maxStep and minStep bound the step of a limit, which is its smallest value and the
	// smallest amount by which it grows. A step admits the requests that show whether
	// there is capacity again. Steps of less than a request keep many entries with few
	// requests each from admitting more together than few entries with many requests.
	maxStep = 1
	minStep = 0.05
	// maxWaitAge is the longest time for which the wait that a response reported counts
	// at an entry that gets responses rarely.
	maxWaitAge = 400 * time.Millisecond
	// maxIdle is the time since its last request after which a route no longer counts as
	// one whose limit could fall.
	maxIdle = time.Second
	// demandTimeConstant is the time constant of the average of the requests that are
	// in flight without a limit.
	demandTimeConstant = 2 * time.Second
	// lessImportantFloor is the number of steps that the limit of a less important
	// route is lowered to before the limit of a more important route falls.
	lessImportantFloor = 1.2
	// saturatedRatio is the fraction of the limit in use from which the limit counts
	// as saturated, as it may then be what holds requests back.
	saturatedRatio = 0.8
)

// The step of a limit for the highest importance, as a fraction of the requests in
// flight without a limit, and its ratio from one importance to the next lower one. The
// most important requests keep the largest share; above 1, few of them are refused.
const (
	maxStepFraction = 1.6
	stepRatio       = 0.5
)

// The wait allowed for requests of the highest importance, its ratio from one
// importance to the next lower one, and its minimum. The less important requests
// are, the sooner they are refused.
const (
	maxAllowedWait = 120 * time.Millisecond
	waitRatio      = 0.4
	minAllowedWait = 10 * time.Millisecond
)

const (
	// coldSmoothing is the weight of a response in the share of those from cold services.
	coldSmoothing = 0.1
	// minColdShare is the share of such responses from which refused callers are told to
	// come back when the service is warm. Below it others of its upstreams serve.
	minColdShare = 0.5
)

// Request is a request at the entry of the call graph.
type Request struct {
	// Importance ranges from 0 to rows.MaxImportance, the most important.
	Importance int
	// Objective is the time within which a response is worth most to the caller,
	// 0 for none.
	Objective time.Duration
	// Route is the name of the route.
	Route string
}

// Limits holds a concurrency limit for each route. No other lock is acquired
// while its lock is held.
type Limits struct {
	random func() float64 // at least 0 and less than 1

	mu     sync.Mutex
	routes map[string]*limit
}

// Option configures Limits in New.
type Option func(*Limits)

// WithRandom sets the source of random numbers, which must be at least 0 and less
// than 1.
func WithRandom(random func() float64) Option {
	return func(l *Limits) { l.random = random }
}

// limit limits the admitted requests of a route that are not answered yet.
type limit struct {
	adaptedAt   time.Time
	coldShare   float64 // average of the responses from cold services
	demand      float64 // average of the requests in flight without a limit
	enteredAt   time.Time
	importance  int
	inFlight    int
	maxInFlight float64
	peak        int  // most requests in flight since adaptedAt
	refused     bool // a request was refused since adaptedAt
	wait        *gates.WaitAverage
	warmAt      time.Time // when a cold service will be warm, as last reported
}

// New returns Limits that admit all requests until requests wait too long.
func New(options ...Option) *Limits {
	l := &Limits{random: rand.Float64, routes: make(map[string]*limit)}
	for _, option := range options {
		option(l)
	}
	return l
}

// Enter reports whether a request is admitted. If it is, Leave must be called
// when it has been answered. If not, Enter returns the time after which the
// caller should retry.
func (l *Limits) Enter(now time.Time, r Request) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.forRoute(now, r.Route)
	lim.importance = r.Importance
	lim.observeDemand(now)
	l.adapt(now, lim)
	if !lim.hasRoom(l.random()) {
		lim.peak = max(lim.peak, lim.inFlight)
		lim.refused = true
		return lim.coldFor(now) + jitteredRetryAfter(r.Objective, l.random()), false
	}
	lim.inFlight++
	lim.peak = max(lim.peak, lim.inFlight)
	return 0, true
}

// Leave records that an admitted request has been answered.
func (l *Limits) Leave(now time.Time, route string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forRoute(now, route).inFlight--
}

// Observation is what a response tells about the services that a request reached,
// directly or through sub-calls.
type Observation struct {
	// ColdFor is how much longer an upstream is cold, 0 if none is.
	ColdFor time.Duration
	// Wait is how long the request, or a call that it made, waited in the queue of a
	// service.
	Wait time.Duration
}

// Observe records what a response to a request of a route tells.
func (l *Limits) Observe(now time.Time, route string, o Observation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.forRoute(now, route)
	lim.wait.Observe(now, o.Wait)
	cold := 0.0
	if o.ColdFor > 0 {
		cold = 1
		lim.warmAt = now.Add(o.ColdFor)
	}
	lim.coldShare += (cold - lim.coldShare) * coldSmoothing
}

// ColdFor returns how much longer the services that requests of a route reach are cold, 0
// if that is unknown or if most responses lately came from warm ones.
func (l *Limits) ColdFor(now time.Time, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.routes[route]
	if lim == nil {
		return 0
	}
	return lim.coldFor(now)
}

func (lim *limit) coldFor(now time.Time) time.Duration {
	if lim.coldShare <= minColdShare {
		return 0
	}
	return max(lim.warmAt.Sub(now), 0)
}

// Wait returns how long requests of a route, or the calls that they make, have
// recently waited in queues. It returns 0 for an unknown route.
func (l *Limits) Wait(now time.Time, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.routes[route]
	if lim == nil {
		return 0
	}
	return lim.wait.Value(now)
}

// State describes the admission of a route's requests.
type State struct {
	InFlight int
	// Limit is infinite until requests have waited too long.
	Limit float64
	// Wait is how long requests have recently waited in queues.
	Wait time.Duration
}

// State returns the current State of a route.
func (l *Limits) State(now time.Time, route string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.forRoute(now, route)
	return State{InFlight: lim.inFlight, Limit: lim.maxInFlight, Wait: lim.wait.Value(now)}
}

// forRoute returns the limit of a route, and creates it if necessary.
func (l *Limits) forRoute(now time.Time, route string) *limit {
	lim := l.routes[route]
	if lim == nil {
		lim = &limit{adaptedAt: now, enteredAt: now, maxInFlight: math.Inf(1), wait: gates.NewWaitAverage(gates.WithMaxDecayDelay(maxWaitAge))}
		l.routes[route] = lim
	}
	return lim
}

// lessImportantFirst reports whether the limit of a less important route should
// fall before this one. A route counts if its requests wait at least half as
// long, as they then probably wait at the same service.
func (l *Limits) lessImportantFirst(now time.Time, lim *limit) bool {
	wait := lim.wait.Value(now)
	for _, other := range l.routes {
		if other.importance < lim.importance && other.maxInFlight > lessImportantFloor*other.step() && now.Sub(other.enteredAt) < maxIdle && other.wait.Value(now) >= wait/2 {
			return true
		}
	}
	return false
}

// adapt updates a limit at most once in an interval. If requests wait longer than
// allowed, it lowers the limit, unless the limits of less important routes should
// fall first. If they wait no longer than allowed, it raises a saturated limit.
func (l *Limits) adapt(now time.Time, lim *limit) {
	if now.Sub(lim.adaptedAt) < interval {
		return
	}
	excess := lim.wait.Value(now).Seconds()/allowedWait(lim.importance).Seconds() - 1
	intervals := math.Min(now.Sub(lim.adaptedAt).Seconds()/interval.Seconds(), maxIntervals)
	switch {
	case excess <= 0:
		lim.grow(excess, intervals)
	case !l.lessImportantFirst(now, lim):
		lim.shrink(excess, intervals)
	}
	lim.adaptedAt = now
	lim.peak = lim.inFlight
	lim.refused = false
}

// shrink lowers the limit by up to maxDecrease in each interval, but not below one
// step. The excess is 0 for the allowed wait and 1 for twice that.
func (lim *limit) shrink(excess, intervals float64) {
	used := math.Max(float64(lim.peak), lim.step())
	kept := math.Pow(1-maxDecrease*math.Min(excess, 1), intervals)
	lim.maxInFlight = math.Max(math.Min(lim.maxInFlight, used)*kept, lim.step())
}

// grow raises the limit if it is saturated. The shorter the wait, the more it
// raises it. The excess is -1 for no wait and 0 for the allowed wait.
func (lim *limit) grow(excess, intervals float64) {
	if !lim.refused && float64(lim.peak) < lim.maxInFlight*saturatedRatio {
		return
	}
	increase := maxIncrease
	if excess <= idleRatio-1 {
		increase = maxIncreaseIdle
	}
	lim.maxInFlight += math.Max(lim.maxInFlight*increase, lim.step()) * math.Min(-excess, 1) * intervals
}

// hasRoom reports whether one more request is within the limit. If the rest of the limit
// is less than a request, it is within the limit with a probability; chance is a random
// number of at least 0 and less than 1. Where hardly any requests are in flight without
// a limit, the probability is the limit's share of those.
func (lim *limit) hasRoom(chance float64) bool {
	whole := math.Min(math.Max(lim.demand, minStep), 1)
	return lim.maxInFlight-float64(lim.inFlight) > chance*whole
}

// observeDemand updates the average of the requests in flight, unless the limit holds
// requests back.
func (lim *limit) observeDemand(now time.Time) {
	weight := 1 - math.Exp(-now.Sub(lim.enteredAt).Seconds()/demandTimeConstant.Seconds())
	lim.enteredAt = now
	if float64(lim.inFlight+1) <= lim.maxInFlight {
		lim.demand += (float64(lim.inFlight) - lim.demand) * weight
	}
}

// step returns the smallest limit, and the smallest amount by which it grows.
func (lim *limit) step() float64 {
	fraction := maxStepFraction * math.Pow(stepRatio, float64(rows.MaxImportance-lim.importance))
	return math.Min(math.Max(fraction*lim.demand, minStep), maxStep)
}

// allowedWait returns how long requests of an importance may wait before the
// limits of their routes fall.
func allowedWait(importance int) time.Duration {
	wait := maxAllowedWait.Seconds() * math.Pow(waitRatio, float64(rows.MaxImportance-importance))
	return max(time.Duration(wait*float64(time.Second)), minAllowedWait)
}

// Bounds of the time after which a refused caller should retry, as fractions of the
// route's objective. They are low enough that the retry can be answered within the
// objective. The jitter between them keeps callers that were refused together from
// retrying together.
const (
	minRetryFraction = 0.15
	maxRetryFraction = 0.45
)

// defaultObjective stands in for the objective of a route that has none.
const defaultObjective = time.Second

// MaxRetryAfter returns the longest time after which a retry is still useful to a
// caller of a route with an objective, 0 if the objective is 0.
func MaxRetryAfter(objective time.Duration) time.Duration {
	return time.Duration(maxRetryFraction * float64(objective))
}

// jitteredRetryAfter returns the time after which a refused caller should retry. It
// depends on chance, a random number of at least 0 and less than 1.
func jitteredRetryAfter(objective time.Duration, chance float64) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*chance
	return time.Duration(fraction * float64(objective))
}
