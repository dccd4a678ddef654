package relay

import (
	"net/http"
	"strings"
	"time"
)

// The header with a caller's key and the prefix of the key.
const (
	headerKey = "Authorization"
	bearer    = "Bearer "
)

// KeyAge limits the age of the key table used to admit requests: a revoked key must stop working in
// time, even at a node that is cut off. The zero value sets no limit.
type KeyAge struct {
	Age func() (time.Duration, bool) // maximum age of the table; false: unknown
	Max time.Duration
}

// check reports whether keys may be looked up, the age of the table, and otherwise the retry time.
func (k KeyAge) check() (age, after time.Duration, ok bool) {
	if k.Max <= 0 {
		return 0, 0, true
	}
	age, known := k.Age()
	switch {
	case !known:
		return 0, minStaleKeysWait, false
	case age <= k.Max:
		return age, 0, true
	}
	return age, min(max(age-k.Max, minStaleKeysWait), maxStaleKeysWait), false
}

// Limits of the retry time for requests that a node can't admit because its table is too old.
// Another node may admit them at once unless the store is unreachable for all. The wait grows with
// the time that the table has been too old, since it is likely to stay so for as long.
const (
	minStaleKeysWait = 50 * time.Millisecond
	maxStaleKeysWait = 2 * time.Second
)

// Refusals of requests without a valid key.
var (
	noKey      = refusal{status: http.StatusUnauthorized, reason: "no key"}
	badKey     = refusal{status: http.StatusUnauthorized, reason: "malformed key"}
	unknownKey = refusal{status: http.StatusUnauthorized, reason: "unknown key"}
)

// presentedKey returns the key of a request, or the refusal if there is none or more than one.
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

// identify finds the tenant on whose behalf the request is made. If it returns false, the request
// was answered. A public route needs no key, but a known key counts there as well.
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

// Ranks of requests at servers, from 0 to lowestPriority. Requests are ordered by tenant first,
// then by the priority of their routes. defaultRank is the rank of the most urgent requests of most
// tenants.
const (
	routeRanks  = 3
	defaultRank = 3
)

// rank returns the rank of the request among all that wait at a server.
func (c *call) rank() int {
	if c.tenant == nil {
		return min(c.route.Priority, lowestPriority)
	}
	rank := defaultRank + routeRanks*c.tenant.Step() + min(c.route.Priority, routeRanks-1)
	return min(max(rank, 0), lowestPriority)
}

// priority returns the priority of the request for loading models. Each step of a tenant counts as
// one step of a route.
func (c *call) priority() int {
	if c.tenant == nil {
		return c.route.Priority
	}
	return max(c.route.Priority+c.tenant.Step(), 0)
}
