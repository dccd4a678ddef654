package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// What a node does without the word of the one who is asked.
const (
	// heardTime is how long models count as crowded after the last word of it.
	heardTime = 3 * time.Second
	// silentTime is how long nobody is asked after a question was not answered.
	silentTime = 300 * time.Millisecond
	// refusalTime is how long a refusal holds while nobody answers.
	refusalTime = 500 * time.Millisecond
)

// MostReports bounds what a node tells at once; it has far fewer requests at a time.
const MostReports = 512

// AgainAfter is when a request comes back that is refused because one like it was: by then
// somebody answers again, or nobody is asked.
const AgainAfter = time.Second

// Standing is what a node does with a request.
type Standing uint8

// The standings.
const (
	Free    Standing = iota // the node chooses by itself
	Ask                     // ask for a place
	Silent                  // nobody answers: the node chooses by itself
	Refused                 // nobody answers, and one like it was refused a moment ago
)

// refusal is the last one for a model.
type refusal struct {
	at     time.Time
	rank   int
	target time.Duration // of its route
}

// Ledger is what one node has at servers, and for which models it asks. The zero value is ready
// and asks for none. Safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	count   uint64
	open    map[uint64]*entry // by Place.ID
	crowded []Key
	heard   time.Time // when it was last told which models are crowded
	silent  time.Time // until when nobody is asked
	refused map[Key]refusal
}

// entry is a request of this node.
type entry struct {
	report Report
	dies   time.Time // its deadline
	sent   time.Time
	told   bool // since it last changed
}

// Told takes in which models are crowded.
func (l *Ledger) Told(now time.Time, crowded []Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.refused {
		if !slices.Contains(crowded, key) {
			delete(l.refused, key)
		}
	}
	l.crowded, l.heard = crowded, now
	l.silent = time.Time{}
}

// Look tells what to do with a request.
func (l *Ledger) Look(now time.Time, r *Request) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch last, found := l.refused[r.Key]; {
	case !l.isCrowded(now, r.Key):
		return Free
	case !now.Before(l.silent):
		return Ask
	case found && now.Sub(last.at) < refusalTime && r.Rank >= last.rank && r.routeTarget() <= last.target:
		return Refused
	}
	return Silent
}

// Decided notes what was decided on a request.
func (l *Ledger) Decided(now time.Time, r *Request, v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = time.Time{}
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

// isCrowded tells whether nodes ask for a model by the last word on it. The caller holds mu.
func (l *Ledger) isCrowded(now time.Time, key Key) bool {
	return now.Sub(l.heard) <= heardTime && slices.Contains(l.crowded, key)
}

// Unanswered notes that the one who was asked did not answer.
func (l *Ledger) Unanswered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = now.Add(silentTime)
}

// Next returns the ID of a request that comes.
func (l *Ledger) Next() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	return l.count
}

// Sent notes that a request goes to a server: r tells of it, with the durations of now. It reports
// whether the news is to be told at once, as the request's model is crowded.
func (l *Ledger) Sent(now time.Time, r Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[uint64]*entry)
	}
	l.open[r.ID] = &entry{report: r, sent: now, dies: now.Add(r.Left)}
	return !r.Granted && l.isCrowded(now, r.Key)
}

// Answered notes that the first event of a request came. It reports whether the news is to be
// told at once.
func (l *Ledger) Answered(now time.Time, id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.open[id]
	if e == nil || e.report.First > 0 {
		return false
	}
	e.report.First = max(now.Sub(e.sent), 1)
	e.told = false
	return l.isCrowded(now, e.report.Key)
}

// Ended notes that a request has ended at its server, or that it needs no place any more. It
// reports whether the news is to be told at once.
func (l *Ledger) Ended(now time.Time, id uint64, key Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.open[id]
	switch {
	case e != nil && len(l.open) > MostReports: // nobody was told for long
		delete(l.open, id)
		return false
	case e != nil:
		e.report.Ended = true
	case !l.isCrowded(now, key) || len(l.open) >= MostReports:
		return false
	default: // it was told to wait: no server has it
		if l.open == nil {
			l.open = make(map[uint64]*entry)
		}
		e = &entry{report: Report{ID: id, Key: key, Ended: true}, sent: now, dies: now}
		l.open[id] = e
	}
	e.told = false
	return l.isCrowded(now, key)
}

// News returns what was not told yet, MostReports at most. An end is told once: if that is lost,
// the next Whole makes up for it, which lacks the request.
func (l *Ledger) News(now time.Time) []Report { return l.take(now, true) }

// Whole returns all that the node has, MostReports at most.
func (l *Ledger) Whole(now time.Time) []Report { return l.take(now, false) }

// take returns what was not told yet, or all, with the durations of now.
func (l *Ledger) take(now time.Time, news bool) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Report
	for id, e := range l.open {
		if news && e.told || len(list) == MostReports {
			continue
		}
		e.told = true
		r := e.report
		r.Sent, r.Left = now.Sub(e.sent), max(e.dies.Sub(now), 0)
		list = append(list, r)
		if r.Ended {
			delete(l.open, id)
		}
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Return takes back reports that could not be told.
func (l *Ledger) Return(now time.Time, list []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range list {
		switch e := l.open[r.ID]; {
		case e != nil:
			e.told = false
		case r.Server != "" && len(l.open) < MostReports:
			l.open[r.ID] = &entry{report: r, sent: now.Add(-r.Sent), dies: now.Add(r.Left)}
		}
	}
}
