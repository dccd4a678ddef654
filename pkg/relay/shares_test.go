package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/tenant"
)

// noted refuses all and notes what was asked.
type noted struct{ asked []quota.Request }

func (n *noted) Admit(_ context.Context, _ *tenant.Tenant, r quota.Request) Admission {
	n.asked = append(n.asked, r)
	return Admission{After: 400 * time.Millisecond, Promised: true, Room: quota.Room{Share: 10, Asked: 30.4, Given: 12}}
}

func (n *noted) GiveBack(*tenant.Tenant, quota.Request) {}

// TestAQuotaIsAskedForARoute: with its priority, a mark that stays when the request comes again
// under another id, and how long its caller waits.
func TestAQuotaIsAskedForARoute(t *testing.T) {
	s := newSite(t, route.Route{Priority: 2, Kind: route.Unsafe, Target: 500 * time.Millisecond}, sealed(http.StatusOK, "fine"))
	s.withTenants(&tenant.Tenant{Name: "a", Keys: []string{"key"}, Quota: tenant.Quota{PerSecond: 1, Tokens: true}})
	quotas := &noted{}
	s.relay.Quotas = quotas
	for _, id := range []string{"id-1", "id-2"} {
		got := s.ask(id, "Authorization: Bearer key", "X-Tokens: 70,30")
		if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "0.400" {
			t.Errorf("the answer is %d, to come back after %q", got.status, got.header.Get("Retry-After"))
		}
	}
	want := quota.Request{Route: "r", Priority: 2, Amount: 100, Within: 250 * time.Millisecond, Returns: 2 * time.Second / returnPart}
	for _, got := range quotas.asked {
		if got.Mark == (quota.Mark{}) || got.Mark != quotas.asked[0].Mark {
			t.Errorf("the marks are %v and %v", got.Mark, quotas.asked[0].Mark)
		}
		got.Mark = quota.Mark{}
		if got != want {
			t.Errorf("asked was %+v, want %+v", got, want)
		}
	}
}

// TestTheLineTellsTheRoom for which a request was refused.
func TestTheLineTellsTheRoom(t *testing.T) {
	c := &call{request: request{asks: quota.Request{Amount: 7}}}
	c.record.admission = (&noted{}).Admit(t.Context(), nil, quota.Request{})
	want := "[cost 7 after_ms 400 promised true route_share 10 route_asked 30 route_given 12]"
	if got := fmt.Sprint(c.describeQuota()); got != want {
		t.Errorf("the line has %s, want %s", got, want)
	}
	c.record.admission = Admission{Granted: true}
	if got := fmt.Sprint(c.describeQuota()); got != "[cost 7]" {
		t.Errorf("the line of a request that was let in has %s", got)
	}
}

// TestQuotaCountersAreBounded: routes of tenants are counted apart from their first refusal on,
// up to a number.
func TestQuotaCountersAreBounded(t *testing.T) {
	m := NewMetrics(prometheus.NewRegistry())
	m.observeQuota("a", "quiet", true)
	for i := range 1000 {
		m.observeQuota("a", fmt.Sprint(i), false)
		m.observeQuota("a", fmt.Sprint(i), true)
	}
	if n := testutil.CollectAndCount(m.quotas.requests); n > 2*maxQuotaLabels+2 {
		t.Errorf("there are %d counters", n)
	}
	for _, c := range []struct {
		labels []string
		want   float64
	}{
		{[]string{"a", "3", outcomeRefused}, 1}, {[]string{"a", "3", "let in"}, 1},
		{[]string{otherLabel, otherLabel, outcomeRefused}, 1000 - maxQuotaLabels},
		{[]string{otherLabel, otherLabel, "let in"}, 1001 - maxQuotaLabels},
	} {
		if got := testutil.ToFloat64(m.quotas.requests.WithLabelValues(c.labels...)); got != c.want {
			t.Errorf("%v counts %g, want %g", c.labels, got, c.want)
		}
	}
}
