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

// refusingQuotas refuses all requests and records what was asked.
type refusingQuotas struct{ asked []quota.Request }

func (n *refusingQuotas) Admit(_ context.Context, _ *tenant.Tenant, r quota.Request) Admission {
	n.asked = append(n.asked, r)
	return Admission{After: 400 * time.Millisecond, Reserved: true, Room: quota.Room{Share: 10, Asked: 30.4, Given: 12}}
}

func (n *refusingQuotas) Refund(*tenant.Tenant, quota.Request) {}

// TestQuotaRequestOfRoute checks that the quota is asked with the route's priority, a mark that
// stays the same when the request is repeated under another ID, and the caller's waiting time.
func TestQuotaRequestOfRoute(t *testing.T) {
	s := newSite(t, route.Route{Priority: 2, Kind: route.Unsafe, Target: 500 * time.Millisecond}, sealed(http.StatusOK, "fine"))
	s.withTenants(&tenant.Tenant{Name: "a", Keys: []string{"key"}, Quota: tenant.Quota{PerSecond: 1, Tokens: true}})
	quotas := &refusingQuotas{}
	s.relay.Quotas = quotas
	for _, id := range []string{"id-1", "id-2"} {
		got := s.ask(id, "Authorization: Bearer key", "X-Tokens: 70,30")
		if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "0.400" {
			t.Errorf("the answer is %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
	}
	want := quota.Request{Route: "r", Priority: 2, Amount: 100, Within: 250 * time.Millisecond, Returns: 2 * time.Second / returnDivisor}
	for _, got := range quotas.asked {
		if got.Mark == (quota.Mark{}) || got.Mark != quotas.asked[0].Mark {
			t.Errorf("the marks are %v and %v", got.Mark, quotas.asked[0].Mark)
		}
		got.Mark = quota.Mark{}
		if got != want {
			t.Errorf("the quota request is %+v, want %+v", got, want)
		}
	}
}

// TestLogShowsQuotaCapacity checks that the log line of a refused request shows the capacity of its
// route.
func TestLogShowsQuotaCapacity(t *testing.T) {
	c := &call{request: request{quotaReq: quota.Request{Amount: 7}}}
	c.record.admission = (&refusingQuotas{}).Admit(t.Context(), nil, quota.Request{})
	want := "[cost 7 after_ms 400 promised true route_share 10 route_asked 30 route_given 12]"
	if got := fmt.Sprint(c.describeQuota()); got != want {
		t.Errorf("the log line has %s, want %s", got, want)
	}
	c.record.admission = Admission{Granted: true}
	if got := fmt.Sprint(c.describeQuota()); got != "[cost 7]" {
		t.Errorf("the log line of an admitted request has %s", got)
	}
}

// TestQuotaCountersAreBounded checks that routes of tenants get counters of their own from their
// first refusal on, up to a limit.
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
			t.Errorf("the counter %v is %g, want %g", c.labels, got, c.want)
		}
	}
}
