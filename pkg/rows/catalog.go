package rows

import (
	"math"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// MaxAttempts is the maximum of Route.Attempts.
const MaxAttempts = 16

// MaxColdTime is the maximum of ServiceInfo.ColdTime.
const MaxColdTime = time.Hour

// Catalog is a whole configuration of routes and customers. It takes the place of a
// table with a row for each pair of a route and a customer. Because it lists the two
// separately, its size is their sum and not their product.
type Catalog struct {
	Customers []Customer
	Limits    Limits
	// Problems are the values of the configuration that could not be applied as they are.
	Problems []Problem
	Routes   []Route
	Services []ServiceInfo
	// Version is higher in a later catalog. It is 0 if it could not be read: the catalog then
	// has that of the one that it replaces.
	Version uint64
}

// Check returns an error that names the first invalid entry, or two customers that
// have a key in common.
func (c *Catalog) Check() error {
	for i := range c.Routes {
		if err := c.Routes[i].Check(); err != nil {
			return trace.BadParameter("Routes: %q: %v", c.Routes[i].Name, err)
		}
	}
	for i := range c.Services {
		if err := c.Services[i].Check(); err != nil {
			return trace.BadParameter("Services: %q: %v", c.Services[i].Name, err)
		}
	}
	customerByKey := make(map[string]string)
	for i := range c.Customers {
		customer := &c.Customers[i]
		if err := customer.Check(); err != nil {
			return trace.BadParameter("Customers: %q: %v", customer.Name, err)
		}
		for _, key := range customer.Keys {
			if other, taken := customerByKey[key]; taken {
				return trace.BadParameter("Customers: %q and %q have a key in common", other, customer.Name)
			}
			customerByKey[key] = customer.Name
		}
	}
	return nil
}

// Problem is a value of a configuration that could not be applied as it is.
type Problem struct {
	// Detail says what is wrong, and what counts instead.
	Detail string
	// Entry names the entry, for example routes[3] "browse".
	Entry string
	// Field is the name of the value's field, empty for the whole entry.
	Field string
}

// String returns the problem in one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Entry + ": " + p.Detail
	}
	return p.Entry + ": " + p.Field + ": " + p.Detail
}

// Limits holds the limits for the requests and connections of callers.
type Limits struct {
	// BodyBytes and HeaderBytes are the maximum sizes of a request's body and header,
	// 0 for no limit.
	BodyBytes, HeaderBytes int64
	// HeaderTimeout limits the time until a request's whole header has arrived, and
	// IdleTimeout the time for which a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// ServiceInfo describes the upstreams of a service.
type ServiceInfo struct {
	// ColdRate is the number of requests per second that an upstream takes while it is
	// cold, 0 if it takes as many as when it is warm.
	ColdRate float64
	// ColdTime is how long an upstream is cold after its start.
	ColdTime time.Duration
	// HealthPath is the path of an upstream's health check, empty for none.
	HealthPath string
	Name       string
}

// Check returns an error that names the first field with an invalid value.
func (s *ServiceInfo) Check() error {
	if !(s.ColdRate >= 0) || math.IsInf(s.ColdRate, 1) || s.ColdTime < 0 || s.ColdTime > MaxColdTime {
		return trace.BadParameter("ColdRate and ColdTime: want 0 or more, and at most %v", MaxColdTime)
	}
	return nil
}

// Route configures how requests with a given Host header and path prefix are handled.
type Route struct {
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Host is the value of the requests' Host header.
	Host string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Importance ranks requests under overload, from 0 to MaxImportance, which is shed
	// last.
	Importance int
	Name       string
	// Objective is the time within which a response is worth most to its caller, 0 for
	// none.
	Objective time.Duration
	// Open lets requests without a key use the route.
	Open bool
	// Prefix is the prefix of the requests' paths. It begins with a slash.
	Prefix string
	// Regions are the regions in which requests may be served, empty for all.
	Regions []string
	// Shares divide the requests among services, in proportion to the weights.
	Shares []Share
	// Timeout limits the time until the whole response has been sent.
	Timeout time.Duration
	// Unusable says why requests of the route are refused, empty if they are not.
	Unusable string
}

// Check returns an error that names the first field with an invalid value.
func (r *Route) Check() error {
	switch {
	case r.Host == "":
		return trace.BadParameter("Host is missing")
	case !strings.HasPrefix(r.Prefix, "/"):
		return trace.BadParameter("Prefix %q: want a slash at its beginning", r.Prefix)
	case r.Attempts < 1 || r.Attempts > MaxAttempts:
		return trace.BadParameter("Attempts %d: want 1 to %d", r.Attempts, MaxAttempts)
	case r.Importance < 0 || r.Importance > MaxImportance:
		return trace.BadParameter("Importance %d: want 0 to %d", r.Importance, MaxImportance)
	case r.Objective < 0:
		return trace.BadParameter("Objective %v: want 0 or more", r.Objective)
	case r.Timeout <= 0 || r.Timeout > MaxTimeout:
		return trace.BadParameter("Timeout %v: want more than 0 and at most %v", r.Timeout, MaxTimeout)
	}
	if r.Unusable != "" {
		return nil
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

// Share is a service's share of a route's requests. The weight is relative to those of
// the route's other shares.
type Share struct {
	Service string
	Weight  float64
}

// Customer configures a customer: its keys and its rate limit over all routes.
type Customer struct {
	// Burst is the size of the token bucket that Rate fills, in requests, over all hosts
	// together.
	Burst float64
	// Importance replaces the importance of the route if Ranked is set.
	Importance int
	Keys       []string
	Name       string
	// Ranked is set if the customer has an importance of its own.
	Ranked bool
	// Rate is the customer's rate limit in requests per second, over all hosts together,
	// 0 for no limit.
	Rate float64
	// Regions are the regions in which the customer's requests may be served, empty for
	// all. Those of the route restrict them further.
	Regions []string
	// Unusable says why the customer's requests are refused, empty if they are not.
	Unusable string
}

// Check returns an error that names the first field with an invalid value.
func (c *Customer) Check() error {
	switch {
	case c.Name == "" && c.Unusable == "":
		return trace.BadParameter("Name is missing")
	case !(c.Rate >= 0) || !(c.Burst >= 0):
		return trace.BadParameter("Rate and Burst: want 0 or more")
	case c.Importance < 0 || c.Importance > MaxImportance:
		return trace.BadParameter("Importance %d: want 0 to %d", c.Importance, MaxImportance)
	}
	return nil
}
