package admission

import (
	"slices"
	"time"
)

// Engine describes what a server can hold.
type Engine struct {
	Slots       int // requests that run at once
	CacheTokens int // tokens of all running prompts and answers together
	EventTokens int // tokens in one event of a stream
}

// place is a request on a server.
type place struct {
	key        Place
	model      Key
	need       string // the model, or the model and the adapter
	rank       int
	target     time.Duration // target of the route
	sent       time.Time
	work       float64   // prompt tokens to read
	expected   float64   // tokens to read until its first event, as of the grant; zero if it was not granted here
	memory     int       // cache tokens
	out        int       // expected tokens of the answer
	fullWork   Work      // as reported by its node, including cached parts
	first      time.Time // when its first event came; zero if none came yet
	deadline   time.Time // shortly after the request's deadline
	lastReport time.Time // when its node last reported it
}

// profile describes recent requests of one rank.
type profile struct {
	target  time.Duration // shortest target
	work    float64       // prompt tokens to read, smoothed
	updated time.Time     // time of the last request
}

// numRanks is the number of ranks that are distinguished. Larger ones count as the last.
const numRanks = 10

// server is the state of one incarnation of a server.
type server struct {
	engine      Engine
	places      []*place // in the order in which they were sent
	waiters     []*waiter
	speed       speed
	tokenMS     float64              // recent milliseconds per token of a stream; zero if unknown
	cachedParts map[string]time.Time // last use of prompt parts, by need and part ID
	profiles    [numRanks]profile
	lastServed  [numRanks]time.Time // when it last got a request of the rank or of a less urgent one
	lastReport  time.Time           // when a node last reported a request on it
}

// cachedTTL is how long a part counts as cached after it was last used, since running requests take
// up the memory. Overloaded engines replace their cache content within some ten seconds.
const cachedTTL = 8 * time.Second

// maxCachedParts bounds the parts that are remembered per server.
const maxCachedParts = 512

// maxReportDelay is how long the report of a first event may take to arrive.
const maxReportDelay = 150 * time.Millisecond

// load is a server's pending work, speed and use.
type load struct {
	pending float64 // prompt tokens to read
	speed   float64 // tokens per millisecond
	memory  int     // cache tokens in use
	places  int     // requests that have a place
}

// load computes what is pending by now. If a first event is overdue, the server is slower than
// estimated.
func (s *server) load(now time.Time) load {
	l := load{speed: s.speed.estimate(now), places: len(s.places)}
	for _, p := range s.places {
		l.memory += p.memory
	}
	unread, began := s.unanswered()
	l.speed = s.overdueSpeed(now, unread, began, l.speed)
	read := began
	for _, p := range unread {
		read = later(read, p.sent).Add(duration(p.work, l.speed))
	}
	if read.After(now) {
		l.pending = tokens(read.Sub(now), l.speed)
	}
	return l
}

// unanswered returns the places whose prompts may be unread, and when everything before them had
// been read. Prompts are read in the order of arrival: those before an answered one are read, even
// if the report of their answer was lost.
func (s *server) unanswered() ([]*place, time.Time) {
	for i := len(s.places) - 1; i >= 0; i-- {
		if p := s.places[i]; !p.first.IsZero() {
			return s.places[i+1:], p.first
		}
	}
	return s.places, time.Time{}
}

// silentSpeedShare is the least part of its estimated speed that a server keeps while no report on
// it arrives, as reports may be lost. If its node reports that an answer is overdue, this counts in
// full.
const silentSpeedShare = 0.5

// overdueSpeed returns the highest speed at which none of the missing answers would be overdue, at
// most the one believed.
func (s *server) overdueSpeed(now time.Time, unread []*place, began time.Time, believed float64) float64 {
	speed, work := believed, s.eventWork(0)
	for i, p := range unread {
		if i == 0 {
			began = later(began, p.sent)
		}
		work += p.work
		speed = min(speed, speedOf(work, p.lastReport.Sub(began)))
		if p.expected > 0 { // its answer is reported at once, that of other places in heartbeats
			speed = min(speed, max(speedOf(work, now.Sub(began)-maxReportDelay), silentSpeedShare*believed))
		}
	}
	return max(speed, minSpeed)
}

