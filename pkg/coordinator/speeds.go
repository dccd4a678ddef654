package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
)

// PacesVersion identifies the last change of servers' speeds that a node was sent.
type PacesVersion struct {
	Term   uint64 // term of the holder that counts the changes
	Number uint64 // number of the last change; zero: nothing was sent
}

// Limits of the exchange of servers' speeds.
const (
	// minSlownessChange is the change of a server's slowness that is sent to the nodes: smaller ones hardly
	// affect a choice.
	minSlownessChange = 0.2
	// maxSpeedsPerAnswer is how many servers one answer covers; the others follow with the next answer.
	maxSpeedsPerAnswer = 64
	// speedReportsPerSecond is about how many streams are reported to the holder per second. For 1,200 servers
	// it is one stream of each every three seconds, for about a thousandth of a core (1.2 ms,
	// BenchmarkLearnPaces).
	speedReportsPerSecond = 400
)

// speedReportShare returns how many streams each node reports with a heartbeat, for a fleet of the given size.
func speedReportShare(fleet int) int { return max(speedReportsPerSecond/max(fleet, 1), 1) }

// serverSpeeds holds the speeds of servers that the holder reports to the nodes. Each node sees few of a fleet's
// streams, too few to tell which servers are slow; all streams together show it within seconds. It only affects how
// nodes choose servers, and no orders. For the goroutine of Run alone.
type serverSpeeds struct {
	log changeLog[knownSlowness] // by ID of the server's incarnation
}

// knownSlowness is the slowness of one server as last sent to the nodes.
type knownSlowness struct {
	ratio float64   // time per event relative to the fastest server
	at    time.Time // when a stream of the server was last reported
}

// note updates a server's slowness. The first value for a server is always sent: nodes may still have one from before
// it was dropped here, or from an earlier holder.
func (p *serverSpeeds) note(now time.Time, id string, ratio float64) {
	ratio = min(ratio, backend.MaxSlowness)
	k := p.log.get(id)
	if k != nil && math.Abs(ratio-k.ratio) < minSlownessChange {
		k.at = now
		return
	}
	p.log.set(id, knownSlowness{ratio, now})
}

// since returns changes after the given number that are not too old, oldest first, and the number up to which they
// are complete.
func (p *serverSpeeds) since(now time.Time, number uint64) ([]backend.Slowness, uint64) {
	ids, upTo := p.log.since(number, maxSpeedsPerAnswer, func(k knownSlowness) bool { return now.Sub(k.at) <= backend.SlownessLifetime })
	var list []backend.Slowness
	for _, id := range ids {
		k := p.log.get(id)
		list = append(list, backend.Slowness{Server: id, Ratio: k.ratio, Age: now.Sub(k.at)})
	}
	return list, upTo
}

// expire drops servers of which no stream was reported for long.
func (p *serverSpeeds) expire(now time.Time) {
	p.log.deleteIf(func(_ string, k knownSlowness) bool { return now.Sub(k.at) > backend.SlownessLifetime })
}

// exchangeSpeeds applies the speeds that a node reports and returns to it what changed.
func (h *Holder) exchangeSpeeds(now time.Time, b *Beat, answer *BeatAnswer) {
	if b.Node.Peers != h.address() { // this node's own streams are already counted
		h.Servers.LearnPaces(b.Paces)
	}
	snapshot := h.Servers.Snapshot()
	for _, pace := range b.Paces {
		if m := snapshot.Member(pace.Server); m != nil {
			h.speeds.note(now, m.ID, m.Slowness())
		}
	}
	known := uint64(0)
	if b.KnowsPaces.Term == h.term {
		known = b.KnowsPaces.Number
	}
	answer.PacesVersion.Term = h.term
	answer.Paces, answer.PacesVersion.Number = h.speeds.since(now, known)
}

// address returns this node's address while it holds the lease.
func (h *Holder) address() string {
	record, _ := h.Lease.Current()
	return record.Address
}

// applySpeeds applies the speeds in the answer to a heartbeat that was sent at the given time. An answer that was
// delayed by a suspension is too old.
func (m *Member) applySpeeds(sent time.Time, answer *BeatAnswer) {
	if m.Time.Since(sent) > heartbeatTimeout {
		return
	}
	if len(answer.Paces) > 0 && m.Holder.address() != m.Self.Peers { // otherwise this node's own values are the same or newer
		m.Servers.LearnSlowness(answer.Paces)
		m.Logger.Info("server speeds received", "servers", len(answer.Paces), "slowest", slowest(answer.Paces), "term", answer.PacesVersion.Term,
			"number", answer.PacesVersion.Number)
	}
	m.speedsKnown = answer.PacesVersion
}

// slowest returns the largest ratio of a list.
func slowest(list []backend.Slowness) float64 {
	return slices.MaxFunc(list, func(a, b backend.Slowness) int { return cmp.Compare(a.Ratio, b.Ratio) }).Ratio
}
