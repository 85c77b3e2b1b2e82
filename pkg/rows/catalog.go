package rows

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// MaxAttempts is the largest number of upstreams that one request may be sent
// to.
const MaxAttempts = 16

// Catalog is a whole configuration of routes and customers, kept apart so that
// its size is their sum. It stands in for a table whose rows are the pairs of
// them.
type Catalog struct {
	Customers []Customer
	Limits    Limits
	Routes    []Route
	Services  []ServiceInfo
	// Version orders catalogs; a later one has a higher version.
	Version uint64
}

// Check returns an error that names the first entry that is not valid.
func (c *Catalog) Check() error {
	if c.Version == 0 {
		return trace.BadParameter("Version: want more than 0")
	}
	for i := range c.Routes {
		if err := c.Routes[i].Check(); err != nil {
			return trace.BadParameter("Routes: %q: %v", c.Routes[i].Name, err)
		}
	}
	holders := make(map[string]string)
	for i := range c.Customers {
		customer := &c.Customers[i]
		if err := customer.Check(); err != nil {
			return trace.BadParameter("Customers: %q: %v", customer.Name, err)
		}
		for _, key := range customer.Keys {
			if holder, taken := holders[key]; taken {
				return trace.BadParameter("Customers: %q and %q have a key in common", holder, customer.Name)
			}
			holders[key] = customer.Name
		}
	}
	return nil
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes and HeaderBytes are the largest sizes, 0 for no bound.
	BodyBytes, HeaderBytes int64
	// HeaderTimeout bounds the time in which a header arrives, and IdleTimeout
	// the time for which a connection may stay unused.
	HeaderTimeout, IdleTimeout time.Duration
}

// ServiceInfo is what is known of a service's upstreams.
type ServiceInfo struct {
	// HealthPath is where an upstream tells whether it is well, empty for nowhere.
	HealthPath string
	Name       string
}

// Route sets how requests of a host below a path prefix are treated.
type Route struct {
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Host is the value of the Host header.
	Host string
	// Idempotent tells that a request may run more than once.
	Idempotent bool
	// Importance ranks requests under overload: MaxImportance is shed last.
	Importance int
	Name       string
	// Objective is the time within which an answer is worth most to its caller.
	Objective time.Duration
	// Open lets requests without a key use the route.
	Open bool
	// Prefix begins the path of each request of the route, and begins and ends
	// with a slash.
	Prefix string
	// Shares are the services that run the requests, in proportion.
	Shares []Share
	// Timeout bounds the time to the whole answer.
	Timeout time.Duration
}

// Check returns an error that names the first field that does not hold a valid
// value.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return trace.BadParameter("Host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return trace.BadParameter("Prefix %q: want a slash at both ends", r.Prefix)
	case r.Attempts < 1 || r.Attempts > MaxAttempts:
		return trace.BadParameter("Attempts %d: want 1 to %d", r.Attempts, MaxAttempts)
	case r.Importance < 0 || r.Importance > MaxImportance:
		return trace.BadParameter("Importance %d: want 0 to %d", r.Importance, MaxImportance)
	case r.Timeout <= 0 || r.Timeout > MaxTimeout:
		return trace.BadParameter("Timeout %v: want more than 0 and at most %v", r.Timeout, MaxTimeout)
	}
	return r.checkShares()
}

func (r *Route) checkShares() error {
	total := 0.0
	for _, s := range r.Shares {
		if s.Service == "" || !(s.Weight >= 0) {
			return trace.BadParameter("Shares: want a service and a weight of 0 or more")
		}
		total += s.Weight
	}
	if total <= 0 {
		return trace.BadParameter("Shares: want a service with a weight above 0")
	}
	return nil
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Customer is a customer with its keys and its rate over all routes.
type Customer struct {
	// Burst is in requests over all hosts.
	Burst float64
	// Importance takes the place of the routes' where Ranked is set.
	Importance int
	Keys       []string
	Name       string
	Ranked     bool
	// Rate is in requests a second over all hosts, 0 for no bound.
	Rate float64
}

// Check returns an error that names the first field that does not hold a valid
// value.
func (c *Customer) Check() error {
	switch {
	case c.Name == "":
		return trace.BadParameter("Name is missing")
	case !(c.Rate >= 0) || !(c.Burst >= 0):
		return trace.BadParameter("Rate and Burst: want 0 or more")
	case c.Importance < 0 || c.Importance > MaxImportance:
		return trace.BadParameter("Importance %d: want 0 to %d", c.Importance, MaxImportance)
	}
	return nil
}
