// Package tenant holds the configured tenants with their keys, quotas and priorities. A Table
// is immutable.
package tenant

import (
	"strings"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/security"
)

// Tenant is one of the customers that share the site.
type Tenant struct {
	Name     string
	Priority int // 0 is the most urgent
	Quota    Quota
	Keys     []string // input of NewTable, which clears it

	step int
}

// Quota limits the requests of a tenant over all nodes together.
type Quota struct {
	PerSecond   float64 // long-term rate; zero: no limit
	Burst       float64 // amount that may run at once in addition
	Tokens      bool    // PerSecond and Burst count tokens, not requests
	PlainTokens float64 // tokens counted for a request that does not report its own
}

// Limited reports whether the quota limits anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns the amount that a request with that many tokens counts against the quota. A
// negative number of tokens means that the request does not report them.
func (q Quota) Cost(tokens float64) float64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens < 0:
		return q.PlainTokens
	default:
		return tokens
	}
}

// Step returns the difference between the tenant's priority and the most common priority of
// its table. Tenants with a negative step go first.
func (t *Tenant) Step() int { return t.step }

// Table contains the tenants of one configuration.
type Table struct {
	keys    *security.KeySet[*Tenant]
	byName  map[string]*Tenant
	tenants []*Tenant
}

// NewTable returns a table of the given tenants and clears their Keys. All findings are
// reported together. None of them contains a key.
func NewTable(tenants []*Tenant) (*Table, error) {
	var found findings.List
	t := &Table{keys: security.NewKeySet[*Tenant](2 * len(tenants)), byName: make(map[string]*Tenant, len(tenants)), tenants: tenants}
	for _, one := range tenants {
		one.check(&found)
		if t.byName[one.Name] != nil {
			found.Addf(one.findingPlace(), "stands twice")
		}
		t.byName[one.Name] = one
		t.addKeys(one, &found)
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	usual := usualPriority(tenants)
	for _, one := range tenants {
		one.step = one.Priority - usual
	}
	return t, nil
}

func (t *Tenant) findingPlace() string { return "tenants." + t.Name }

// Limits on the values of a tenant.
const (
	maxName   = 128  // bytes of a name, which is sent to servers in a header
	maxAmount = 1e12 // tokens per second; floating-point sums of larger values lose single tokens
)

func (t *Tenant) check(found *findings.List) {
	if t.Name == "" || len(t.Name) > maxName || strings.ContainsFunc(t.Name, isControl) {
		found.Addf(t.findingPlace(), "the name is empty, longer than %d bytes or holds control characters", maxName)
	}
	for _, amount := range []struct {
		name  string
		value float64
	}{{"rate", t.Quota.PerSecond}, {"burst", t.Quota.Burst}, {"tokens of a plain request", t.Quota.PlainTokens}} {
		if !(amount.value >= 0 && amount.value <= maxAmount) {
			found.Addf(t.findingPlace(), "the %s %g is not from 0 to %g", amount.name, amount.value, maxAmount)
		}
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// addKeys moves the keys of a tenant into the table.
func (t *Table) addKeys(one *Tenant, found *findings.List) {
	for i, key := range one.Keys {
		if key == "" || len(key) > security.MaxKeyBytes {
			found.Addf(one.findingPlace(), "key %d is empty or longer than %d bytes", i+1, security.MaxKeyBytes)
			continue
		}
		if other, doubled := t.keys.Add([]byte(key), one); doubled {
			found.Addf(one.findingPlace(), "key %d is also one of %s", i+1, other.Name)
		}
	}
	one.Keys = nil
}

// usualPriority returns the most common priority, the most urgent one if several are equally
// common.
func usualPriority(tenants []*Tenant) int {
	count := make(map[int]int)
	usual := 0
	for _, one := range tenants {
		count[one.Priority]++
	}
	for priority, n := range count {
		if n > count[usual] || n == count[usual] && priority < usual {
			usual = priority
		}
	}
	return usual
}

// Find returns the tenant with the given key, nil if there is none.
func (t *Table) Find(key []byte) *Tenant {
	owner, _ := t.keys.Find(key)
	return owner
}

// Named returns the tenant with the given name, nil if there is none.
func (t *Table) Named(name string) *Tenant { return t.byName[name] }

// All returns the tenants. The caller must not change the slice.
func (t *Table) All() []*Tenant { return t.tenants }

// Keys returns the number of keys.
func (t *Table) Keys() int { return t.keys.Len() }
