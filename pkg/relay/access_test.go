package relay

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tenant"
)

// withTenants adds tenants to the site, so that requests need keys.
func (s *site) withTenants(tenants ...*tenant.Tenant) {
	s.t.Helper()
	all, err := tenant.NewTable(tenants)
	if err != nil {
		s.t.Fatal(err)
	}
	table := s.relay.Routes().WithTenants(all)
	s.relay.Routes = func() *route.Table { return table }
	s.relay.Headers.Tenant, s.relay.Headers.Tokens = "X-Tenant", "X-Tokens"
	s.relay.Headers.Reserved = map[string]bool{"X-Own": true}
}

// ask sends a request with the header lines, each "name: value".
func (s *site) ask(id string, lines ...string) answer {
	s.t.Helper()
	r := s.request(s.t.Context(), http.MethodGet, "/p/x", id, "")
	for _, line := range lines {
		name, value, _ := strings.Cut(line, ": ")
		r.Header[name] = append(r.Header[name], value)
	}
	return s.do(r)
}

// TestUNASKEDOnlyHoldersOfKeysAreServed checks which keys are accepted and how others are refused.
func TestUNASKEDOnlyHoldersOfKeysAreServed(t *testing.T) {
	for _, c := range []struct {
		name   string
		public bool
		lines  []string
		status int
		reason string
	}{
		{"a known key", false, []string{"Authorization: Bearer key-a"}, http.StatusOK, ""},
		{"no key", false, nil, http.StatusUnauthorized, "no key"},
		{"an unknown key", false, []string{"Authorization: Bearer key-b"}, http.StatusUnauthorized, "unknown key"},
		{"another scheme", false, []string{"Authorization: Basic key-a"}, http.StatusUnauthorized, "malformed key"},
		{"an empty key", false, []string{"Authorization: Bearer "}, http.StatusUnauthorized, "malformed key"},
		{"two keys", false, []string{"Authorization: Bearer key-a", "Authorization: Bearer key-a"}, http.StatusUnauthorized, "malformed key"},
		{"an endless key", false, []string{"Authorization: Bearer " + strings.Repeat("k", 5000)}, http.StatusUnauthorized, "unknown key"},
		{"a forged tenant", false, []string{"X-Tenant: a"}, http.StatusUnauthorized, "no key"},
		{"no key on a public route", true, nil, http.StatusOK, ""},
		{"an unknown key on a public route", true, []string{"Authorization: Bearer key-b"}, http.StatusOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, route.Route{Kind: route.Safe, Public: c.public}, sealed(http.StatusOK, "fine"))
			s.withTenants(&tenant.Tenant{Name: "a", Keys: []string{"key-a"}})
			got := s.ask("id", c.lines...)
			if got.status != c.status || !strings.Contains(got.body, c.reason) {
				t.Errorf("the caller got %d %q, want %d with %q", got.status, got.body, c.status, c.reason)
			}
			if served := len(s.arrivals()) > 0; served != (c.status == http.StatusOK) {
				t.Errorf("the request was served: %t", served)
			}
			if c.status == http.StatusUnauthorized && (strings.Contains(got.body, "key-a") || strings.Contains(got.body, "kkk")) {
				t.Errorf("the answer reveals a key: %q", got.body)
			}
		})
	}
}

// TestUNASKEDHeadersForwardedToServers checks that servers get the tenant's name whatever the caller
// sent, and neither the key nor headers that only the system sets.
func TestUNASKEDHeadersForwardedToServers(t *testing.T) {
	var head http.Header
	s := newSite(t, route.Route{Kind: route.Safe}, func(w http.ResponseWriter, r *http.Request, got seen) {
		head = r.Header.Clone()
		sealed(http.StatusOK, "fine")(w, r, got)
	})
	s.withTenants(&tenant.Tenant{Name: "a", Keys: []string{"key-a"}})
	got := s.ask("id", "Authorization: Bearer key-a", "X-Tenant: other", "X-Own: 1", "X-Priority: 0", "X-Else: kept")
	if got.status != http.StatusOK {
		t.Fatalf("the answer is %+v", got)
	}
	for name, want := range map[string]string{"Authorization": "", "X-Tenant": "a", "X-Own": "", "X-Priority": "", "X-Else": "kept"} {
		if value := strings.Join(head.Values(name), ","); value != want {
			t.Errorf("the server got %s: %q, want %q", name, value, want)
		}
	}
}

