package node

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/wasabibend/wasabibend/pkg/admin"
)

// adminHandler returns the handler of the administration listener: status, metrics
// and readiness.
func (n *Node) adminHandler() http.Handler {
	router := httprouter.New()
	router.GET(admin.PathStatus, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.status(time.Now()))
	})
	router.GET(admin.PathMetrics, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(n.metrics().String()))
	})
	router.GET(admin.PathReady, n.handleReady)
	if n.readyPath != "" {
		router.GET(n.readyPath, n.handleReady)
	}
	return router
}

// handleReady answers 200 if the node is ready, and 503 otherwise.
func (n *Node) handleReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// metrics returns the counters of requests, of the traffic between nodes, of the questions
// for tokens and of the calls to the platform's store.
func (n *Node) metrics() *expvar.Map {
	all := new(expvar.Map).Init()
	all.Set("Requests", n.stats.Var())
	traffic := n.mesh.Traffic()
	control := new(expvar.Map).Init()
	control.Add("BytesIn", traffic.BytesIn.Load())
	control.Add("BytesOut", traffic.BytesOut.Load())
	control.Add("FramesIn", traffic.FramesIn.Load())
	control.Add("FramesOut", traffic.FramesOut.Load())
	control.Add("Links", int64(n.mesh.Links()))
	control.Add("SilentLinks", traffic.SilentLinks.Load())
	all.Set("Control", control)
	all.Set("ClosedConns", n.conns.Closed())
	all.Set("Configuration", n.configurationMetrics())
	all.Set("Tokens", n.quota.Asks())
	all.Set("StoreCalls", n.store.Calls())
	return all
}

// configurationMetrics returns how many values of the catalog in force could not be applied as
// they are, and how many versions of objects could not be read.
func (n *Node) configurationMetrics() *expvar.Map {
	metrics := new(expvar.Map).Init()
	rejected := n.config.Rejected()
	if n.catalog != nil {
		rejected += n.catalog.Rejected()
		metrics.Add("Problems", int64(len(n.catalog.Snapshot().CatalogProblems())))
	}
	metrics.Add("Rejected", int64(rejected))
	return metrics
}

// status returns the state of the node at the time now.
func (n *Node) status(now time.Time) *admin.Status {
	self := n.table.Self()
	load := n.gate.Load(now)
	position := n.config.Snapshot().Position()
	status := &admin.Status{
		AgeMS:      -1,
		Allocators: n.quota.HeldShards(),
		Cold:       n.gate.ColdFor(now),
		Era:        position.Era,
		Evacuated:  n.evacuations.all(),
		InFlight:   load.InFlight,
		Leaving:    n.relay.KeepAlivesDisabled(),
		Limit:      load.Limit,
		MaxRate:    n.gate.Rate(),
		Peers:      self.Peers,
		Readiness:  self.Readiness.String(),
		Refusals:   make(map[string]int64),
		Rejected:   n.config.Rejected(),
		Revision:   position.Revision,
		Service:    self.Service,
		Settings:   n.settingsStatus(),
		Version:    n.version,
		Waiting:    load.Waiting,
		Zone:       self.Zone,
	}
	if n.catalog != nil {
		status.Catalog = n.catalog.Snapshot().CatalogVersion()
		status.Rejected += n.catalog.Rejected()
		for _, p := range n.catalog.Snapshot().CatalogProblems() {
			status.Problems = append(status.Problems, p.String())
		}
	}
	if age, known := n.config.Age(now); known {
		status.AgeMS = age.Milliseconds()
	}
	for _, r := range n.table.View().All() {
		status.Members = append(status.Members, admin.Member{Health: r.Health.String(), Peers: r.Peers, Readiness: r.Readiness.String(), Service: r.Service, Zone: r.Zone})
	}
	n.stats.Refusals.Do(func(kv expvar.KeyValue) {
		if count, ok := kv.Value.(*expvar.Int); ok {
			status.Refusals[kv.Key] = count.Value()
		}
	})
	return status
}
