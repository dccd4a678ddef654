package admission

import (
	"time"

	"github.com/pkg/errors"
)

// Shares of what callers want that are counted on, the rest being for what can't be foreseen.
const (
	// inTimeShare is of the time until a request is late: prompts that come behind delay the
	// first event by a few steps.
	inTimeShare = 0.85
	// patienceShare is of the time until the caller leaves.
	patienceShare = 0.85
	// urgentShare is of the target of more urgent requests, for whose sake less urgent ones wait.
	urgentShare = 0.6
	// dueShare is of the target, by which requests of a rank go first: whose time is longer gets
	// room while it has some left, and not as its last is spent.
	dueShare = 0.4
	// memoryShare is of a server's memory: answers are longer than their callers guess by half of
	// them, and a server without memory left drops what it has read and reads it anew.
	memoryShare = 0.9
)

// Times of waiting.
const (
	// shallow is what a server has to read so that it is not idle before the next verdict: news of
	// its progress and a node's next question take less.
	shallow = 250 * time.Millisecond
	// leastWait and mostWait bound the wait before a request asks again. The latter is below
	// shallow, so that no server is idle meanwhile.
	leastWait  = 20 * time.Millisecond
	mostWait   = 120 * time.Millisecond
	waiterTime = 2 * time.Millisecond // for each that waits, so that they ask 500 times a second at most
	// mostTurnover bounds the time after which one of a server's places is taken to be free, as the
	// lengths of answers are guesses.
	mostTurnover = time.Second
)

// When refused requests come back.
const (
	leastAway = 200 * time.Millisecond
	mostAway  = 4 * time.Second // about as long as most callers wait: later ones begin anew anyway
	awayParts = 16              // over which the last quarter of mostAway is spread
)

// Errors of what nodes tell.
var (
	ErrRequest = errors.New("admission: the request has absurd values")
	ErrReport  = errors.New("admission: the report has absurd values")
	ErrServer  = errors.New("admission: none of the servers is known")
)

// waiter is a request that was told to ask again.
type waiter struct {
	place  Place
	model  Key
	target time.Duration // of its route
	server string        // with the soonest room
	order  order
	work   float64   // tokens to read
	memory int       // tokens
	until  time.Time // when it counts as gone if it did not ask again
}

// order is who goes first: the more urgent; then who can still be in time; then whose time
// runs out sooner.
type order struct {
	rank int
	late bool
	due  time.Time
}

func (o order) before(other order) bool {
	if o.rank != other.rank {
		return o.rank < other.rank
	}
	if o.late != other.late {
		return other.late
	}
	return o.due.Before(other.due)
}

// prospect is what a request can expect at a server.
type prospect struct {
	name     string
	server   *server
	load     load
	own      float64       // tokens that the server reads of its prompt
	unread   float64       // tokens, with those of waiters that go before it
	expected float64       // tokens to be read until its first event
	first    time.Duration // until its first event
	open     bool          // it may go now
	wait     time.Duration // until it may, about
}

