package backend

import "time"

// A running server may be withheld from requests because its zone is evacuated, or because it is cold
// after a start and would fail under more than a few requests.

// Evacuate sets the zones whose servers get no new requests, until a later call omits them. Servers of a
// zone that is no longer evacuated may have started recently and are considered cold.
func (d *Directory) Evacuate(zones map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Time.Now()
	for _, m := range d.Snapshot().members {
		if m.evacuated.Swap(zones[m.Zone]) && !zones[m.Zone] {
			m.setCold(now.Add(d.coldFor(m.Service)))
		}
	}
	d.evacuated = zones
	d.notifyChangedLocked()
}

// coldFor returns how long servers of a service are cold after a start; zero: they can take the full load
// at once.
func (d *Directory) coldFor(service string) time.Duration {
	if d.ColdFor == nil {
		return 0
	}
	return d.ColdFor(service)
}

// applyWithdrawal applies the evacuated zones and the server's own ColdUntil to a server. The caller holds
// mu.
func (d *Directory) applyWithdrawal(m *Member) {
	m.evacuated.Store(d.evacuated[m.Zone])
	if d.coldFor(m.Service) > 0 {
		m.setCold(m.ColdUntil)
	}
}

// setCold makes the server count as cold until the given time.
func (c *Condition) setCold(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.coldUntil) {
		c.coldUntil = until
	}
}

// Cold reports whether the server can take only few requests yet.
func (c *Condition) Cold(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.coldUntil)
}

// Evacuated reports whether the operator evacuates the server's zone.
func (c *Condition) Evacuated() bool { return c.evacuated.Load() }

// Withdrawn reports whether the server leaves or its zone is evacuated: it accepts no new requests, and
// other servers should load the models that it holds.
func (c *Condition) Withdrawn() bool { return c.Leaving() || c.Evacuated() }

// ServesCold reports whether the server is cold and could otherwise get a request that needs n.
func (m *Member) ServesCold(now time.Time, n Need) bool {
	return m.Cold(now) && m.BackOff(now) == 0 && m.serves(now, n)
}
