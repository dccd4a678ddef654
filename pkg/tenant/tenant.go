// Package tenant holds the tenants in force: whose key a request carries, what may be
// asked in the name of each, and which of them go first. A Table is immutable.
package tenant

import (
	"strings"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/security"
)

// Tenant is a party that shares the site with others.
type Tenant struct {
	Name     string
	Priority int // 0 goes first
	Quota    Quota
	Keys     []string // only while a table is made of them; a table drops them

	step int
}

// Quota bounds what is run in a tenant's name over all nodes together.
type Quota struct {
	PerSecond   float64 // what may be run in the long run; zero: no limit
	Burst       float64 // what may be run at once on top
	Tokens      bool    // both count the tokens of requests; else the requests
	PlainTokens float64 // that a request counts which does not tell its tokens
}

// Limited tells whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Cost returns what a request of so many tokens counts; tokens below zero are not told.
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

// Step returns by how many ranks the tenant goes after most tenants of its table; below
// zero it goes before them.
func (t *Tenant) Step() int { return t.step }

// Table is the tenants of one configuration.
type Table struct {
	keys    *security.KeySet[*Tenant]
	byName  map[string]*Tenant
	tenants []*Tenant
}

// NewTable returns a table that keeps the tenants it is given, without their keys. All
// findings are reported together; none shows a key.
func NewTable(tenants []*Tenant) (*Table, error) {
	var found findings.List
	t := &Table{keys: security.NewKeySet[*Tenant](2 * len(tenants)), byName: make(map[string]*Tenant, len(tenants)), tenants: tenants}
	for _, one := range tenants {
		one.check(&found)
		if t.byName[one.Name] != nil {
			found.Addf(one.place(), "stands twice")
		}
		t.byName[one.Name] = one
		t.takeKeys(one, &found)
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

func (t *Tenant) place() string { return "tenants." + t.Name }

// Bounds of what is taken.
const (
	maxName = 128  // bytes of a name, which goes on to servers as a header
	maxRate = 1e12 // tokens a second; beyond it sums of floats lose single tokens
)

func (t *Tenant) check(found *findings.List) {
	if t.Name == "" || len(t.Name) > maxName || strings.ContainsFunc(t.Name, isControl) {
		found.Addf(t.place(), "the name is empty, longer than %d bytes or holds control characters", maxName)
	}
	for _, amount := range []struct {
		name  string
		value float64
	}{{"rate", t.Quota.PerSecond}, {"burst", t.Quota.Burst}, {"tokens of a plain request", t.Quota.PlainTokens}} {
		if !(amount.value >= 0 && amount.value <= maxRate) {
			found.Addf(t.place(), "the %s %g is not from 0 to %g", amount.name, amount.value, maxRate)
		}
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// takeKeys moves the keys of a tenant into the table.
func (t *Table) takeKeys(one *Tenant, found *findings.List) {
	for i, key := range one.Keys {
		if key == "" || len(key) > security.MaxKeyBytes {
			found.Addf(one.place(), "key %d is empty or longer than %d bytes", i+1, security.MaxKeyBytes)
			continue
		}
		if other, doubled := t.keys.Add([]byte(key), one); doubled {
			found.Addf(one.place(), "key %d is also one of %s", i+1, other.Name)
		}
	}
	one.Keys = nil
}

// usualPriority returns the priority that most tenants have, the first of several.
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

// Find returns the tenant that holds a key, nil if none does.
func (t *Table) Find(key []byte) *Tenant {
	owner, _ := t.keys.Find(key)
	return owner
}

// Named returns the tenant of a name, nil if there is none.
func (t *Table) Named(name string) *Tenant { return t.byName[name] }

// All returns the tenants. The slice is not to be changed.
func (t *Table) All() []*Tenant { return t.tenants }

// Keys returns the number of keys.
func (t *Table) Keys() int { return t.keys.Len() }
