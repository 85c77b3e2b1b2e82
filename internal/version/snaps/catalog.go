package snaps

import (
	"strings"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

// CatalogDecoder decodes the object that holds the operators' catalog.
type CatalogDecoder func(value []byte) (*rows.Catalog, error)

// Option changes a Holder when it is made.
type Option func(*Holder)

// WithCatalog lets the object of a key hold the operators' catalog.
func WithCatalog(key string, decode CatalogDecoder) Option {
	return func(h *Holder) {
		h.snapshot.Store(h.snapshot.Load().withCatalogOf(&catalogSource{decode: decode, key: key}))
	}
}

// catalogSource tells where the catalog is and how it is decoded.
type catalogSource struct {
	decode CatalogDecoder
	key    string
}

// catalog is the index of a catalog. It does not change.
type catalog struct {
	customers map[string]*rows.Customer // by key
	limits    rows.Limits
	named     map[string]*rows.Customer
	routes    map[string][]*rows.Route // by host, the longest prefix first
	services  []rows.ServiceInfo
	version   uint64
}

func newCatalog(c *rows.Catalog) *catalog {
	index := &catalog{
		customers: make(map[string]*rows.Customer),
		limits:    c.Limits,
		named:     make(map[string]*rows.Customer, len(c.Customers)),
		routes:    make(map[string][]*rows.Route),
		services:  c.Services,
		version:   c.Version,
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		index.named[customer.Name] = customer
		for _, key := range customer.Keys {
			index.customers[key] = customer
		}
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		index.routes[route.Host] = insertByLength(index.routes[route.Host], route)
	}
	return index
}

// insertByLength keeps routes in the order of their prefixes' lengths, the
// longest first.
func insertByLength(routes []*rows.Route, route *rows.Route) []*rows.Route {
	at := len(routes)
	for at > 0 && len(routes[at-1].Prefix) < len(route.Prefix) {
		at--
	}
	routes = append(routes, nil)
	copy(routes[at+1:], routes[at:])
	routes[at] = route
	return routes
}

// CatalogVersion returns the version of the catalog in force, 0 for none.
func (s *Snapshot) CatalogVersion() uint64 {
	if s.catalog == nil {
		return 0
	}
	return s.catalog.version
}

// HealthPath returns where upstreams of a service tell whether they are well,
// empty for unknown.
func (s *Snapshot) HealthPath(service string) string {
	if s.catalog == nil {
		return ""
	}
	for _, known := range s.catalog.services {
		if known.Name == service {
			return known.HealthPath
		}
	}
	return ""
}

// Limits returns the limits of the catalog in force.
func (s *Snapshot) Limits() rows.Limits {
	if s.catalog == nil {
		return rows.Limits{}
	}
	return s.catalog.limits
}

// Route returns the catalog's route for a request: of those of the host the one
// with the longest prefix that begins the path.
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

// KeyHolder returns the customer of the catalog that holds a key.
func (s *Snapshot) KeyHolder(key string) (*rows.Customer, bool) {
	if s.catalog == nil {
		return nil, false
	}
	customer, ok := s.catalog.customers[key]
	return customer, ok
}

// CustomerNamed returns the catalog's customer of a name.
func (s *Snapshot) CustomerNamed(name string) (*rows.Customer, bool) {
	if s.catalog == nil {
		return nil, false
	}
	customer, ok := s.catalog.named[name]
	return customer, ok
}

func (s *Snapshot) withCatalogOf(source *catalogSource) *Snapshot {
	next := *s
	next.source = source
	return &next
}

// isCatalog reports whether an object holds the catalog.
func (s *Snapshot) isCatalog(key string) bool {
	return s.source != nil && s.source.key == key
}

// putCatalog puts a catalog in force unless a later version is. It reports
// false for one that does not decode.
func (c *change) putCatalog(object store.Object) bool {
	decoded, err := c.snapshot.source.decode(object.Value)
	if err != nil {
		return false
	}
	if decoded.Version >= c.snapshot.CatalogVersion() {
		c.snapshot.catalog = newCatalog(decoded)
	}
	return true
}
