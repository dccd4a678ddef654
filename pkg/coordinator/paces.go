package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
)

// PacesVersion tells up to which change of servers' paces a node was told.
type PacesVersion struct {
	Term   uint64 // of the holder that counts the changes
	Number uint64 // of the last change; zero: nothing was told
}

// Bounds of what is told of paces.
const (
	// leastMove is by how much a server's slowness has to move before nodes are told again: less
	// hardly changes a choice.
	leastMove = 0.2
	// mostPacesTold is how many servers one answer tells of; the rest follow with the next.
	mostPacesTold = 64
	// pacesASecond is about how many streams the holder learns of a second: of each of 1,200
	// servers every three seconds, for about a thousandth of a core (1.2 ms, BenchmarkLearnPaces).
	pacesASecond = 400
)

// pacesShare returns of how many streams each node of a fleet of so many tells with a beat.
func pacesShare(fleet int) int { return max(pacesASecond/max(fleet, 1), 1) }

// paces is what the holder tells nodes of the paces of servers. Each node sees a few of the streams
// of a fleet, too few to tell which servers are slow; all of them show it within seconds. Nothing
// but the choices of nodes goes by it, no order does. For the holder's loop alone.
type paces struct {
	log changeLog[knownPace] // by the life of the server
}

// knownPace is what nodes are told of one server.
type knownPace struct {
	ratio float64   // its slowness, as told
	at    time.Time // of the last stream that told of it
}

// note takes in a server's slowness as it stands. The first word on one is told whatever it
// is: nodes may believe what was told of it before it was forgotten, or by an earlier holder.
func (p *paces) note(now time.Time, id string, ratio float64) {
	ratio = min(ratio, backend.MostSlowness)
	k := p.log.get(id)
	if k != nil && math.Abs(ratio-k.ratio) < leastMove {
		k.at = now
		return
	}
	p.log.set(id, knownPace{ratio, now})
}

// since returns what changed after a number and is not too old, oldest changes first, and the
// number of the change up to which nothing is missing.
func (p *paces) since(now time.Time, number uint64) ([]backend.Slowness, uint64) {
	ids, upTo := p.log.since(number, mostPacesTold, func(k knownPace) bool { return now.Sub(k.at) <= backend.SlownessLifetime })
	var list []backend.Slowness
	for _, id := range ids {
		k := p.log.get(id)
		list = append(list, backend.Slowness{Server: id, Ratio: k.ratio, Age: now.Sub(k.at)})
	}
	return list, upTo
}

// expire forgets servers that no stream told of for long.
func (p *paces) expire(now time.Time) {
	p.log.forget(func(_ string, k knownPace) bool { return now.Sub(k.at) > backend.SlownessLifetime })
}

// exchangePaces takes in what a node's streams told of servers and tells it what moved.
func (h *Holder) exchangePaces(now time.Time, b *Beat, answer *BeatAnswer) {
	if b.Node.Peers != h.address() { // this node's own are known
		h.Servers.Learn(b.Paces)
	}
	snapshot := h.Servers.Snapshot()
	for _, pace := range b.Paces {
		if m := snapshot.Member(pace.Server); m != nil {
			h.paces.note(now, m.ID, m.Slowness())
		}
	}
	known := uint64(0)
	if b.KnowsPaces.Term == h.term {
		known = b.KnowsPaces.Number
	}
	answer.PacesVersion.Term = h.term
	answer.Paces, answer.PacesVersion.Number = h.paces.since(now, known)
}

// address returns where this node is reached while it holds the lease.
func (h *Holder) address() string {
	record, _ := h.Lease.Current()
	return record.Address
}

// takePaces takes in what the holder told in answer to a beat that was sent at a time. An answer that
// waited in a suspension is too old.
func (m *Member) takePaces(sent time.Time, answer *BeatAnswer) {
	if m.Time.Since(sent) > beatTimeout {
		return
	}
	if len(answer.Paces) > 0 && m.Holder.address() != m.Self.Peers { // its own are as told or newer
		m.Servers.Believed(answer.Paces)
		m.Logger.Info("paces told", "servers", len(answer.Paces), "slowest", slowest(answer.Paces), "term", answer.PacesVersion.Term,
			"number", answer.PacesVersion.Number)
	}
	m.pacesKnown = answer.PacesVersion
}

// slowest returns the largest ratio of a list.
func slowest(list []backend.Slowness) float64 {
	return slices.MaxFunc(list, func(a, b backend.Slowness) int { return cmp.Compare(a.Ratio, b.Ratio) }).Ratio
}
