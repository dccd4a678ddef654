package backend

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/revision"
)

// Snapshot is the set of servers known at one moment. It is immutable.
type Snapshot struct {
	version  revision.Revision
	at       time.Time
	services map[string][]*Member
	members  map[string]*Member
	vanished []vanishedServer
}

// vanishedServer is a server whose record has been removed. It may serve for a while yet, as if it had
// announced that it leaves.
type vanishedServer struct {
	member *Member
	at     time.Time
}

// vanishedTime is how long vanished servers are kept, which is longer than they serve.
const vanishedTime = 10 * time.Second

// Version returns the version of the list that the snapshot was made from.
func (s *Snapshot) Version() revision.Revision { return s.version }

// At returns when the snapshot was taken.
func (s *Snapshot) At() time.Time { return s.at }

// Service returns the servers of a service. The caller must not change the slice.
func (s *Snapshot) Service(name string) []*Member { return s.services[name] }

// Vanished returns the servers of a service whose records have been removed recently.
func (s *Snapshot) Vanished(service string) []*Member {
	var list []*Member
	for _, v := range s.vanished {
		if v.member.Service == service {
			list = append(list, v.member)
		}
	}
	return list
}

// Member returns the server with the given ID, or nil if it is unknown.
func (s *Snapshot) Member(id string) *Member { return s.members[id] }

// Members returns all servers by ID. The caller must not change the map.
func (s *Snapshot) Members() map[string]*Member { return s.members }

// KnowsInstance reports whether a server of the name is listed, or its record was removed recently.
func (s *Snapshot) KnowsInstance(name string) bool {
	for _, m := range s.members {
		if m.Instance() == name {
			return true
		}
	}
	return slices.ContainsFunc(s.vanished, func(v vanishedServer) bool { return v.member.Instance() == name })
}

// Member is a server with what this node knows about its condition.
type Member struct {
	*Server
	*Condition
}

// Serves reports whether the server may get a new request that needs n.
func (m *Member) Serves(now time.Time, n Need) bool {
	return !m.Cold(now) && m.BackOff(now) == 0 && m.serves(now, n)
}

// serves is Serves without the checks for cold servers and back-off.
func (m *Member) serves(now time.Time, n Need) bool {
	if m.Evacuated() {
		return false
	}
	if m.Leaving() || n.Model != "" && m.Gone(now) {
		return false
	}
	if holds, overridden := m.holdingOverride(now, n); overridden {
		return holds
	}
	return m.Holds(n)
}

// Directory keeps the newest snapshot. Safe for concurrent use. Set the exported fields before the first
// call of Replace.
type Directory struct {
	Dialer Dialer
	// DirectDialer connects without the help of other nodes; nil: Dialer.
	DirectDialer Dialer
	Reach        Reach // may be nil
	Time         clock.Clock
	// ColdFor returns how long the servers of a service are cold after a start, see Evacuate; nil: never.
	ColdFor func(service string) time.Duration
	// Age returns the time since the list of servers was last confirmed to be up to date; nil: it always is.
	Age func() time.Duration
	// Signals reads the backpressure signals of a response; nil: responses carry none.
	Signals func(status int, h http.Header) backpressure.Signals
	// OnSignalChange is called for each change of a server's signal state by the server's own responses;
	// may be nil. It must not block.
	OnSignalChange func(SignalUpdate)

	streamedMu sync.Mutex
	streamed   map[serviceModel]map[*Condition]bool // servers that streamed a model

	mu          sync.Mutex
	evacuated   map[string]bool // zones whose servers get no new requests
	queuedPaces []queuedPace
	departed    departedServers
	brittle     map[string]*backpressure.Brittle // by service
	control     *memory.Budget                   // for answers to control messages
	current     atomic.Pointer[Snapshot]
	changed     chan struct{}
}

