package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
)

// Slots has the requests of all nodes keep together to the limits that servers name.
type Slots interface {
	// TakeSlot asks for a slot at one of some servers within a time. An error tells why the one who
	// gives them out could not be asked; it is no word then.
	TakeSlot(ctx context.Context, asks []backpressure.Ask, within time.Duration) (backpressure.Slot, error)
}

// errNoSlot keeps a request from a server that limits its requests: it named the limit a moment ago, or
// the slot there lapsed.
var errNoSlot = errors.New("relay: no slot at the server")

// errNoSlots stands for the one who gives out slots where there is none.
var errNoSlots = errors.New("relay: nobody gives out slots")

// slotTime is within which a slot is used: to connect takes some milliseconds.
const slotTime = 500 * time.Millisecond

// mostAsks bounds the servers among which one request has a slot picked.
const mostAsks = 16

// slot is a request's slot at a server that limits its requests. The zero value is none.
type slot struct {
	server string // the ID of its life
	at     time.Time
}

// covers tells whether the request may go to a server now: it names no limit, or the slot is there.
func (s slot) covers(now time.Time, m *backend.Member) bool {
	return !m.Limited() || s.server == m.ID && now.Sub(s.at) < slotTime
}

// slotRecord is what the log line of a request tells of its slots.
type slotRecord struct {
	asked  bool
	last   backpressure.Slot
	waited time.Duration // in all
	err    error         // why the holder could not be asked last
}

// takeSlot has a request whose server m limits its requests go by a slot, at m or at another server that
// does. It returns the server and mayRunNow, or nil and isRefused, once it has answered the caller, or
// looksAgain if a server without a limit may serve it.
func (c *call) takeSlot(ctx context.Context, m *backend.Member) (*backend.Member, permission) {
	c.slot = slot{}
	if !m.Limited() {
		return m, mayRunNow
	}
	now := c.relay.Time.Now()
	servers := c.limitedServers(now, m)
	s := c.askSlot(ctx, servers, c.slotPatience(now))
	switch {
	case ctx.Err() != nil:
		c.giveUp(ctx)
		return nil, isRefused
	case s.Granted:
		return c.useSlot(ctx, servers, s)
	}
	for _, one := range servers {
		c.tried = append(c.tried, one.ID)
	}
	if c.hasUnlimited(now) {
		return nil, looksAgain
	}
	if c.need.Model != "" { // another server is to hold it as well
		go c.ask(context.WithoutCancel(ctx), lacking{short: m.ID, shortFor: backpressure.MostWait}, make(chan asked, 1))
	}
	c.refuse(c.notServed(reasonLimited, max(s.Wait, defaultRetryAfter)))
	return nil, isRefused
}

// takeSlotAt is takeSlot for a stream that goes on at one server or not at all. It tells whether it may.
func (c *call) takeSlotAt(ctx context.Context, m *backend.Member) bool {
	c.slot = slot{}
	if !m.Limited() {
		return true
	}
	s := c.askSlot(ctx, []*backend.Member{m}, backpressure.MostWait)
	if !s.Granted {
		return false
	}
	c.pause(ctx, s.Wait)
	c.slot = slot{server: m.ID, at: c.relay.Time.Now()}
	return ctx.Err() == nil
}

// useSlot waits for a slot that was granted.
func (c *call) useSlot(ctx context.Context, servers []*backend.Member, s backpressure.Slot) (*backend.Member, permission) {
	c.record.slot.waited += s.Wait
	if s.Wait > 0 {
		c.pause(ctx, s.Wait)
	}
	if ctx.Err() != nil {
		c.giveUp(ctx)
		return nil, isRefused
	}
	c.slot = slot{server: s.Server, at: c.relay.Time.Now()}
	i := slices.IndexFunc(servers, func(m *backend.Member) bool { return m.ID == s.Server })
	if i < 0 || !servers[i].Serves(c.slot.at, c.need) {
		return nil, looksAgain
	}
	return servers[i], mayRunNow
}

// slotPatience returns how long the request may wait for a slot: its caller is to be there still, and
// one whose answer has begun waits as long as any.
func (c *call) slotPatience(now time.Time) time.Duration {
	if c.headSent {
		return backpressure.MostWait
	}
	return c.patience() - impatienceMargin - now.Sub(c.arrived)
}

