package migration

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/enginetest"
	"martenwheel.dev/pkg/prompt"
)

// leavingServer simulates a leaving server with running streams and the servers that take them over.
type leavingServer struct {
	source  enginetest.Engine
	targets [2]enginetest.Engine
	streams []*leavingStream
	copied  int // number of tokens copied to the targets
}

// leavingStream is a stream at the leaving server and what its caller receives.
type leavingStream struct {
	Stream
	run         *enginetest.Run // run at the source
	next        *enginetest.Run // run at the target; nil: the stream stayed at the source
	prompt      prompt.Prompt
	lastTokenAt time.Duration // when the source generated its last token
}

const (
	eventTokens = 4
	goneAt      = 4 * time.Second
	announcedAt = time.Second // when the server announces that it is leaving
)

// newLeavingServer starts twelve streams within two seconds at the source, a third of which may run
// again, and half as many at the targets.
func newLeavingServer() *leavingServer {
	engine := enginetest.Engine{Slots: 12, CacheTokens: 58_062, ChunkTokens: 2048, StepTime: 10500 * time.Microsecond, PrefillTokensPerMS: 19.2, EventTokens: eventTokens}
	l := &leavingServer{source: engine, targets: [2]enginetest.Engine{engine, engine}}
	for i := range 12 {
		in, out := 1460+600*(i%4), 40+60*(i%6)
		asked := prompt.Parse(prompt.Fields{Tokens: fmt.Sprintf("%d,%d", in, out)})
		s := &leavingStream{prompt: asked, run: &enginetest.Run{Prompt: asked, OutputTokens: out, ArrivesAt: time.Duration(i) * 170 * time.Millisecond}}
		s.Stream = Stream{ID: fmt.Sprint(i), Restartable: i%3 == 0}
		l.streams = append(l.streams, s)
		l.source.Add(s.run)
		if i%2 == 0 {
			l.targets[i%4/2].Add(&enginetest.Run{Prompt: asked, OutputTokens: 400, ArrivesAt: time.Duration(i) * 100 * time.Millisecond})
		}
	}
	return l
}

// rerunLate simulates the strategy without moves: shortly before the server is gone, the streams
// that may run again are started elsewhere.
func (l *leavingServer) rerunLate() {
	const margin = 500 * time.Millisecond
	at := goneAt - margin
	l.source.Advance(at)
	l.advanceTargets(at)
	for _, s := range l.streams {
		if s.Restartable && s.run.End == 0 {
			s.resumeAt(l.best(), at, s.prompt)
		}
	}
	l.source.Advance(goneAt)
	l.advanceTargets(20 * time.Second)
}

func (l *leavingServer) advanceTargets(at time.Duration) {
	for i := range l.targets {
		l.targets[i].Advance(at)
	}
}

// best returns the target that a stream moves to, nil if none has free capacity.
func (l *leavingServer) best() *enginetest.Engine {
	var targets []Target
	for i := range l.targets {
		targets = append(targets, Target{Busy: l.targets[i].Running() + l.targets[i].Waiting(), Slots: 12, SameZone: true})
	}
	if i := BestTarget(targets); i >= 0 {
		return &l.targets[i]
	}
	return nil
}

// resumeAt continues the stream at the target, which first has to process prefill.
func (s *leavingStream) resumeAt(target *enginetest.Engine, at time.Duration, prefill prompt.Prompt) {
	s.lastTokenAt = at
	s.next = &enginetest.Run{Prompt: prefill, OutputTokens: s.run.OutputTokens - s.run.Generated(), ArrivesAt: at}
	target.Add(s.next)
}

// moveStreams moves the streams according to Plan, one copy after the other. With atOnce it moves
// all of them as soon as the server announces that it leaves.
func (l *leavingServer) moveStreams(atOnce bool) {
	const checkInterval = 10 * time.Millisecond
	for at := announcedAt; at < goneAt; at += checkInterval {
		l.source.Advance(at)
		l.advanceTargets(at)
		var open []Stream
		for _, s := range l.streams {
			if s.run.Generated() > 0 && s.run.End == 0 && s.next == nil {
				s.Tokens = s.prompt.Tokens() + s.run.Generated()
				s.Events = s.run.Generated() / eventTokens
				s.Remaining = RemainingTime(at-s.run.FirstEvent, s.Events, eventTokens, s.run.OutputTokens)
				open = append(open, s.Stream)
			}
		}
		moves, begin := Plan(Departure{TimeLeft: goneAt - at, Running: 12, Link: testLink}, open)
		if atOnce {
			moves, begin = open, 0
		}
		target := l.best()
		if len(moves) == 0 || begin > 0 || target == nil {
			continue
		}
		for _, s := range l.streams {
			if s.ID == moves[0].ID {
				took := 2 * testLink.CopyTime(s.Tokens) // the copy while the stream runs, then the rest
				l.copied += s.Tokens
				l.source.Advance(at + took)
				s.resumeAt(target, at+took, prompt.Prompt{})
			}
		}
	}
	l.advanceTargets(20 * time.Second)
}

// results sums up what callers received.
func (l *leavingServer) results() (lost, moved int, pause time.Duration, prefilledAgain int) {
	for _, s := range l.streams {
		switch {
		case s.next != nil && s.next.End > 0:
			moved++
			pause = max(pause, s.next.FirstEvent-s.lastTokenAt)
			prefilledAgain += s.next.Prompt.Tokens()
		case s.run.End == 0 || s.run.End > goneAt:
			lost++
		}
	}
	return lost, moved, pause, prefilledAgain
}

// TestWhatCallersGetOfAServerThatLeaves runs the same streams with reruns only, with moves by
// Plan, and with moves of all streams at once.
func TestWhatCallersGetOfAServerThatLeaves(t *testing.T) {
	reruns, moving, early := newLeavingServer(), newLeavingServer(), newLeavingServer()
	reruns.rerunLate()
	moving.moveStreams(false)
	early.moveStreams(true)
	lost, rerun, pause, prefilledAgain := reruns.results()
	t.Logf("reruns: %d of 12 lost, %d run again, longest pause %v, %d tokens prefilled again", lost, rerun, pause, prefilledAgain)
	lostNow, moved, pauseNow, prefilledAgainNow := moving.results()
	t.Logf("moves: %d of 12 lost, %d moved, longest pause %v, %d tokens prefilled again", lostNow, moved, pauseNow, prefilledAgainNow)
	lostEarly, movedEarly, pauseEarly, _ := early.results()
	t.Logf("all at once: %d of 12 lost, %d moved, longest pause %v, %d tokens copied (by Plan %d)", lostEarly, movedEarly, pauseEarly, early.copied, moving.copied)
	if lost == 0 || prefilledAgain == 0 {
		t.Fatal("all streams ended before the server was gone, so the load tests nothing")
	}
	const late = 300 * time.Millisecond // a longer pause counts as late
	if lostNow > 0 || pauseNow > late || prefilledAgainNow > 0 || moving.copied > early.copied {
		t.Errorf("with moves: %d streams lost, %d moved, longest pause %v, %d tokens prefilled again; want none lost, no late pause, nothing prefilled again and fewer tokens copied than at once", lostNow, moved, pauseNow, prefilledAgainNow)
	}
}
