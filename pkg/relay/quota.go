package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/tenant"
)

// Quotas keeps the requests of tenants, over all nodes, within their quotas.
type Quotas interface {
	// Admit decides on a request of a tenant.
	Admit(ctx context.Context, t *tenant.Tenant, r quota.Request) Admission
	// Refund returns the cost of an admitted request that no server ran.
	Refund(t *tenant.Tenant, r quota.Request)
}

// Admission is the decision on a request.
type Admission struct {
	Granted  bool
	Reserved bool          // capacity is reserved for the retry at After
	After    time.Duration // when a request that was not granted may come back
	Room     quota.Room    // capacity of its route; zero: the quota is not divided, or nobody was asked
	Err      error         // why the coordinator could not be asked
}

// admit checks the quota of the request's tenant. If it returns false, the request was answered.
func (c *call) admit(ctx context.Context) bool {
	if c.tenant == nil || c.relay.Quotas == nil || !c.tenant.Quota.Limited() {
		return true
	}
	c.quotaReq = c.quotaRequest()
	c.record.admission = c.relay.Quotas.Admit(ctx, c.tenant, c.quotaReq)
	a := c.record.admission
	c.relay.Metrics.observeQuota(c.tenant.Name, c.route.Name, a.Granted)
	if a.Granted {
		c.charged = true
		return true
	}
	c.refuse(refusal{http.StatusTooManyRequests, reasonQuota, a.After})
	return false
}

// quotaRequest returns what the request asks of its tenant's quota.
func (c *call) quotaRequest() quota.Request {
	waits := c.record.callerTimeout
	if waits <= 0 {
		waits = c.timeLeft()
	}
	r := quota.Request{
		Route: c.route.Name, Priority: c.route.Priority, Mark: quota.Mark(c.fingerprint),
		Amount:  c.tenant.Quota.Cost(tokens(c.http.Header.Get(c.relay.Headers.Tokens))),
		Returns: waits / returnDivisor,
	}
	r.Within = max(r.Returns-refusalTime, 0)
	if c.route.Target > 0 {
		r.Within = min(r.Within, c.route.Target/inTimeDivisor)
	}
	return r
}

// returnDivisor is the divisor of a caller's remaining time that gives the longest retry time that it
// obeys: a third.
const returnDivisor = 3

// refusalTime is how long a refusal takes to reach its caller, whose remaining time shrinks
// meanwhile.
const refusalTime = 20 * time.Millisecond

// inTimeDivisor is the divisor of a route's target that gives the time within which a returning
// request is usually still served in time: half of the target.
const inTimeDivisor = 2

// refundQuota refunds a request that no server ran.
func (c *call) refundQuota() {
	if c.charged && !c.record.mayHaveRun() {
		c.relay.Quotas.Refund(c.tenant, c.quotaReq)
	}
}

// tokens returns the sum of the comma-separated token counts of a request: those of its prompt and
// the maximum to generate. It is negative if the counts are missing or invalid.
func tokens(text string) float64 {
	const unknown = -1
	sum := 0.0
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(part), 10, 32)
		if err != nil {
			return unknown
		}
		sum += float64(n)
	}
	return sum
}

// quotaCounters counts quota decisions by tenant and route.
type quotaCounters struct {
	requests *prometheus.CounterVec

	mu     *sync.Mutex         // shared by copies
	labels map[quotaLabel]bool // routes with counters of their own
}

// quotaLabel names a route of a tenant.
type quotaLabel struct{ tenant, route string }

// maxQuotaLabels limits the routes with counters of their own. The first ones that were refused
// keep their counters, so that no counter ever decreases. Only some tenants exceed their quotas at
// a time, each on a few routes.
const maxQuotaLabels = 200

// Labels of the counters.
const (
	otherLabel      = "other" // tenant and route of all without counters of their own
	outcomeAdmitted = "let in"
)

func newQuotaCounters() quotaCounters {
	return quotaCounters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "martenwheel", Name: "relay_quota_requests_total", Help: "Requests of tenants with quotas by route and outcome.",
		}, []string{"tenant", "route", "outcome"}),
		mu:     new(sync.Mutex),
		labels: make(map[quotaLabel]bool),
	}
}

// observeQuota counts a quota decision. A route of a tenant gets its own counter with its first
// refusal, up to maxQuotaLabels of them.
func (m *Metrics) observeQuota(tenant, route string, granted bool) {
	if m == nil {
		return
	}
	outcome := outcomeAdmitted
	if !granted {
		outcome = outcomeRefused
	}
	label := m.quotas.label(quotaLabel{tenant, route}, !granted)
	m.quotas.requests.WithLabelValues(label.tenant, label.route, outcome).Inc()
}

// label returns the label under which a route of a tenant is counted. refused tells whether the
// request was refused.
func (q *quotaCounters) label(l quotaLabel, refused bool) quotaLabel {
	q.mu.Lock()
	defer q.mu.Unlock()
	if refused && len(q.labels) < maxQuotaLabels {
		q.labels[l] = true
	}
	if q.labels[l] {
		return l
	}
	return quotaLabel{otherLabel, otherLabel}
}
