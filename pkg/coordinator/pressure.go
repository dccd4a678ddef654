package coordinator

import (
	"iter"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
)

// Said is what a node believes of a server by the server's own words.
type Said struct {
	Server  string // the ID of its life
	Leaving bool
	Limited bool
	Limit   float64 // requests a second, of one that is limited
	// KnowsLimit tells that a limit was heard of; it ended if the server is not limited.
	KnowsLimit bool
	LimitAge   time.Duration // of the word on the limit
}

// newSaid returns the message about a server.
func newSaid(now time.Time, server string, b backpressure.Belief) Said {
	s := Said{Server: server, Leaving: b.Leaving, Limited: b.Limited, Limit: b.Limit, KnowsLimit: !b.LimitAt.IsZero()}
	if s.KnowsLimit {
		s.LimitAge = now.Sub(b.LimitAt)
	}
	return s
}

// belief is the inverse of newSaid. A word that would be of the future is of now.
func (s Said) belief(now time.Time) backpressure.Belief {
	b := backpressure.Belief{Leaving: s.Leaving, Limited: s.Limited && s.KnowsLimit, Limit: s.Limit}
	if s.KnowsLimit {
		b.LimitAt = now.Add(-max(s.LimitAge, 0))
	}
	return b
}

// SaidVersion tells up to which change of what servers said a node was told.
type SaidVersion struct {
	Term   uint64 // of the holder that counts the changes
	Number uint64 // of the last change; zero: nothing was told
}

// Bounds of what is told of servers' words.
const (
	// mostSaid is how many servers one message tells of; the rest follow with the next.
	mostSaid = 64
	// saidTime is after how long the holder forgets a limit that ended, or a server that it does not list: all
	// nodes were told.
	saidTime = time.Minute
)

// hearings are the words that this node heard itself and has not told the holder yet. The zero value is empty.
// Safe for concurrent use.
type hearings struct {
	mu    sync.Mutex
	heard map[string]backpressure.Belief // by the life of the server
}

// add notes what is believed by a word.
func (l *hearings) add(server string, b backpressure.Belief) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		l.heard = make(map[string]backpressure.Belief)
	}
	l.heard[server] = b
}

// take returns the words to be told now, and forgets them.
func (l *hearings) take(now time.Time) []Said {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Said
	for server, b := range l.heard {
		if len(list) == mostSaid {
			break
		}
		list = append(list, newSaid(now, server, b))
		delete(l.heard, server)
	}
	return list
}

// retell has all that is believed told once more: what the last holder was told may have gone no further.
func (l *hearings) retell(servers *backend.Directory) {
	for id, b := range believed(servers) {
		l.add(id, b)
	}
}

// giveBack takes back words that did not reach the holder, unless there are newer ones.
func (l *hearings) giveBack(now time.Time, list []Said) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		if _, newer := l.heard[s.Server]; !newer {
			l.heard[s.Server] = s.belief(now)
		}
	}
}

// Heard takes in that a server's own word changed what this node believes of it.
func (m *Member) Heard(h backend.Heard) {
	logHeard(m.Logger, h, "")
	if h.Change&(backpressure.Left|backpressure.LimitSet|backpressure.LimitEnded) != 0 {
		m.hearings.add(h.Server, h.Belief)
	}
}

// logHeard has the log tell of a change of belief; by: who told of the word, empty: the server itself.
func logHeard(logger hclog.Logger, h backend.Heard, by string) {
	fields := []any{"server", h.Server}
	if h.Change&backpressure.Left != 0 {
		fields = append(fields, "leaving", true)
	}
	if h.Change&backpressure.RestSet != 0 {
		fields = append(fields, "rest_ms", h.Rest.Milliseconds())
	}
	if h.Change&backpressure.LimitSet != 0 {
		fields = append(fields, "limit", h.Belief.Limit)
	}
	if h.Change&backpressure.LimitEnded != 0 {
		fields = append(fields, "limit_ended", true)
	}
	if by != "" {
		fields = append(fields, "told_by", by)
	}
	logger.Info("server asks", fields...)
}

// takeSaid takes in what the holder told of servers, in answer to a beat that was sent at a time. An answer that
// waited in a suspension is too old.
func (m *Member) takeSaid(sent time.Time, answer *BeatAnswer) {
	now := m.Time.Now()
	if now.Sub(sent) > beatTimeout {
		return
	}
	if m.Holder.address() != m.Self.Peers { // this node's own are as told or newer
		for _, s := range answer.Said {
			if h := m.Servers.Tell(s.Server, s.belief(now)); h.Change != 0 {
				logHeard(m.Logger, h, "holder")
			}
		}
	}
	if m.saidKnown.Term != answer.SaidVersion.Term {
		m.hearings.retell(m.Servers)
	}
	m.saidKnown = answer.SaidVersion
}

// exchangeSaid takes in what servers said to a node and tells it what changed.
func (h *Holder) exchangeSaid(now time.Time, b *Beat, answer *BeatAnswer) {
	own := b.Node.Peers == h.address()
	for _, s := range b.Said[:min(len(b.Said), mostSaid)] {
		told := h.Servers.Tell(s.Server, s.belief(now))
		if told.Change != 0 {
			logHeard(h.Logger, told, b.Node.Name)
		}
		if told.Change != 0 || own || h.said.get(s.Server) == nil { // this node's own are known, as are the last term's
			h.noteSaid(now, s.Server, told.Belief)
		}
	}
	known := uint64(0)
	if b.KnowsSaid.Term == h.term {
		known = b.KnowsSaid.Number
	}
	ids, number := h.said.since(known, mostSaid, func(noted) bool { return true })
	for _, id := range ids {
		answer.Said = append(answer.Said, newSaid(now, id, h.said.get(id).belief))
	}
	answer.SaidVersion = SaidVersion{h.term, number}
}

// noted is what nodes are to be told of a server, since a time.
type noted struct {
	belief backpressure.Belief
	at     time.Time
}

// noteSaid has nodes told what this node believes of a server now, which it may not list yet.
func (h *Holder) noteSaid(now time.Time, server string, b backpressure.Belief) {
	h.said.set(server, noted{b, now})
	h.planSoon = true // other servers are to hold what it holds
}

// beginSaid has nodes told in a new term what this node believes of servers.
func (h *Holder) beginSaid(now time.Time) {
	h.said = changeLog[noted]{}
	for id, b := range believed(h.Servers) {
		h.noteSaid(now, id, b)
	}
}

// believed yields the servers that name a limit or leave by what this node believes.
func believed(servers *backend.Directory) iter.Seq2[string, backpressure.Belief] {
	return func(yield func(string, backpressure.Belief) bool) {
		for id, m := range servers.Snapshot().Members() {
			if b := m.Belief(); (b.Limited || b.Leaving) && !yield(id, b) {
				return
			}
		}
	}
}

// expireSaid forgets limits that ended, and servers that are gone.
func (h *Holder) expireSaid(now time.Time) {
	snapshot := h.Servers.Snapshot()
	h.said.forget(func(id string, n noted) bool {
		over := snapshot.Member(id) == nil || !n.belief.Limited && !n.belief.Leaving
		return over && now.Sub(n.at) > saidTime
	})
}
