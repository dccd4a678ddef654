package backend

import "time"

// A server may be kept from requests though it runs: its zone is evacuated, or it is cold after a
// start and falls over under more than few requests.

// Evacuate sets the zones whose servers get no new requests until they are not among them any more.
// Servers of a zone that is taken back may have started a moment ago and count as cold.
func (d *Directory) Evacuate(zones map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Time.Now()
	for _, m := range d.Snapshot().members {
		if m.evacuated.Swap(zones[m.Zone]) && !zones[m.Zone] {
			m.cool(now.Add(d.coldFor(m.Service)))
		}
	}
	d.evacuated = zones
	d.announce()
}

// coldFor returns for how long servers of a service are cold after a start; zero: they bear all
// requests at once.
func (d *Directory) coldFor(service string) time.Duration {
	if d.ColdFor == nil {
		return 0
	}
	return d.ColdFor(service)
}

// withdraw takes in what the list and the operator tell of a server. The caller holds mu.
func (d *Directory) withdraw(m *Member) {
	m.evacuated.Store(d.evacuated[m.Zone])
	if d.coldFor(m.Service) > 0 {
		m.cool(m.ColdUntil)
	}
}

// cool has the server count as cold until a time.
func (c *Condition) cool(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.coldUntil) {
		c.coldUntil = until
	}
}

// Cold tells whether the server bears few requests only.
func (c *Condition) Cold(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.coldUntil)
}

// Evacuated tells whether the operator has the server's zone emptied.
func (c *Condition) Evacuated() bool { return c.evacuated.Load() }

// Withdrawn tells whether the server leaves or its zone is evacuated: it takes no new requests, and
// other servers are to hold what it holds.
func (c *Condition) Withdrawn() bool { return c.Leaving() || c.Evacuated() }

// ServesCold tells whether the server could get a request that needs n but for being cold.
func (m *Member) ServesCold(now time.Time, n Need) bool {
	return m.Cold(now) && m.Rest(now) == 0 && m.serves(now, n)
}
