package chain

import "sync"

// Bounds of Ratios until SetBounds is called.
const (
	ratioMost    = 10  // retries
	ratioPerCall = 0.1 // retries earned by a first try
)

// Ratios bound the retries that a node makes to a small part of its first
// tries, for each service. As they hold for each node, they hold for the fleet.
// Its lock is a leaf.
type Ratios struct {
	mu       sync.Mutex
	most     float64
	perCall  float64
	services map[string]float64 // retries left
}

// NewRatios returns Ratios.
func NewRatios() *Ratios {
	return &Ratios{most: ratioMost, perCall: ratioPerCall, services: make(map[string]float64)}
}

// SetBounds sets the retries that a first try earns, and the number up to which
// a service's may add up.
func (r *Ratios) SetBounds(perCall, most float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = most
	r.perCall = perCall
}

// First counts a first try.
func (r *Ratios) First(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[service] = min(r.left(service)+r.perCall, r.most)
}

// Retry uses a retry, or reports false if the node has made too many. It leaves
// a part of the retries that may add up to others.
func (r *Ratios) Retry(service string, leave float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := min(r.left(service), r.most)
	if left < 1+leave*(r.most-1) {
		return false
	}
	r.services[service] = left - 1
	return true
}

// left returns the retries left to a service. One that is new may use all.
func (r *Ratios) left(service string) float64 {
	if left, ok := r.services[service]; ok {
		return left
	}
	return r.most
}
