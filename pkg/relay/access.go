package relay

import (
	"net/http"
	"strings"
	"time"
)

// The header with a caller's key, and what stands before the key.
const (
	headerKey = "Authorization"
	bearer    = "Bearer "
)

// KeyAge bounds how old the table of keys may be by which requests are let in: a key that
// was taken away may not let anybody in for longer, also at a node that is cut off. The
// zero value bounds nothing.
type KeyAge struct {
	Age  func() (time.Duration, bool) // of the table, at most; false: not known
	Most time.Duration
}

// check tells whether keys may be looked up, how old the table may be, and otherwise when
// to come back.
func (k KeyAge) check() (age, after time.Duration, ok bool) {
	if k.Most <= 0 {
		return 0, 0, true
	}
	age, known := k.Age()
	switch {
	case !known:
		return 0, leastOldWait, false
	case age <= k.Most:
		return age, 0, true
	}
	return age, min(max(age-k.Most, leastOldWait), mostOldWait), false
}

// When a request comes back that a node could not let in since its table was too old:
// another node may let it in at once, unless the store is away from all. As long as the
// table was too old already, so long it is likely to stay so.
const (
	leastOldWait = 50 * time.Millisecond
	mostOldWait  = 2 * time.Second
)

// Refusals of requests without a valid key.
var (
	noKey      = refusal{status: http.StatusUnauthorized, reason: "no key"}
	badKey     = refusal{status: http.StatusUnauthorized, reason: "malformed key"}
	unknownKey = refusal{status: http.StatusUnauthorized, reason: "unknown key"}
)

// presentedKey returns the key that a request carries, or the refusal of one that carries
// none or more than one.
func presentedKey(h http.Header) ([]byte, refusal) {
	values := h[headerKey]
	if len(values) == 0 {
		return nil, noKey
	}
	key, isBearer := strings.CutPrefix(values[0], bearer)
	if !isBearer || len(values) > 1 || key == "" {
		return nil, badKey
	}
	return []byte(key), refusal{}
}

// identify finds the tenant in whose name the request is made. If it returns false, the
// request is answered. A public route needs no key; a known one counts there as well.
func (c *call) identify() bool {
	if c.table.Tenants() == nil {
		return true
	}
	key, fault := presentedKey(c.http.Header)
	if fault.status == 0 {
		if c.tenant = c.table.Tenants().Find(key); c.tenant != nil {
			c.record.tenant = c.tenant.Name
			return true
		}
		fault = unknownKey
	}
	if c.route.Public {
		return true
	}
	c.w.Header().Set("WWW-Authenticate", "Bearer")
	c.refuse(fault)
	return false
}

// Ranks of requests at servers that know ranks from 0 to lowestPriority: tenants go before
// each other first, and the requests of one by the priority of their routes. usualRank is
// that of the most urgent requests of most tenants.
const (
	routeRanks = 3
	usualRank  = 3
)

// rank returns the rank of the request among all that wait at a server.
func (c *call) rank() int {
	if c.tenant == nil {
		return min(c.route.Priority, lowestPriority)
	}
	rank := usualRank + routeRanks*c.tenant.Step() + min(c.route.Priority, routeRanks-1)
	return min(max(rank, 0), lowestPriority)
}

// priority returns the priority of the request for loads of models: each step of a tenant
// counts as one of a route.
func (c *call) priority() int {
	if c.tenant == nil {
		return c.route.Priority
	}
	return max(c.route.Priority+c.tenant.Step(), 0)
}
