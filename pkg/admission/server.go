package admission

import (
	"slices"
	"time"
)

// Engine tells what a server can hold.
type Engine struct {
	Slots       int // requests that it runs at once
	CacheTokens int // of prompts and answers that run, together
	EventTokens int // in one event of a stream
}

// place is a request at a server.
type place struct {
	key      Place
	model    Key
	need     string // see Request
	rank     int
	target   time.Duration // of its route
	sent     time.Time
	work     float64   // tokens to read
	expected float64   // tokens to be read until its first event, when it was granted; zero: it was not granted here
	memory   int       // tokens
	out      int       // likely tokens of the answer
	whole    Work      // as its node told it, with what the server keeps
	first    time.Time // when its first event came; zero: not yet
	dies     time.Time // shortly after its deadline
	heard    time.Time // when its node last told of it
}

// profile is what was lately asked by requests of one rank.
type profile struct {
	target time.Duration // the shortest
	work   float64       // tokens to read, smoothed
	at     time.Time     // of the last one
}

// ranks is the number of ranks that are told apart; larger ones count as the last.
const ranks = 10

// server is what is believed of one life of a server.
type server struct {
	engine   Engine
	places   []*place // by when they were sent
	waiters  []*waiter
	speed    speed
	tokenMS  float64              // milliseconds for each token of a stream, lately; zero: not known
	kept     map[string]time.Time // parts of prompts, under the need, when they were last used
	profiles [ranks]profile
	served   [ranks]time.Time // when it last got one of the rank or of a less urgent one
	heard    time.Time
}

// keptTime is how long a part that was read and not used counts as kept: what runs meanwhile
// takes the memory. Engines of a crowd turn theirs over within some ten seconds.
const keptTime = 8 * time.Second

// mostKept bounds the parts that are remembered of a server.
const mostKept = 512

// newsDelay is how long the news of a first event may be on the way.
const newsDelay = 150 * time.Millisecond

// load is what a server has to read.
type load struct {
	unread float64 // tokens
	speed  float64 // tokens a millisecond
	memory int     // tokens taken
	places int     // requests that have one
}

// load works out what is unread by now. Places whose first event is overdue tell that the server
// is slower than was believed.
func (s *server) load(now time.Time) load {
	l := load{speed: s.speed.careful(now), places: len(s.places)}
	for _, p := range s.places {
		l.memory += p.memory
	}
	unread, began := s.unanswered()
	l.speed = s.overdue(now, unread, began, l.speed)
	read := began
	for _, p := range unread {
		read = later(read, p.sent).Add(duration(p.work, l.speed))
	}
	if read.After(now) {
		l.unread = tokens(read.Sub(now), l.speed)
	}
	return l
}

// unanswered returns the places that may be unread, and when what was before them had been read.
// Prompts are read in the order in which they come: those before one that was answered are read,
// though the news of it may be lost.
func (s *server) unanswered() ([]*place, time.Time) {
	for i := len(s.places) - 1; i >= 0; i-- {
		if p := s.places[i]; !p.first.IsZero() {
			return s.places[i+1:], p.first
		}
	}
	return s.places, time.Time{}
}

// silentShare is the least part of its believed speed that a server keeps while no news of it
// comes, as the news may be lost. That an answer is overdue by what its node told counts in full.
const silentShare = 0.5

// overdue returns the speed by which none of the answers is overdue, at most the one believed.
func (s *server) overdue(now time.Time, unread []*place, began time.Time, believed float64) float64 {
	speed, work := believed, s.tail(0)
	for i, p := range unread {
		if i == 0 {
			began = later(began, p.sent)
		}
		work += p.work
		speed = min(speed, speedOf(work, p.heard.Sub(began)))
		if p.expected > 0 { // its answer is told at once, that of others with beats
			speed = min(speed, max(speedOf(work, now.Sub(began)-newsDelay), silentShare*believed))
		}
	}
	return max(speed, leastSpeed)
}

// speedOf returns the most that the speed of a server can be which has not done some work within a
// time; without any time it is not bounded.
func speedOf(work float64, d time.Duration) float64 {
	if d <= 0 {
		return mostSpeed
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

// tail returns the work from the end of a prompt's reading to its first event, if so many tokens
// are unread behind it: the prompts behind are read between the tokens of the event.
func (s *server) tail(behind float64) float64 {
	events := float64(max(s.engine.EventTokens, 1))
	return events*stepWork + min(behind, events*pieceTokens)
}

// toRead returns what a server reads of a prompt: not the first parts that it surely keeps.
func (s *server) toRead(now time.Time, need string, w Work) float64 {
	left := w.Tokens
	for _, part := range w.Parts[:max(len(w.Parts)-1, 0)] {
		if used, found := s.kept[need+" "+part.ID]; !found || now.Sub(used) > keptTime {
			break
		}
		left -= part.Tokens
	}
	return float64(max(left, 1))
}

// keep notes that the shared parts of a prompt were read.
func (s *server) keep(now time.Time, need string, w Work) {
	if s.kept == nil || len(s.kept) > mostKept {
		s.kept = make(map[string]time.Time)
	}
	for _, part := range w.Parts[:max(len(w.Parts)-1, 0)] {
		s.kept[need+" "+part.ID] = now
	}
}

// add puts a place in order.
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

// answered takes in that the first event of a place came so long after it was sent. Prompts that
// came later and were read meanwhile make the server count as slower, so that predictions hold in
// the mean.
func (s *server) answered(now time.Time, p *place, after time.Duration) {
	p.first = p.sent.Add(after)
	s.keep(p.first, p.need, p.whole)
	if after < time.Millisecond || after > mostTime {
		return
	}
	work := p.expected
	if work == 0 {
		unread := s.unreadAt(p.sent)
		work = unread + p.work + s.tail(unread/2)
	}
	s.speed.add(now, work, after)
}

// unreadAt returns what was unread before a request when it was sent, as far as nodes told.
func (s *server) unreadAt(sent time.Time) float64 {
	sum := 0.0
	for _, p := range s.places {
		if p.sent.Before(sent) && (p.first.IsZero() || p.first.After(sent)) {
			sum += p.work
		}
	}
	return sum
}

// ended takes in that a place is free.
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

// profileOf notes what requests of a rank ask for.
func (s *server) profileOf(now time.Time, rank int, target time.Duration, work float64) {
	p := &s.profiles[min(rank, ranks-1)]
	if now.Sub(p.at) > profileTime {
		*p = profile{target: target, work: work}
	}
	p.at, p.target = now, min(p.target, target)
	p.work += speedWeight * (work - p.work)
}

// profileTime is how long room is kept for more urgent requests after the last of them came.
const profileTime = 5 * time.Second

// serves notes that a request of a rank goes to the server.
func (s *server) serves(now time.Time, rank int) {
	for i := range min(rank, ranks-1) + 1 {
		s.served[i] = now
	}
}

// urgentBefore tells whether more urgent requests came lately.
func (s *server) urgentBefore(now time.Time, rank int) bool {
	for i := range rank {
		if now.Sub(s.profiles[i].at) <= profileTime {
			return true
		}
	}
	return false
}
