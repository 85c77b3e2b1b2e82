// Package fanout learns which routes the upstream beside the node calls while
// it runs the requests of a route, and how often.
package fanout

import "sync"

// Bounds of what is learnt.
const (
	// maxRuns is the number of runs of a route after which older ones count for
	// half, so that a new version of an upstream is learnt within some seconds.
	maxRuns = 1000
	// callsLeast is the least number of calls a run that counts. Fewer come from
	// calls whose parent was mistaken.
	callsLeast = 0.1
)

// Table holds what was learnt. Its lock is a leaf.
type Table struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route is what was learnt of a route.
type route struct {
	calls map[string]float64 // by the route called
	runs  float64
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{routes: make(map[string]*route)}
}

// Run takes in that a request of a route begins to run.
func (t *Table) Run(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.route(name)
	r.runs++
	if r.runs < maxRuns {
		return
	}
	r.runs /= 2
	for callee := range r.calls {
		r.calls[callee] /= 2
	}
}

// Call takes in that a request of a route made a call of another one.
func (t *Table) Call(caller, callee string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.route(caller).calls[callee]++
}

// Callees returns the routes that requests of a route call.
func (t *Table) Callees(name string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[name]
	if r == nil {
		return nil
	}
	var callees []string
	for callee, calls := range r.calls {
		if calls >= callsLeast*r.runs {
			callees = append(callees, callee)
		}
	}
	return callees
}

// Leaf reports whether requests of a route are known to make no calls.
func (t *Table) Leaf(name string) bool {
	return len(t.Callees(name)) == 0
}

func (t *Table) route(name string) *route {
	r := t.routes[name]
	if r == nil {
		r = &route{calls: make(map[string]float64)}
		t.routes[name] = r
	}
	return r
}
