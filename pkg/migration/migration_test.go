package migration

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var testLink = Link{BytesPerToken: 163_840, BytesPerS: 550e9 / 8}

func ids(streams []Stream) (list []string) {
	for _, s := range streams {
		list = append(list, s.ID)
	}
	return list
}

func TestPlanMovesTheGreatestLossFirst(t *testing.T) {
	streams := []Stream{
		{ID: "short", Tokens: 9000, Remaining: 200 * time.Millisecond},
		{ID: "batch", Rank: 2, Tokens: 9000, Remaining: UnknownRemaining},
		{ID: "again", Rank: 1, Tokens: 9000, Remaining: UnknownRemaining, Restartable: true},
		{ID: "small", Rank: 1, Tokens: 500, Remaining: UnknownRemaining},
		{ID: "large", Rank: 1, Tokens: 5000, Remaining: 5 * time.Second},
	}
	moves, begin := Plan(Departure{TimeLeft: 3 * time.Second, Link: testLink}, streams)
	if want := []string{"large", "small", "again", "batch"}; !slices.Equal(ids(moves), want) {
		t.Errorf("moves %v, want %v", ids(moves), want)
	}
	if begin < time.Second || begin > 1500*time.Millisecond {
		t.Errorf("the first move begins after %v of 3s, want between 1s and 1.5s", begin)
	}
	if _, full := Plan(Departure{TimeLeft: 3 * time.Second, Running: 48, Link: testLink}, streams); full >= begin {
		t.Errorf("with 43 streams of other nodes the first move begins after %v, without them after %v", full, begin)
	}
	if moves, _ := Plan(Departure{TimeLeft: 3 * time.Second, Link: testLink}, streams[:1]); moves != nil {
		t.Errorf("a stream that ends in time moves: %v", moves)
	}
}

func TestRemainingTimeIsByTheSpeedOrUnknown(t *testing.T) {
	for _, c := range []struct {
		took                      time.Duration
		events, eventTokens, most int
		least, longest            time.Duration
	}{
		{time.Second, 11, 4, 84, time.Second, 2 * time.Second},
		{time.Second, 21, 4, 84, 0, 0},
		{time.Second, 30, 4, 84, 0, 0},
		{time.Second, 2, 4, 84, UnknownRemaining, UnknownRemaining},
		{time.Second, 11, 4, 0, UnknownRemaining, UnknownRemaining},
	} {
		if got := RemainingTime(c.took, c.events, c.eventTokens, c.most); got < c.least || got > c.longest {
			t.Errorf("%+v: remaining time %v", c, got)
		}
	}
}

func TestBestTargetHasCapacityInTheZoneAndDidNotFail(t *testing.T) {
	for _, c := range []struct {
		targets []Target
		want    int
	}{
		{nil, -1},
		{[]Target{{Busy: 12, Slots: 12}}, -1},
		{[]Target{{Busy: 3, Slots: 12}, {Busy: 3, Slots: 12, SameZone: true}}, 1},
		{[]Target{{Busy: 11, Slots: 12, SameZone: true}, {Busy: 1, Slots: 12}}, 1},
		{[]Target{{Busy: 1, Slots: 12, SameZone: true, RecentlyFailed: true}, {Busy: 11, Slots: 12}}, 1},
		{[]Target{{Busy: 1, Slots: 12, SameZone: true, RecentlyFailed: true}}, 0},
		{[]Target{{Busy: 1, Slots: -5}}, 0},
	} {
		if got := BestTarget(c.targets); got != c.want {
			t.Errorf("targets %+v: chose %d, want %d", c.targets, got, c.want)
		}
	}
}

// model simulates the source and the target of a handover, where each step randomly succeeds, fails
// or takes effect late.
type model struct {
	random      *rand.Rand
	working     map[string]bool // whether "source" and "target" execute the run
	copied      bool
	stopped     bool // the source stopped the run and holds its memory
	used        bool
	unreachable bool   // the last call found no sign of the source
	delayedCall func() // a call that takes effect after the caller stopped waiting for its answer
	violations  []string
	runs        int
	served      bool
}

func (m *model) chance(n int) bool { return m.random.IntN(n) == 0 }

// execute records that an end executes the run.
func (m *model) execute(end string) {
	for other, works := range m.working {
		if works && other != end {
			m.violations = append(m.violations, fmt.Sprintf("%s executes the run at the same time as %s", end, other))
		}
	}
	m.working[end] = true
}

