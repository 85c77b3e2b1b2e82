// Package admit decides at its entry whether a request is let into the call
// graph. Once requests wait for long at a service that a route leads to, through
// whatever calls, only as many requests of the route are let in at a time as
// keep that wait short. A request that is refused here has cost nothing, while
// one that fails deep in the graph has wasted what its callers have done.
package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// Bounds of a limit.
const (
	// interval is how often a limit is adapted: some times the service time of
	// short requests.
	interval = 50 * time.Millisecond
	// fall is the most that a limit falls in one interval. It takes a few
	// intervals until a change shows, as admitted requests go on.
	fall = 0.1
	// growth is the most that a limit grows in one interval, and growthFree where
	// there is hardly any wait.
	growth     = 0.1
	growthFree = 0.25
	// freePart is the part of the allowed wait that is hardly any.
	freePart = 0.1
	// least is the least limit. Single requests find out whether there is room.
	least = 1
	// othersLeast is the limit down to which less important routes are held back
	// before more important ones are.
	othersLeast = 3
	// fullPart is the part of a limit in use from which on it may hold requests
	// back.
	fullPart = 0.8
)

// Waits that requests of the most important route, and of those ranked below,
// may bring about: the less important, the sooner they are refused.
const (
	waitMost  = 120 * time.Millisecond
	waitRatio = 0.4 // from one rank to the next
	waitLeast = 10 * time.Millisecond
)

// Request is a request at its entry.
type Request struct {
	// Importance is from 0 to rows.MaxImportance.
	Importance int
	// Objective is the time within which an answer is worth most, 0 for none.
	Objective time.Duration
	// Route is the route's name.
	Route string
}

// Limits hold a limit for each route. Their lock is a leaf.
type Limits struct {
	mu     sync.Mutex
	routes map[string]*limit
}

// limit bounds the requests of a route that are in the graph at a time.
type limit struct {
	adapted    time.Time
	importance int
	inFlight   int
	most       float64
	peak       int // since it was adapted
	wait       *gates.Wait
}

// New returns Limits that hold nothing back yet.
func New() *Limits {
	return &Limits{routes: make(map[string]*limit)}
}

// Enter reports whether a request is let in. If it is, Leave must follow. If it
// is not, it returns when the caller should come back.
func (l *Limits) Enter(now time.Time, r Request) (retryAfter time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.limit(now, r.Route)
	lim.importance = r.Importance
	l.adapt(now, lim)
	if float64(lim.inFlight) >= lim.most {
		lim.peak = max(lim.peak, lim.inFlight)
		return comeBack(r.Objective), false
	}
	lim.inFlight++
	lim.peak = max(lim.peak, lim.inFlight)
	return 0, true
}

// Leave takes in that a request has its answer.
func (l *Limits) Leave(now time.Time, route string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit(now, route).inFlight--
}

// Observe takes in how long requests of a route, or the calls that they make,
// wait for their turn.
func (l *Limits) Observe(now time.Time, route string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit(now, route).wait.Observe(now, wait)
}

// Wait returns how long requests of a route, or the calls that they make, wait
// for their turn lately.
func (l *Limits) Wait(now time.Time, route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.routes[route]
	if lim == nil {
		return 0
	}
	return lim.wait.Lately(now)
}

// State is what decides on a route's requests.
type State struct {
	InFlight int
	// Limit is infinite while nothing is held back.
	Limit float64
	Wait  time.Duration
}

// State returns what decides on a route's requests.
func (l *Limits) State(now time.Time, route string) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim := l.limit(now, route)
	return State{InFlight: lim.inFlight, Limit: lim.most, Wait: lim.wait.Lately(now)}
}

func (l *Limits) limit(now time.Time, route string) *limit {
	lim := l.routes[route]
	if lim == nil {
		lim = &limit{adapted: now, most: math.Inf(1), wait: gates.NewWait()}
		l.routes[route] = lim
	}
	return lim
}

// othersFirst reports whether a less important route, which waits at the same
// place as far as can be told, is still to be held back before this one.
func (l *Limits) othersFirst(now time.Time, lim *limit) bool {
	wait := lim.wait.Lately(now)
	for _, other := range l.routes {
		if other.importance < lim.importance && other.most > othersLeast && other.inFlight > 0 && other.wait.Lately(now) >= wait/2 {
			return true
		}
	}
	return false
}

// adapt lowers a limit while requests wait for longer than allowed, unless others
// are to be held back first, and raises it while it holds requests back and they
// do not.
func (l *Limits) adapt(now time.Time, lim *limit) {
	if now.Sub(lim.adapted) < interval {
		return
	}
	over := lim.wait.Lately(now).Seconds()/allowedWait(lim.importance).Seconds() - 1
	switch {
	case over <= 0:
		lim.grow(over)
	case !l.othersFirst(now, lim):
		lim.most = math.Max(math.Min(lim.most, float64(lim.peak))*(1-fall*math.Min(over, 1)), least)
	}
	lim.adapted = now
	lim.peak = lim.inFlight
}

// grow raises a limit that holds requests back, by how far the wait is under what
// is allowed: from 0 to -1.
func (lim *limit) grow(over float64) {
	if float64(lim.peak) < lim.most*fullPart {
		return
	}
	part := growth
	if over <= freePart-1 {
		part = growthFree
	}
	lim.most += math.Max(lim.most*part, 1) * math.Min(-over, 1)
}

// allowedWait returns the wait that requests of an importance may bring about.
func allowedWait(importance int) time.Duration {
	wait := waitMost.Seconds() * math.Pow(waitRatio, float64(rows.MaxImportance-importance))
	return max(time.Duration(wait*float64(time.Second)), waitLeast)
}

// Parts of a route's objective after which a refused caller should come back:
// soon enough to be answered within it. The spread keeps callers that were
// refused together from coming back together.
const (
	backLeast = 0.15
	backMost  = 0.45
)

// backUnknown is when a caller of a route without an objective should come back.
const backUnknown = time.Second

// BackWithin returns the time within which coming back is useful to a caller of a
// route with an objective, 0 for unknown.
func BackWithin(objective time.Duration) time.Duration {
	return time.Duration(backMost * float64(objective))
}

func comeBack(objective time.Duration) time.Duration {
	if objective <= 0 {
		objective = backUnknown
	}
	part := backLeast + (backMost-backLeast)*rand.Float64()
	return time.Duration(part * float64(objective))
}
