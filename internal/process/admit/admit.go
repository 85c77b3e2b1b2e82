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
	// the service time of short requests.
	interval = 50 * time.Millisecond
	// maxDecrease is the largest fraction by which a limit falls in one interval. A
	// lower limit takes a few intervals to show in the wait, as the requests that
	// were admitted before still run.
	maxDecrease = 0.1
	// maxIncrease is the largest fraction by which a limit grows in one interval, and
	// maxIncreaseIdle the largest if requests hardly wait. A small limit may grow by
	// up to 1.
	maxIncrease     = 0.1
	maxIncreaseIdle = 0.25
	// idleRatio is the fraction of the allowed wait up to which maxIncreaseIdle
	// applies.
	idleRatio = 0.1
	// minLimit admits single requests, which show whether there is capacity again.
	minLimit = 1
	// lessImportantFloor is the limit that less important routes are lowered to
	// before the limit of a more important route falls.
	lessImportantFloor = 3
	// saturatedRatio is the fraction of the limit in use from which the limit counts
	// as saturated, as it may then be what holds requests back.
	saturatedRatio = 0.8
)

// The wait allowed for requests of the highest importance, its ratio from one
// importance to the next lower one, and its minimum. The less important requests
// are, the sooner they are refused.
const (
	maxAllowedWait = 120 * time.Millisecond
	waitRatio      = 0.4
	minAllowedWait = 10 * time.Millisecond
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
	mu     sync.Mutex
	routes map[string]*limit
}

// limit limits the admitted requests of a route that are not answered yet.
type limit struct {
	adaptedAt   time.Time
	importance  int
	inFlight    int
	maxInFlight float64
	peak        int // most requests in flight since adaptedAt
	wait        *gates.WaitAverage
}

// New returns Limits that admit all requests until requests wait too long.
func New() *Limits {
	return &Limits{routes: make(map[string]*limit)}
}

// Enter reports whether a request is admitted. If it is, Leave must be called
// when it has been answered. If not, Enter returns the time after which the
// caller should retry.
func (l *Limits) Enter(now time.Time, r Request) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.forRoute(now, r.Route)
	lim.importance = r.Importance
	l.adapt(now, lim)
	if float64(lim.inFlight) >= lim.maxInFlight {
		lim.peak = max(lim.peak, lim.inFlight)
		return jitteredRetryAfter(r.Objective), false
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

// Observe records how long a request of a route, or a call that it made, waited
// in the queue of a service.
func (l *Limits) Observe(now time.Time, route string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forRoute(now, route).wait.Observe(now, wait)
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
		lim = &limit{adaptedAt: now, maxInFlight: math.Inf(1), wait: gates.NewWaitAverage()}
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
		if other.importance < lim.importance && other.maxInFlight > lessImportantFloor && other.inFlight > 0 && other.wait.Value(now) >= wait/2 {
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
	switch {
	case excess <= 0:
		lim.grow(excess)
	case !l.lessImportantFirst(now, lim):
		lim.maxInFlight = math.Max(math.Min(lim.maxInFlight, float64(lim.peak))*(1-maxDecrease*math.Min(excess, 1)), minLimit)
	}
	lim.adaptedAt = now
	lim.peak = lim.inFlight
}

// grow raises the limit if it is saturated. The shorter the wait, the more it
// raises it. The excess is -1 for no wait and 0 for the allowed wait.
func (lim *limit) grow(excess float64) {
	if float64(lim.peak) < lim.maxInFlight*saturatedRatio {
		return
	}
	increase := maxIncrease
	if excess <= idleRatio-1 {
		increase = maxIncreaseIdle
	}
	lim.maxInFlight += math.Max(lim.maxInFlight*increase, 1) * math.Min(-excess, 1)
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

// jitteredRetryAfter returns a random time after which a refused caller should
// retry.
func jitteredRetryAfter(objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = defaultObjective
	}
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*rand.Float64()
	return time.Duration(fraction * float64(objective))
}
