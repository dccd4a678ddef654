package relay

import (
	"context"
	"maps"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/migration"
	"martenwheel.dev/pkg/route"
)

// Times for estimating the risk that a server crashes.
const (
	crashWindow            = 30 * time.Second // crashes of servers count this long
	brokenConnectionWindow = 10 * time.Second // a broken connection counts against its server this long
	// typicalStreamTime is the assumed duration of a stream, since nothing is known when it begins.
	typicalStreamTime = 3 * time.Second
)

// chooseBackup returns the server that receives copies of the run that begins at m. It returns nil
// if copies are not worthwhile, the engine does not support them or no server has free capacity.
// Release the reservation with releaseBackup.
func (c *call) chooseBackup(m *backend.Member) *backend.Member {
	if c.engine == nil || !c.engine.Backups || c.relay.Mover == nil || c.id == "" || c.route.Kind != route.Stream || c.resumption.from != "" {
		return nil
	}
	now := c.relay.Time.Now()
	servers := len(c.relay.Servers.Snapshot().Service(c.service))
	risk := c.relay.streams.crashRisk(m.ID, now, servers)
	stream := migration.Stream{Tokens: c.prompt.Tokens(), Restartable: c.route.Repeatable()}
	if !migration.WorthBackup(stream, c.prompt.ExpectedOutput(), risk.CrashChance(typicalStreamTime)) {
		return nil
	}
	backup := c.reserveBackup(m)
	if backup != nil {
		go c.relay.prepareStop(m)
	}
	return backup
}

// prepareStop keeps a connection ready on which a server can be asked to stop a run, even once it takes no more connections.
func (r *Relay) prepareStop(m *backend.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), moveCallTimeout)
	defer cancel()
	m.PrepareStandby(ctx, r.Logger)
}

// reserveBackup picks the server that receives the copies, within the limit per server, and
// reserves its memory.
func (c *call) reserveBackup(m *backend.Member) *backend.Member {
	t := &c.relay.streams
	t.mu.Lock()
	defer t.mu.Unlock()
	bound := int(migration.MaxBackupShare * float64(c.engine.CacheTokens))
	backup := c.bestAlternative(m, func(other *backend.Member) bool { return t.backupTokens[other.ID]+c.backupTokens() <= bound })
	if backup == nil {
		return nil
	}
	if t.backupTokens == nil {
		t.backupTokens = make(map[string]int)
	}
	t.backupTokens[backup.ID] += c.backupTokens()
	return backup
}

// backupTokens is the maximum that the request occupies at the server that receives its copies.
func (c *call) backupTokens() int { return c.prompt.Tokens() + c.prompt.MaxOutput() }

// releaseBackup undoes the reservation of reserveBackup.
func (c *call) releaseBackup(backup *backend.Member) {
	if backup == nil {
		return
	}
	t := &c.relay.streams
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backupTokens[backup.ID] -= c.backupTokens(); t.backupTokens[backup.ID] <= 0 {
		delete(t.backupTokens, backup.ID)
	}
}

// serverCrashed records that a server crashed.
func (t *streamTable) serverCrashed(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverCrashes = recordRecent(t.serverCrashes, server, now, crashWindow)
}

// connectionBroke records that a connection to a server broke during a request.
func (t *streamTable) connectionBroke(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.brokenConnections = recordRecent(t.brokenConnections, server, now, brokenConnectionWindow)
}

// recordRecent records the time for a server and removes entries older than span.
func recordRecent(list map[string]time.Time, server string, now time.Time, span time.Duration) map[string]time.Time {
	if list == nil {
		list = make(map[string]time.Time)
	}
	maps.DeleteFunc(list, func(_ string, at time.Time) bool { return now.Sub(at) > span })
	list[server] = now
	return list
}

// crashRisk returns what is known about the risk that a server crashes. servers is the number of
// servers of its service.
func (t *streamTable) crashRisk(server string, now time.Time, servers int) migration.Risk {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := migration.Risk{Servers: servers, Window: crashWindow}
	for _, at := range t.serverCrashes {
		if now.Sub(at) <= crashWindow {
			r.Crashes++
		}
	}
	at, broke := t.brokenConnections[server]
	r.ConnectionBroke = broke && now.Sub(at) <= brokenConnectionWindow
	return r
}
