package relay

import (
	"maps"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/migration"
	"martenwheel.dev/pkg/route"
)

// Times by which the risk of servers is told.
const (
	endsSpan = 30 * time.Second // in which ends of servers count
	// usualRun is how long a stream is taken to run before one is known.
	usualRun = 3 * time.Second
)

// insure returns the server that is to get copies of the run that begins at m, nil if it is not worth
// them or the engine can't.
func (c *call) insure(m *backend.Member) *backend.Member {
	if c.engine == nil || !c.engine.Backups || c.relay.Mover == nil || c.id == "" || c.route.Kind != route.Stream || c.resumption.from != "" {
		return nil
	}
	now := c.relay.Time.Now()
	servers := c.relay.Servers.Snapshot().Service(c.service)
	risk := migration.Risk{Failures: m.Failures(), Ends: c.relay.rides.endsSince(now.Add(-endsSpan)), Servers: len(servers), Span: endsSpan}
	s := migration.Stream{Tokens: c.prompt.Tokens(), Anew: c.route.Repeatable()}
	if !migration.Insure(s, c.prompt.Likely(), risk.Chance(usualRun)) {
		return nil
	}
	return c.cover(now, m, servers)
}

// cover picks the server that gets the copies, within a bound of what one gets, and notes it.
func (c *call) cover(now time.Time, m *backend.Member, servers []*backend.Member) *backend.Member {
	t := &c.relay.rides
	t.mu.Lock()
	defer t.mu.Unlock()
	bound := int(migration.Cover * float64(c.engine.CacheTokens))
	var members []*backend.Member
	var targets []migration.Target
	for _, other := range servers {
		if other.ID == m.ID || !other.Serves(now, c.need) || t.insured[other.ID]+c.insuredTokens() > bound {
			continue
		}
		members = append(members, other)
		targets = append(targets, migration.Target{Busy: other.InFlight(), Slots: other.Slots, Near: other.Zone == m.Zone, Shaky: other.Avoid(now)})
	}
	best := migration.Best(targets)
	if best < 0 {
		return nil
	}
	if t.insured == nil {
		t.insured = make(map[string]int)
	}
	t.insured[members[best].ID] += c.insuredTokens()
	return members[best]
}

// insuredTokens is what the request takes at the server that gets its copies, at most.
func (c *call) insuredTokens() int { return c.prompt.Tokens() + c.prompt.Most() }

// uninsure takes cover's note back.
func (c *call) uninsure(backup *backend.Member) {
	if backup == nil {
		return
	}
	t := &c.relay.rides
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.insured[backup.ID] -= c.insuredTokens(); t.insured[backup.ID] <= 0 {
		delete(t.insured, backup.ID)
	}
}

// serverEnded notes that a server was found to have ended. What counts no more is forgotten.
func (t *rides) serverEnded(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ends == nil {
		t.ends = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.ends, func(_ string, at time.Time) bool { return now.Sub(at) > endsSpan })
	t.ends[server] = now
}

// endsSince returns how many servers were found to have ended since a time.
func (t *rides) endsSince(since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.ends {
		if at.After(since) {
			n++
		}
	}
	return n
}
