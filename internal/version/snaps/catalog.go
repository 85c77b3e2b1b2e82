package snaps

import (
	"strings"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// CatalogDecoder decodes the value of the object that holds the operators'
// catalog.
type CatalogDecoder func(value []byte) (*rows.Catalog, error)

// Option configures a Holder in NewHolder.
type Option func(*Holder)

// WithCatalog makes the Holder read the operators' catalog from the object with
// the given key. Without it, the snapshots have no catalog.
func WithCatalog(key string, decode CatalogDecoder) Option {
	return func(h *Holder) {
		h.snapshot.Store(h.snapshot.Load().withCatalogSource(&catalogSource{decode: decode, key: key}))
	}
}

// catalogSource is the key of the object that holds the catalog, and the decoder
// of its value.
type catalogSource struct {
	decode CatalogDecoder
	key    string
}

// catalog is an immutable index of a rows.Catalog.
type catalog struct {
	customersByKey  map[string]*rows.Customer // by API key
	limits          rows.Limits
	problems        []rows.Problem
	customersByName map[string]*rows.Customer
	routes          map[string][]*rows.Route // by host, longest prefix first
	services        []rows.ServiceInfo
	version         uint64
}

func newCatalog(c *rows.Catalog) *catalog {
	index := &catalog{
		customersByKey:  make(map[string]*rows.Customer),
		limits:          c.Limits,
		problems:        c.Problems,
		customersByName: make(map[string]*rows.Customer, len(c.Customers)),
		routes:          make(map[string][]*rows.Route),
		services:        c.Services,
		version:         c.Version,
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		if customer.Unusable == "" {
			index.customersByName[customer.Name] = customer
		}
		for _, key := range customer.Keys {
			index.customersByKey[key] = customer
		}
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		index.routes[route.Host] = insertByPrefixLength(index.routes[route.Host], route)
	}
	return index
}

// insertByPrefixLength inserts a route into routes that are sorted by the length
// of their prefixes, longest first, and returns the result.
func insertByPrefixLength(routes []*rows.Route, route *rows.Route) []*rows.Route {
	at := len(routes)
	for at > 0 && len(routes[at-1].Prefix) < len(route.Prefix) {
		at--
	}
	routes = append(routes, nil)
	copy(routes[at+1:], routes[at:])
	routes[at] = route
	return routes
}

// CatalogVersion returns the version of the catalog in force, or 0 if there is
// none.
func (s *Snapshot) CatalogVersion() uint64 {
	if s.catalog == nil {
		return 0
	}
	return s.catalog.version
}

// CatalogProblems returns the values of the catalog in force that could not be applied as they
// are. The slice must not be modified.
func (s *Snapshot) CatalogProblems() []rows.Problem {
	if s.catalog == nil {
		return nil
	}
	return s.catalog.problems
}

// HealthPath returns the path of the health check of a service's upstreams, or
// an empty string if the catalog has no such service or no path for it.
func (s *Snapshot) HealthPath(service string) string {
	return s.ServiceInfo(service).HealthPath
}

// ServiceInfo returns what the catalog says about a service, or a zero ServiceInfo if it
// has no such service.
func (s *Snapshot) ServiceInfo(service string) rows.ServiceInfo {
	if s.catalog == nil {
		return rows.ServiceInfo{}
	}
	for _, info := range s.catalog.services {
		if info.Name == service {
			return info
		}
	}
	return rows.ServiceInfo{}
}

// Limits returns the limits of the catalog in force, or zero limits if there is
// no catalog.
func (s *Snapshot) Limits() rows.Limits {
	if s.catalog == nil {
		return rows.Limits{}
	}
	return s.catalog.limits
}

// Route returns the catalog's route for a request: among the routes of the host,
// the one with the longest prefix of the path. It returns false if no route
// matches.
func (s *Snapshot) Route(host, path string) (*rows.Route, bool) {
	if s.catalog == nil {
		return nil, false
	}
	for _, route := range s.catalog.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// CustomerByKey returns the catalog's customer that has the given API key, or false
// if there is none.
func (s *Snapshot) CustomerByKey(key string) (*rows.Customer, bool) {
	if s.catalog == nil {
		return nil, false
	}
	customer, ok := s.catalog.customersByKey[key]
	return customer, ok
}

// CustomerByName returns the catalog's customer with the given name, or false if
// there is none.
func (s *Snapshot) CustomerByName(name string) (*rows.Customer, bool) {
	if s.catalog == nil {
		return nil, false
	}
	customer, ok := s.catalog.customersByName[name]
	return customer, ok
}

func (s *Snapshot) withCatalogSource(source *catalogSource) *Snapshot {
	next := *s
	next.source = source
	return &next
}

// isCatalog reports whether the object with the given key holds the catalog.
func (s *Snapshot) isCatalog(key string) bool {
	return s.source != nil && s.source.key == key
}

// putCatalog replaces the catalog unless the current one has a higher version. One whose
// version could not be read gets that of the current one.
func (b *builder) putCatalog(object store.Object) error {
	decoded, err := b.snapshot.source.decode(object.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if decoded.Version == 0 {
		decoded.Version = max(b.snapshot.CatalogVersion(), 1)
	}
	if decoded.Version < b.snapshot.CatalogVersion() {
		return errSuperseded
	}
	b.snapshot.catalog = newCatalog(decoded)
	return nil
}
