package relay

import (
	"sync"
	"time"
)

// calleeTTL is the time after its last call for which a route counts as called.
const calleeTTL = 10 * time.Second

// callees are the routes that the local upstream calls. Which request a call was
// made for is unknown, so each route counts for all requests that the upstream
// runs. No other lock is acquired while its lock is held.
type callees struct {
	mu     sync.Mutex
	called map[string]time.Time // time of the last call by route
}

func newCallees() *callees {
	return &callees{called: make(map[string]time.Time)}
}

// record records that the upstream called a route.
func (c *callees) record(now time.Time, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.called[route] = now
}

// recent returns the routes called within the last calleeTTL and drops the others.
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
