package backend

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/revision"
)

// Snapshot is the servers known at one moment. It is immutable.
type Snapshot struct {
	version  revision.Revision
	at       time.Time
	services map[string][]*Member
	members  map[string]*Member
}

// Version returns the version of the list that the snapshot was made from.
func (s *Snapshot) Version() revision.Revision { return s.version }

// At returns when the snapshot was taken.
func (s *Snapshot) At() time.Time { return s.at }

// Service returns the servers of a service. The slice is not to be changed.
func (s *Snapshot) Service(name string) []*Member { return s.services[name] }

// Member returns the server with an ID, nil if it is not known.
func (s *Snapshot) Member(id string) *Member { return s.members[id] }

// Members returns all servers by ID. The map is not to be changed.
func (s *Snapshot) Members() map[string]*Member { return s.members }

// Member is a server with what this node found out about it.
type Member struct {
	*Server
	*Condition
}

// Serves tells whether the server may get a new request that needs n.
func (m *Member) Serves(now time.Time, n Need) bool {
	return !m.Cold(now) && m.Rest(now) == 0 && m.serves(now, n)
}

// serves is Serves for a server that may be cold or at rest.
func (m *Member) serves(now time.Time, n Need) bool {
	if m.Evacuated() {
		return false
	}
	if m.Leaving() || n.Model != "" && m.Gone(now) {
		return false
	}
	if believed, known := m.believes(now, n); known {
		return believed
	}
	return m.Holds(n)
}

// Directory keeps the newest snapshot. Safe for concurrent use. Set the fields
// before the first Replace.
type Directory struct {
	Dialer Dialer
	Time   clock.Clock
	// ColdFor returns for how long servers of a service are cold after a start, see Evacuate; nil:
	// none are.
	ColdFor func(service string) time.Duration
	// Signals reads what an answer tells of its server; nil: answers tell nothing.
	Signals func(status int, h http.Header) backpressure.Signals
	// Heard is told of each change of what is believed of a server by its own word; may be nil. It is
	// not to block.
	Heard func(Heard)

	pacing sync.Mutex
	paced  map[pacedKey]map[*Condition]bool // servers that streamed a model

	mu        sync.Mutex
	evacuated map[string]bool // zones
	reports   []report
	departed  departed
	current   atomic.Pointer[Snapshot]
	changed   chan struct{}
}

// Snapshot returns the newest snapshot; an empty one before the first Replace.
func (d *Directory) Snapshot() *Snapshot {
	if s := d.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Known tells whether a list of servers was taken in.
func (d *Directory) Known() bool { return d.current.Load() != nil }

// Changed returns a channel that is closed at the next change of the servers or
// of what is believed of them.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// moved wakes those that wait for a change.
func (d *Directory) moved() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announce()
}

// announce wakes those that wait for a change. The caller holds mu.
func (d *Directory) announce() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// Replace takes in the whole list of servers. Lives of servers that are missing get no
// new requests from now on, also if the next life of the server is in the list.
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
		if before != nil && before.Address == s.Address {
			m.Condition = before.Condition
			m.Condition.relearn(before.Server, s)
		} else {
			m.Condition = newCondition(d, s)
		}
		m.drain(next.at, s.Draining)
		d.withdraw(m)
		next.members[s.ID] = m
		next.services[s.Service] = append(next.services[s.Service], m)
	}
	d.current.Store(next)
	for id, m := range old.members {
		if now := next.members[id]; now == nil || now.Condition != m.Condition {
			m.Condition.leave()
			d.departed.keep(next.at, m)
		}
	}
	d.announce()
}

// Release tells that the next list lacks lives that go on: this node lets go of them, which is no end
// of theirs.
func (d *Directory) Release(lives []string) {
	snapshot := d.Snapshot()
	for _, id := range lives {
		if m := snapshot.Member(id); m != nil {
			m.released.Store(true)
		}
	}
}

// Believe notes, until the time, that a server holds n or not, whatever the
// list says. It is dropped when the list tells of another state of the model.
func (d *Directory) Believe(id string, n Need, holds bool, until time.Time) {
	m := d.Snapshot().Member(id)
	if m == nil {
		return
	}
	m.believe(n, holds, until)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announce()
}
