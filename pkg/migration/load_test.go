package migration

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/enginetest"
	"martenwheel.dev/pkg/prompt"
)

// leaving is a server that leaves with streams on it, and those that take them.
type leaving struct {
	source  enginetest.Engine
	targets [2]enginetest.Engine
	streams []*leavingStream
	copied  int // tokens
}

// leavingStream is one of them and what its caller gets.
type leavingStream struct {
	Stream
	run   *enginetest.Run // at the source
	next  *enginetest.Run // at the target; nil: it stayed
	asked prompt.Prompt
	cut   time.Duration // when the source made its last token of it
}

const (
	eventTokens = 4
	goneAt      = 4 * time.Second
	wordAt      = time.Second // when the server tells that it leaves
)

// newLeaving has twelve streams come over two seconds and half as many run at the targets; every third
// may run anew.
func newLeaving() *leaving {
	engine := enginetest.Engine{Slots: 12, CacheTokens: 58_062, Piece: 2048, Step: 10500 * time.Microsecond, ReadsPerMS: 19.2, EventTokens: eventTokens}
	l := &leaving{source: engine, targets: [2]enginetest.Engine{engine, engine}}
	for i := range 12 {
		in, out := 1460+600*(i%4), 40+60*(i%6)
		asked := prompt.Parse(prompt.Fields{Tokens: fmt.Sprintf("%d,%d", in, out)})
		s := &leavingStream{asked: asked, run: &enginetest.Run{Prompt: asked, Out: out, Arrives: time.Duration(i) * 170 * time.Millisecond}}
		s.Stream = Stream{ID: fmt.Sprint(i), Anew: i%3 == 0}
		l.streams = append(l.streams, s)
		l.source.Add(s.run)
		if i%2 == 0 {
			l.targets[i%4/2].Add(&enginetest.Run{Prompt: asked, Out: 400, Arrives: time.Duration(i) * 100 * time.Millisecond})
		}
	}
	return l
}

// stand is the standing way: shortly before the server is gone, streams that may run anew do so.
func (l *leaving) stand() {
	const margin = 500 * time.Millisecond
	at := goneAt - margin
	l.source.Advance(at)
	l.advanceTargets(at)
	for _, s := range l.streams {
		if s.Anew && s.run.End == 0 {
			s.goOn(l.best(), at, s.asked)
		}
	}
	l.source.Advance(goneAt)
	l.advanceTargets(20 * time.Second)
}

func (l *leaving) advanceTargets(at time.Duration) {
	for i := range l.targets {
		l.targets[i].Advance(at)
	}
}

// best returns the target with room that a stream moves to.
func (l *leaving) best() *enginetest.Engine {
	var targets []Target
	for i := range l.targets {
		targets = append(targets, Target{Busy: l.targets[i].Running() + l.targets[i].Waiting(), Slots: 12, Near: true})
	}
	if i := Best(targets); i >= 0 {
		return &l.targets[i]
	}
	return nil
}

// goOn has the target go on with a stream after it has read what is told.
func (s *leavingStream) goOn(target *enginetest.Engine, at time.Duration, read prompt.Prompt) {
	s.cut = at
	s.next = &enginetest.Run{Prompt: read, Out: s.run.Out - s.run.Made(), Arrives: at}
	target.Add(s.next)
}

// move is the way by Plan, one copy after the other; atOnce: it moves all as soon as the server tells.
func (l *leaving) move(atOnce bool) {
	const look = 10 * time.Millisecond
	for at := wordAt; at < goneAt; at += look {
		l.source.Advance(at)
		l.advanceTargets(at)
		var open []Stream
		for _, s := range l.streams {
			if s.run.Made() > 0 && s.run.End == 0 && s.next == nil {
				s.Tokens = s.asked.Tokens() + s.run.Made()
				s.Events = s.run.Made() / eventTokens
				s.Rest = Rest(at-s.run.First, s.Events, eventTokens, s.run.Out)
				open = append(open, s.Stream)
			}
		}
		moves, begin := Plan(Leave{In: goneAt - at, Running: 12, Link: hornada}, open)
		if atOnce {
			moves, begin = open, 0
		}
		target := l.best()
		if len(moves) == 0 || begin > 0 || target == nil {
			continue
		}
		for _, s := range l.streams {
			if s.ID == moves[0].ID {
				took := 2 * hornada.CopyTime(s.Tokens) // the copy while it runs, then the rest
				l.copied += s.Tokens
				l.source.Advance(at + took)
				s.goOn(target, at+took, prompt.Prompt{})
			}
		}
	}
	l.advanceTargets(20 * time.Second)
}

// callers tells what callers got.
func (l *leaving) callers() (lost, moved int, pause time.Duration, again int) {
	for _, s := range l.streams {
		switch {
		case s.next != nil && s.next.End > 0:
			moved++
			pause = max(pause, s.next.First-s.cut)
			again += s.next.Prompt.Tokens()
		case s.run.End == 0 || s.run.End > goneAt:
			lost++
		}
	}
	return lost, moved, pause, again
}

// TestWhatCallersGetOfAServerThatLeaves plays both ways with the same streams.
func TestWhatCallersGetOfAServerThatLeaves(t *testing.T) {
	standing, moving, early := newLeaving(), newLeaving(), newLeaving()
	standing.stand()
	moving.move(false)
	early.move(true)
	lost, anew, pause, again := standing.callers()
	t.Logf("standing: %d of 12 lost, %d run anew, longest pause %v, %d tokens read again", lost, anew, pause, again)
	lostNow, moved, pauseNow, againNow := moving.callers()
	t.Logf("moves:    %d of 12 lost, %d moved, longest pause %v, %d tokens read again", lostNow, moved, pauseNow, againNow)
	lostEarly, movedEarly, pauseEarly, _ := early.callers()
	t.Logf("at once:  %d of 12 lost, %d moved, longest pause %v, %d tokens copied (by Plan %d)", lostEarly, movedEarly, pauseEarly, early.copied, moving.copied)
	if lost == 0 || again == 0 {
		t.Fatal("the load shows nothing: all streams end before the server is gone")
	}
	const late = 300 * time.Millisecond // what callers count as a late pause
	if lostNow > 0 || pauseNow > late || againNow > 0 || moving.copied > early.copied {
		t.Errorf("with moves %d lost, %d moved, longest pause %v, %d tokens read again", lostNow, moved, pauseNow, againNow)
	}
}
