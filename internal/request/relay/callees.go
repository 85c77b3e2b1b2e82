package relay

import (
	"sync"
	"time"
)

// calleeTime is how long a route counts as called after a call of it.
const calleeTTL = 10 * time.Second

// callees are the routes that the upstream beside the node calls. Which request
// a call is for is not known, so they count for all that the upstream runs. Its
// lock is a leaf.
type callees struct {
	mu     sync.Mutex
	called map[string]time.Time
}

func newCallees() *callees {
	return &callees{called: make(map[string]time.Time)}
}

// note takes in that the upstream called a route.
func (c *callees) record(now time.Time, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.called[route] = now
}

// all returns the routes that were called lately.
func (c *callees) recent(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var routes []string
	for route, at := range c.called {
		if now.Sub(at) >= calleeTTL {
			delete(c.called, route)
			continue
		}
		routes = append(routes, route)
	}
	return routes
}
