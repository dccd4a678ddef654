package relay

import (
	"maps"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/migration"
	"martenwheel.dev/pkg/route"
)

// Times by which the risk that a server ends is judged.
const (
	endsSpan   = 30 * time.Second // in which ends of servers count
	breaksSpan = 10 * time.Second // in which a broken connection counts against its server
	// usualRun is how long a stream is taken to run: when it begins, nothing tells its length.
	usualRun = 3 * time.Second
)

// insure returns the server that is to get copies of the run that begins at m, nil if the run is not
// worth them, the engine can't send them or no server has room. uninsure ends what it notes.
func (c *call) insure(m *backend.Member) *backend.Member {
	if c.engine == nil || !c.engine.Backups || c.relay.Mover == nil || c.id == "" || c.route.Kind != route.Stream || c.resumption.from != "" {
		return nil
	}
	now := c.relay.Time.Now()
	servers := len(c.relay.Servers.Snapshot().Service(c.service))
	risk := c.relay.rides.riskOf(m.ID, now, servers)
	s := migration.Stream{Tokens: c.prompt.Tokens(), Anew: c.route.Repeatable()}
	if !migration.Insure(s, c.prompt.Likely(), risk.Chance(usualRun)) {
		return nil
	}
	return c.cover(m)
}

// cover picks the server that gets the copies, within the bound of what one may get, and notes it.
func (c *call) cover(m *backend.Member) *backend.Member {
	t := &c.relay.rides
	t.mu.Lock()
	defer t.mu.Unlock()
	bound := int(migration.Cover * float64(c.engine.CacheTokens))
	backup := c.bestBeside(m, func(other *backend.Member) bool { return t.insured[other.ID]+c.insuredTokens() <= bound })
	if backup == nil {
		return nil
	}
	if t.insured == nil {
		t.insured = make(map[string]int)
	}
	t.insured[backup.ID] += c.insuredTokens()
	return backup
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

// serverEnded notes that a server was found to have ended.
func (t *rides) serverEnded(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends = remember(t.ends, server, now, endsSpan)
}

// connectionBroke notes that a connection to a server broke under a request.
func (t *rides) connectionBroke(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breaks = remember(t.breaks, server, now, breaksSpan)
}

// remember notes a server with the time, and forgets those noted longer ago than span.
func remember(list map[string]time.Time, server string, now time.Time, span time.Duration) map[string]time.Time {
	if list == nil {
		list = make(map[string]time.Time)
	}
	maps.DeleteFunc(list, func(_ string, at time.Time) bool { return now.Sub(at) > span })
	list[server] = now
	return list
}

// riskOf returns what is known of the risk that a server ends; servers is how many its service has.
func (t *rides) riskOf(server string, now time.Time, servers int) migration.Risk {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := migration.Risk{Servers: servers, Span: endsSpan}
	for _, at := range t.ends {
		if now.Sub(at) <= endsSpan {
			r.Ends++
		}
	}
	at, broke := t.breaks[server]
	r.Broke = broke && now.Sub(at) <= breaksSpan
	return r
}
