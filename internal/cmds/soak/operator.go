package main

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/pause"
	"github.com/wasabibend/wasabibend/pkg/rows"
	"github.com/wasabibend/wasabibend/platform"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// hostName is the host name in all routes.
const hostName = "soak.example"

// The customer with a rate limit. Its callers demand several times its rate.
const (
	limitedCustomer = "presse"
	limitedRate     = 30 // requests a second
	limitedBurst    = 15
)

// withdrawableKeys is the number of customers whose keys may be withdrawn, one key
// each.
const withdrawableKeys = 4

// operator writes the configuration, a rows.Catalog, to the store. The lock guards
// all fields below it.
type operator struct {
	store *objs.Client

	mu        sync.Mutex
	added     []string // names of routes
	catalog   rows.Catalog
	revision  uint64
	withdrawn map[string]time.Time // by key, when the store acknowledged it
}

// newOperator returns an operator with the initial configuration. writeInitial
// writes it.
func newOperator(storeURL string) *operator {
	route := func(name, service string, idempotent, open bool) rows.Route {
		return rows.Route{
			Attempts: 3, Host: hostName, Idempotent: idempotent, Importance: 8, Name: name, Objective: 500 * time.Millisecond,
			Open: open, Prefix: "/" + name + "/", Shares: []rows.Share{{Service: service, Weight: 1}}, Timeout: 2 * time.Second,
		}
	}
	o := &operator{store: objs.New(storeURL), withdrawn: make(map[string]time.Time)}
	o.catalog = rows.Catalog{
		Customers: []rows.Customer{{Keys: []string{"key-amis"}, Name: "amis"}, {Burst: limitedBurst, Keys: []string{"key-" + limitedCustomer}, Name: limitedCustomer, Rate: limitedRate}},
		Limits:    rows.Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: idleTimeout},
		Routes: []rows.Route{
			route(routeBrowse, "listings", true, false), route(routeTransfer, "ledger", false, false), route(routeOrder, "listings", false, false),
			route(routeLookup, "ledger", true, false), route(routeInner, "ledger", true, true), route(routePublic, "listings", false, true),
			route(routeStore, "listings", true, false), route(routeUpload, "ledger", false, false),
		},
		Services: []rows.ServiceInfo{{HealthPath: "/healthz", Name: "ledger"}, {HealthPath: "/healthz", Name: "listings"}},
		Version:  1,
	}
	for i := range withdrawableKeys {
		name := fmt.Sprintf("leaver%d", i)
		o.catalog.Customers = append(o.catalog.Customers, rows.Customer{Keys: []string{"key-" + name}, Name: name})
	}
	return o
}

// write stores a changed configuration and retries until it is stored or the
// context ends. The lock must be held.
func (o *operator) write(ctx context.Context, next rows.Catalog) error {
	value, err := platform.EncodeCatalog(&next)
	if err != nil {
		return trace.Wrap(err)
	}
	value = addOddEntries(value)
	const key = "config/main"
	for {
		revision, err := o.store.Put(ctx, key, value, o.revision)
		if err == nil {
			o.catalog, o.revision = next, revision
			return nil
		}
		// The write may have taken effect although its response was lost, and the store
		// may have been restored from an older copy.
		if object, getErr := o.store.Get(ctx, key); getErr == nil {
			o.revision = object.Version
			if bytes.Equal(object.Value, value) {
				o.catalog = next
				return nil
			}
		}
		if pauseErr := pause.For(ctx, 100*time.Millisecond); pauseErr != nil {
			return trace.Wrap(err)
		}
	}
}

// oddEntries are put before the entries of a list of the configuration. They must not keep
// the others out of force.
var oddEntries = map[string]string{
	"routes":   `7,{"name":"odd","host":"` + hostName + `","path_prefix":"/odd/","timeout_ms":"soon","max_attempts":20.5,"service":["ledger"]},`,
	"services": `{"name":7,"health_path":"healthz"},`,
	"tenants":  `{"api_keys":["key-odd",7],"per_s":"fast"},`,
}

// addOddEntries returns a configuration with the oddEntries.
func addOddEntries(value []byte) []byte {
	for list, entries := range oddEntries {
		value = bytes.Replace(value, []byte(`"`+list+`":[`), []byte(`"`+list+`":[`+entries), 1)
	}
	return value
}

// rewrite writes the current configuration again after the store was restored from an
// older copy.
func (o *operator) rewrite(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.write(ctx, o.catalog)
}

// nextCatalog returns a copy of the configuration with a higher version. The lock
// must be held.
func (o *operator) nextCatalog() rows.Catalog {
	next := o.catalog
	next.Customers = slices.Clone(next.Customers)
	next.Routes = slices.Clone(next.Routes)
	next.Version += 1 + rand.Uint64N(5)
	return next
}

// writeInitial writes the initial configuration.
func (o *operator) writeInitial(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.write(ctx, o.catalog)
}

// addRoute adds a route to the configuration.
func (o *operator) addRoute(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.nextCatalog()
	route := next.Routes[0]
	route.Name = fmt.Sprintf("added%d", len(o.added))
	route.Prefix = "/" + route.Name + "/"
	next.Routes = append(next.Routes, route)
	if err := o.write(ctx, next); err != nil {
		return trace.Wrap(err)
	}
	o.added = append(o.added, route.Name)
	return nil
}

// setIdleTimeout changes the idle timeout of connections.
func (o *operator) setIdleTimeout(ctx context.Context, timeout time.Duration) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.nextCatalog()
	next.Limits.IdleTimeout = timeout
	return o.write(ctx, next)
}

// withdrawKey withdraws the key of one customer. It does nothing if none is left.
func (o *operator) withdrawKey(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := o.nextCatalog()
	i := slices.IndexFunc(next.Customers, func(c rows.Customer) bool { return c.Name != limitedCustomer && c.Name != "amis" && len(c.Keys) > 0 })
	if i < 0 {
		return nil
	}
	key := next.Customers[i].Keys[0]
	next.Customers[i].Keys = nil
	if err := o.write(ctx, next); err != nil {
		return trace.Wrap(err)
	}
	o.withdrawn[key] = time.Now()
	return nil
}

// changes returns the names of the added routes, and the withdrawn keys with the times
// of their withdrawals.
func (o *operator) changes() (added []string, withdrawn map[string]time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.added), maps.Clone(o.withdrawn)
}
