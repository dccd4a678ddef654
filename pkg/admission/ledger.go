package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// What a node does while the holder does not answer.
const (
	// overloadTTL is how long models count as overloaded after the holder's last report.
	overloadTTL = 3 * time.Second
	// unansweredPause is how long the holder is not asked after a question was not answered.
	unansweredPause = 300 * time.Millisecond
	// refusalTime is how long a refusal applies while the holder does not answer.
	refusalTime = 500 * time.Millisecond
)

// MaxReports bounds the reports in one message. A node has far fewer requests at a time.
const MaxReports = 512

// RetryAfter is when to come back for a request that is refused because a similar one was refused.
// By then the holder answers again, or requests are sent without asking.
const RetryAfter = time.Second

// Standing is what a node does with a request.
type Standing uint8

// The standings.
const (
	Free    Standing = iota // the node chooses a server by itself
	Ask                     // ask the holder for a place
	Silent                  // the holder does not answer: the node chooses a server by itself
	Refused                 // the holder does not answer, and a similar request was refused a moment ago
)

// refusal is the last refusal for a model.
type refusal struct {
	at     time.Time
	rank   int
	target time.Duration // target of the request's route
}

// Ledger has the requests of one node and the models for which it asks. The zero value is ready and
// asks for no model. It is safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	count       uint64
	requests    map[uint64]*entry // by Place.ID
	overloaded  []Key
	lastHeard   time.Time // when the holder last reported the overloaded models
	silentUntil time.Time // the holder is not asked before this time
	refused     map[Key]refusal
}

// entry is a request of this node.
type entry struct {
	report   Report
	deadline time.Time // deadline of the request
	sent     time.Time
	reported bool // whether the last change was reported
}

// UpdateOverloaded records the holder's report of the overloaded models.
func (l *Ledger) UpdateOverloaded(now time.Time, overloaded []Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.refused {
		if !slices.Contains(overloaded, key) {
			delete(l.refused, key)
		}
	}
	l.overloaded, l.lastHeard = overloaded, now
	l.silentUntil = time.Time{}
}

// Check returns what to do with a request.
func (l *Ledger) Check(now time.Time, r *Request) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch last, found := l.refused[r.Key]; {
	case !l.isOverloaded(now, r.Key):
		return Free
	case !now.Before(l.silentUntil):
		return Ask
	case found && now.Sub(last.at) < refusalTime && r.Rank >= last.rank && r.routeTarget() <= last.target:
		return Refused
	}
	return Silent
}

// Decided records the holder's decision on a request.
func (l *Ledger) Decided(now time.Time, r *Request, v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil = time.Time{}
	switch v.Kind {
	case Refuse:
		if l.refused == nil {
			l.refused = make(map[Key]refusal)
		}
		l.refused[r.Key] = refusal{now, r.Rank, r.routeTarget()}
	case Go:
		delete(l.refused, r.Key)
	}
}

// isOverloaded reports whether nodes ask for a model, by the holder's last report. The caller holds
// mu.
func (l *Ledger) isOverloaded(now time.Time, key Key) bool {
	return now.Sub(l.lastHeard) <= overloadTTL && slices.Contains(l.overloaded, key)
}

// Unanswered records that the holder did not answer.
func (l *Ledger) Unanswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil = now.Add(unansweredPause)
}

// NextID returns the ID for a new request.
func (l *Ledger) NextID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.count
}

// Sent records that a request is sent to a server. The durations in r are as of now. It returns
// whether to report this at once because the request's model is overloaded.
func (l *Ledger) Sent(now time.Time, r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests == nil {
		l.requests = make(map[uint64]*entry)
	}
	l.requests[r.ID] = &entry{report: r, sent: now, deadline: now.Add(r.Left)}
	return !r.Granted && l.isOverloaded(now, r.Key)
}

// Answered records that the first event of a request arrived. It returns whether to report this at
// once.
func (l *Ledger) Answered(now time.Time, id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	if e == nil || e.report.First > 0 {
		return false
	}
	e.report.First = max(now.Sub(e.sent), 1)
	e.reported = false
	return l.isOverloaded(now, e.report.Key)
}

// Ended records that a request has ended on its server, or needs no place any more. It returns
// whether to report this at once.
func (l *Ledger) Ended(now time.Time, id uint64, key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.requests[id]
	switch {
	case e != nil && len(l.requests) > MaxReports: // nothing was reported for long
		delete(l.requests, id)
		return false
	case e != nil:
		e.report.Ended = true
	case !l.isOverloaded(now, key) || len(l.requests) >= MaxReports:
		return false
	default: // its verdict was Wait, so it is on no server
		if l.requests == nil {
			l.requests = make(map[uint64]*entry)
		}
		e = &entry{report: Report{ID: id, Key: key, Ended: true}, sent: now, deadline: now}
		l.requests[id] = e
	}
	e.reported = false
	return l.isOverloaded(now, key)
}

// NewReports returns the reports not sent yet, at most MaxReports. The end of a request is reported
// once. If that report is lost, the next AllReports makes up for it, as the request is missing
// there.
func (l *Ledger) NewReports(now time.Time) []Report { return l.collect(now, true) }

// AllReports returns reports on all requests of the node, at most MaxReports.
func (l *Ledger) AllReports(now time.Time) []Report { return l.collect(now, false) }

// collect returns the reports not sent yet, or all reports, with durations as of now.
func (l *Ledger) collect(now time.Time, onlyNew bool) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Report
	for id, e := range l.requests {
		if onlyNew && e.reported || len(list) == MaxReports {
			continue
		}
		e.reported = true
		r := e.report
		r.Sent, r.Left = now.Sub(e.sent), max(e.deadline.Sub(now), 0)
		list = append(list, r)
		if r.Ended {
			delete(l.requests, id)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Return takes back reports that could not be sent.
func (l *Ledger) Return(now time.Time, list []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range list {
		switch e := l.requests[r.ID]; {
		case e != nil:
			e.reported = false
		case r.Server != "" && len(l.requests) < MaxReports:
			l.requests[r.ID] = &entry{report: r, sent: now.Add(-r.Sent), deadline: now.Add(r.Left)}
		}
	}
}
