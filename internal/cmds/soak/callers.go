package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Routes of the initial configuration.
const (
	routeBrowse   = "browse" // its upstream calls routeInner
	routeInner    = "inner"
	routeLookup   = "lookup"
	routeOrder    = "order"    // not idempotent; only resting callers use it
	routePublic   = "public"   // not idempotent, for requests without a key
	routeStore    = "store"    // idempotent, with long bodies
	routeTransfer = "transfer" // not idempotent: must not run twice
	routeUpload   = "upload"   // not idempotent, with long bodies
)

// Outcome is a request and what its caller observed.
type Outcome struct {
	// Response is the complete response, nil if there was none.
	Response *mimic.Response
	// BodyBytes is the length of the request's body.
	BodyBytes int
	// Behind means that an earlier request on the same connection had no response yet
	// when this one was sent.
	Behind   bool
	Customer string
	Done     time.Time
	Err      error
	// First means that its caller had no response on the same connection before.
	First bool
	Host  int
	ID    string
	Kept  bool // sent by a resting caller
	// Partial means that the header of a response arrived and its body was cut.
	Partial bool
	// Reached is how far a request of a resting caller came that was cut.
	Reached Reached
	Route   string
	Sent    time.Time
	Upload  bool // sent by a caller with long bodies
	// Whole is when a resting caller had sent the last byte. It is zero for other callers,
	// and if sending failed.
	Whole time.Time
}

// connectionRefused reports whether no process listened at the address.
func (o *Outcome) connectionRefused() bool {
	return errors.Is(o.Err, syscall.ECONNREFUSED)
}

// cut reports whether the connection ended before a complete response, for a reason
// other than the caller's timeout.
func (o *Outcome) cut() bool {
	return o.Response == nil && !o.connectionRefused() && !o.timedOut()
}

// timedOut reports whether the caller stopped waiting for the response.
func (o *Outcome) timedOut() bool {
	return errors.Is(o.Err, context.DeadlineExceeded) || errors.Is(o.Err, os.ErrDeadlineExceeded)
}

// served reports whether an upstream answered the request successfully.
func (o *Outcome) served() bool {
	return o.Response != nil && o.Response.Status == http.StatusOK
}

// Load of the callers at each host.
const (
	callersPerHost    = 3
	maxCallerPause    = 40 * time.Millisecond // between two requests of a caller
	callerTimeout     = 2 * time.Second
	transferBodyBytes = 2000
)

// callers send requests to all hosts. They reuse their connections until those
// are closed. The lock guards all fields below it.
type callers struct {
	hosts       []*procs.Host
	oldProtocol float64 // fraction of requests with long bodies that use HTTP/1.0
	operator    *operator
	workers     conc.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
	recent   [][]bool // by host, oldest first: whether the recent requests were served
}

// recentRequests is the number of latest requests at a host that recovered takes into
// account.
const recentRequests = 20

func newCallers(hosts []*procs.Host, o *operator) *callers {
	return &callers{hosts: hosts, operator: o, recent: make([][]bool, len(hosts))}
}

// start starts callers at each host that send requests until the context ends.
func (c *callers) start(ctx context.Context) {
	for i := range c.hosts {
		for range callersPerHost {
			c.workers.Go(func() { c.sendRequests(ctx, i) })
		}
	}
}

// wait waits until the callers have stopped and returns the outcomes of all their
// requests.
func (c *callers) wait() []Outcome {
	c.workers.Wait()
	return c.outcomes
}

// sendRequests sends requests to a host, one at a time, until the context ends.
func (c *callers) sendRequests(ctx context.Context, host int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for pause.For(ctx, rand.N(maxCallerPause)) == nil {
		r, outcome := c.randomRequest(host)
		outcome.Sent = time.Now()
		// The end of the run must not cancel a request that was sent.
		outcome.Response, outcome.Err = mimic.Send(context.WithoutCancel(ctx), client, r)
		outcome.Done = time.Now()
		// The client wraps the errors before the header, and no others.
		var noHeader *url.Error
		outcome.Partial = outcome.Err != nil && !errors.As(outcome.Err, &noHeader)
		c.record(outcome)
	}
}

// randomRequest returns a random request to a host, and its Outcome as far as it is
// known before sending.
func (c *callers) randomRequest(host int) (*mimic.Request, Outcome) {
	added, _ := c.operator.changes()
	customer := "amis"
	switch n := rand.IntN(10); {
	case n < 3:
		customer = limitedCustomer
	case n < 5:
		customer = fmt.Sprintf("leaver%d", rand.IntN(withdrawableKeys))
	}
	r := &mimic.Request{Host: hostName, ID: fmt.Sprintf("r-%016x", rand.Uint64()), Key: "key-" + customer, Method: http.MethodGet, Timeout: callerTimeout, Address: c.hosts[host].Callers()}
	routes := append([]string{routeBrowse, routeBrowse, routeLookup, routePublic, routeTransfer, routeTransfer}, added...)
	route := routes[rand.IntN(len(routes))]
	r.Path = "/" + route + "/" + r.ID
	switch route {
	case routePublic:
		r.Method = http.MethodPost
		r.Key, customer = "", ""
	case routeTransfer:
		r.Method = http.MethodPost
		r.BodyBytes = transferBodyBytes
	case routeBrowse:
		r.Path += "?" + mimic.QueryCall + "=/" + routeInner + "/x"
	}
	return r, Outcome{BodyBytes: r.BodyBytes, Customer: customer, Host: host, ID: r.ID, Route: route}
}

// record adds the outcome of a request. Only customer amis counts for recovered: it
// has neither a rate limit nor a key that may be withdrawn. Requests of resting callers
// do not count, as they may cross the end of their connection, nor do those with long
// bodies, some of which upstreams refuse.
func (c *callers) record(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	if o.Customer == "amis" && !o.Kept && !o.Upload {
		c.recent[o.Host] = append(c.recent[o.Host], o.served())
		c.recent[o.Host] = c.recent[o.Host][max(len(c.recent[o.Host])-recentRequests, 0):]
	}
}

// resetRecent drops the recent requests, so that recovered considers only later ones.
func (c *callers) resetRecent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.recent)
}

// minServedFraction is the fraction of its recent requests that a host must serve
// to count as recovered.
const minServedFraction = 0.95

// recovered reports whether each host serves again. If not, it returns a text that
// names the first host that does not.
func (c *callers) recovered() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, recent := range c.recent {
		served := 0
		for _, ok := range recent {
			if ok {
				served++
			}
		}
		if len(recent) < recentRequests || float64(served) < minServedFraction*recentRequests {
			return fmt.Sprintf("%s served %d of its last %d requests", c.hosts[host].Name, served, len(recent)), false
		}
	}
	return "", true
}
