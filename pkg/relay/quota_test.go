package relay

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tenant"
)

// fakeQuotas admits a limited amount and counts refunds.
type fakeQuotas struct {
	mu       sync.Mutex
	left     float64
	refunded float64
}

func (c *fakeQuotas) Admit(_ context.Context, _ *tenant.Tenant, r quota.Request) Admission {
	cost := r.Amount
	c.mu.Lock()
	defer c.mu.Unlock()
	if cost > c.left {
		return Admission{After: 1250 * time.Millisecond}
	}
	c.left -= cost
	return Admission{Granted: true}
}

func (c *fakeQuotas) Refund(_ *tenant.Tenant, r quota.Request) {
	cost := r.Amount
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refunded += cost
}

// refundedTotal returns the refunds once no request is in progress.
func (c *fakeQuotas) refundedTotal(s *site) float64 {
	for end := time.Now().Add(5 * time.Second); s.relay.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refunded
}

// TestQUOTARefusesRequestsBeyondTheQuota checks that requests beyond the quota are refused with 429
// and a retry time before they reach a server, and that requests that no server ran are refunded.
func TestQUOTARefusesRequestsBeyondTheQuota(t *testing.T) {
	one := &tenant.Tenant{Name: "a", Keys: []string{"key"}, Quota: tenant.Quota{PerSecond: 1, Tokens: true, PlainTokens: 200}}
	for _, c := range []struct {
		name    string
		left    float64
		answer  answerer
		tokens  string
		status  int
		after   string
		arrives int
		back    float64
	}{
		{"within the quota", 1540, sealed(http.StatusOK, "fine"), "1460,80", http.StatusOK, "", 1, 0},
		{"beyond the quota", 1539, sealed(http.StatusOK, "fine"), "1460,80", http.StatusTooManyRequests, "1.250", 0, 0},
		{"a plain request", 200, sealed(http.StatusOK, "fine"), "", http.StatusOK, "", 1, 0},
		{"a plain request beyond it", 199, sealed(http.StatusOK, "fine"), "", http.StatusTooManyRequests, "1.250", 0, 0},
		{"turned away", 500, rejectWith(http.StatusServiceUnavailable), "", http.StatusServiceUnavailable, "0.300", 4, 200},
		{"failed", 500, raw(""), "", http.StatusBadGateway, "0.300", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t, route.Route{Kind: route.Unsafe}, c.answer)
			copied := *one
			s.withTenants(&copied)
			quotas := &fakeQuotas{left: c.left}
			s.relay.Quotas = quotas
			got := s.ask("id", "Authorization: Bearer key", "X-Tokens: "+c.tokens)
			if got.status != c.status || got.header.Get("Retry-After") != c.after {
				t.Errorf("the answer is %d, Retry-After %q, want %d and %q", got.status, got.header.Get("Retry-After"), c.status, c.after)
			}
			if n := len(s.arrivals()); n != c.arrives {
				t.Errorf("%d requests at the server, want %d", n, c.arrives)
			}
			if back := quotas.refundedTotal(s); back != c.back {
				t.Errorf("%g were refunded, want %g", back, c.back)
			}
		})
	}
}