// limitedServers returns the servers with a limit that may get the request, m first.
func (c *call) limitedServers(now time.Time, m *backend.Member) []*backend.Member {
	list := []*backend.Member{m}
	if !c.place.granted.IsZero() || c.turn != nil {
		return list // its place, or its turn, is there alone
	}
	servers := c.relay.Servers.Snapshot().Service(c.service)
	first := rand.IntN(max(len(servers), 1))
	for i := range servers {
		if len(list) == mostAsks {
			break
		}
		other := servers[(first+i)%len(servers)]
		if other.ID != m.ID && other.Limited() && other.Serves(now, c.need) && !other.Avoid(now) && !slices.Contains(c.tried, other.ID) {
			list = append(list, other)
		}
	}
	return list
}

// hasUnlimited tells whether a server without a limit, and not tried yet, may get the request.
func (c *call) hasUnlimited(now time.Time) bool {
	return slices.ContainsFunc(c.relay.Servers.Snapshot().Service(c.service), func(m *backend.Member) bool {
		return m.Serves(now, c.need) && !m.Limited() && !slices.Contains(c.tried, m.ID)
	})
}

// askSlot asks for a slot at one of the servers, and goes by this node's ration if nobody can be asked.
func (c *call) askSlot(ctx context.Context, servers []*backend.Member, within time.Duration) backpressure.Slot {
	asks := make([]backpressure.Ask, 0, len(servers))
	for _, m := range servers {
		limit, _ := m.Limit()
		asks = append(asks, backpressure.Ask{Server: m.ID, Limit: limit})
	}
	note := &c.record.slot
	note.asked, note.err = true, errNoSlots
	if c.relay.Slots != nil {
		note.last, note.err = c.relay.Slots.TakeSlot(ctx, asks, within)
	}
	if note.err != nil {
		note.last = c.relay.aloneSlot(asks)
	}
	return note.last
}

// aloneSlot is a slot by this node's ration.
func (r *Relay) aloneSlot(asks []backpressure.Ask) backpressure.Slot {
	now := r.Time.Now()
	for _, a := range asks {
		if r.alone.Take(now, r.Node, a.Server, backpressure.AloneShare*a.Limit, r.nodes()) {
			return backpressure.Slot{Granted: true, Server: a.Server}
		}
	}
	return backpressure.Slot{Wait: aloneAfter + rand.N(aloneAfter)}
}

// aloneAfter is about when somebody gives out slots again, and callers may return, each at its own time.
const aloneAfter = time.Second

// describeSlot returns what the log tells of the request's slots.
func (c *call) describeSlot() []any {
	note := &c.record.slot
	if !note.asked {
		return nil
	}
	fields := []any{"slot", note.last.Granted, "slot_server", note.last.Server, "slot_wait_ms", note.last.Wait.Milliseconds(),
		"slot_waited_ms", note.waited.Milliseconds()}
	if note.err != nil {
		fields = append(fields, "slot_error", note.err.Error())
	}
	return fields
}

// spareLimited leaves those servers out that limit their requests while others may serve the request, or,
// if those failed or were tried, all others than them.
func (p *picking) spareLimited(tried []string) {
	limited, others, fit := false, false, false
	for i, m := range p.members {
		fresh := !slices.Contains(tried, m.ID)
		if m.Limited() {
			limited = limited || fresh
			continue
		}
		others = true
		fit = fit || fresh && !p.candidates[i].Ejected
	}
	switch {
	case fit, others && !limited:
		p.keep(func(m *backend.Member) bool { return !m.Limited() })
	case limited:
		p.keep(func(m *backend.Member) bool { return m.Limited() && !slices.Contains(tried, m.ID) })
	}
}

// keep drops the members that don't fit.
func (p *picking) keep(fits func(*backend.Member) bool) {
	n := 0
	for i, m := range p.members {
		if fits(m) {
			p.members[n], p.candidates[n] = m, p.candidates[i]
			n++
		}
	}
	clear(p.members[n:])
	p.members, p.candidates = p.members[:n], p.candidates[:n]
}
