package admission

import (
	"time"

	"github.com/pkg/errors"
)

// Parts of the available time and memory that decisions count on. What remains is a reserve for what
// can't be predicted.
const (
	// inTimeShare is the part of the time until a request is late. Prompts that arrive later delay
	// its first event by a few steps.
	inTimeShare = 0.85
	// patienceShare is the part of the time until the caller gives up.
	patienceShare = 0.85
	// urgentShare is the part of the target of more urgent requests that less urgent ones leave to
	// them.
	urgentShare = 0.6
	// dueShare is the part of the target that orders requests of the same rank. A request with a
	// longer target thus gets capacity while it still has time left, and not only when its target
	// is nearly over.
	dueShare = 0.4
	// memoryShare is the part of a server's memory. Answers are longer than expected in half of the
	// requests, and a server without free memory drops prompts that it has read and must read them
	// again.
	memoryShare = 0.9
)

// Times of waiting.
const (
	// keepBusy is the amount of pending work that keeps a server busy until the next verdict.
	// Reports on its progress and a node's next question take less time.
	keepBusy = 250 * time.Millisecond
	// minWait and maxWait bound the wait before a request asks again. maxWait is below keepBusy, so
	// that no server is idle meanwhile.
	minWait       = 20 * time.Millisecond
	maxWait       = 120 * time.Millisecond
	waitPerWaiter = 2 * time.Millisecond // per waiting request, so that all together ask at most 500 times per second
	// maxTurnover bounds the estimated time until one of a server's places is free, since the
	// lengths of answers are guesses.
	maxTurnover = time.Second
)

// When refused requests come back.
const (
	minAway    = 200 * time.Millisecond
	maxAway    = 4 * time.Second // about as long as most callers wait; after that they start anew anyway
	awaySpread = 16              // number of steps over which the last quarter of maxAway is spread
)

// Errors for invalid requests and reports.
var (
	ErrRequest = errors.New("admission: the request has absurd values")
	ErrReport  = errors.New("admission: the report has absurd values")
	ErrServer  = errors.New("admission: none of the servers is known")
)

// waiter is a request that was told to ask again.
type waiter struct {
	place  Place
	model  Key
	target time.Duration // target of its route
	server string        // server that is expected to have capacity first
	order  order
	work   float64   // prompt tokens to read
	memory int       // cache tokens
	until  time.Time // after this time the waiter counts as gone unless it asked again
}

// order determines which request goes first: the more urgent one, then one that can still be in
// time, then the one whose time runs out sooner.
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

// candidate is a server for a request, with what the request can expect there.
type candidate struct {
	name      string
	server    *server
	load      load
	ownTokens float64       // prompt tokens of the request that the server must read
	pending   float64       // tokens to read before, including those of waiters that go first
	expected  float64       // tokens to read until the request's first event
	first     time.Duration // time until the request's first event
	open      bool          // whether the request may go now
	wait      time.Duration // estimated time until the request may go
}

