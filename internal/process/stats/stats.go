// Package stats holds a node's counters and latency histograms as expvar variables.
package stats

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxHistograms is the number of names that get a histogram of their own. A
	// histogram takes about 26 KB.
	maxHistograms = 100
	// maxLatencyUS is the largest latency that is recorded, in microseconds. Longer
	// ones count as this one.
	maxLatencyUS = int64(time.Hour / time.Microsecond)
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 2
)

// Stats holds the metrics of a node. The maps are counters.
type Stats struct {
	Admitted  *expvar.Map // admitted requests of callers, by customer
	Answers   *expvar.Map // responses, by class of their status code
	Bodies    *expvar.Map // refused reads of bodies, by reason
	Calls     *expvar.Map // calls to the upstream beside the node, by service
	Refusals  *expvar.Map // by cause, with the prefix Gate for refusals to other nodes
	Refused   *expvar.Map // refused requests, by customer
	Retries   *expvar.Map // by reason
	customers *Latencies
	routes    *Latencies
}

// New returns Stats in which all counters are 0.
func New() *Stats {
	return &Stats{
		Admitted:  new(expvar.Map).Init(),
		Answers:   new(expvar.Map).Init(),
		Bodies:    new(expvar.Map).Init(),
		Calls:     new(expvar.Map).Init(),
		Refusals:  new(expvar.Map).Init(),
		Refused:   new(expvar.Map).Init(),
		Retries:   new(expvar.Map).Init(),
		customers: newLatencies(),
		routes:    newLatencies(),
	}
}

// Observe records the time from a request's arrival to the end of its response, for its
// route and its customer.
func (s *Stats) Observe(route, customer string, latency time.Duration) {
	s.routes.observe(route, latency)
	s.customers.observe(customer, latency)
}

// Var returns all metrics as one expvar variable.
func (s *Stats) Var() expvar.Var {
	all := new(expvar.Map).Init()
	all.Set("Admitted", s.Admitted)
	all.Set("Answers", s.Answers)
	all.Set("Bodies", s.Bodies)
	all.Set("Calls", s.Calls)
	all.Set("LatencyUSByCustomer", s.customers)
	all.Set("LatencyUSByRoute", s.routes)
	all.Set("Refusals", s.Refusals)
	all.Set("Refused", s.Refused)
	all.Set("Retries", s.Retries)
	return all
}

// others is the name under which all names without a histogram of their own are
// recorded.
const others = "(others)"

// Latencies holds latency histograms by name, for a limited number of names. No other
// lock is acquired while its lock is held.
type Latencies struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func newLatencies() *Latencies {
	return &Latencies{byName: make(map[string]*hdrhistogram.Histogram)}
}

// quantiles is the JSON form of a histogram. All values but Count are in microseconds.
type quantiles struct {
	Count              int64
	P50, P90, P99, Max int64
}

// String implements expvar.Var. It returns a JSON object of quantiles by name.
func (l *Latencies) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := make(map[string]quantiles, len(l.byName))
	for name, h := range l.byName {
		shown[name] = quantiles{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90), P99: h.ValueAtQuantile(99), Max: h.Max()}
	}
	data, err := json.Marshal(shown)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// observe records a latency. A new name gets a histogram unless there are already
// maxHistograms.
func (l *Latencies) observe(name string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.byName[name]
	if h == nil && len(l.byName) >= maxHistograms {
		name = others
		h = l.byName[name]
	}
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyUS, significantDigits)
		l.byName[name] = h
	}
	_ = h.RecordValue(min(latency.Microseconds(), maxLatencyUS))
}
