// Package route holds the routes and services in force: which service a request
// goes to by its host and path, and what may be done with it. A Table is
// immutable; package relay asks it once for each request.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Kind tells what may be repeated of a route's requests.
type Kind uint8

// The kinds of routes.
const (
	Unsafe Kind = iota // at most once
	Safe               // may run more than once
	Stream             // answered by events; at most once unless resumable
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

// Part is a service's share of a route's requests.
type Part struct {
	Service string
	Weight  float64
}

// Route is one rule of a table.
type Route struct {
	Name        string
	Host        string // without a port, lower case
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a stream that may go on at another server
	Timeout     time.Duration // longest that a request is held; zero: no limit
	Target      time.Duration // within which an answer is worth most
	GapTarget   time.Duration // longest pause between events that is in time
	MaxAttempts int           // servers that one request may be sent to
	Priority    int           // 0 is the most urgent
	Sticky      bool          // requests share parts of their prompts
	Public      bool          // requests need no key
	Parts       []Part        // at least one
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is an immutable set of routes, services and tenants.
type Table struct {
	version  uint64
	limits   Limits
	hosts    map[string][]*Route // the longest prefix first
	routes   int
	services map[string]*Service
	tenants  *tenant.Table // nil: requests need no key
}

// NewTable returns the table of a version. It keeps what it is given.
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

// Tenants returns those whose keys requests need, nil if they need none.
func (t *Table) Tenants() *tenant.Table { return t.tenants }

// Version returns the version that the table was made from.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds of callers' requests.
func (t *Table) Limits() Limits { return t.limits }

// Len returns the number of routes.
func (t *Table) Len() int { return t.routes }

// Service returns the service with a name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by their name.
func (t *Table) Services() map[string]*Service { return t.services }

// Match returns the route of a request, nil if there is none. The host may carry
// a port.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
