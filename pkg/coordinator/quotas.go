package coordinator

import (
	"context"
	"slices"
	"time"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/tenant"
)

// Draw asks the holder to let in a request of a tenant that is scarce.
type Draw struct {
	Tenant string
	Amount float64
}

// DrawAnswer tells whether it is let in.
type DrawAnswer struct {
	Term    uint64 // zero: not the holder
	Granted bool
	After   time.Duration // when there may be enough, if it is not granted
}

// QuotaNotice tells all nodes for which tenants the holder is to be asked from now on.
type QuotaNotice struct {
	Term   uint64
	Scarce []string
}

// drawTimeout bounds the wait for the holder's word on a request: the most urgent ones
// are to be answered within 100 ms.
const drawTimeout = 60 * time.Millisecond

// Admit implements relay.Quotas.
func (m *Member) Admit(ctx context.Context, t *tenant.Tenant, cost float64) relay.Admission {
	verdict, after := m.ledger.Look(time.Now(), t, cost, m.Fleet())
	if verdict != quota.Ask {
		return relay.Admission{Granted: verdict == quota.Admit, After: after}
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := ask[DrawAnswer](ctx, m, Draw{Tenant: t.Name, Amount: cost})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	now := time.Now()
	switch {
	case err != nil:
		verdict, after = m.ledger.Unanswered(now, t, cost, m.Fleet())
		return relay.Admission{Granted: verdict == quota.Admit, After: after, Err: err}
	case answer.Granted:
		m.ledger.Granted(t)
		return relay.Admission{Granted: true}
	}
	return relay.Admission{After: m.ledger.Denied(now, t, answer.After)}
}

// GiveBack implements relay.Quotas.
func (m *Member) GiveBack(t *tenant.Tenant, cost float64) { m.ledger.GiveBack(t, cost) }

// tenants returns those of the configuration in force, nil if there are none.
func (h *Holder) tenants() *tenant.Table {
	if table := h.Routes(); table != nil {
		return table.Tenants()
	}
	return nil
}

// draw decides on a request of a tenant. It does not wait for the holder's goroutine, which
// may be planning; it may be called from any.
func (h *Holder) draw(now time.Time, d Draw) DrawAnswer {
	h.init()
	term, held := h.Lease.Held()
	if !held {
		return DrawAnswer{}
	}
	h.quotas.Begin(now, term)
	tenants := h.tenants()
	if tenants == nil || tenants.Named(d.Tenant) == nil {
		// This node has not read yet of the tenant, which has hardly spent anything.
		return DrawAnswer{Term: term, Granted: true}
	}
	after, granted := h.quotas.Draw(now, tenants.Named(d.Tenant), d.Amount)
	return DrawAnswer{Term: term, Granted: granted, After: after}
}

// takeSpent takes in what a node let in without asking, and tells all nodes at once if
// a tenant became scarce by it. It returns the tenants for which nodes are to ask.
func (h *Holder) takeSpent(now time.Time, spent []quota.Spent) []string {
	tenants := h.tenants()
	if tenants == nil {
		return nil
	}
	h.quotas.Begin(now, h.term)
	for _, s := range spent {
		if t := tenants.Named(s.Tenant); t != nil {
			h.quotas.Spent(now, t, s.Amount)
		}
	}
	scarce := h.quotas.Scarce(now, tenants)
	if added := slices.ContainsFunc(scarce, func(name string) bool { return !slices.Contains(h.scarceTold, name) }); added {
		h.tellScarce(scarce)
	}
	if !slices.Equal(scarce, h.scarceTold) {
		h.Logger.Info("scarce tenants", "tenants", scarce, "before", h.scarceTold, "term", h.term)
	}
	h.scarceTold = scarce
	return scarce
}

// tellScarce tells all nodes for which tenants they are to ask.
func (h *Holder) tellScarce(scarce []string) {
	for _, n := range h.nodes {
		h.Transport.Send(n.node.Peers, QuotaNotice{Term: h.term, Scarce: scarce})
	}
}
