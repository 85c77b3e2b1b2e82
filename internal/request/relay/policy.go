package relay

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// anyRoute is the route of the rate that a customer has over all routes.
const anyRoute = "*"

// policy is how a request is treated, by the table or by the catalog.
type policy struct {
	attempts   int // upstreams that may be sent the request
	customer   string
	idempotent bool
	importance int
	inner      bool          // a sub-call whose root request is not known
	limit      quota.Limit   // without a rate for no bound
	maxBody    int64         // bytes; 0 for no bound
	objective  time.Duration // 0 for none
	rate       quota.Key
	retries    int
	route      string
	service    string
	timeout    time.Duration
	weight     float64
}

// catalogRoute returns the name of the catalog's route, empty for the table's.
func (p *policy) catalogRoute() string {
	if p.objective > 0 {
		return p.route
	}
	return ""
}

// identify finds the customer of a request and how it is treated. A policy that
// comes with a refusal has at most a customer.
func (r *Relay) identify(now time.Time, req *http.Request, terms Terms) (policy, *refuse.Refusal) {
	if r.Catalog != nil {
		return r.identifyByCatalog(req, terms)
	}
	return r.identifyByTable(now, req, terms)
}

func (r *Relay) identifyByTable(now time.Time, req *http.Request, terms Terms) (policy, *refuse.Refusal) {
	snapshot := r.Config.Snapshot()
	if snapshot.Revision() == 0 {
		return policy{}, refuse.New(refuse.NoConfiguration, graceRetry, "the node has no configuration yet")
	}
	var customer string
	known := false
	if terms.Key != "" {
		customer, known = snapshot.Customer(terms.Key)
	}
	row, routed := snapshot.Match(req.Method, req.URL.Path, customer)
	switch {
	case !routed:
		return policy{customer: customer}, refuse.New(refuse.RouteUnknown, 0, "no row is for this method and path")
	case row != nil && row.Open:
		return tablePolicy(req, customer, row), nil
	case terms.Key == "":
		return policy{}, refuse.New(refuse.KeyMissing, 0, "the route wants a key")
	case !known:
		return policy{}, refuse.New(refuse.KeyRejected, 0, "the key is unknown or withdrawn")
	case row == nil:
		return policy{customer: customer}, refuse.New(refuse.NotForCustomer, 0, "the route has no row for the customer")
	case r.keysTooOld(now, row):
		return policy{customer: customer}, refuse.New(refuse.NoConfiguration, graceRetry, "the node cannot tell whether the key is withdrawn")
	}
	return tablePolicy(req, customer, row), nil
}

func tablePolicy(req *http.Request, customer string, row *rows.Row) policy {
	return policy{
		attempts:   maxAttempts,
		customer:   customer,
		idempotent: row.Idempotent || idempotent(req.Method),
		importance: row.Importance,
		limit:      quota.Limit{Burst: row.Burst, Rate: row.Rate},
		maxBody:    row.MaxBody,
		rate:       quota.Key{Customer: customer, Route: row.Route},
		retries:    row.Retries,
		route:      row.Route,
		service:    rows.Service(req.URL.Path),
		timeout:    row.Timeout,
		weight:     row.Weight,
	}
}

// keysTooOld reports whether the node has not heard of withdrawn keys for
// longer than the row allows.
func (r *Relay) keysTooOld(now time.Time, row *rows.Row) bool {
	if row.KeyGrace == 0 {
		return false
	}
	age, known := r.Config.Age(now)
	return !known || age > row.KeyGrace
}

func (r *Relay) identifyByCatalog(req *http.Request, terms Terms) (policy, *refuse.Refusal) {
	snapshot := r.Catalog.Snapshot()
	if snapshot.CatalogVersion() == 0 {
		return policy{}, refuse.New(refuse.NoConfiguration, graceRetry, "the node has no configuration yet")
	}
	route, ok := snapshot.Route(req.Host, rawPath(req))
	if !ok {
		return policy{}, refuse.New(refuse.RouteUnknown, 0, "no route is for this host and path")
	}
	p := policy{
		attempts:   route.Attempts,
		idempotent: route.Idempotent,
		importance: route.Importance,
		maxBody:    snapshot.Limits().BodyBytes,
		objective:  route.Objective,
		retries:    route.Attempts - 1,
		route:      route.Name,
		service:    r.shares.choose(route),
		timeout:    route.Timeout,
		weight:     1,
	}
	if route.Open {
		p.inner = terms.Key == ""
		return p, nil
	}
	return p.holder(snapshot, terms.Key)
}

// holder adds to a policy what the catalog says of the customer that holds a
// key.
func (p policy) holder(snapshot *snaps.Snapshot, key string) (policy, *refuse.Refusal) {
	if key == "" {
		return policy{}, refuse.New(refuse.KeyMissing, 0, "the route wants a key")
	}
	customer, ok := snapshot.CustomerByKey(key)
	if !ok {
		return policy{}, refuse.New(refuse.KeyRejected, 0, "the key is unknown or withdrawn")
	}
	p.customer = customer.Name
	if customer.Ranked {
		p.importance = customer.Importance
	}
	if customer.Rate > 0 {
		p.limit = quota.Limit{Burst: customer.Burst, Rate: customer.Rate}
		p.rate = quota.Key{Customer: customer.Name, Route: anyRoute}
	}
	return p, nil
}

// rawPath returns the path of a request as it was sent.
func rawPath(req *http.Request) string {
	path, _, _ := strings.Cut(req.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return req.URL.EscapedPath()
}

// shares divides the requests of routes among their services so that each has
// its part of any run of requests, to within one request. Its lock is a leaf.
type shares struct {
	mu     sync.Mutex
	routes map[string]map[string]float64 // credit by route and service
}

func newShares() *shares {
	return &shares{routes: make(map[string]map[string]float64)}
}

// choose returns the service for the next request of a route: each service
// earns its weight, and the one with the most credit pays for the request.
func (s *shares) choose(route *rows.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.routes[route.Name]
	if credit == nil {
		credit = make(map[string]float64)
		s.routes[route.Name] = credit
	}
	total := 0.0
	best := -1
	for i, share := range route.Shares {
		credit[share.Service] += share.Weight
		total += share.Weight
		if share.Weight > 0 && (best < 0 || credit[share.Service] > credit[route.Shares[best].Service]) {
			best = i
		}
	}
	service := route.Shares[best].Service
	credit[service] -= total
	return service
}
