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

// Slots coordinates the requests of all nodes at servers that limit their request rate.
type Slots interface {
	// RequestSlot asks for a slot at one of some servers within a time. If the coordinator could not
	// be asked, it returns an error and the slot is not valid.
	RequestSlot(ctx context.Context, asks []backpressure.Ask, within time.Duration) (backpressure.Slot, error)
	// ReturnPlace ends the loan of a place at a brittle server.
	ReturnPlace(s backpressure.Slot)
}

// errNoSlot keeps a request from a rate-limited server: the server announced its limit a moment
// ago, or the slot expired.
var errNoSlot = errors.New("relay: no slot at the server")

// errNoPlace ends the wait for a place at a brittle server.
var errNoPlace = errors.New("relay: no place at the servers in time")

// errNoSlots is recorded if no service grants slots.
var errNoSlots = errors.New("relay: nobody gives out slots")

// slotLifetime is how long a slot may be used. Connecting takes a few milliseconds.
const slotLifetime = 500 * time.Millisecond

// maxSlotServers limits the servers among which a slot is requested.
const maxSlotServers = 16

// slot is a request's slot at a rate-limited server. The zero value is none.
type slot struct {
	server string // ID of the server's incarnation
	at     time.Time
}

// covers reports whether the request may go to a server now: the server has no limit, or the slot
// is for it.
func (s slot) covers(now time.Time, m *backend.Member) bool {
	return !m.Limited() || s.server == m.ID && now.Sub(s.at) < slotLifetime
}

// slotRecord is the part of a request's log line about its slots.
type slotRecord struct {
	asked  bool
	last   backpressure.Slot
	waited time.Duration // total time of waiting for slots
	err    error         // why the coordinator could not be asked the last time
}

// takeSlot obtains a slot if server m limits its requests, at m or another such server. It returns
// the server and mayRunNow, nil and wasRefused after answering the caller, or nil and chooseAgain
// if a server without a limit may serve the request.
func (c *call) takeSlot(ctx context.Context, m *backend.Member) (*backend.Member, permission) {
	c.returnPlace()
	c.slot = slot{}
	if !m.Limited() {
		return m, mayRunNow
	}
	if m.IsBrittle() && c.relay.Slots != nil {
		return c.borrowPlace(ctx, m)
	}
	now := c.relay.Time.Now()
	servers := c.limitedServers(now, m)
	s := c.requestSlot(ctx, servers, c.slotPatience(now))
	switch {
	case ctx.Err() != nil:
		c.giveUp(ctx, context.Cause(ctx))
		return nil, wasRefused
	case s.Granted:
		return c.useSlot(ctx, servers, s)
	}
	for _, server := range servers {
		c.tried = append(c.tried, server.ID)
	}
	if c.hasUnlimited(now) {
		return nil, chooseAgain
	}
	if c.need.Model != "" { // so that another server loads the model as well
		go c.requestLoad(context.WithoutCancel(ctx), shortage{short: m.ID, shortFor: backpressure.MaxWait}, make(chan loadResult, 1))
	}
	c.refuse(c.notServed(reasonLimited, max(s.Wait, defaultRetryAfter)))
	return nil, wasRefused
}

// takeSlotAt is takeSlot for a stream that can continue at one server only. It reports whether it
// may.
func (c *call) takeSlotAt(ctx context.Context, m *backend.Member) bool {
	c.returnPlace()
	c.slot = slot{}
	if !m.Limited() {
		return true
	}
	s := c.requestSlot(ctx, []*backend.Member{m}, backpressure.MaxWait)
	if !s.Granted {
		return false
	}
	c.loan = s
	c.sleep(ctx, s.Wait)
	c.slot = slot{server: m.ID, at: c.relay.Time.Now()}
	return ctx.Err() == nil
}

// useSlot waits until a granted slot begins.
func (c *call) useSlot(ctx context.Context, servers []*backend.Member, s backpressure.Slot) (*backend.Member, permission) {
	c.record.slot.waited += s.Wait
	if s.Wait > 0 {
		c.sleep(ctx, s.Wait)
	}
	if ctx.Err() != nil {
		c.giveUp(ctx, context.Cause(ctx))
		return nil, wasRefused
	}
	c.slot = slot{server: s.Server, at: c.relay.Time.Now()}
	i := slices.IndexFunc(servers, func(m *backend.Member) bool { return m.ID == s.Server })
	if i < 0 || !servers[i].Serves(c.slot.at, c.need) {
		return nil, chooseAgain
	}
	return servers[i], mayRunNow
}

