package backend

import "time"

// paceWeight is the weight of the newest stream in the moving average.
const paceWeight = 0.3

// RecordPace records the mean time per event of a stream on a model. A server's slowness is derived from
// the models that other servers have streamed as well.
func (d *Directory) RecordPace(id, model string, perEvent time.Duration) {
	snapshot := d.Snapshot()
	m := snapshot.Member(id)
	if m == nil || perEvent <= 0 {
		return
	}
	own := m.recordEventTime(model, perEvent)
	best, others := own, false
	for _, other := range d.otherStreamers(m, model) {
		if otherTime := other.eventTime(model); otherTime > 0 {
			best, others = min(best, otherTime), true
		}
	}
	if others {
		m.recordSlowness(float64(own) / float64(best))
	}
}

// serviceModel identifies a model of a service.
type serviceModel struct{ service, model string }

// otherStreamers returns the other servers that streamed the model and adds this one to them. This index
// avoids a scan of thousands of servers, since few stream the same model and the coordinator learns of
// hundreds of streams per second.
func (d *Directory) otherStreamers(m *Member, model string) []*Condition {
	key := serviceModel{m.Service, model}
	d.streamedMu.Lock()
	defer d.streamedMu.Unlock()
	if d.streamed == nil {
		d.streamed = make(map[serviceModel]map[*Condition]bool)
	}
	known := d.streamed[key]
	if known == nil {
		known = make(map[*Condition]bool)
		d.streamed[key] = known
	}
	var others []*Condition
	for c := range known {
		if c.Delisted() {
			delete(known, c)
		} else if c != m.Condition {
			others = append(others, c)
		}
	}
	known[m.Condition] = true
	return others
}

// Pace is the speed of a server in one stream on a model, as reported to other nodes.
type Pace struct {
	Server   string // ID of the incarnation
	Model    string
	PerEvent time.Duration // mean over the stream
}

// Slowness is how slow a server is according to the streams of all nodes.
type Slowness struct {
	Server string        // ID of the incarnation
	Ratio  float64       // time per event relative to the fastest server, at least 1
	Age    time.Duration // time since the last stream that contributed
}

// Bounds of the reports that nodes exchange on the speeds of servers.
const (
	// maxQueuedPaces limits the paces that are queued, and those that are accepted from one report: only a
	// few streams end at one node in a second.
	maxQueuedPaces = 64
	// maxEventTime is the longest time per event that is accepted: callers give up long before.
	maxEventTime = time.Minute
	// MaxSlowness is the largest accepted ratio.
	MaxSlowness = 16
	// SlownessLifetime is the largest age at which a server's slowness is reported and accepted. A
	// temporary slowdown is over by then, while a server that is still slow has finished newer streams.
	SlownessLifetime = 30 * time.Second
)

// queuedPace is a pace that is not reported to the other nodes yet.
type queuedPace struct {
	pace Pace
	at   time.Time // when its stream ended
}

// QueuePace queues a pace to be reported to the other nodes. It drops the pace if maxQueuedPaces are queued.
func (d *Directory) QueuePace(p Pace) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.PerEvent > 0 && len(d.queuedPaces) < maxQueuedPaces {
		d.queuedPaces = append(d.queuedPaces, queuedPace{p, d.Time.Now()})
	}
}

// TakeQueuedPaces empties the queue of paces and returns the newest of them, at most the given number. It omits
// those older than SlownessLifetime, since the machine may have been suspended.
func (d *Directory) TakeQueuedPaces(limit int) []Pace {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Pace
	for _, r := range d.queuedPaces[max(len(d.queuedPaces)-limit, 0):] {
		if d.Time.Since(r.at) <= SlownessLifetime {
			list = append(list, r.pace)
		}
	}
	d.queuedPaces = nil
	return list
}

// LearnPaces records paces that other nodes reported. It ignores implausible ones.
func (d *Directory) LearnPaces(list []Pace) {
	for _, p := range list[:min(len(list), maxQueuedPaces)] {
		if p.PerEvent <= maxEventTime {
			d.RecordPace(p.Server, p.Model, p.PerEvent)
		}
	}
}

// LearnSlowness sets the slowness of servers as measured by the streams of all nodes, in place of the value
// from this node's own fewer streams. It ignores values that are too old or implausible.
func (d *Directory) LearnSlowness(list []Slowness) {
	snapshot := d.Snapshot()
	for _, s := range list {
		m := snapshot.Member(s.Server)
		if m == nil || s.Age < 0 || s.Age > SlownessLifetime || !(s.Ratio >= 1 && s.Ratio <= MaxSlowness) {
			continue
		}
		m.setSlowness(s.Ratio)
	}
}

// setSlowness sets the slowness that was measured by the streams of all nodes.
func (c *Condition) setSlowness(ratio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowness = ratio
}

// recordEventTime adds the time per event of a stream and returns the server's moving average on the model.
func (c *Condition) recordEventTime(model string, perEvent time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean := time.Duration(smooth(float64(c.eventTimes[model]), float64(perEvent)))
	if c.eventTimes == nil {
		c.eventTimes = make(map[string]time.Duration)
	}
	c.eventTimes[model] = mean
	return mean
}

// smooth adds the newest value to a moving average, which is zero if there is none yet.
func smooth(mean, newest float64) float64 {
	if mean == 0 {
		return newest
	}
	return mean + paceWeight*(newest-mean)
}

// eventTime returns the server's moving average on a model, or zero if it is unknown.
func (c *Condition) eventTime(model string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.eventTimes[model]
}

// TimePerEvent returns the mean time per event of the servers of a service that streamed a model or, if none did, any
// model; zero if nothing is known.
func (d *Directory) TimePerEvent(service, model string) time.Duration {
	d.streamedMu.Lock()
	defer d.streamedMu.Unlock()
	var same, all meanTime
	for key, streamers := range d.streamed {
		if key.service != service {
			continue
		}
		for c := range streamers {
			perEvent := c.eventTime(key.model)
			all.add(perEvent)
			if key.model == model {
				same.add(perEvent)
			}
		}
	}
	if same.n > 0 {
		return same.mean()
	}
	return all.mean()
}

// meanTime is the mean of the times that are known.
type meanTime struct {
	sum time.Duration
	n   int
}

func (t *meanTime) add(d time.Duration) {
	if d > 0 {
		t.sum += d
		t.n++
	}
}

func (t *meanTime) mean() time.Duration { return t.sum / time.Duration(max(t.n, 1)) }

// recordSlowness adds the ratio of the server's time per event to that of the fastest server.
func (c *Condition) recordSlowness(ratio float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowness = smooth(c.slowness, ratio)
}

// Slowness returns the server's time per event relative to the fastest known server, or 1 if it is unknown.
func (c *Condition) Slowness() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.slowness, 1)
}
