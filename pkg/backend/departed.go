package backend

import (
	"time"

	"martenwheel.dev/pkg/backpressure"
)

// departedServers keeps the signal states of servers that are not listed. Their records may lapse while the
// platform's store is unavailable, or be read only in part, and the same incarnations return afterwards. In
// the meantime, responses to requests in progress still carry signals, and nodes that list a server earlier
// than this one report them. The zero value is empty. The directory's mu guards it.
type departedServers struct {
	servers map[string]departedServer // by ID of the incarnation
}

// departedServer is what is kept of one incarnation.
type departedServer struct {
	address     string    // empty: it has not been listed by this node yet
	at          time.Time // when it was last listed, or last reported by another node
	signalState *signalState
}

const (
	// departedTime is how long an incarnation is kept: as long as the longest back-off that it may have
	// asked for.
	departedTime = backpressure.MaxBackOff
	// maxDeparted is the maximum number of incarnations that are kept.
	maxDeparted = 4096
)

// keep stores the signal state of a server that was just removed from the list, if a signal is in effect or
// running requests may still bring one.
func (d *departedServers) keep(now time.Time, m *Member) {
	if m.InFlight() == 0 && !m.signalState.active.Load() {
		return
	}
	if d.ensureCapacity(now) {
		d.servers[m.ID] = departedServer{m.Address, now, m.signalState}
	}
}

// ensureCapacity removes expired entries and reports whether another one fits.
func (d *departedServers) ensureCapacity(now time.Time) bool {
	for id, entry := range d.servers {
		if now.Sub(entry.at) > departedTime {
			delete(d.servers, id)
		}
	}
	if d.servers == nil {
		d.servers = make(map[string]departedServer)
	}
	return len(d.servers) < maxDeparted
}

// merge merges the signal state that another node reported for an incarnation that is not listed, and
// returns the change.
func (d *departedServers) merge(now time.Time, server string, shared backpressure.SharedState) SignalUpdate {
	entry, kept := d.servers[server]
	if !kept {
		if !d.ensureCapacity(now) {
			return SignalUpdate{Server: server}
		}
		entry = departedServer{signalState: new(signalState)}
	}
	entry.at = now
	d.servers[server] = entry
	return entry.signalState.apply(now, server, func(s *backpressure.State) backpressure.Change { return s.Merge(shared) })
}

// take removes and returns the signal state of a server that is listed again, or a new one unless the entry
// is of the same incarnation.
func (d *departedServers) take(now time.Time, s *Server) *signalState {
	entry, kept := d.servers[s.ID]
	delete(d.servers, s.ID)
	if !kept || entry.address != "" && entry.address != s.Address || now.Sub(entry.at) > departedTime {
		return new(signalState)
	}
	return entry.signalState
}
