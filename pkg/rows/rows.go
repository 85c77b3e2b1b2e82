// Package rows defines the configuration of routes and customers: the operators'
// table with a row for each route and customer, its CSV form, and the catalog, which
// configures routes and customers separately.
package rows

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// AnyCustomer is the Customer of a row for all customers without a row of their own
// on the route.
const AnyCustomer = "*"

// Maximum values of the columns. The minimum of Importance and Retries is 0.
const (
	MaxImportance = 9
	MaxRetries    = 100
	MaxTimeout    = time.Hour
)

// Row configures how requests of a customer on a route are handled.
type Row struct {
	// Route is a method or "*", a space, and a path prefix whose first
	// segment names the service, as in "POST /ledger/transfers".
	Route string
	// Customer is a customer's name, or AnyCustomer.
	Customer string
	// Open lets requests without a key use the route.
	Open bool
	// Weight determines the customer's share of a contended upstream, in proportion to
	// the weights of the other customers.
	Weight float64
	// Rate is the customer's rate limit in requests per second, over all hosts together.
	Rate float64
	// Burst is the size of the token bucket that Rate fills, in requests, over all hosts
	// together.
	Burst float64
	// Importance ranks requests under overload, from 0 to MaxImportance, which is shed
	// last.
	Importance int
	// Retries limits the retries in the whole chain of calls of one request.
	Retries int
	// Timeout limits the time until the whole response has been sent.
	Timeout time.Duration
	// MaxBody limits the size of a request's body in bytes.
	MaxBody int64
	// Idempotent is set if it is safe to repeat requests of the route, whatever their
	// method.
	Idempotent bool
	// KeyGrace is how long a node accepts keys after it has lost contact with the
	// platform and with every peer that has contact, and so does not learn which keys
	// are withdrawn. 0 means without limit.
	KeyGrace time.Duration
}

// Check returns an error that names the first column with an invalid value.
func (r *Row) Check() error {
	method, path, ok := strings.Cut(r.Route, " ")
	if !ok || method == "" || strings.ToUpper(method) != method {
		return trace.BadParameter("Route %q: want a method in capitals or *, a space and a path", r.Route)
	}
	if !strings.HasPrefix(path, "/") || Service(path) == "" || strings.Contains(path, "//") || strings.ContainsAny(path, "?#% ") {
		return trace.BadParameter("Route %q: want a path that begins with /SERVICE", r.Route)
	}
	if r.Customer == "" || strings.ContainsAny(r.Customer, " /\t\n") {
		return trace.BadParameter("Customer %q: want a name without spaces or slashes, or *", r.Customer)
	}
	if r.Open && r.Customer != AnyCustomer {
		return trace.BadParameter("Open: only a row for customer * can be open")
	}
	return r.checkNumbers()
}

func (r *Row) checkNumbers() error {
	switch {
	case !(r.Weight > 0 && r.Weight <= 1e6):
		return trace.BadParameter("Weight %v: want more than 0 and at most 1000000", r.Weight)
	case !(r.Rate > 0 && r.Rate <= 1e7):
		return trace.BadParameter("Rate %v: want more than 0 and at most 10000000", r.Rate)
	case !(r.Burst >= 1 && r.Burst <= 1e7):
		return trace.BadParameter("Burst %v: want 1 to 10000000", r.Burst)
	case r.Importance < 0 || r.Importance > MaxImportance:
		return trace.BadParameter("Importance %d: want 0 to %d", r.Importance, MaxImportance)
	case r.Retries < 0 || r.Retries > MaxRetries:
		return trace.BadParameter("Retries %d: want 0 to %d", r.Retries, MaxRetries)
	case r.Timeout <= 0 || r.Timeout > MaxTimeout:
		return trace.BadParameter("Timeout %v: want more than 0 and at most %v", r.Timeout, MaxTimeout)
	case r.MaxBody < 0:
		return trace.BadParameter("MaxBody %d: want 0 or more", r.MaxBody)
	case r.KeyGrace < 0:
		return trace.BadParameter("KeyGrace %v: want 0 or more", r.KeyGrace)
	}
	return nil
}

// Method returns the method of the row's route, or "*" for every method.
func (r *Row) Method() string {
	method, _, _ := strings.Cut(r.Route, " ")
	return method
}

// Path returns the path prefix of the row's route, without a trailing slash.
func (r *Row) Path() string {
	_, path, _ := strings.Cut(r.Route, " ")
	return strings.TrimRight(path, "/")
}

// Service returns the service that a path belongs to: its first segment, which is
// empty for the path "/".
func Service(path string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service
}
