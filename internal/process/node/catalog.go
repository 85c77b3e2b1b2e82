package node

import (
	"time"

	"github.com/wasabibend/wasabibend/internal/process/gates"
	"github.com/wasabibend/wasabibend/internal/process/quota"
	"github.com/wasabibend/wasabibend/internal/version/snaps"
)

// maxProblemLines is the maximum number of log lines on the problems of one catalog.
const maxProblemLines = 20

// limitOf returns the rate limit of a customer on a route by the configuration in
// force: that of the table's row, or that of the customer in the catalog, which does
// not depend on the route. It returns false if there is no limit for the key.
func (n *Node) limitOf(key quota.Key) (quota.Limit, bool) {
	if n.catalog == nil {
		row := n.config.Snapshot().Row(key.Route, key.Customer)
		if row == nil {
			return quota.Limit{}, false
		}
		return quota.Limit{Burst: row.Burst, Rate: row.Rate}, true
	}
	customer, ok := n.catalog.Snapshot().CustomerByName(key.Customer)
	if !ok || customer.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Burst: customer.Burst, Rate: customer.Rate}, true
}

// catalogChanged takes over from the catalog what cold upstreams take, and the idle timeout
// of callers' connections, and logs the problems of a new one.
func (n *Node) catalogChanged(now time.Time) {
	if version := n.catalog.Object(n.catalogKey).Version; n.loggedCatalog.Swap(version) != version {
		n.logProblems(n.catalog.Snapshot())
	}
	n.updateIdleTimeout()
	n.upstream.refreshCold(now)
	n.logCold(now)
}

// logProblems logs the values of a catalog that could not be applied as they are.
func (n *Node) logProblems(snapshot *snaps.Snapshot) {
	problems := snapshot.CatalogProblems()
	for _, p := range problems[:min(len(problems), maxProblemLines)] {
		n.log.Warn().Uint64("Catalog", snapshot.CatalogVersion()).Str("Entry", p.Entry).Str("Field", p.Field).Str("Detail", p.Detail).Msg("a value of the configuration cannot be applied as it is")
	}
	if more := len(problems) - maxProblemLines; more > 0 {
		n.log.Warn().Uint64("Catalog", snapshot.CatalogVersion()).Int("More", more).Msg("more values of the configuration cannot be applied as they are")
	}
}

// logRejection logs that a version of an object in the platform's store is not in force.
func (n *Node) logRejection(r snaps.Rejection) {
	n.log.Warn().Err(r.Err).Str("Object", r.Key).Uint64("Version", r.Version).Msg("an object of the platform's store cannot be read, the version before it stays in force")
}

// updateIdleTimeout takes over the idle timeout of the catalog in force, or idleTimeout if it
// has none. Of two calls at once, one may do so with that of an earlier catalog.
func (n *Node) updateIdleTimeout() {
	limit := idleTimeout
	if n.catalog != nil {
		if configured := n.catalog.Snapshot().Limits().IdleTimeout; configured > 0 {
			limit = configured
		}
	}
	n.conns.SetIdleTimeout(limit)
}

// coldStart returns how the upstreams of a service are after a start, by the catalog in
// force.
func (n *Node) coldStart(service string) gates.ColdStart {
	if n.catalog == nil {
		return gates.ColdStart{}
	}
	info := n.catalog.Snapshot().ServiceInfo(service)
	return gates.ColdStart{PerSecond: info.ColdRate, Time: info.ColdTime}
}
