package coordinator

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
)

// A server may restart under the same name. The holder's knowledge is about one incarnation, and the next
// one starts empty. Only orders under way to the name outlive an incarnation: an order without an answer may
// be carried out by the next incarnation, which counts its orders from zero and may reach the sequence that
// the order expects.

// orderLifetime is how long after it was sent an order without an answer may still be carried out. It is
// much longer than the usual few seconds: waiting only delays later orders to the server, while a late load
// beyond its memory crashes it.
const orderLifetime = 15 * time.Second

// instance is the state that all incarnations of a server share.
type instance struct {
	quietUntil  time.Time          // end of the pause after orders of an earlier holder
	outstanding []outstandingOrder // orders that may still be carried out
}

// outstandingOrder is an order without an answer, which may still be carried out.
type outstandingOrder struct {
	incarnation string    // ID of the incarnation to which it was sent
	after       uint64    // the server's sequence after this order
	until       time.Time // when it can't be carried out any more
}

// instance returns the shared state of a server's incarnations, creating it if needed.
func (h *Holder) instance(id string) *instance {
	name := backend.ParseIncarnation(id).Instance
	i := h.instances[name]
	if i == nil {
		i = &instance{}
		h.instances[name] = i
	}
	return i
}

// addOrder records an order that is sent to an incarnation.
func (i *instance) addOrder(incarnation string, after uint64, until time.Time) {
	i.outstanding = append(i.outstanding, outstandingOrder{incarnation, after, until})
}

// closeOrder records that an order can't be carried out any more. Of several equal ones, repeated for lack
// of an answer, it closes the last: the others may still be carried out.
func (i *instance) closeOrder(incarnation string, after uint64) {
	for n := len(i.outstanding) - 1; n >= 0; n-- {
		if i.outstanding[n].incarnation == incarnation && i.outstanding[n].after == after {
			i.outstanding = slices.Delete(i.outstanding, n, n+1)
			return
		}
	}
}

// inherit adds an order that an earlier holder gave at the given time; quiet is when this holder may give
// its first order to the server.
func (i *instance) inherit(intent lease.Intent, at, quiet time.Time) {
	i.quietUntil = latest(i.quietUntil, quiet)
	i.addOrder(intent.Server, intent.After, at.Add(orderLifetime))
}

// mayTakeLateOrder tells whether an order that was meant for another incarnation may be carried out by this
// one once it has accepted count orders, the sequence that the order expects. As the late order does not
// consider what the server holds by then, it could exceed the server's memory, so the server must not reach that
// sequence. An incarnation that has accepted no order holds nothing and has memory for any.
func (i *instance) mayTakeLateOrder(now time.Time, incarnation string, count uint64) bool {
	i.outstanding = slices.DeleteFunc(i.outstanding, func(o outstandingOrder) bool { return !now.Before(o.until) })
	return slices.ContainsFunc(i.outstanding, func(o outstandingOrder) bool { return o.incarnation != incarnation && o.after == count+1 })
}

// inheritQuiet applies the pause after orders to earlier incarnations of the server.
func (s *serverState) inheritQuiet(now time.Time) {
	if now.Before(s.instance.quietUntil) {
		s.quietUntil, s.recheck = latest(s.quietUntil, s.instance.quietUntil), true
	}
}

// configured tells whether the route table in force has the service. Servers of other services are left
// alone.
func (h *Holder) configured(service string) bool {
	table := h.Routes()
	return table != nil && table.Service(service) != nil
}
