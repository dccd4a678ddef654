package migration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var hornada = Link{BytesPerToken: 163_840, BytesPerS: 550e9 / 8}

func ids(streams []Stream) (list []string) {
	for _, s := range streams {
		list = append(list, s.ID)
	}
	return list
}

func TestPlanMovesTheGreatestLossFirst(t *testing.T) {
	streams := []Stream{
		{ID: "short", Tokens: 9000, Rest: 200 * time.Millisecond},
		{ID: "batch", Rank: 2, Tokens: 9000, Rest: Endless},
		{ID: "again", Rank: 1, Tokens: 9000, Rest: Endless, Anew: true},
		{ID: "small", Rank: 1, Tokens: 500, Rest: Endless},
		{ID: "large", Rank: 1, Tokens: 5000, Rest: 5 * time.Second},
	}
	moves, begin := Plan(Leave{In: 3 * time.Second, Link: hornada}, streams)
	if want := []string{"large", "small", "again", "batch"}; !slices.Equal(ids(moves), want) {
		t.Errorf("moves %v, want %v", ids(moves), want)
	}
	if begin < time.Second || begin > 1500*time.Millisecond {
		t.Errorf("the first moves in %v of 3s", begin)
	}
	if _, full := Plan(Leave{In: 3 * time.Second, Running: 48, Link: hornada}, streams); full >= begin {
		t.Errorf("beside 43 streams of other nodes the first moves in %v, alone in %v", full, begin)
	}
	if moves, _ := Plan(Leave{In: 3 * time.Second, Link: hornada}, streams[:1]); moves != nil {
		t.Errorf("a stream that ends soon moves: %v", moves)
	}
}