// speedOf returns the highest possible speed of a server that has not finished some work within a
// time. The speed is not bounded if the time is zero.
func speedOf(work float64, d time.Duration) float64 {
	if d <= 0 {
		return maxSpeed
	}
	return work / (float64(d) / float64(time.Millisecond))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// eventWork returns the work between the end of reading a prompt and its first event, with the
// given number of tokens pending behind it. The prompts behind are read in chunks between the
// tokens of the event.
func (s *server) eventWork(behind float64) float64 {
	events := float64(max(s.engine.EventTokens, 1))
	return events*stepWork + min(behind, events*chunkTokens)
}

// prefillTokens returns the prompt tokens that a server must read. The leading parts that it
// certainly has in its cache don't count.
func (s *server) prefillTokens(now time.Time, need string, w Work) float64 {
	left := w.Tokens
	for _, part := range w.Parts[:max(len(w.Parts)-1, 0)] {
		if used, found := s.cachedParts[need+" "+part.ID]; !found || now.Sub(used) > cachedTTL {
			break
		}
		left -= part.Tokens
	}
	return float64(max(left, 1))
}

// noteCached records that the shared parts of a prompt were read.
func (s *server) noteCached(now time.Time, need string, w Work) {
	if s.cachedParts == nil || len(s.cachedParts) > maxCachedParts {
		s.cachedParts = make(map[string]time.Time)
	}
	for _, part := range w.Parts[:max(len(w.Parts)-1, 0)] {
		s.cachedParts[need+" "+part.ID] = now
	}
}

// add inserts a place. Places are kept in the order in which their requests were sent.
func (s *server) add(p *place) {
	i := len(s.places)
	for i > 0 && s.places[i-1].sent.After(p.sent) {
		i--
	}
	s.places = slices.Insert(s.places, i, p)
}

func (s *server) remove(p *place) {
	s.places = slices.DeleteFunc(s.places, func(other *place) bool { return other == p })
}

// answered records that the first event of a place came the given time after it was sent. Prompts
// that arrived later and were read meanwhile make the server count as slower, so that predictions
// are right on average.
func (s *server) answered(now time.Time, p *place, after time.Duration) {
	p.first = p.sent.Add(after)
	s.noteCached(p.first, p.need, p.fullWork)
	if after < time.Millisecond || after > maxDuration {
		return
	}
	work := p.expected
	if work == 0 {
		unread := s.pendingAt(p.sent)
		work = unread + p.work + s.eventWork(unread/2)
	}
	s.speed.add(now, work, after)
}

// pendingAt returns what was pending before a request when it was sent, as far as nodes reported.
func (s *server) pendingAt(sent time.Time) float64 {
	sum := 0.0
	for _, p := range s.places {
		if p.sent.Before(sent) && (p.first.IsZero() || p.first.After(sent)) {
			sum += p.work
		}
	}
	return sum
}

// ended records that a place is free.
func (s *server) ended(p *place, now time.Time) {
	s.remove(p)
	if p.first.IsZero() || p.out <= 0 {
		return
	}
	ms := float64(now.Sub(p.first)) / float64(time.Millisecond) / float64(p.out)
	if s.tokenMS == 0 {
		s.tokenMS = ms
	}
	s.tokenMS += speedWeight * (ms - s.tokenMS)
}

// updateProfile records what requests of a rank need.
func (s *server) updateProfile(now time.Time, rank int, target time.Duration, work float64) {
	p := &s.profiles[min(rank, numRanks-1)]
	if now.Sub(p.updated) > profileTTL {
		*p = profile{target: target, work: work}
	}
	p.updated, p.target = now, min(p.target, target)
	p.work += speedWeight * (work - p.work)
}

// profileTTL is how long headroom is kept for more urgent requests after the last of them came.
const profileTTL = 5 * time.Second

// noteServed records that a request of a rank goes to the server.
func (s *server) noteServed(now time.Time, rank int) {
	for i := range min(rank, numRanks-1) + 1 {
		s.lastServed[i] = now
	}
}

// urgentRecently reports whether more urgent requests came recently.
func (s *server) urgentRecently(now time.Time, rank int) bool {
	for i := range rank {
		if now.Sub(s.profiles[i].updated) <= profileTTL {
			return true
		}
	}
	return false
}