// slotPatience returns how long the request may wait for a slot: until its caller is about to
// leave, or the maximum if the answer has begun.
func (c *call) slotPatience(now time.Time) time.Duration {
	if c.headSent {
		return backpressure.MaxWait
	}
	return c.patience() - impatienceMargin - now.Sub(c.arrived)
}

// limitedServers returns the rate-limited servers that may get the request, m first.
func (c *call) limitedServers(now time.Time, m *backend.Member) []*backend.Member {
	list := []*backend.Member{m}
	if !c.place.granted.IsZero() || c.trial != nil {
		return list // its place or trial is valid at m only
	}
	servers := c.servers()
	first := rand.IntN(max(len(servers), 1))
	for i := range servers {
		if len(list) == maxSlotServers {
			break
		}
		other := servers[(first+i)%len(servers)]
		if other.ID != m.ID && other.Limited() && other.Serves(now, c.need) && !other.Avoid(now) && !slices.Contains(c.tried, other.ID) {
			list = append(list, other)
		}
	}
	return list
}

// hasUnlimited reports whether an untried server without a limit may get the request.
func (c *call) hasUnlimited(now time.Time) bool {
	return slices.ContainsFunc(c.servers(), func(m *backend.Member) bool {
		return m.Serves(now, c.need) && !m.Limited() && !slices.Contains(c.tried, m.ID)
	})
}

// requestSlot asks for a slot at one of the servers, and uses this node's ration if nobody can be
// asked.
func (c *call) requestSlot(ctx context.Context, servers []*backend.Member, within time.Duration) backpressure.Slot {
	asks := make([]backpressure.Ask, 0, len(servers))
	for _, m := range servers {
		limit, _ := m.Limit()
		places, run := m.LendablePlaces()
		asks = append(asks, backpressure.Ask{Server: m.ID, Limit: limit, Announced: m.AnnouncesLimit(), Places: places, Run: run, Left: c.timeLeft()})
	}
	note := &c.record.slot
	note.asked, note.err = true, errNoSlots
	if c.relay.Slots != nil {
		note.last, note.err = c.relay.Slots.RequestSlot(ctx, asks, within)
	}
	if note.err != nil && ctx.Err() == nil { // otherwise the request no longer waits
		note.last = c.relay.localSlot(asks)
	}
	return note.last
}

// localSlot returns a slot from this node's ration.
func (r *Relay) localSlot(asks []backpressure.Ask) backpressure.Slot {
	now := r.Time.Now()
	for _, a := range asks {
		if r.localSlots.Take(now, r.Node, a.Server, backpressure.UncoordinatedShare*a.Limit, r.nodes()) {
			return backpressure.Slot{Granted: true, Server: a.Server}
		}
	}
	return backpressure.Slot{Wait: localSlotWait + rand.N(localSlotWait)}
}

// localSlotWait is about how long it takes until slots are granted again. Callers return at random
// times after it.
const localSlotWait = time.Second

// describeSlot returns the log fields about the request's slots.
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

// preferUnlimited removes rate-limited servers while others may serve the request. If those failed
// or were tried, it removes all but the untried rate-limited ones.
func (p *choiceBuffers) preferUnlimited(tried []string) {
	limited, others, fit := false, false, false
	for i, m := range p.members {
		untried := !slices.Contains(tried, m.ID)
		if m.Limited() {
			limited = limited || untried
			continue
		}
		others = true
		fit = fit || untried && !p.candidates[i].Ejected
	}
	switch {
	case fit, others && !limited:
		p.retain(func(m *backend.Member) bool { return !m.Limited() })
	case limited:
		p.retain(func(m *backend.Member) bool { return m.Limited() && !slices.Contains(tried, m.ID) })
	}
}

// retain removes the members for which fits returns false.
func (p *choiceBuffers) retain(fits func(*backend.Member) bool) {
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