// TestAuthorizationIsForwardedWithoutTenants checks that the header is passed on if no tenants
// exist.
func TestAuthorizationIsForwardedWithoutTenants(t *testing.T) {
	var value string
	s := newSite(t, route.Route{Kind: route.Safe}, func(w http.ResponseWriter, r *http.Request, got seen) {
		value = r.Header.Get("Authorization")
		sealed(http.StatusOK, "fine")(w, r, got)
	})
	if got := s.ask("id", "Authorization: Bearer mine"); got.status != http.StatusOK || value != "Bearer mine" {
		t.Errorf("the answer is %+v, the server got %q", got, value)
	}
}

// TestCONFIGOldKeyTableAdmitsNobody checks that a node whose key table is too old refuses
// requests with a retry time, as it can't know whether a key was revoked, and serves again with a
// recent table.
func TestCONFIGOldKeyTableAdmitsNobody(t *testing.T) {
	s := newSite(t, route.Route{Kind: route.Safe}, sealed(http.StatusOK, "fine"))
	s.withTenants(&tenant.Tenant{Name: "a", Keys: []string{"key-a"}})
	var age time.Duration
	known := true
	s.relay.Keys = KeyAge{Age: func() (time.Duration, bool) { return age, known }, Max: 5 * time.Second}
	for _, c := range []struct {
		age    time.Duration
		known  bool
		status int
		after  time.Duration // maximum
	}{
		{4900 * time.Millisecond, true, http.StatusOK, 0},
		{5001 * time.Millisecond, true, http.StatusServiceUnavailable, minStaleKeysWait},
		{5600 * time.Millisecond, true, http.StatusServiceUnavailable, 600 * time.Millisecond},
		{time.Hour, true, http.StatusServiceUnavailable, maxStaleKeysWait},
		{0, false, http.StatusServiceUnavailable, minStaleKeysWait},
		{time.Second, true, http.StatusOK, 0},
	} {
		age, known = c.age, c.known
		got := s.ask("id", "Authorization: Bearer key-a")
		if got.status != c.status {
			t.Errorf("age %v, known %t: the answer is %+v, want %d", c.age, c.known, got, c.status)
		}
		after, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if after != c.after.Seconds() {
			t.Errorf("age %v, known %t: the retry time is %g s, want %v", c.age, c.known, after, c.after)
		}
	}
}

// TestRankOfTenantsBeforeThatOfRoutes checks that requests are ranked by tenant first, and those of
// one tenant by their routes.
func TestRankOfTenantsBeforeThatOfRoutes(t *testing.T) {
	first, usual, last := &tenant.Tenant{Name: "first"}, &tenant.Tenant{Name: "usual", Priority: 1}, &tenant.Tenant{Name: "last", Priority: 2}
	if _, err := tenant.NewTable([]*tenant.Tenant{first, usual, {Name: "other", Priority: 1}, last}); err != nil {
		t.Fatal(err)
	}
	rank := func(of *tenant.Tenant, priority int) int {
		c := &call{relay: &Relay{}, request: request{tenant: of, route: &route.Route{Priority: priority}}}
		return c.rank()
	}
	var ranks []int
	for _, of := range []*tenant.Tenant{first, usual, last} {
		for priority := range routeRanks {
			ranks = append(ranks, rank(of, priority))
		}
	}
	for i, got := range ranks {
		if got != i {
			t.Fatalf("the ranks are %v, want them to increase by one from zero", ranks)
		}
	}
	if got := rank(nil, 12); got != lowestPriority {
		t.Errorf("without a tenant the rank is %d, want that of the route, at most %d", got, lowestPriority)
	}
}

func TestTokensOfARequest(t *testing.T) {
	for text, want := range map[string]float64{"1460,80": 1540, "1460": 1460, " 7 , 8 ": 15, "": -1, "a,b": -1, "-5,10": -1, "1,,2": -1, "1e9,2": -1, "99999999999999999999,1": -1} {
		if got := tokens(text); got != want {
			t.Errorf("%q parsed as %g tokens, want %g", text, got, want)
		}
	}
}

// FuzzPresentedKey checks that no header crashes the parser or yields a key that was not sent.
func FuzzPresentedKey(f *testing.F) {
	f.Add("Bearer abc", "")
	f.Add("bearer abc", "Bearer d")
	f.Add("Bearer ", "")
	f.Fuzz(func(t *testing.T, one, two string) {
		h := http.Header{headerKey: {one}}
		if two != "" {
			h.Add(headerKey, two)
		}
		key, fault := presentedKey(h)
		if (fault.status == 0) != (two == "" && len(one) > len(bearer) && one[:len(bearer)] == bearer) {
			t.Fatalf("%q and %q: refused with %d", one, two, fault.status)
		}
		if fault.status == 0 && bearer+string(key) != one {
			t.Fatalf("%q gives the key %q", one, key)
		}
		if fault.status != 0 && fault != noKey && fault != badKey {
			t.Fatalf("the reason of the refusal depends on the request: %q", fault.reason)
		}
	})
}