// Decide decides on a request. One that may go has its place from then on; an error means that
// it was not decided on, and its node is to choose by itself.
func (m *Model) Decide(now time.Time, r *Request) (Verdict, error) {
	if !r.Valid() {
		return Verdict{}, ErrRequest
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop(r.Place)
	if now.Before(m.learnUntil) {
		return Verdict{}, nil
	}
	o := order{rank: min(r.Rank, ranks-1), due: now.Add(time.Duration(dueShare*float64(r.routeTarget())) - r.Waited)}
	limit := time.Duration(inTimeShare * float64(r.Target))
	if m.ways.patience {
		limit = time.Duration(patienceShare * float64(r.Patience))
	}
	list := m.prospects(now, r)
	if len(list) == 0 {
		return Verdict{}, ErrServer
	}
	if due := m.turn(now, r, list); due != nil {
		return m.grant(now, r, due), nil
	}
	m.judge(now, r, o, list)
	if best := soonest(list, true); best != nil && best.first <= limit {
		return m.grant(now, r, best), nil
	}
	if best := soonest(list, false); best.first <= limit {
		return m.hold(now, r, o, best), nil
	}
	return m.decideLate(now, r, o, list), nil
}

// turnTime is the time after which a server that got no request of a rank, or of a less urgent
// one, takes the next of that rank whatever more urgent ones wait: one prompt in two seconds makes
// few of those late, and the callers of nearly all ranks wait for longer than that.
const turnTime = 2 * time.Second

// turn returns a server that is due to take one of the request's rank, nil if there is none.
func (m *Model) turn(now time.Time, r *Request, list []prospect) *prospect {
	rank := min(r.Rank, ranks-1)
	limit := time.Duration(patienceShare * float64(r.Patience))
	for i := range list {
		p := &list[i]
		if now.Sub(p.server.served[rank]) < turnTime || !p.server.urgentBefore(now, rank) {
			continue
		}
		p.judge(now, r, order{}, ahead{}, 0, m.ways)
		if p.hasRoom(r, ahead{}, 0, m.ways) && p.first <= limit {
			return p
		}
	}
	return nil
}

// decideLate decides on a request that can't be in time. It goes where it takes nobody's room;
// it waits for that while its caller does, behind all that can be in time.
func (m *Model) decideLate(now time.Time, r *Request, o order, list []prospect) Verdict {
	o.late, o.due = true, now.Add(r.Patience)
	limit := time.Duration(patienceShare * float64(r.Patience))
	m.judge(now, r, o, list)
	best := soonest(list, true)
	switch {
	case best != nil && best.first <= limit && (m.ways.patience || best.spare()):
		return m.grant(now, r, best)
	case best == nil:
		best = soonest(list, false)
	}
	if best.first <= limit && !m.ways.patience {
		return m.hold(now, r, o, best)
	}
	return m.refuse(now, r, best)
}

// spare tells whether the server has so little to read that a request in time could hardly be
// made late by one more.
func (p *prospect) spare() bool { return p.unread <= tokens(shallow, p.load.speed)/2 }

// prospects returns those of a request's servers that are known, with what they have to do.
func (m *Model) prospects(now time.Time, r *Request) []prospect {
	list := make([]prospect, 0, len(r.Servers))
	for _, name := range r.Servers {
		s := m.server(name)
		if s == nil {
			continue
		}
		list = append(list, prospect{name: name, server: s, load: s.load(now), own: s.toRead(now, r.Need, r.Work)})
	}
	return list
}

// judge works out what the request can expect at each of its servers.
func (m *Model) judge(now time.Time, r *Request, o order, list []prospect) {
	waiting, speeds := m.before(now, list, o), 0.0
	for i := range list {
		speeds += list[i].load.speed
	}
	for i := range list {
		list[i].judge(now, r, o, waiting, list[i].load.speed/speeds, m.ways)
	}
}

// ahead is what waits and goes before a request.
type ahead struct {
	work   float64 // tokens to read
	memory int     // tokens
	count  int     // requests
}

// before returns what waits for any of the servers and goes before a request: who waits longest
// gets the first room at any of them.
func (m *Model) before(now time.Time, list []prospect, o order) ahead {
	var a ahead
	for i := range list {
		for _, w := range list[i].server.waiters {
			if now.Before(w.until) && !o.before(w.order) {
				a.work += w.work
				a.memory += w.memory
				a.count++
			}
		}
	}
	return a
}

// soonest returns where the first event comes soonest, nil if there is none; the first one
// among equals, as the node that asks would have chosen it.
func soonest(list []prospect, open bool) *prospect {
	var best *prospect
	for i := range list {
		if p := &list[i]; (p.open || !open) && (best == nil || p.first < best.first) {
			best = p
		}
	}
	return best
}

// judge works out what the request can expect, with the server's share of what waits before it.
func (p *prospect) judge(now time.Time, r *Request, o order, waiting ahead, share float64, ways ways) {
	s := p.server
	p.open, p.wait = false, 0
	p.unread = p.load.unread + share*waiting.work
	p.expected = p.unread + p.own + s.tail(p.unread/2)
	p.first = duration(p.expected, p.load.speed)
	if !p.hasRoom(r, waiting, share, ways) {
		p.wait = s.turnover(p.load)
		p.first += p.wait
		return
	}
	depth := s.depth(now, o.rank, p.own, p.load.speed, ways)
	if slack := time.Duration(inTimeShare*float64(r.Target)) - p.first; slack >= 0 && slack < mostWait {
		depth = max(depth, tokens(shallow, p.load.speed)) // it is late otherwise
	}
	over := p.unread - depth
	p.open = over <= 0
	p.wait = duration(max(over, 0), p.load.speed)
}

// hasRoom tells whether the server has a slot and memory for the request beside what runs and
// what waits before it.
func (p *prospect) hasRoom(r *Request, waiting ahead, share float64, ways ways) bool {
	if p.load.places == 0 {
		return true // the server itself turns away what is larger than its memory
	}
	if p.load.places+int(share*float64(waiting.count)) >= p.server.engine.Slots {
		return false
	}
	taken := p.load.memory + int(share*float64(waiting.memory)) + r.Work.memory()
	return ways.noMemory || taken <= int(memoryShare*float64(p.server.engine.CacheTokens))
}

// turnover returns after which time one of the server's places is likely free: as many end in a
// request's time as run.
func (s *server) turnover(l load) time.Duration {
	sum := l.unread
	for _, p := range s.places {
		sum += float64(p.out) * s.tokenMS * l.speed
	}
	return min(duration(sum/float64(max(l.places, 1)), l.speed), mostTurnover)
}

// depth returns how much a server may have to read before a request of a rank that goes there and
// brings so much itself. More urgent requests, of which some came lately, are to be in time.
func (s *server) depth(now time.Time, rank int, own, speed float64, ways ways) float64 {
	if ways.noRoom {
		return mostTokens
	}
	most := tokens(shallow, speed)
	for i := range min(rank, ranks-1) {
		p := &s.profiles[i]
		if now.Sub(p.at) > profileTime {
			continue
		}
		bound := tokens(time.Duration(urgentShare*float64(p.target)), speed) - p.work - s.tail(0)
		most = min(most, bound-own)
	}
	return max(most, 0)
}

// grant gives a request its place.
func (m *Model) grant(now time.Time, r *Request, best *prospect) Verdict {
	s := best.server
	p := &place{key: r.Place, model: r.Key, need: r.Need, rank: r.Rank, target: r.routeTarget(), sent: now, work: best.own,
		expected: best.expected, memory: r.Work.memory(), out: r.Work.Out, whole: r.Work,
		dies: now.Add(r.Left + newsDelay), heard: now}
	m.put(best.name, s, p)
	s.profileOf(now, r.Rank, p.target, best.own)
	s.serves(now, r.Rank)
	return Verdict{Kind: Go, Server: best.name, First: best.first, Age: now.Sub(s.heard)}
}

// hold has a request wait for a server.
func (m *Model) hold(now time.Time, r *Request, o order, best *prospect) Verdict {
	s := best.server
	after := max(best.wait, leastWait, time.Duration(len(s.waiters))*waiterTime)
	after = min(after, max(mostWait, time.Duration(len(s.waiters))*waiterTime))
	w := &waiter{place: r.Place, model: r.Key, target: r.routeTarget(), server: best.name, order: o, work: best.own, memory: r.Work.memory(),
		until: now.Add(after + newsDelay)}
	s.waiters = append(s.waiters, w)
	m.waiting[r.Place] = w
	s.profileOf(now, r.Rank, r.routeTarget(), best.own)
	return Verdict{Kind: Wait, First: best.first, After: after, Age: now.Sub(s.heard)}
}

// refuse tells a request when there should be room, behind the refused ones that were told to come
// back before it.
func (m *Model) refuse(now time.Time, r *Request, best *prospect) Verdict {
	speed := 0.0
	for _, name := range r.Servers {
		if s := m.server(name); s != nil {
			speed += s.speed.careful(now)
		}
	}
	c := m.crowd(r.Key)
	away := max(min(best.first, mostAway/2), c.promised.Sub(now), leastAway)
	if away > mostAway { // spread by the count of the node that asks: all would come at once
		away = mostAway - time.Duration(r.Place.ID%awayParts)*mostAway/(4*awayParts)
	}
	room := away + duration(best.own, max(speed, leastSpeed))
	c.promised = now.Add(min(room, mostAway+1)) // beyond mostAway, the next one is spread
	return Verdict{Kind: Refuse, First: best.first, After: away, Age: now.Sub(best.server.heard)}
}
