package coordinator

import (
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
)

// A server may start again under the name that it had. What the holder knows of it is about one
// life, and the next one begins with nothing. Only what is on its way to the name outlives a
// life: an order that was not answered may be carried out by the next life, which counts its
// orders anew and may come to the count that the order expects.

// lateOrder is how long after it was given an order without an answer may still be carried out.
// It is far longer than the few seconds that are usual: to wait costs a server no more than a
// later order, while a late load beyond its memory ends it.
const lateOrder = 15 * time.Second

// instance is what all lives of a server share.
type instance struct {
	quietUntil time.Time   // when orders may follow those of an earlier holder
	orders     []openOrder // that may still be carried out
}

// openOrder is an order that may still be carried out.
type openOrder struct {
	life  string    // ID of the one that it was given to
	after uint64    // orders that the server has taken once it took this one
	until time.Time // when it can't be carried out any more
}

// instance returns what the lives of a server share, made if it is new.
func (h *Holder) instance(id string) *instance {
	name := backend.ParseLife(id).Instance
	i := h.instances[name]
	if i == nil {
		i = &instance{}
		h.instances[name] = i
	}
	return i
}

// open notes an order that goes out to a life.
func (i *instance) open(life string, after uint64, until time.Time) {
	i.orders = append(i.orders, openOrder{life, after, until})
}

// closeOrder notes that an order can't be carried out any more. Of several alike, which were given
// again for lack of an answer, it closes the last one: the others may still be carried out.
func (i *instance) closeOrder(life string, after uint64) {
	for n := len(i.orders) - 1; n >= 0; n-- {
		if i.orders[n].life == life && i.orders[n].after == after {
			i.orders = slices.Delete(i.orders, n, n+1)
			return
		}
	}
}

// inherit takes in an order of an earlier holder, given at a time; quiet is when this holder may give
// its first one to the server.
func (i *instance) inherit(intent lease.Intent, at, quiet time.Time) {
	i.quietUntil = latest(i.quietUntil, quiet)
	i.open(intent.Server, intent.After, at.Add(lateOrder))
}

// mayCross tells whether an order that was meant for another life may be carried out by this
// one once it has taken so many orders: it expects that number. What the server holds by then
// was not reckoned with when it was given, so the number is not to be reached. A life that has
// taken no order holds nothing, and there is room for any.
func (i *instance) mayCross(now time.Time, life string, count uint64) bool {
	i.orders = slices.DeleteFunc(i.orders, func(o openOrder) bool { return !now.Before(o.until) })
	return slices.ContainsFunc(i.orders, func(o openOrder) bool { return o.life != life && o.after == count+1 })
}

// begin takes over what was on its way to earlier lives of the server.
func (s *serverState) begin(now time.Time) {
	if now.Before(s.lives.quietUntil) {
		s.quietUntil, s.recheck = latest(s.quietUntil, s.lives.quietUntil), true
	}
}

// lists tells whether the table in force names the service. Servers of others are left alone.
func (h *Holder) lists(service string) bool {
	table := h.Routes()
	return table != nil && table.Service(service) != nil
}
