package coordinator

import (
	"iter"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
)

// Said is what a node believes about a server from the server's own announcements.
type Said struct {
	Server  string // ID of its incarnation
	Leaving bool
	Limited bool
	Limit   float64 // requests per second, if Limited
	// KnowsLimit tells that a limit was announced; if the server is not limited, the limit has ended.
	KnowsLimit bool
	LimitAge   time.Duration // age of the announcement of the limit
}

// newSaid returns the message that reports what is believed of a server.
func newSaid(now time.Time, server string, b backpressure.SharedState) Said {
	s := Said{Server: server, Leaving: b.Leaving, Limited: b.Limited, Limit: b.Limit, KnowsLimit: !b.LimitAt.IsZero()}
	if s.KnowsLimit {
		s.LimitAge = now.Sub(b.LimitAt)
	}
	return s
}

// belief is the inverse of newSaid. An announcement that would lie in the future is dated now.
func (s Said) belief(now time.Time) backpressure.SharedState {
	b := backpressure.SharedState{Leaving: s.Leaving, Limited: s.Limited && s.KnowsLimit, Limit: s.Limit}
	if s.KnowsLimit {
		b.LimitAt = now.Add(-max(s.LimitAge, 0))
	}
	return b
}

// SaidVersion identifies the last change of servers' announcements that a node was sent.
type SaidVersion struct {
	Term   uint64 // term of the holder that counts the changes
	Number uint64 // number of the last change; zero: nothing was sent
}

// Limits of the exchange of servers' announcements.
const (
	// maxAnnouncementsPerMessage is how many servers one message covers; the others follow with the next message.
	maxAnnouncementsPerMessage = 64
	// announcementRetention is how long the holder keeps a limit that ended, or a server that it does not list: until
	// all nodes have been sent it.
	announcementRetention = time.Minute
)

// pendingAnnouncements holds the announcements that this node received from servers and has not sent to the holder yet.
// The zero value is empty. Safe for concurrent use.
type pendingAnnouncements struct {
	mu      sync.Mutex
	beliefs map[string]backpressure.SharedState // by ID of the server's incarnation
}

// add queues what is believed of a server.
func (l *pendingAnnouncements) add(server string, b backpressure.SharedState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beliefs == nil {
		l.beliefs = make(map[string]backpressure.SharedState)
	}
	l.beliefs[server] = b
}

// take returns and removes the announcements to send now.
func (l *pendingAnnouncements) take(now time.Time) []Said {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Said
	for server, b := range l.beliefs {
		if len(list) == maxAnnouncementsPerMessage {
			break
		}
		list = append(list, newSaid(now, server, b))
		delete(l.beliefs, server)
	}
	return list
}

// addAll queues all current beliefs again: the last holder may not have passed on what it was sent.
func (l *pendingAnnouncements) addAll(servers *backend.Directory) {
	for id, b := range activeBeliefs(servers) {
		l.add(id, b)
	}
}

// restore queues announcements again that did not reach the holder, unless there are newer ones.
func (l *pendingAnnouncements) restore(now time.Time, list []Said) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range list {
		if _, newer := l.beliefs[s.Server]; !newer {
			l.beliefs[s.Server] = s.belief(now)
		}
	}
}

// SignalsChanged handles a server's announcement that changed what this node believes of it.
func (m *Member) SignalsChanged(update backend.SignalUpdate) {
	logBelief(m.Logger, update, "")
	if update.Change&(backpressure.LeavingSet|backpressure.LimitSet|backpressure.LimitEnded) != 0 {
		m.pendingAnnouncements.add(update.Server, update.Shared)
	}
}

// logBelief logs a change of belief; by tells who reported it, empty: the server itself.
func logBelief(logger hclog.Logger, update backend.SignalUpdate, reporter string) {
	fields := []any{"server", update.Server}
	if update.Change&backpressure.LeavingSet != 0 {
		fields = append(fields, "leaving", true)
	}
	if update.Change&backpressure.BackOffSet != 0 {
		fields = append(fields, "rest_ms", update.BackOff.Milliseconds())
	}
	if update.Change&backpressure.LimitSet != 0 {
		fields = append(fields, "limit", update.Shared.Limit)
	}
	if update.Change&backpressure.LimitEnded != 0 {
		fields = append(fields, "limit_ended", true)
	}
	if update.Change&backpressure.BrittleSet != 0 {
		fields = append(fields, "brittle", update.Brittle)
	}
	if update.Change&backpressure.BrittleEnded != 0 {
		fields = append(fields, "brittle_ended", true)
	}
	if reporter != "" {
		fields = append(fields, "told_by", reporter)
	}
	logger.Info("server asks", fields...)
}

