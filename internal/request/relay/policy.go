package relay

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
	"github.com/wasabibend/wasabibend/pkg/refuse"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// anyRoute is the route in the key of a rate that applies to all routes together.
const anyRoute = "*"

// policy holds the settings that apply to a request, from the table or the
// catalog.
type policy struct {
	maxAttempts int // maximum number of upstreams that the request is sent to
	customer    string
	idempotent  bool
	importance  int
	subCall     bool          // probably made by the local upstream, for an unknown root request
	limit       quota.Limit   // a rate of 0 means no limit
	maxBody     int64         // bytes; 0 for no limit
	objective   time.Duration // for the response time; 0 for none and for rows of the table
	rateKey     quota.Key
	regions     []string // in which the request may be served; nil for all
	retries     int
	route       string
	service     string
	timeout     time.Duration
	weight      float64
}

// catalogRoute returns the name of a route of the catalog, empty for a route of
// the table. Only routes of the catalog have an objective.
func (p *policy) catalogRoute() string {
	if p.objective > 0 {
		return p.route
	}
	return ""
}

// identify finds the customer and the policy of a request. If it refuses the
// request, at most the customer of the returned policy is set.
func (r *Relay) identify(now time.Time, req *http.Request, info CallerInfo) (policy, *refuse.Refusal) {
	if r.Catalog != nil {
		return r.identifyByCatalog(now, req, info)
	}
	return r.identifyByTable(now, req, info)
}

func (r *Relay) identifyByTable(now time.Time, req *http.Request, info CallerInfo) (policy, *refuse.Refusal) {
	snapshot := r.Config.Snapshot()
	if snapshot.Revision() == 0 {
		return policy{}, refuse.New(refuse.NoConfiguration, defaultRetryAfter, "the node has no configuration yet")
	}
	var customer string
	known := false
	if info.Key != "" {
		customer, known = snapshot.Customer(info.Key)
	}
	row, routed := snapshot.Match(req.Method, req.URL.Path, customer)
	switch {
	case !routed:
		return policy{customer: customer}, refuse.New(refuse.RouteUnknown, 0, "no row is for this method and path")
	case row != nil && row.Open:
		return tablePolicy(req, customer, row), nil
	case info.Key == "":
		return policy{}, refuse.New(refuse.KeyMissing, 0, "the route wants a key")
	case !known:
		return policy{}, refuse.New(refuse.KeyRejected, 0, "the key is unknown or withdrawn")
	case row == nil:
		return policy{customer: customer}, refuse.New(refuse.NotForCustomer, 0, "the route has no row for the customer")
	case r.keysTooOld(now, row):
		return policy{customer: customer}, refuse.New(refuse.NoConfiguration, defaultRetryAfter, "the node cannot tell whether the key is withdrawn")
	}
	return tablePolicy(req, customer, row), nil
}

func tablePolicy(req *http.Request, customer string, row *rows.Row) policy {
	return policy{
		maxAttempts: maxAttempts,
		customer:    customer,
		idempotent:  row.Idempotent || idempotent(req.Method),
		importance:  row.Importance,
		limit:       quota.Limit{Burst: row.Burst, Rate: row.Rate},
		maxBody:     row.MaxBody,
		rateKey:     quota.Key{Customer: customer, Route: row.Route},
		retries:     row.Retries,
		route:       row.Route,
		service:     rows.Service(req.URL.Path),
		timeout:     row.Timeout,
		weight:      row.Weight,
	}
}

// keysTooOld reports whether the node's configuration, and with it the list of
// withdrawn keys, is older than the row's KeyGrace allows.
func (r *Relay) keysTooOld(now time.Time, row *rows.Row) bool {
	if row.KeyGrace == 0 {
		return false
	}
	age, known := r.Config.Age(now)
	return !known || age > row.KeyGrace
}

