package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/wasabibend/wasabibend/internal/fakes/procs"
	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/platform/mimic"
)

// hostName is the host name in all routes.
const hostName = "days.example"

// tick is the interval at which the load sends the requests that are due.
const tick = 2 * time.Millisecond

// maxRetryShare is the largest share of a caller's remaining time that it waits before it
// repeats a request.
const maxRetryShare = 1.0 / 3

// maxIdleConns is the number of idle connections that callers keep to each host.
const maxIdleConns = 256

// chunkedFraction is the fraction of bodies that are sent without their length.
const chunkedFraction = 1.0 / 3

// Outcome is a request of a caller and what became of it.
type Outcome struct {
	// BodyDiffers is set if an upstream read another whole body and answered with success.
	BodyDiffers bool
	Customer    int
	Done        time.Time
	Host        int
	Kind        *Kind
	// NotRun is set if the last attempt was answered with a status that promises that it
	// has not run.
	NotRun bool
	Sent   time.Time
	Served bool
	// Status is that of the last response, 0 if there was none.
	Status int
}

// load sends the requests of a sheet to the nodes at their rates, whether or not earlier
// ones have been answered. mu guards outcomes.
type load struct {
	clients []*http.Client // by host
	factor  atomic.Uint64  // bits of the factor by which the demand is multiplied
	hosts   []*procs.Host
	late    atomic.Int64 // largest lateness of a tick
	sheet   *Sheet
	shares  []float64 // of the customers in the demand
	workers conc.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
}

func newLoad(sheet *Sheet, hosts []*procs.Host) *load {
	l := &load{hosts: hosts, sheet: sheet, shares: customerShares(sheet.Customers)}
	l.setFactor(1)
	for range hosts {
		l.clients = append(l.clients, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}})
	}
	return l
}

// customerShares returns the shares of n customers in the demand.
func customerShares(n int) []float64 {
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// customerName returns the name of a customer.
func customerName(i int) string {
	return fmt.Sprintf("customer%02d", i)
}

// setFactor multiplies the demand by a factor from now on.
func (l *load) setFactor(factor float64) {
	l.factor.Store(math.Float64bits(factor))
}

// run sends requests until the context ends, and waits for their responses.
func (l *load) run(ctx context.Context) {
	due := make([]float64, len(l.sheet.Kinds))
	for last := time.Now(); pause.For(ctx, tick) == nil; {
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		l.late.Store(max(l.late.Load(), int64(elapsed-tick)))
		factor := math.Float64frombits(l.factor.Load())
		for i := range l.sheet.Kinds {
			k := &l.sheet.Kinds[i]
			due[i] += k.PerSecond * factor * elapsed.Seconds() * rand.ExpFloat64()
			for ; due[i] >= 1; due[i]-- {
				l.workers.Go(func() { l.send(context.WithoutCancel(ctx), k) })
			}
		}
	}
	l.workers.Wait()
}

// send sends a request, repeats it as the caller of its kind does, and records the
// outcome.
func (l *load) send(ctx context.Context, k *Kind) {
	o := Outcome{Customer: l.randomCustomer(), Host: rand.IntN(len(l.hosts)), Kind: k, Sent: time.Now()}
	deadline := o.Sent.Add(k.Timeout)
	for attempt := 0; ; attempt++ {
		response, err := mimic.Send(ctx, l.clients[o.Host], l.request(k, &o, time.Until(deadline)))
		o.Status, o.NotRun, o.Served = 0, false, false
		wait := time.Duration(0)
		if err == nil {
			o.BodyDiffers = o.BodyDiffers || response.BodyDiffers
			o.Status, o.NotRun, o.Served, wait = response.Status, response.NotRun, response.Verified, response.RetryAfter
		}
		left := time.Until(deadline)
		if o.Served || attempt >= k.Retries || !k.Idempotent && !o.NotRun || wait > time.Duration(float64(left)*maxRetryShare) {
			break
		}
		if pause.For(ctx, wait) != nil {
			break
		}
	}
	o.Done = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// request returns an attempt of a request.
func (l *load) request(k *Kind, o *Outcome, left time.Duration) *mimic.Request {
	id := fmt.Sprintf("r-%016x", rand.Uint64())
	method := http.MethodPost
	if k.Idempotent {
		method = http.MethodGet
	}
	return &mimic.Request{
		Address: l.hosts[o.Host].Callers(), BodyBytes: k.Body, Chunked: k.Body > 0 && rand.Float64() < chunkedFraction, Host: hostName, ID: id, Key: "key-" + customerName(o.Customer),
		Method: method, Path: l.sheet.path(k, id), Timeout: max(left, time.Millisecond),
	}
}

// path returns the path and query of a request. The query tells the upstream how long to
// work and which calls to make, with their own queries.
func (s *Sheet) path(k *Kind, id string) string {
	query := url.Values{mimic.QueryWork: {k.Work.String()}}
	for _, call := range k.Calls {
		query.Add(mimic.QueryCall, s.path(s.kind(call), "x"))
	}
	return "/" + k.Name + "/" + id + "?" + query.Encode()
}

// randomCustomer returns a customer at random by its share in the demand.
func (l *load) randomCustomer() int {
	r := rand.Float64()
	return max(slices.IndexFunc(l.shares, func(share float64) bool {
		r -= share
		return r < 0
	}), 0)
}