func TestRestIsByThePaceOrEndless(t *testing.T) {
	for _, c := range []struct {
		took                      time.Duration
		events, eventTokens, most int
		least, longest            time.Duration
	}{
		{time.Second, 11, 4, 84, time.Second, 2 * time.Second},
		{time.Second, 21, 4, 84, 0, 0},
		{time.Second, 30, 4, 84, 0, 0},
		{time.Second, 2, 4, 84, Endless, Endless},
		{time.Second, 11, 4, 0, Endless, Endless},
	} {
		if got := Rest(c.took, c.events, c.eventTokens, c.most); got < c.least || got > c.longest {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestBestTargetHasRoomAndIsNearAndSound(t *testing.T) {
	for _, c := range []struct {
		targets []Target
		want    int
	}{
		{nil, -1},
		{[]Target{{Busy: 12, Slots: 12}}, -1},
		{[]Target{{Busy: 3, Slots: 12}, {Busy: 3, Slots: 12, Near: true}}, 1},
		{[]Target{{Busy: 11, Slots: 12, Near: true}, {Busy: 1, Slots: 12}}, 1},
		{[]Target{{Busy: 1, Slots: 12, Near: true, Shaky: true}, {Busy: 11, Slots: 12}}, 1},
		{[]Target{{Busy: 1, Slots: 12, Near: true, Shaky: true}}, 0},
		{[]Target{{Busy: 1, Slots: -5}}, 0},
	} {
		if got := Best(c.targets); got != c.want {
			t.Errorf("%+v: %d, want %d", c.targets, got, c.want)
		}
	}
}

// model is the two ends of a handover as they are, which its steps change or not as chance wills.
type model struct {
	random  *rand.Rand
	working map[string]bool // by end
	copied  bool
	stopped bool // the source was, and keeps its memory
	used    bool
	late    func() // a call that comes later than its answer was given up
	broken  []string
	fresh   int
	served  bool
}

func (m *model) chance(n int) bool { return m.random.IntN(n) == 0 }

// work notes that an end goes on with the run.
func (m *model) work(end string) {
	for other, works := range m.working {
		if works && other != end {
			m.broken = append(m.broken, fmt.Sprintf("%s works beside %s", end, other))
		}
	}
	m.working[end] = true
}

// do carries a step out, or not, and tells what of it is seen.
func (m *model) do(s Step) Outcome {
	if m.late != nil && m.chance(2) {
		m.late()
		m.late = nil
	}
	switch s {
	case Stop:
		return m.stop()
	case GoOnThere:
		return m.resume("target", m.copied)
	case GoBack:
		return m.resume("source", m.stopped)
	}
	return Done
}

func (m *model) stop() Outcome {
	stop := func() {
		if m.working["source"] {
			m.working["source"], m.stopped, m.copied = false, true, true
		}
	}
	switch {
	case m.chance(4): // it ended; so did its run
		m.working["source"], m.stopped = false, false
		return NotSent
	case m.chance(4):
		m.late = stop
		return NoAnswer
	case m.chance(4):
		stop()
		return NoAnswer
	case m.chance(5):
		return Refused
	case !m.working["source"] && !m.stopped:
		return NoRun
	}
	stop()
	if m.chance(4) {
		return Kept
	}
	return Done
}

func (m *model) resume(end string, has bool) Outcome {
	run := func() bool {
		if !has || m.used {
			return false
		}
		m.used = true
		m.work(end)
		return true
	}
	switch {
	case m.chance(5):
		return Refused
	case m.chance(5):
		m.late = func() { run() }
		return NoAnswer
	case !run():
		return Refused
	case m.chance(4): // the connection closes, and with it the run ends
		m.working[end] = false
		return NoAnswer
	case m.chance(4):
		m.working[end] = false
		return Broke
	}
	m.working[end] = false
	m.served = true
	return Done
}

// explore plays random schedules of a handover whose rules a mutation may change, and returns what went
// wrong.
func explore(schedules int, mutate func(*Handover, Step) Step) (wrong []string) {
	for seed := range schedules {
		random := rand.New(rand.NewPCG(1, uint64(seed)))
		m := &model{random: random, working: map[string]bool{"source": random.IntN(3) > 0}, copied: random.IntN(4) > 0, fresh: 1}
		h := &Handover{Copied: m.copied, MayStop: random.IntN(8) > 0, MayBack: random.IntN(3) > 0, MayAnew: random.IntN(2) > 0}
		once := !h.MayAnew
		for steps := 0; ; steps++ {
			s := mutate(h, h.Next())
			if s == Anew || s == GiveUp || s == Over {
				if s == Anew {
					m.fresh++
				}
				if s == Over != m.served {
					m.broken = append(m.broken, "the end is not what it is taken for")
				}
				break
			}
			if steps > 10 {
				m.broken = append(m.broken, "no end of steps")
				break
			}
			h.Told(s, m.do(s))
		}
		if once && m.fresh > 1 {
			m.broken = append(m.broken, "a second run")
		}
		if m.copied && !m.used && !m.served && h.Copied && !h.Unused() {
			m.broken = append(m.broken, "a copy is left behind")
		}
		for _, b := range m.broken {
			wrong = append(wrong, fmt.Sprintf("schedule %d: %s", seed, b))
		}
	}
	return wrong
}

func unchanged(_ *Handover, s Step) Step { return s }

// TestHandoverInAnySchedule: whatever is refused, lost, late or ends, no two servers work on a run, none
// runs it a second time that may not, and what was copied is used or to be dropped.
func TestHandoverInAnySchedule(t *testing.T) {
	if wrong := explore(20_000, unchanged); len(wrong) > 0 {
		t.Errorf("%d of 20000 schedules: %v", len(wrong), wrong[:min(len(wrong), 5)])
	}
}

// TestEachRuleOfTheHandoverIsNeeded switches each off.
func TestEachRuleOfTheHandoverIsNeeded(t *testing.T) {
	for name, mutate := range map[string]func(*Handover, Step) Step{
		"the source has stopped first": func(h *Handover, s Step) Step {
			h.Stopped = true
			return h.Next()
		},
		"one that may run once is not run anew": func(_ *Handover, s Step) Step {
			if s == GiveUp {
				return Anew
			}
			return s
		},
		"each end is tried once": func(h *Handover, _ Step) Step {
			h.tried, h.wentBack, h.used = false, false, false
			return h.Next()
		},
	} {
		t.Run(name, func(t *testing.T) {
			if wrong := explore(20_000, mutate); len(wrong) == 0 {
				t.Errorf("no schedule of 20000 shows it")
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	streams := make([]Stream, 16)
	for i := range streams {
		streams[i] = Stream{ID: fmt.Sprint(i), Rank: i % 3, Tokens: 1000 * i, Rest: Endless}
	}
	for b.Loop() {
		Plan(Leave{In: 3 * time.Second, Running: 16, Link: hornada}, streams)
	}
}

func BenchmarkHandover(b *testing.B) {
	for b.Loop() {
		h := Handover{Copied: true, MayStop: true}
		h.Told(Stop, Done)
		h.Told(h.Next(), Done)
		_ = h.Next()
	}
}

func TestOnlyLongStreamsAtRiskAreInsured(t *testing.T) {
	long := Stream{Tokens: 5000}
	again := Stream{Tokens: 5000, Anew: true}
	healthy, suspect := Risk{}, Risk{Broke: true}
	storm := Risk{Ends: 30, Servers: 100, Span: 10 * time.Second}
	for _, c := range []struct {
		s    Stream
		r    Risk
		want bool
	}{
		{long, healthy, false}, {long, suspect, true}, {again, suspect, true}, {long, storm, true}, {again, storm, false},
		{Stream{Tokens: 100}, suspect, false}, {long, Risk{Ends: 5, Servers: 140, Span: 30 * time.Second}, false},
		{long, Risk{Ends: 5}, false},
	} {
		if got := Insure(c.s, 200, c.r.Chance(3*time.Second)); got != c.want {
			t.Errorf("%+v at %+v: %t", c.s, c.r, got)
		}
	}
}

// TestWaysToInsure weighs never, always and by Insure: 100,000 streams of 500 to 9,000 tokens at servers of
// which 3 in 100 are about to end. Those end under one run in four, and show it by a broken connection four
// times in five; of the others one run in a thousand meets an end, and one in a hundred finds a connection
// broken before.
func TestWaysToInsure(t *testing.T) {
	type sums struct{ copied, lost int }
	ways := map[string]func(s Stream, r Risk) bool{
		"never":  func(Stream, Risk) bool { return false },
		"always": func(Stream, Risk) bool { return true },
		"insure": func(s Stream, r Risk) bool { return Insure(s, 200, r.Chance(3*time.Second)) },
	}
	got := map[string]sums{}
	for name, way := range ways {
		random := rand.New(rand.NewPCG(3, 3))
		var sum sums
		for range 100_000 {
			s := Stream{Tokens: 500 + random.IntN(8500), Anew: random.IntN(2) == 0}
			failing := random.Float64() < 0.03
			shows, ends := 0.01, 0.001
			if failing {
				shows, ends = 0.8, 0.25
			}
			r := Risk{Ends: 25, Servers: 100, Span: 90 * time.Second}
			if random.Float64() < shows {
				r.Broke = true
			}
			insured := way(s, r)
			ended := random.Float64() < ends
			switch {
			case insured:
				sum.copied += s.Tokens + 200
			case ended:
				sum.lost += s.Tokens
			}
		}
		got[name] = sum
		t.Logf("%-7s copied %9d tokens, read %8d for nothing", name, sum.copied, sum.lost)
	}
	if n, a, i := got["never"], got["always"], got["insure"]; a.lost != 0 || n.copied != 0 ||
		i.lost > n.lost*2/5 || i.copied > a.copied/20 {
		t.Errorf("never %+v, always %+v, insure %+v", n, a, i)
	}
}

func BenchmarkInsure(b *testing.B) {
	r := Risk{Broke: true, Ends: 3, Servers: 140, Span: 30 * time.Second}
	for b.Loop() {
		Insure(Stream{Tokens: 5000}, 200, r.Chance(3*time.Second))
	}
}