// Decide decides on a request. A request that may go has its place from then on. An error means
// that there is no decision and the node chooses by itself.
func (m *Model) Decide(now time.Time, r *Request) (Verdict, error) {
	if !r.Valid() {
		return Verdict{}, ErrRequest
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forget(r.Place)
	if now.Before(m.learnUntil) {
		return Verdict{}, nil
	}
	o := order{rank: min(r.Rank, numRanks-1), due: now.Add(time.Duration(dueShare*float64(r.routeTarget())) - r.Waited)}
	limit := time.Duration(inTimeShare * float64(r.Target))
	if m.ablation.byPatience {
		limit = time.Duration(patienceShare * float64(r.Patience))
	}
	list := m.candidates(now, r)
	if len(list) == 0 {
		return Verdict{}, ErrServer
	}
	if due := m.dueServer(now, r, list); due != nil {
		return m.grant(now, r, due), nil
	}
	m.predict(now, r, o, list)
	if best := soonest(list, true); best != nil && best.first <= limit {
		return m.grant(now, r, best), nil
	}
	if best := soonest(list, false); best.first <= limit {
		return m.enqueue(now, r, o, best), nil
	}
	return m.decideLate(now, r, o, list), nil
}

// rankInterval is the time after which a server that got no request of a rank, or of a less urgent
// one, takes the next request of that rank even if more urgent ones wait. One prompt in two seconds
// makes few of those late, and the callers of nearly all ranks wait longer than that.
const rankInterval = 2 * time.Second

// dueServer returns a server whose rankInterval for the request's rank is over, nil if there is
// none.
func (m *Model) dueServer(now time.Time, r *Request, list []candidate) *candidate {
	rank := min(r.Rank, numRanks-1)
	limit := time.Duration(patienceShare * float64(r.Patience))
	for i := range list {
		p := &list[i]
		if now.Sub(p.server.lastServed[rank]) < rankInterval || !p.server.urgentRecently(now, rank) {
			continue
		}
		p.predict(now, r, order{}, ahead{}, 0, m.ablation)
		if p.hasCapacity(r, ahead{}, 0, m.ablation) && p.first <= limit {
			return p
		}
	}
	return nil
}

// decideLate decides on a request that can't be in time. It goes to a server that is nearly idle, where
// it delays no other request. Until there is one it waits behind all requests that can be in time, as
// long as its caller waits.
func (m *Model) decideLate(now time.Time, r *Request, o order, list []candidate) Verdict {
	o.late, o.due = true, now.Add(r.Patience)
	limit := time.Duration(patienceShare * float64(r.Patience))
	m.predict(now, r, o, list)
	best := soonest(list, true)
	switch {
	case best != nil && best.first <= limit && (m.ablation.byPatience || best.nearlyIdle()):
		return m.grant(now, r, best)
	case best == nil:
		best = soonest(list, false)
	}
	if best.first <= limit && !m.ablation.byPatience {
		return m.enqueue(now, r, o, best)
	}
	return m.refuse(now, r, best)
}

// nearlyIdle reports whether the server has so little to read that one more request could hardly
// make another one late.
func (p *candidate) nearlyIdle() bool { return p.pending <= tokens(keepBusy, p.load.speed)/2 }

// candidates returns the known servers of a request, with their load.
func (m *Model) candidates(now time.Time, r *Request) []candidate {
	list := make([]candidate, 0, len(r.Servers))
	for _, name := range r.Servers {
		s := m.server(name)
		if s == nil {
			continue
		}
		list = append(list, candidate{name: name, server: s, load: s.load(now), ownTokens: s.prefillTokens(now, r.Need, r.Work)})
	}
	return list
}

// predict computes what the request can expect on each of its servers.
func (m *Model) predict(now time.Time, r *Request, o order, list []candidate) {
	waiting, speeds := m.aheadOf(now, list, o), 0.0
	for i := range list {
		speeds += list[i].load.speed
	}
	for i := range list {
		list[i].predict(now, r, o, waiting, list[i].load.speed/speeds, m.ablation)
	}
}

// ahead sums up the waiting requests that go before a request.
type ahead struct {
	work   float64 // prompt tokens to read
	memory int     // cache tokens
	count  int     // number of requests
}

// aheadOf returns what waits for any of the servers and goes before a request. The request that
// waits longest gets the first free capacity on any of them.
func (m *Model) aheadOf(now time.Time, list []candidate, o order) ahead {
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

// soonest returns the candidate with the earliest first event, nil if there is none. Among equals
// it returns the first, which is the one that the asking node prefers. With open set, only
// candidates that are open count.
func soonest(list []candidate, open bool) *candidate {
	var best *candidate
	for i := range list {
		if p := &list[i]; (p.open || !open) && (best == nil || p.first < best.first) {
			best = p
		}
	}
	return best
}

// predict computes what the request can expect on the server. share is the server's share of what
// waits before it.
func (p *candidate) predict(now time.Time, r *Request, o order, waiting ahead, share float64, ablated ablation) {
	s := p.server
	p.open, p.wait = false, 0
	p.pending = p.load.pending + share*waiting.work
	p.expected = p.pending + p.ownTokens + s.eventWork(p.pending/2)
	p.first = duration(p.expected, p.load.speed)
	if !p.hasCapacity(r, waiting, share, ablated) {
		p.wait = s.turnover(p.load)
		p.first += p.wait
		return
	}
	depth := s.maxPending(now, o.rank, p.ownTokens, p.load.speed, ablated)
	if slack := time.Duration(inTimeShare*float64(r.Target)) - p.first; slack >= 0 && slack < maxWait {
		depth = max(depth, tokens(keepBusy, p.load.speed)) // it would be late otherwise
	}
	over := p.pending - depth
	p.open = over <= 0
	p.wait = duration(max(over, 0), p.load.speed)
}

// hasCapacity reports whether the server has a slot and memory for the request, in addition to the
// requests that run and those that wait before it.
func (p *candidate) hasCapacity(r *Request, waiting ahead, share float64, ablated ablation) bool {
	if p.load.places == 0 {
		return true // the server itself rejects a request that exceeds its memory
	}
	if p.load.places+int(share*float64(waiting.count)) >= p.server.engine.Slots {
		return false
	}
	taken := p.load.memory + int(share*float64(waiting.memory)) + r.Work.memory()
	return ablated.noMemory || taken <= int(memoryShare*float64(p.server.engine.CacheTokens))
}

// turnover estimates when one of the server's places is free: in the time that a request takes, as
// many requests end as are running.
func (s *server) turnover(l load) time.Duration {
	sum := l.pending
	for _, p := range s.places {
		sum += float64(p.out) * s.tokenMS * l.speed
	}
	return min(duration(sum/float64(max(l.places, 1)), l.speed), maxTurnover)
}

// maxPending returns the largest amount of pending work before a request of a rank that has the given
// tokens of its own. Within it, more urgent requests, if any came recently, are still in time.
func (s *server) maxPending(now time.Time, rank int, own, speed float64, ablated ablation) float64 {
	if ablated.noHeadroom {
		return maxTokens
	}
	most := tokens(keepBusy, speed)
	for i := range min(rank, numRanks-1) {
		p := &s.profiles[i]
		if now.Sub(p.updated) > profileTTL {
			continue
		}
		bound := tokens(time.Duration(urgentShare*float64(p.target)), speed) - p.work - s.eventWork(0)
		most = min(most, bound-own)
	}
	return max(most, 0)
}

// grant gives a request its place.
func (m *Model) grant(now time.Time, r *Request, best *candidate) Verdict {
	s := best.server
	p := &place{key: r.Place, model: r.Key, need: r.Need, rank: r.Rank, target: r.routeTarget(), sent: now, work: best.ownTokens,
		expected: best.expected, memory: r.Work.memory(), out: r.Work.Out, fullWork: r.Work,
		deadline: now.Add(r.Left + maxReportDelay), lastReport: now}
	m.addPlace(best.name, s, p)
	s.updateProfile(now, r.Rank, p.target, best.ownTokens)
	s.noteServed(now, r.Rank)
	return Verdict{Kind: Go, Server: best.name, First: best.first, Age: now.Sub(s.lastReport)}
}

// enqueue has a request wait for a server.
func (m *Model) enqueue(now time.Time, r *Request, o order, best *candidate) Verdict {
	s := best.server
	after := max(best.wait, minWait, time.Duration(len(s.waiters))*waitPerWaiter)
	after = min(after, max(maxWait, time.Duration(len(s.waiters))*waitPerWaiter))
	w := &waiter{place: r.Place, model: r.Key, target: r.routeTarget(), server: best.name, order: o, work: best.ownTokens, memory: r.Work.memory(),
		until: now.Add(after + maxReportDelay)}
	s.waiters = append(s.waiters, w)
	m.waiting[r.Place] = w
	s.updateProfile(now, r.Rank, r.routeTarget(), best.ownTokens)
	return Verdict{Kind: Wait, First: best.first, After: after, Age: now.Sub(s.lastReport)}
}

// refuse refuses a request until capacity should be free for it, after the requests that were refused
// before it and come back earlier.
func (m *Model) refuse(now time.Time, r *Request, best *candidate) Verdict {
	speed := 0.0
	for _, name := range r.Servers {
		if s := m.server(name); s != nil {
			speed += s.speed.estimate(now)
		}
	}
	o := m.overload(r.Key)
	away := max(min(best.first, maxAway/2), o.reservedUntil.Sub(now), minAway)
	if away > maxAway { // spread by the node's request counter, or all would come back at once
		away = maxAway - time.Duration(r.Place.ID%awaySpread)*maxAway/(4*awaySpread)
	}
	reservedFor := away + duration(best.ownTokens, max(speed, minSpeed))
	o.reservedUntil = now.Add(min(reservedFor, maxAway+1)) // beyond maxAway, the next one is spread
	return Verdict{Kind: Refuse, First: best.first, After: away, Age: now.Sub(best.server.lastReport)}
}
