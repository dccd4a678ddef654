package backend

import "time"

// paceWeight is the weight of the newest stream in what is known of a server.
const paceWeight = 0.3

// Paced notes how long a server took for each event of a stream on a model. Servers
// are compared by the models that several of them serve.
func (d *Directory) Paced(id, model string, perEvent time.Duration) {
	snapshot := d.Snapshot()
	m := snapshot.Member(id)
	if m == nil || perEvent <= 0 {
		return
	}
	own := m.notePace(model, perEvent)
	best, others := own, false
	for _, other := range snapshot.Service(m.Service) {
		if other.ID == id {
			continue
		}
		if pace := other.pace(model); pace > 0 {
			best, others = min(best, pace), true
		}
	}
	if others {
		m.noteSlowness(float64(own) / float64(best))
	}
}

// notePace takes in a stream's pace and returns the server's on the model.
func (c *Condition) notePace(model string, perEvent time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	pace := time.Duration(smooth(float64(c.paces[model]), float64(perEvent)))
	c.paces[model] = pace
	return pace
}

// smooth takes the newest value into a mean, zero if there is none yet.
func smooth(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + paceWeight*(newest-mean)
}

// pace returns the server's pace on a model, zero if it is not known.
func (c *Condition) pace(model string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paces[model]
}

// noteSlowness takes in how many times as long as the fastest server it took.
func (c *Condition) noteSlowness(ratio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowness = smooth(c.slowness, ratio)
}

// Slowness tells how many times as long as the fastest known server this one takes
// for an event; 1 if that is not known.
func (c *Condition) Slowness() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.slowness, 1)
}
