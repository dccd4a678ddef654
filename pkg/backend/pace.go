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
	for _, other := range d.pacedBeside(m, model) {
		if pace := other.pace(model); pace > 0 {
			best, others = min(best, pace), true
		}
	}
	if others {
		m.noteSlowness(float64(own) / float64(best))
	}
}

// pacedKey names a model of a service.
type pacedKey struct{ service, model string }

// pacedBeside returns the other servers that streamed a model, and notes that this one did: among
// thousands of servers they are few, and the holder learns of hundreds of streams a second.
func (d *Directory) pacedBeside(m *Member, model string) []*Condition {
	key := pacedKey{m.Service, model}
	d.pacing.Lock()
	defer d.pacing.Unlock()
	if d.paced == nil {
		d.paced = make(map[pacedKey]map[*Condition]bool)
	}
	known := d.paced[key]
	if known == nil {
		known = make(map[*Condition]bool)
		d.paced[key] = known
	}
	var others []*Condition
	for c := range known {
		if c.Left() {
			delete(known, c)
		} else if c != m.Condition {
			others = append(others, c)
		}
	}
	known[m.Condition] = true
	return others
}

// Pace is what one stream on a model told of a server, for other nodes.
type Pace struct {
	Server   string // the ID of its life
	Model    string
	PerEvent time.Duration // mean over the stream
}

// Slowness is what is known of a server by the streams of all nodes.
type Slowness struct {
	Server string        // the ID of its life
	Ratio  float64       // of its pace by that of the fastest, one or more
	Age    time.Duration // of the last stream that told it
}

// Bounds of paces that other nodes tell.
const (
	// mostReports is how many streams a node tells of at once: a few end there in a second.
	mostReports = 64
	// longestPace is the longest time for an event that is believed: callers leave long before.
	longestPace = time.Minute
	// MostSlowness is the largest ratio that is believed.
	MostSlowness = 16
	// SlownessLifetime is the largest age at which what is known of a server is told and believed.
	// What slows a server for a moment is over by then; a slow machine has ended streams since.
	SlownessLifetime = 30 * time.Second
)

// report is a pace that other nodes are to be told.
type report struct {
	pace Pace
	at   time.Time // when its stream ended
}

// Report keeps a pace for the other nodes, see TakeReports. Beyond mostReports none is kept.
func (d *Directory) Report(p Pace) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.PerEvent > 0 && len(d.reports) < mostReports {
		d.reports = append(d.reports, report{p, d.Time.Now()})
	}
}

// TakeReports returns the newest paces kept since the last call, so many at most, and none that is
// too old by now, for the machine may have been suspended. The others are forgotten.
func (d *Directory) TakeReports(most int) []Pace {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Pace
	for _, r := range d.reports[max(len(d.reports)-most, 0):] {
		if d.Time.Since(r.at) <= SlownessLifetime {
			list = append(list, r.pace)
		}
	}
	d.reports = nil
	return list
}

// Learn takes in paces that other nodes' streams showed. Those that can't be true are left out.
func (d *Directory) Learn(list []Pace) {
	for _, p := range list[:min(len(list), mostReports)] {
		if p.PerEvent <= longestPace {
			d.Paced(p.Server, p.Model, p.PerEvent)
		}
	}
}

// Believed takes in the slowness of servers by the streams of all nodes, in place of what this
// node's own showed, which are fewer. What is too old or can't be true is left out.
func (d *Directory) Believed(list []Slowness) {
	snapshot := d.Snapshot()
	for _, s := range list {
		m := snapshot.Member(s.Server)
		if m == nil || s.Age < 0 || s.Age > SlownessLifetime || !(s.Ratio >= 1 && s.Ratio <= MostSlowness) {
			continue
		}
		m.setSlowness(s.Ratio)
	}
}

// setSlowness takes in what is known by the streams of all nodes.
func (c *Condition) setSlowness(ratio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowness = ratio
}

// notePace takes in a stream's pace and returns the server's on the model.
func (c *Condition) notePace(model string, perEvent time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	pace := time.Duration(smooth(float64(c.paces[model]), float64(perEvent)))
	if c.paces == nil {
		c.paces = make(map[string]time.Duration)
	}
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