func (r *Relay) identifyByCatalog(now time.Time, req *http.Request, info CallerInfo) (policy, *refuse.Refusal) {
	snapshot := r.Catalog.Snapshot()
	if snapshot.CatalogVersion() == 0 {
		return policy{}, refuse.New(refuse.NoConfiguration, defaultRetryAfter, "the node has no configuration yet")
	}
	route, ok := snapshot.Route(req.Host, rawPath(req))
	if !ok {
		return policy{}, refuse.New(refuse.RouteUnknown, 0, "no route is for this host and path")
	}
	if route.Unusable != "" {
		return policy{route: route.Name}, refuse.New(refuse.NoConfiguration, defaultRetryAfter, "the route's entry in the configuration cannot be applied: %s", route.Unusable)
	}
	keyed := keyedConn(req.Context(), info.Key != "")
	p := policy{
		maxAttempts: route.Attempts,
		idempotent:  route.Idempotent,
		importance:  route.Importance,
		maxBody:     snapshot.Limits().BodyBytes,
		objective:   route.Objective,
		regions:     intersectRegions(route.Regions, nil),
		retries:     route.Attempts - 1,
		route:       route.Name,
		service:     r.weightedRoundRobin.next(route),
		timeout:     route.Timeout,
		weight:      1,
	}
	if route.Open {
		p.subCall = !keyed && r.maySubCall(now, info)
		if keyed {
			r.callees.recordCaller(now, route.Name)
		}
		return p, nil
	}
	return p.withCustomer(snapshot, info.Key)
}

// subCallSlack is how much later than the request that it is made for a sub-call may end by
// its own deadline. The upstream counts from when it reads the request.
const subCallSlack = 250 * time.Millisecond

// lateSubCallSlack takes the place of subCallSlack once a stopping node accepts only requests
// that certainly end in time: a caller's request counts as a sub-call if it came so soon after
// the one that the upstream runs, with the same time limit.
const lateSubCallSlack = 20 * time.Millisecond

// maySubCall reports whether a request on a connection without a key may come from the local upstream. It
// makes sub-calls only while it runs requests, and a sub-call ends with its request at the
// latest. Any other request is a caller's.
func (r *Relay) maySubCall(now time.Time, info CallerInfo) bool {
	slack := subCallSlack
	if r.acceptsOnlyProven(now) {
		slack = lateSubCallSlack
	}
	return r.tokens.AnyRunningAt(now.Add(info.Timeout - slack))
}

// withCustomer returns the policy with the settings of the customer to which a key
// belongs, or a refusal.
func (p policy) withCustomer(snapshot *snaps.Snapshot, key string) (policy, *refuse.Refusal) {
	if key == "" {
		return policy{}, refuse.New(refuse.KeyMissing, 0, "the route wants a key")
	}
	customer, ok := snapshot.CustomerByKey(key)
	if !ok {
		return policy{}, refuse.New(refuse.KeyRejected, 0, "the key is unknown or withdrawn")
	}
	if customer.Unusable != "" {
		return policy{}, refuse.New(refuse.NoConfiguration, defaultRetryAfter, "the customer's entry in the configuration cannot be applied: %s", customer.Unusable)
	}
	p.customer = customer.Name
	p.regions = intersectRegions(p.regions, customer.Regions)
	if customer.Ranked {
		p.importance = customer.Importance
	}
	if customer.Rate > 0 {
		p.limit = quota.Limit{Burst: customer.Burst, Rate: customer.Rate}
		p.rateKey = quota.Key{Customer: customer.Name, Route: anyRoute}
	}
	return p, nil
}

// intersectRegions returns the regions that are in both lists, each of which may be empty
// for all regions. It returns nil for all regions, and an empty slice for none.
func intersectRegions(a, b []string) []string {
	switch {
	case len(a) == 0 && len(b) == 0:
		return nil
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	both := []string{}
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both
}

// rawPath returns the path of a request as it was sent, without unescaping.
func rawPath(req *http.Request) string {
	path, _, _ := strings.Cut(req.RequestURI, "?")
	if strings.HasPrefix(path, "/") {
		return path
	}
	return req.URL.EscapedPath()
}

// weightedRoundRobin distributes the requests of each route over its services.
// After any number of requests, the count of each service is within one request of
// its share. No other lock is acquired while its lock is held.
type weightedRoundRobin struct {
	mu     sync.Mutex
	routes map[string]map[string]float64 // current weight by route and service
}

func newWeightedRoundRobin() *weightedRoundRobin {
	return &weightedRoundRobin{routes: make(map[string]map[string]float64)}
}

// next returns the service for the next request of a route by smooth weighted
// round robin: it adds each service's weight to its current weight, picks the
// highest and subtracts the sum of the weights from it.
func (w *weightedRoundRobin) next(route *rows.Route) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.routes[route.Name]
	if current == nil {
		current = make(map[string]float64)
		w.routes[route.Name] = current
	}
	total := 0.0
	best := -1
	for i, share := range route.Shares {
		current[share.Service] += share.Weight
		total += share.Weight
		if share.Weight > 0 && (best < 0 || current[share.Service] > current[route.Shares[best].Service]) {
			best = i
		}
	}
	service := route.Shares[best].Service
	current[service] -= total
	return service
}
