package relay

import (
	"sync"
	"time"
)

// calleeTTL is the time after its last call for which a route counts as called.
const calleeTTL = 10 * time.Second

// callersTTL is the time after the last request of a caller for which an open route counts as
// one of callers. It is longer than calleeTTL, so that their first requests on new
// connections, which may be taken for calls of the upstream, have no effect.
const callersTTL = time.Minute

// callees are the routes that the local upstream calls. Which request a call was
// made for is unknown, so each route counts for all requests that the upstream
// runs. A route of callers does not count: its wait would be told as that of the upstream, and
// keep itself up if the route leads back to the upstream. No other lock is acquired while its
// lock is held.
type callees struct {
	mu      sync.Mutex
	called  map[string]time.Time // time of the last call by route
	callers map[string]time.Time // time of a caller's last request by open route
}

func newCallees() *callees {
	return &callees{called: make(map[string]time.Time), callers: make(map[string]time.Time)}
}

// record records that the upstream called a route.
func (c *callees) record(now time.Time, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.callers[route]; ok && now.Sub(at) < callersTTL {
		return
	}
	c.called[route] = now
}

// recordCaller records that a caller used an open route.
func (c *callees) recordCaller(now time.Time, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callers[route] = now
	delete(c.called, route)
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
