package quarantine

import "time"

// lastNews returns when evidence last changed or a request with the subject was last refused.
func (e *entry) lastNews() time.Time {
	if e.refused.After(e.updated) {
		return e.refused
	}
	return e.updated
}

// aged returns a copy of the evidence with its ages.
func (e *entry) aged(now time.Time) Evidence {
	c := e.copy()
	c.Age = max(now.Sub(e.updated), 0)
	if !e.refused.IsZero() {
		c.RefusedAgo = max(now.Sub(e.refused), 1)
	}
	return c
}

// noteRefused records that a request was refused some time ago; zero: not known. It reports whether that
// is worth telling others.
func (e *entry) noteRefused(now time.Time, ago time.Duration) bool {
	at := now.Add(-ago)
	if ago == 0 || !at.After(e.lastNews()) {
		return false
	}
	news := at.Sub(e.lastNews()) > refusalNews
	e.refused = at
	return news
}

// mayBeTried reports whether a subject in quarantine gets a trial. Requests that keep coming keep the
// evidence alive, so that it would never be found out that something else crashed the servers. The time
// until the next trial doubles with each crash.
func (e *entry) mayBeTried(now time.Time) bool {
	pause := Lifetime << min(max(e.rounds()-quarantinedRounds, 0), maxPauses)
	return now.Sub(e.updated) > pause
}

// Refused records that a request with the given subjects was refused because of its quarantine, which
// thereby lasts. It returns the evidence that other nodes must get for the same reason.
func (t *Table) Refused(now time.Time, subjects ...Fingerprint) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Evidence
	for _, f := range subjects {
		e := t.liveEntry(now, f)
		if e == nil || e.Standing() != Quarantined {
			continue
		}
		if now.Sub(e.lastNews()) > refusalNews {
			e.refused = now
			list = append(list, t.export(now, e))
		}
	}
	return list
}