// do executes a step, or not, and returns the outcome that the node observes.
func (m *model) do(s Step) Outcome {
	if m.delayedCall != nil && m.chance(2) {
		m.delayedCall()
		m.delayedCall = nil
	}
	switch s {
	case Stop:
		return m.stop()
	case ResumeAtTarget:
		return m.resume("target", m.copied)
	case ResumeAtSource:
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
	unreachable := m.unreachable
	m.unreachable = false
	switch {
	case m.chance(8): // the source crashed, which ended the run
		m.working["source"], m.stopped = false, false
		return Ended
	case m.chance(8): // the source accepts no connection and works on
		return NotSent
	case m.chance(8): // a connection came up too late or, the second time, the source's machine has no power
		if unreachable {
			m.working["source"], m.stopped = false, false
		}
		m.unreachable = true
		return Unreachable
	case m.chance(4):
		m.delayedCall = stop
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
		m.execute(end)
		return true
	}
	switch {
	case m.chance(5):
		return Refused
	case m.chance(5):
		m.delayedCall = func() { run() }
		return NoAnswer
	case !run():
		return Refused
	case m.chance(4): // the connection closes, which ends the run
		m.working[end] = false
		return NoAnswer
	case m.chance(4):
		m.working[end] = false
		return StreamBroke
	}
	m.working[end] = false
	m.served = true
	return Done
}

// explore runs a handover in random schedules, with mutate applied to each step, and returns the
// violations.
func explore(schedules int, mutate func(*Handover, Step) Step) (violations []string) {
	for seed := range schedules {
		random := rand.New(rand.NewPCG(1, uint64(seed)))
		m := &model{random: random, working: map[string]bool{"source": random.IntN(3) > 0}, copied: random.IntN(4) > 0, runs: 1}
		h := &Handover{Copied: m.copied, MayStop: random.IntN(8) > 0, MayReturn: random.IntN(3) > 0, MayRunAgain: random.IntN(2) > 0}
		once := !h.MayRunAgain
		for steps := 0; ; steps++ {
			s := mutate(h, h.Next())
			if s == RunAgain || s == GiveUp || s == Completed {
				if s == RunAgain {
					m.runs++
				}
				if s == Completed != m.served {
					m.violations = append(m.violations, "the handover misjudged whether the stream was served")
				}
				break
			}
			h.MayStop = h.MayStop && steps < 8 // there is no time for more
			if steps > 12 {
				m.violations = append(m.violations, "the handover did not end")
				break
			}
			h.RecordOutcome(s, m.do(s))
		}
		if once && m.runs > 1 {
			m.violations = append(m.violations, "a request that may run once ran twice")
		}
		if m.copied && !m.used && !m.served && h.Copied && !h.HasUnusedCopy() {
			m.violations = append(m.violations, "an unused copy is not reported")
		}
		for _, b := range m.violations {
			violations = append(violations, fmt.Sprintf("schedule %d: %s", seed, b))
		}
	}
	return violations
}

func unchanged(_ *Handover, s Step) Step { return s }

// TestHandoverInAnySchedule checks that, with any refusals, losses, delays and crashes, no two
// servers execute a run at the same time, a request that may run once does not run twice, and each
// copy is used or reported as unused.
func TestHandoverInAnySchedule(t *testing.T) {
	if wrong := explore(20_000, unchanged); len(wrong) > 0 {
		t.Errorf("%d of 20000 schedules: %v", len(wrong), wrong[:min(len(wrong), 5)])
	}
}

// TestEachRuleOfTheHandoverIsNeeded disables each rule and expects violations.
func TestEachRuleOfTheHandoverIsNeeded(t *testing.T) {
	for name, mutate := range map[string]func(*Handover, Step) Step{
		"the source has stopped first": func(h *Handover, s Step) Step {
			h.Stopped = true
			return h.Next()
		},
		"a call that is not sent stops nothing": func(h *Handover, s Step) Step {
			if s == Stop {
				h.RecordOutcome(Stop, NoRun)
				return h.Next()
			}
			return s
		},
		"one connection may be late": func(h *Handover, s Step) Step {
			h.Stopped = h.Stopped || h.unreachable > 0
			return h.Next()
		},
		"one that may run once is not run anew": func(_ *Handover, s Step) Step {
			if s == GiveUp {
				return RunAgain
			}
			return s
		},
		"each end is tried once": func(h *Handover, _ Step) Step {
			h.triedTarget, h.triedSource, h.used = false, false, false
			return h.Next()
		},
	} {
		t.Run(name, func(t *testing.T) {
			if wrong := explore(20_000, mutate); len(wrong) == 0 {
				t.Errorf("no violation in 20000 schedules without this rule")
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	streams := make([]Stream, 16)
	for i := range streams {
		streams[i] = Stream{ID: fmt.Sprint(i), Rank: i % 3, Tokens: 1000 * i, Remaining: UnknownRemaining}
	}
	for b.Loop() {
		Plan(Departure{TimeLeft: 3 * time.Second, Running: 16, Link: testLink}, streams)
	}
}

func BenchmarkHandover(b *testing.B) {
	for b.Loop() {
		h := Handover{Copied: true, MayStop: true}
		h.RecordOutcome(Stop, Done)
		h.RecordOutcome(h.Next(), Done)
		_ = h.Next()
	}
}

func TestOnlyLongStreamsAtRiskAreBackedUp(t *testing.T) {
	long := Stream{Tokens: 5000}
	again := Stream{Tokens: 5000, Restartable: true}
	healthy, suspect := Risk{}, Risk{ConnectionBroke: true}
	storm := Risk{Crashes: 30, Servers: 100, Window: 10 * time.Second}
	for _, c := range []struct {
		s    Stream
		r    Risk
		want bool
	}{
		{long, healthy, false}, {long, suspect, true}, {again, suspect, true}, {long, storm, true}, {again, storm, false},
		{Stream{Tokens: 100}, suspect, false}, {long, Risk{Crashes: 5, Servers: 140, Window: 30 * time.Second}, false},
		{long, Risk{Crashes: 5}, false},
	} {
		if got := WorthBackup(c.s, 200, c.r.CrashChance(3*time.Second)); got != c.want {
			t.Errorf("%+v at %+v: WorthBackup is %t", c.s, c.r, got)
		}
	}
}

// TestBackupPolicies compares copying never, always and by WorthBackup for 100,000 streams of 500
// to 9,000 tokens. 3 in 100 servers are failing: they crash in one run of four, and four times in
// five break a connection before. The others crash in one run of a thousand and break a connection
// in one of a hundred.
func TestBackupPolicies(t *testing.T) {
	type sums struct{ copied, lost int }
	policies := map[string]func(s Stream, r Risk) bool{
		"never":          func(Stream, Risk) bool { return false },
		"always":         func(Stream, Risk) bool { return true },
		"by WorthBackup": func(s Stream, r Risk) bool { return WorthBackup(s, 200, r.CrashChance(3*time.Second)) },
	}
	got := map[string]sums{}
	for name, policy := range policies {
		random := rand.New(rand.NewPCG(3, 3))
		var sum sums
		for range 100_000 {
			s := Stream{Tokens: 500 + random.IntN(8500), Restartable: random.IntN(2) == 0}
			failing := random.Float64() < 0.03
			shows, ends := 0.01, 0.001
			if failing {
				shows, ends = 0.8, 0.25
			}
			r := Risk{Crashes: 25, Servers: 100, Window: 90 * time.Second}
			if random.Float64() < shows {
				r.ConnectionBroke = true
			}
			insured := policy(s, r)
			ended := random.Float64() < ends
			switch {
			case insured:
				sum.copied += s.Tokens + 200
			case ended:
				sum.lost += s.Tokens
			}
		}
		got[name] = sum
		t.Logf("%-14s copied %9d tokens, lost %8d prefilled tokens", name, sum.copied, sum.lost)
	}
	if n, a, i := got["never"], got["always"], got["by WorthBackup"]; a.lost != 0 || n.copied != 0 ||
		i.lost > n.lost*2/5 || i.copied > a.copied/20 {
		t.Errorf("never %+v, always %+v, by WorthBackup %+v; want under 2/5 of the losses of never and 1/20 of the copies of always", n, a, i)
	}
}

func BenchmarkWorthBackup(b *testing.B) {
	r := Risk{ConnectionBroke: true, Crashes: 3, Servers: 140, Window: 30 * time.Second}
	for b.Loop() {
		WorthBackup(Stream{Tokens: 5000}, 200, r.CrashChance(3*time.Second))
	}
}