// applyAnnouncements applies the announcements in the answer to a heartbeat that was sent at the given time. An answer
// that was delayed by a suspension is too old.
func (m *Member) applyAnnouncements(sent time.Time, answer *BeatAnswer) {
	now := m.Time.Now()
	if now.Sub(sent) > heartbeatTimeout {
		return
	}
	if m.Holder.address() != m.Self.Peers { // otherwise this node's own beliefs are the same or newer
		for _, s := range answer.Said {
			if update := m.Servers.MergeSignals(s.Server, s.belief(now)); update.Change != 0 {
				logBelief(m.Logger, update, "holder")
			}
		}
	}
	if m.announcementsKnown.Term != answer.SaidVersion.Term {
		m.pendingAnnouncements.addAll(m.Servers)
	}
	m.announcementsKnown = answer.SaidVersion
}

// exchangeAnnouncements applies the announcements that a node reports and returns to it what changed.
func (h *Holder) exchangeAnnouncements(now time.Time, b *Beat, answer *BeatAnswer) {
	own := b.Node.Peers == h.address()
	for _, s := range b.Said[:min(len(b.Said), maxAnnouncementsPerMessage)] {
		update := h.Servers.MergeSignals(s.Server, s.belief(now))
		if update.Change != 0 {
			logBelief(h.Logger, update, b.Node.Name)
		}
		if update.Change != 0 || own || h.beliefs.get(s.Server) == nil { // beliefs of this node, and of the last term, are already applied
			h.noteBelief(now, s.Server, update.Shared)
		}
	}
	known := uint64(0)
	if b.KnowsSaid.Term == h.term {
		known = b.KnowsSaid.Number
	}
	ids, number := h.beliefs.since(known, maxAnnouncementsPerMessage, func(announcedBelief) bool { return true })
	for _, id := range ids {
		answer.Said = append(answer.Said, newSaid(now, id, h.beliefs.get(id).belief))
	}
	answer.SaidVersion = SaidVersion{h.term, number}
}

// announcedBelief is a belief about a server that nodes are sent, with the time of its last change.
type announcedBelief struct {
	belief backpressure.SharedState
	at     time.Time
}

// noteBelief queues what this node now believes of a server for sending to the nodes. The server may not be listed yet.
func (h *Holder) noteBelief(now time.Time, server string, b backpressure.SharedState) {
	h.beliefs.set(server, announcedBelief{b, now})
	h.planSoon = true // if the server leaves or is limited, other servers must load its models
}

// beginBeliefs queues all of this node's beliefs about servers at the start of a term.
func (h *Holder) beginBeliefs(now time.Time) {
	h.beliefs = changeLog[announcedBelief]{}
	for id, b := range activeBeliefs(h.Servers) {
		h.noteBelief(now, id, b)
	}
}

// activeBeliefs yields the servers that have a limit or are leaving, as this node believes.
func activeBeliefs(servers *backend.Directory) iter.Seq2[string, backpressure.SharedState] {
	return func(yield func(string, backpressure.SharedState) bool) {
		for id, m := range servers.Snapshot().Members() {
			if b := m.SharedSignals(); (b.Limited || b.Leaving) && !yield(id, b) {
				return
			}
		}
	}
}

// expireBeliefs drops limits that ended, and servers that are gone.
func (h *Holder) expireBeliefs(now time.Time) {
	snapshot := h.Servers.Snapshot()
	h.beliefs.deleteIf(func(id string, n announcedBelief) bool {
		over := snapshot.Member(id) == nil || !n.belief.Limited && !n.belief.Leaving
		return over && now.Sub(n.at) > announcementRetention
	})
}
