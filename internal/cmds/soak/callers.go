package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// Routes of the first configuration.
const (
	routeBrowse   = "browse" // makes a call to routeInner
	routeInner    = "inner"
	routeLookup   = "lookup"
	routeTransfer = "transfer" // must not run twice
)

// Outcome is what a caller saw of one request.
type Outcome struct {
	// Answer is the whole answer, nil for none.
	Answer   *mimic.Response
	Customer string
	Done     time.Time
	Err      error
	Host     int
	ID       string
	Route    string
	Sent     time.Time
}

// refused reports whether no process took the connection.
func (o *Outcome) refused() bool {
	return errors.Is(o.Err, syscall.ECONNREFUSED)
}

// cut reports whether the connection ended without a whole answer, and not
// because the caller gave up.
func (o *Outcome) cut() bool {
	return o.Answer == nil && !o.refused() && !errors.Is(o.Err, context.DeadlineExceeded)
}

// served reports whether an upstream answered.
func (o *Outcome) served() bool {
	return o.Answer != nil && o.Answer.Status == http.StatusOK
}

// Properties of callers.
const (
	callersAHost = 3
	callerPause  = 40 * time.Millisecond // at most, between two requests
	patience     = 2 * time.Second
	transferBody = 2000 // bytes
)

// callers send requests to all hosts. They keep their connections until those
// end. The lock guards all fields below it.
type callers struct {
	hosts    []*procs.Host
	operator *operator
	workers  conc.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
	recent   [][]bool // by host: whether the last requests were served
}

// recentMost is the number of last requests at a host that tell whether it serves.
const recentMost = 20

// startCallers starts callers that go on until the context ends.
func startCallers(ctx context.Context, hosts []*procs.Host, o *operator) *callers {
	c := &callers{hosts: hosts, operator: o, recent: make([][]bool, len(hosts))}
	for i := range hosts {
		for range callersAHost {
			c.workers.Go(func() { c.call(ctx, i) })
		}
	}
	return c
}

// wait waits for the end of the callers and returns what they saw.
func (c *callers) wait() []Outcome {
	c.workers.Wait()
	return c.outcomes
}

func (c *callers) call(ctx context.Context, host int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for pause.For(ctx, rand.N(callerPause)) == nil {
		r, outcome := c.draw(host)
		outcome.Sent = time.Now()
		// A request that was sent is awaited though the soak ends.
		outcome.Answer, outcome.Err = mimic.Send(context.WithoutCancel(ctx), client, r)
		outcome.Done = time.Now()
		c.note(outcome)
	}
}

// draw returns a random request.
func (c *callers) draw(host int) (*mimic.Request, Outcome) {
	added, _ := c.operator.state()
	customer := "amis"
	switch n := rand.IntN(10); {
	case n < 3:
		customer = customerLimited
	case n < 5:
		customer = fmt.Sprintf("leaver%d", rand.IntN(withdrawable))
	}
	r := &mimic.Request{Host: hostName, ID: fmt.Sprintf("r-%016x", rand.Uint64()), Key: "key-" + customer, Method: http.MethodGet, Timeout: patience, Address: c.hosts[host].Callers()}
	routes := append([]string{routeBrowse, routeBrowse, routeLookup, routeTransfer, routeTransfer}, added...)
	route := routes[rand.IntN(len(routes))]
	r.Path = "/" + route + "/" + r.ID
	switch route {
	case routeTransfer:
		r.Method = http.MethodPost
		r.BodyBytes = transferBody
	case routeBrowse:
		r.Path += "?" + mimic.QueryCall + "=/" + routeInner + "/x"
	}
	return r, Outcome{Customer: customer, Host: host, ID: r.ID, Route: route}
}

func (c *callers) note(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	if o.Customer == "amis" {
		c.recent[o.Host] = append(c.recent[o.Host], o.served())
		c.recent[o.Host] = c.recent[o.Host][max(len(c.recent[o.Host])-recentMost, 0):]
	}
}

// forget drops what is known of the last requests.
func (c *callers) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.recent)
}

// servePart is the part of the last requests that each host serves once the
// system has recovered.
const servePart = 0.95

// recovered reports whether each host serves again, or names one that does not.
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
		if len(recent) < recentMost || float64(served) < servePart*recentMost {
			return fmt.Sprintf("%s served %d of its last %d", c.hosts[host].Name, served, len(recent)), false
		}
	}
	return "", true
}
