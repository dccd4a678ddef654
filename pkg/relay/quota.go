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

// Quotas keeps what is run in the name of tenants, over all nodes, within their quotas.
type Quotas interface {
	// Admit decides on a request of a tenant.
	Admit(ctx context.Context, t *tenant.Tenant, r quota.Request) Admission
	// GiveBack takes back a request that was admitted and that no server ran.
	GiveBack(t *tenant.Tenant, r quota.Request)
}

// Admission is what was decided on a request.
type Admission struct {
	Granted  bool
	Promised bool          // room is set aside for when it comes back
	After    time.Duration // when a request that is not granted may come back
	Room     quota.Room    // of its route; zero: the quota is not divided, or nobody was asked
	Err      error         // why the holder could not be asked
}

// admit has the quota of the request's tenant decide. If it returns false, the request is
// answered.
func (c *call) admit(ctx context.Context) bool {
	if c.tenant == nil || c.relay.Quotas == nil || !c.tenant.Quota.Limited() {
		return true
	}
	c.asks = c.quotaRequest()
	c.record.admission = c.relay.Quotas.Admit(ctx, c.tenant, c.asks)
	a := c.record.admission
	c.relay.Metrics.observeQuota(c.tenant.Name, c.route.Name, a.Granted)
	if a.Granted {
		c.charged = true
		return true
	}
	c.refuse(refusal{http.StatusTooManyRequests, reasonQuota, a.After})
	return false
}

// quotaRequest is what the request asks of its tenant's quota.
func (c *call) quotaRequest() quota.Request {
	waits := c.record.given
	if waits <= 0 {
		waits = c.left()
	}
	r := quota.Request{
		Route: c.route.Name, Priority: c.route.Priority, Mark: quota.Mark(c.fingerprint),
		Amount:  c.tenant.Quota.Cost(tokens(c.http.Header.Get(c.relay.Headers.Tokens))),
		Returns: waits / returnPart,
	}
	r.Within = max(r.Returns-refusalTime, 0)
	if c.route.Target > 0 {
		r.Within = min(r.Within, c.route.Target/inTimePart)
	}
	return r
}

// returnPart: callers come back at the time that they are told if it lies within a third of the
// time that they have left.
const returnPart = 3

// refusalTime is how long a refusal takes to reach its caller, who has less time left by then.
const refusalTime = 20 * time.Millisecond

// inTimePart: a request that comes back within half of its route's target is still served in time
// as a rule.
const inTimePart = 2

// settle gives the quota back what no server ran.
func (c *call) settle() {
	if c.charged && !c.record.mayHaveRun() {
		c.relay.Quotas.GiveBack(c.tenant, c.asks)
	}
}

// tokens returns the sum of the numbers that a request tells, separated by commas: of its
// prompt, and the most that it generates. It is below zero if they are not told or are no
// such numbers.
func tokens(text string) float64 {
	const notTold = -1
	sum := 0.0
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(part), 10, 32)
		if err != nil {
			return notTold
		}
		sum += float64(n)
	}
	return sum
}

// quotaCounters count decisions on quotas by tenant and route.
type quotaCounters struct {
	requests *prometheus.CounterVec

	mu     *sync.Mutex         // shared by copies
	labels map[quotaLabel]bool // routes that are counted apart
}

// quotaLabel names a route of a tenant.
type quotaLabel struct{ tenant, route string }

// maxQuotaLabels bounds the routes of tenants that are counted apart. Those that were refused
// first keep their place, so that no counter ever falls. Only some tenants are over their quotas
// at a time, with some routes each.
const maxQuotaLabels = 200

// Labels of the counters.
const (
	otherLabel   = "other" // tenant and route of all that are not counted apart
	outcomeLetIn = "let in"
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

// observeQuota counts a decision on a quota. A route of a tenant is counted apart from its
// first refusal on, up to maxQuotaLabels of them.
func (m *Metrics) observeQuota(tenant, route string, granted bool) {
	if m == nil {
		return
	}
	outcome := outcomeLetIn
	if !granted {
		outcome = outcomeRefused
	}
	label := m.quotas.label(quotaLabel{tenant, route}, !granted)
	m.quotas.requests.WithLabelValues(label.tenant, label.route, outcome).Inc()
}

// label returns under which label a route of a tenant is counted; refused tells whether the request
// was.
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
