// Package route holds the configured routes and services. A route selects the
// service for a request by its host and path, and defines how the request may be
// handled. A Table is immutable; package relay looks each request up once.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Kind determines whether a route's requests may be repeated.
type Kind uint8

// The kinds of routes.
const (
	Unsafe Kind = iota // requests run at most once
	Safe               // requests may run more than once
	Stream             // answered by a stream of events; run at most once unless resumable
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Part is the share of a route's requests that a service gets.
type Part struct {
	Service string
	Weight  float64
}

// Route is a routing rule with the options for its requests.
type Route struct {
	Name        string
	Host        string // without a port, lower case
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream may continue at another server
	Timeout     time.Duration // longest time for a request; zero: no limit
	Target      time.Duration // time within which an answer is worth most
	GapTarget   time.Duration // longest pause between events that counts as in time
	MaxAttempts int           // most servers that one request may be sent to
	Priority    int           // 0 is the most urgent
	Sticky      bool          // requests share parts of their prompts, so a server's cache helps
	Public      bool          // requests need no tenant key
	Parts       []Part        // at least one
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Limits are the limits on callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Parts, func(p Part) bool { return p.Service == service })
}

// Table is an immutable set of routes, services and tenants.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string][]*Route // by host, the longest prefix first
	routes   int
	services map[string]*Service
	tenants  *tenant.Table // nil: requests need no tenant key
}

// NewTable returns a table with the given version. It keeps references to its
// arguments.
func NewTable(version uint64, limits Limits, routes []*Route, services []*Service) *Table {
	t := &Table{
		version:  version,
		limits:   limits,
		hosts:    make(map[string][]*Route),
		routes:   len(routes),
		services: make(map[string]*Service, len(services)),
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// WithTenants returns a copy of the table whose requests need the key of a tenant.
func (t *Table) WithTenants(tenants *tenant.Table) *Table {
	with := *t
	with.tenants = tenants
	return &with
}

// Tenants returns the tenants whose keys requests need, nil if they need none.
func (t *Table) Tenants() *tenant.Table { return t.tenants }

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Service returns the service with the given name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of a request, nil if there is none. The host may have a
// port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost returns the host without its port, in lower case.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