// Snapshot returns the newest snapshot, which is empty before the first call of Replace.
func (d *Directory) Snapshot() *Snapshot {
	if s := d.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Known reports whether Replace has been called.
func (d *Directory) Known() bool { return d.current.Load() != nil }

// Changed returns a channel that is closed at the next change of the servers or of their condition.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// brittleService returns what is known of a service whose servers may be brittle. The caller holds mu.
func (d *Directory) brittleService(service string) *backpressure.Brittle {
	if d.brittle == nil {
		d.brittle = make(map[string]*backpressure.Brittle)
	}
	if d.brittle[service] == nil {
		d.brittle[service] = new(backpressure.Brittle)
	}
	return d.brittle[service]
}

// notifyChanged wakes those that wait for a change.
func (d *Directory) notifyChanged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyChangedLocked()
}

// notifyChangedLocked wakes those that wait for a change. The caller holds mu.
func (d *Directory) notifyChangedLocked() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Replace sets the complete list of servers. An incarnation that is missing from it gets no new requests,
// even if the next incarnation of the same server is listed.
func (d *Directory) Replace(servers []*Server, version revision.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.Snapshot()
	next := &Snapshot{
		version:  version,
		at:       d.Time.Now(),
		services: make(map[string][]*Member),
		members:  make(map[string]*Member, len(servers)),
	}
	for _, s := range servers {
		m := &Member{Server: s}
		before := old.members[s.ID]
		if before != nil && before.Server.isSameProcess(s) {
			m.Condition = before.Condition
			m.Condition.dropConfirmed(before.Server, s)
		} else {
			m.Condition = newCondition(d, s)
		}
		m.setDraining(next.at, s.Draining)
		d.applyWithdrawal(m)
		next.members[s.ID] = m
		next.services[s.Service] = append(next.services[s.Service], m)
	}
	for _, v := range old.vanished {
		if next.members[v.member.ID] == nil && next.at.Sub(v.at) < vanishedTime {
			next.vanished = append(next.vanished, v)
		}
	}
	var removed []*Member
	for id, m := range old.members {
		now := next.members[id]
		if now == nil && !m.released.Load() {
			next.vanished = append(next.vanished, vanishedServer{m, next.at})
		}
		if now == nil || now.Condition != m.Condition {
			removed = append(removed, m)
		}
	}
	d.current.Store(next)
	for _, m := range removed {
		m.Condition.delist(next.successor(m))
		d.departed.keep(next.at, m)
	}
	d.notifyChangedLocked()
}

// WaysChanged closes the idle connections that are of no use any more: the direct ones when this node is
// cut from all servers, since a request sent on one would hang, and those through other nodes when it no
// longer is.
func (d *Directory) WaysChanged(cut bool) {
	for _, m := range d.Snapshot().members {
		m.pool.dropIdle(!cut)
	}
}

// successor returns the condition of the incarnation that is listed in place of a server, nil if there is none.
func (s *Snapshot) successor(of *Member) *Condition {
	for _, m := range s.services[of.Service] {
		if m.ID != of.ID && m.Instance() == of.Instance() {
			return m.Condition
		}
	}
	return nil
}

// Release announces that the next list will omit incarnations that continue to run: this node stops using
// them, which does not count as their end.
func (d *Directory) Release(ids []string) {
	snapshot := d.Snapshot()
	for _, id := range ids {
		if m := snapshot.Member(id); m != nil {
			m.released.Store(true)
		}
	}
}

// ListedLately reports whether this node lists a server, or did so a moment ago or while requests ran there.
func (d *Directory) ListedLately(id string) bool {
	s := d.Snapshot()
	if s.Member(id) != nil || slices.ContainsFunc(s.vanished, func(v vanishedServer) bool { return v.member.ID == id }) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departed.servers[id].address != ""
}

// OverrideHolding sets whether a server holds n until the given time, regardless of its record. The
// override is dropped when a newer record agrees with it.
func (d *Directory) OverrideHolding(id string, n Need, holds bool, until time.Time) {
	m := d.Snapshot().Member(id)
	if m == nil {
		return
	}
	m.overrideHolding(n, holds, until)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notifyChangedLocked()
}
