package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"martenwheel.dev/pkg/tenant"
)

// Quotas keeps what is run in the name of tenants, over all nodes, within their quotas.
type Quotas interface {
	// Admit decides on a request of a tenant that counts so much.
	Admit(ctx context.Context, t *tenant.Tenant, cost float64) Admission
	// GiveBack takes back a request that was admitted and that no server ran.
	GiveBack(t *tenant.Tenant, cost float64)
}

// Admission is what was decided on a request.
type Admission struct {
	Granted bool
	After   time.Duration // when a request that is not granted may come back
	Err     error         // why the one who knows could not be asked
}

// admit has the quota of the request's tenant decide. If it returns false, the request is
// answered.
func (c *call) admit(ctx context.Context) bool {
	if c.tenant == nil || c.relay.Quotas == nil || !c.tenant.Quota.Limited() {
		return true
	}
	c.cost = c.tenant.Quota.Cost(tokens(c.http.Header.Get(c.relay.Headers.Tokens)))
	a := c.relay.Quotas.Admit(ctx, c.tenant, c.cost)
	c.record.quotaError = a.Err
	if a.Granted {
		c.charged = true
		return true
	}
	c.refuse(refusal{http.StatusTooManyRequests, reasonQuota, a.After})
	return false
}

// settle gives the quota back what no server ran.
func (c *call) settle() {
	if c.charged && !c.record.mayHaveRun() {
		c.relay.Quotas.GiveBack(c.tenant, c.cost)
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
