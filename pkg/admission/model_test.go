package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/enginetest"
	"martenwheel.dev/pkg/prompt"
)

// newRequest returns a request for the servers s0 and s1 with a prompt of the given tokens, none of
// them shared.
func newRequest(id uint64, rank, tokens int, target, patience time.Duration) *Request {
	return &Request{Place: Place{"n", id}, Key: Key{"s", "m"}, Need: "m", Work: Work{Tokens: tokens, Out: 50}, Rank: rank,
		Target: target, Patience: patience, Left: 15 * time.Second, Servers: []string{"s0", "s1"}}
}

// decide returns the model's decision.
func decide(t *testing.T, m *Model, at time.Duration, r *Request) Verdict {
	t.Helper()
	v, err := m.Decide(testStart.Add(at), r)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// report returns a node's report on a request.
func report(r *Request, server string, sent, first time.Duration, ended bool) Report {
	return Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: server, Work: r.Work, Rank: r.Rank, Target: r.Target,
		Sent: sent, First: first, Left: r.Left, Ended: ended}
}

// fill grants places to requests of one kind until one gets none, and returns the number of places.
func fill(t *testing.T, m *Model, tokens int, target time.Duration) int {
	t.Helper()
	for n := range 200 {
		if v := decide(t, m, 0, newRequest(uint64(1000+n), 1, tokens, target, target)); v.Kind != Go {
			return n
		}
	}
	t.Fatal("places are granted without bound")
	return 0
}

func TestWhatCantBeServedWhileItsCallerWaitsIsRefusedAtOnce(t *testing.T) {
	m := newModel()
	fill(t, m, 9000, 2*time.Second)
	v := decide(t, m, 0, newRequest(1, 1, 9000, 500*time.Millisecond, 600*time.Millisecond))
	if v.Kind != Refuse || v.After < minAway || v.After > maxAway {
		t.Errorf("the verdict is %+v, want a refusal with a time from minAway to maxAway", v)
	}
}

// TestRefusedRequestsComeBackApart: two refused requests must not be told to come back for the same
// capacity.
func TestRefusedRequestsComeBackApart(t *testing.T) {
	m := newModel()
	fill(t, m, 9000, 2*time.Second)
	last := time.Duration(0)
	for id := range uint64(4) {
		v := decide(t, m, 0, newRequest(id, 1, 9000, 500*time.Millisecond, 600*time.Millisecond))
		if v.Kind != Refuse || v.After <= last {
			t.Errorf("request %d got %+v, want a refusal with more than %v", id, v, last)
		}
		last = v.After
	}
	for id := range uint64(300) {
		if v := decide(t, m, 0, newRequest(id, 1, 9000, 500*time.Millisecond, 600*time.Millisecond)); v.After > maxAway {
			t.Fatalf("a request is refused for %v, want at most maxAway", v.After)
		}
	}
	if v := decide(t, m, 4*time.Second, newRequest(1, 1, 9000, 500*time.Millisecond, 600*time.Millisecond)); v.Kind != Refuse || v.After > maxAway/2 {
		t.Errorf("four seconds after 300 refusals a request got %+v, want a refusal with at most half of maxAway", v)
	}
}

func TestTheMoreUrgentGoesFirst(t *testing.T) {
	m := newModel()
	fill(t, m, 6000, 2*time.Second)
	patient := newRequest(1, 1, 6000, 4*time.Second, 10*time.Second)
	if v := decide(t, m, 0, patient); v.Kind != Wait {
		t.Fatalf("a patient request at full servers got %+v, want wait", v)
	}
	urgent := newRequest(2, 0, 800, 2500*time.Millisecond, 4*time.Second)
	if v := decide(t, m, 0, urgent); v.Kind != Go && v.Kind != Wait {
		t.Fatalf("an urgent request got %+v, want go or wait", v)
	}
	order := []Kind{}
	for at := time.Duration(0); at < 3*time.Second && len(order) < 2; at += 10 * time.Millisecond {
		if v := decide(t, m, at, newRequest(1, 1, 6000, 4*time.Second-at, 10*time.Second)); v.Kind == Go {
			t.Logf("the patient request goes after %v", at)
			break
		}
		if v := decide(t, m, at, newRequest(2, 0, 800, 2500*time.Millisecond-at, 4*time.Second)); v.Kind == Go {
			order = append(order, v.Kind)
			break
		}
	}
	if len(order) != 1 {
		t.Error("the urgent request did not go first")
	}
}

// TestNobodyIsStarved: a patient request of a low rank must be admitted even if more urgent
// requests take all capacity.
func TestNobodyIsStarved(t *testing.T) {
	m := newModel()
	id, gone := uint64(100), 0
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		id++
		decide(t, m, at, newRequest(id, 0, 4000, 400*time.Millisecond, 3*time.Second))
		if at < 3*time.Second {
			continue
		}
		low := newRequest(1, 5, 800, 2*time.Second, 10*time.Second)
		if at < 8*time.Second {
			low.Work.Tokens = 1500 // for a while there is another request of its rank
			low.Place.ID = 2
		}
		switch v := decide(t, m, at, low); {
		case v.Kind == Go && at < 8*time.Second:
			gone++
		case v.Kind == Go:
			t.Logf("admitted after %v, after %d other requests of its rank", at-8*time.Second, gone)
			if gone == 0 || gone > 10 {
				t.Errorf("%d requests of a low rank were admitted within five seconds, want 1 to 10", gone)
			}
			return
		}
	}
	t.Error("the request was never admitted")
}

// TestLateRequestsTakeNoCapacity: a request that can't be in time waits until a server has little
// to read.
func TestLateRequestsTakeNoCapacity(t *testing.T) {
	m := newModel()
	first := newRequest(1, 1, 3500, 2*time.Second, 10*time.Second)
	first.Servers = first.Servers[:1]
	decide(t, m, 0, first)
	for _, at := range []time.Duration{0, 200 * time.Millisecond} {
		late := newRequest(2, 1, 3000, -time.Second, 8*time.Second)
		late.Servers = late.Servers[:1]
		want := map[bool]Kind{false: Wait, true: Go}[at > 0]
		if v := decide(t, m, at, late); v.Kind != want {
			t.Errorf("a late request behind 3,500 tokens after %v: the verdict is %v", at, v.Kind)
		}
	}
}

// TestMemoryIsNotExceeded: a server gets no more requests than its memory holds, even if their
// targets would allow more.
func TestMemoryIsNotExceeded(t *testing.T) {
	for _, without := range []bool{false, true} {
		m := newModel()
		m.ablation.noMemory = without
		granted := 0
		for at := time.Duration(0); at < 80*time.Second; at += 4 * time.Second {
			r := newRequest(uint64(at), 1, 30_000, time.Minute, 2*time.Minute)
			r.Servers = r.Servers[:1]
			r.Left = 2 * time.Minute
			if v := decide(t, m, at, r); v.Kind == Go {
				granted++
				m.AddReports(testStart.Add(at), "n", []Report{report(r, "s0", 0, time.Second, false)}, false)
			}
		}
		if fits := 7; (granted > fits) != without {
			t.Errorf("%d prompts of 30,000 tokens run at once, memory bound in force: %t", granted, !without)
		}
	}
}

func TestSpeedEstimate(t *testing.T) {
	var s speed
	if got := s.estimate(testStart); got != defaultSpeed {
		t.Errorf("the speed of an unknown server is %g, want defaultSpeed", got)
	}
	for i := range 30 {
		s.add(testStart, []float64{35, 45}[i%2], time.Millisecond)
	}
	if got := s.estimate(testStart); got < 33 || got > 39 {
		t.Errorf("the speed of a server that reads 35 to 45 is %g", got)
	}
	if got := s.estimate(testStart.Add(5 * time.Minute)); math.Abs(got-defaultSpeed) > 1 {
		t.Errorf("the speed five minutes later is %g, want about defaultSpeed", got)
	}
	for range 30 {
		s.add(testStart, 5, time.Millisecond)
	}
	if got := s.estimate(testStart); got > 6 {
		t.Errorf("the speed of a server that turned slow is %g", got)
	}
	s.add(testStart, 1e9, time.Millisecond)
	s.add(testStart, -3, time.Millisecond)
	if got := s.estimate(testStart); got > 6 {
		t.Errorf("the speed after implausible samples is %g", got)
	}
}

// TestSpeedIsLearnedFromHeartbeats: the speed is also learned from answers that had others before
// them.
func TestSpeedIsLearnedFromHeartbeats(t *testing.T) {
	m := newModel()
	for id := range uint64(5) { // sent at once, read one after the other at 30 tokens per millisecond
		first := time.Duration(id+1) * 100 * time.Millisecond
		m.AddReports(testStart.Add(time.Second), fmt.Sprint("n", id), []Report{report(newRequest(id, 1, 3000, time.Second, time.Second), "s0", time.Second-time.Duration(id)*time.Millisecond, first, false)}, true)
	}
	if got := m.servers["s0"].speed.mean; got < 25 || got > 50 {
		t.Errorf("the learned speed is %g tokens per millisecond, want 25 to 50", got)
	}
}

// TestOverdueAnswerShowsThatTheServerIsSlow: an overdue answer shows that a server is slow before
// any answer arrived.
func TestOverdueAnswerShowsThatTheServerIsSlow(t *testing.T) {
	m := newModel()
	first := newRequest(1, 1, 3000, 2*time.Second, 10*time.Second)
	first.Servers = []string{"s0"}
	decide(t, m, 0, first)
	soon := m.servers["s0"].load(testStart.Add(300 * time.Millisecond))
	silent := m.servers["s0"].load(testStart.Add(2 * time.Second))
	m.AddReports(testStart.Add(2*time.Second), "n", []Report{report(first, "s0", 2*time.Second, 0, false)}, true)
	late := m.servers["s0"].load(testStart.Add(2 * time.Second))
	if soon.speed != defaultSpeed || silent.speed != silentSpeedShare*defaultSpeed || late.speed > defaultSpeed/5 {
		t.Errorf("speed %g after 0.3 s, %g after 2 s without reports, %g after a report that there is no answer", soon.speed, silent.speed, late.speed)
	}
}

// TestCachedPartsCountLess: shared parts of a prompt don't count once the server has certainly read
// them, until they are too old.
func TestCachedPartsCountLess(t *testing.T) {
	m := newModel()
	shared := Work{Tokens: 9000, Out: 50, Parts: []prompt.Part{{ID: "c", Tokens: 2500}, {ID: "s", Tokens: 3500}, {ID: "o", Tokens: 3000}}}
	r := newRequest(1, 1, 0, 2*time.Second, 10*time.Second)
	r.Work, r.Servers = shared, []string{"s0"}
	decide(t, m, 0, r)
	s := m.servers["s0"]
	if got := s.prefillTokens(testStart, "m", shared); got != 9000 {
		t.Errorf("%g tokens to read while the first prompt may still be unread, want 9000", got)
	}
	m.AddReports(testStart.Add(time.Second), "n", []Report{report(r, "s0", time.Second, 500*time.Millisecond, false)}, false)
	if got := s.prefillTokens(testStart.Add(time.Second), "m", shared); got != 3000 {
		t.Errorf("%g tokens to read with cached shared parts, want 3000", got)
	}
	if got := s.prefillTokens(testStart.Add(time.Second), "m/adapter", shared); got != 9000 {
		t.Errorf("%g tokens to read with an adapter, want 9000", got)
	}
	if got := s.prefillTokens(testStart.Add(20*time.Second), "m", shared); got != 9000 {
		t.Errorf("%g tokens to read 20 s later, want 9000", got)
	}
}

// TestUnreportedPlacesAreFreed: a place is freed if the report of its end was lost, its node is
// gone, its deadline has passed, or its server is gone.
func TestUnreportedPlacesAreFreed(t *testing.T) {
	gone := false
	for name, end := range map[string]func(m *Model, r *Request){
		"its end is reported": func(m *Model, r *Request) {
			m.AddReports(testStart.Add(time.Second), "n", []Report{report(r, "s0", time.Second, 0, true)}, false)
		},
		"its end was lost, and the node no longer reports it": func(m *Model, _ *Request) { m.AddReports(testStart.Add(2*time.Second), "n", nil, true) },
		"the node is gone":        func(m *Model, _ *Request) { m.NodeGone("n") },
		"its deadline has passed": func(m *Model, _ *Request) { m.Expire(testStart.Add(16 * time.Second)) },
		"the server is gone":      func(m *Model, _ *Request) { gone = true; m.Expire(testStart.Add(time.Second)) },
		"it asks again": func(m *Model, r *Request) {
			r.Target, r.Patience = 1, 1
			_, _ = m.Decide(testStart.Add(time.Second), r)
		},
	} {
		gone = false
		m := newModel()
		engine := m.Engine
		m.Engine = func(server string) (Engine, bool) {
			e, known := engine(server)
			return e, known && !gone
		}
		r := newRequest(1, 1, 9000, 4*time.Second, 10*time.Second)
		r.Servers = r.Servers[:1]
		decide(t, m, 0, r)
		if s := m.servers["s0"]; len(s.places) != 1 {
			t.Fatalf("%s: %d places", name, len(s.places))
		}
		end(m, r)
		if s := m.servers["s0"]; s != nil && len(s.places) != 0 || len(m.places) != 0 {
			t.Errorf("%s: a place is left", name)
		}
		if gone && m.servers["s0"] != nil {
			t.Errorf("%s: the server is still known", name)
		}
	}
}

// TestLateReportOnAnEarlierSend: a late report on an earlier send must not free the place that the
// request has now.
func TestLateReportOnAnEarlierSend(t *testing.T) {
	m := newModel()
	r := newRequest(1, 1, 3000, 4*time.Second, 10*time.Second)
	r.Servers = r.Servers[:1]
	decide(t, m, 0, r)
	decide(t, m, 300*time.Millisecond, r)
	m.AddReports(testStart.Add(320*time.Millisecond), "n", []Report{report(r, "s0", 320*time.Millisecond, 0, true)}, false)
	if len(m.places) != 1 {
		t.Error("the report on the first send freed the second place")
	}
	m.AddReports(testStart.Add(340*time.Millisecond), "n", []Report{report(r, "s0", 40*time.Millisecond, 0, true)}, false)
	if len(m.places) != 0 {
		t.Error("the second place is not freed after its end")
	}
}

// TestHeartbeatThatCrossesAVerdictFreesNothing: a heartbeat that was written before the node got
// the verdict must not free the place.
func TestHeartbeatThatCrossesAVerdictFreesNothing(t *testing.T) {
	m := newModel()
	decide(t, m, 0, newRequest(1, 1, 9000, 4*time.Second, 10*time.Second))
	m.AddReports(testStart.Add(20*time.Millisecond), "n", nil, true)
	if len(m.places) != 1 {
		t.Error("the place was freed")
	}
}

// TestNewHolderLearnsFromHeartbeats: a new holder learns from heartbeats what runs, and decides
// nothing before that.
func TestNewHolderLearnsFromHeartbeats(t *testing.T) {
	m, next := newModel(), newModel()
	next.Begin(testStart)
	n := fill(t, m, 6000, 2*time.Second)
	if v := decide(t, next, 0, newRequest(1, 1, 6000, 2*time.Second, 2*time.Second)); v.Kind != Stand {
		t.Errorf("a holder without reports decides %v, want stand", v.Kind)
	}
	for _, h := range m.places["n"] {
		r := newRequest(h.key.ID, h.rank, 6000, h.target, time.Second)
		next.AddReports(testStart.Add(1300*time.Millisecond), "n", []Report{report(r, h.server, 1300*time.Millisecond, 0, false)}, false)
	}
	got := 0
	for _, s := range next.servers {
		got += len(s.places)
	}
	if got != n {
		t.Errorf("%d of %d places were learned", got, n)
	}
}

// TestManyNodesAtOnce: many nodes ask for two servers within a moment. Only as many requests may go
// as can be in time.
func TestManyNodesAtOnce(t *testing.T) {
	m := newModel()
	kinds := map[Kind]int{}
	var worst time.Duration
	for id := range uint64(300) {
		r := newRequest(id, 1, 3000, 800*time.Millisecond, 3200*time.Millisecond)
		r.Place.Node = fmt.Sprint("n", id)
		v := decide(t, m, 0, r)
		kinds[v.Kind]++
		if v.Kind == Go {
			worst = max(worst, v.First)
		}
	}
	if kinds[Go] == 0 || kinds[Go] > 8 || worst > 800*time.Millisecond || kinds[Refuse] < 200 {
		t.Errorf("verdicts %v, latest predicted first event %v", kinds, worst)
	}
}

func TestImplausibleReportsAreRejected(t *testing.T) {
	m := newModel()
	for name, change := range map[string]func(*Request){
		"negative tokens": func(r *Request) { r.Work.Tokens = -5 },
		"endless time":    func(r *Request) { r.Patience = math.MaxInt64 },
		"no server":       func(r *Request) { r.Servers = nil },
		"unknown server":  func(r *Request) { r.Servers = []string{"x"} },
		"no model":        func(r *Request) { r.Key.Model = "" },
		"negative part":   func(r *Request) { r.Work.Parts = []prompt.Part{{ID: "a", Tokens: -1}, {ID: "b", Tokens: 1}} },
	} {
		r := newRequest(1, 1, 100, time.Second, time.Second)
		change(r)
		if v, err := m.Decide(testStart, r); err == nil || v.Kind != Stand {
			t.Errorf("%s: %v, %v", name, v.Kind, err)
		}
	}
	r := newRequest(1, 1, 100, time.Second, time.Second)
	bad := report(r, "s0", -time.Second, 0, false)
	if errs := m.AddReports(testStart, "n", []Report{bad, report(r, "x", 0, 0, false), report(r, "s0", 0, 0, false)}, false); len(errs) != 2 {
		t.Errorf("%d errors, want 2: %v", len(errs), errs)
	}
	if len(m.servers["s0"].places) != 1 {
		t.Error("a valid report was not added")
	}
}

func FuzzModel(f *testing.F) {
	f.Add(uint64(1), 900, 50, int64(1e9), int64(1e9), 3, "s0", int64(1e6), true)
	f.Add(uint64(1), -1, 1<<30, int64(-5), int64(math.MaxInt64), -2, "x", int64(-1), false)
	f.Fuzz(func(t *testing.T, id uint64, tokens, out int, target, patience int64, rank int, server string, first int64, ended bool) {
		m := newModel()
		for i := range uint64(3) {
			r := newRequest(id+i, rank, tokens, time.Duration(target), time.Duration(patience))
			r.Work.Out = out
			r.Servers = append(r.Servers, server)
			v, _ := m.Decide(testStart, r)
			if v.After < 0 || v.After > maxAway {
				t.Errorf("a request is told to come back after %v", v.After)
			}
			m.AddReports(testStart.Add(time.Second), "n", []Report{report(r, server, time.Second, time.Duration(first), ended)}, i == 2)
		}
		m.Overloaded(testStart.Add(time.Second), func(Key) []string { return []string{"s0", "s1", server} })
		m.Expire(testStart.Add(time.Hour))
		if len(m.places) != 0 || len(m.waiting) != 0 {
			t.Error("places are left an hour later")
		}
	})
}

// watchOverload simulates nodes that choose servers by themselves and report once a second. It
// returns when the model first counted as overloaded, for which part of the time it did, and which
// part of the requests was late.
func watchOverload(engines []*enginetest.Engine, engine Engine, rate float64, length time.Duration, tokens func(*rand.Rand) (in, out int), target time.Duration) (first time.Duration, part, late float64) {
	random := rand.New(rand.NewPCG(1, 2))
	m := newModel()
	m.Engine = func(string) (Engine, bool) { return engine, true }
	type sent struct {
		r    *Request
		run  *enginetest.Run
		node int
		to   int
	}
	var open []*sent
	first, next, id := -1, 0.0, uint64(0)
	overloaded, checks, tooLate := 0, 0, 0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		for ; next < at.Seconds(); next += random.ExpFloat64() / rate {
			id++
			in, out := tokens(random)
			r := newRequest(id, 1, in, target, 10*time.Second)
			r.Work.Out = out
			s := &sent{r, &enginetest.Run{Prompt: prompt.Parse(prompt.Fields{Tokens: fmt.Sprintf("%d,%d", in, out)}), OutputTokens: out, ArrivesAt: at},
				random.IntN(simNodes), random.IntN(len(engines))}
			engines[s.to].Add(s.run)
			open = append(open, s)
		}
		for _, e := range engines {
			e.Advance(at)
		}
		left := open[:0]
		for _, s := range open {
			if int(at/(10*time.Millisecond))%100 == s.node {
				answered := max(s.run.FirstEvent-s.run.ArrivesAt, 0)
				m.AddReports(testStart.Add(at), fmt.Sprint("n", s.node), []Report{report(s.r, fmt.Sprint("s", s.to), at-s.run.ArrivesAt, answered, s.run.End > 0)}, false)
				if s.run.End > 0 {
					if answered > target {
						tooLate++
					}
					continue
				}
			}
			left = append(left, s)
		}
		open = left
		if at%(200*time.Millisecond) != 0 {
			continue
		}
		checks++
		if len(m.Overloaded(testStart.Add(at), func(Key) []string { return []string{"s0", "s1"}[:len(engines)] })) > 0 {
			overloaded++
			if first < 0 {
				first = at
			}
		}
	}
	return first, float64(overloaded) / float64(checks), float64(tooLate) / float64(id)
}

// TestShortPromptsAreNoOverload: servers with 12 to 64 slots that get prompts of 350 to 1,800
// tokens, as many as they can serve in time, must not count as overloaded.
func TestShortPromptsAreNoOverload(t *testing.T) {
	for _, c := range []struct {
		slots, in, out int
		rate           float64
		target         time.Duration
	}{
		{12, 350, 60, 8, 400 * time.Millisecond}, {24, 900, 120, 12, 500 * time.Millisecond},
		{48, 1460, 80, 20, 800 * time.Millisecond}, {64, 1800, 100, 20, 800 * time.Millisecond},
	} {
		engines := []*enginetest.Engine{{Slots: c.slots}, {Slots: c.slots, Speed: 0.8}}
		tokens := func(random *rand.Rand) (int, int) {
			return int(float64(c.in) * (0.5 + random.Float64())), int(float64(c.out) * (0.3 + random.ExpFloat64()*0.7))
		}
		if first, part, late := watchOverload(engines, Engine{c.slots, 250_000, 6}, c.rate, time.Minute, tokens, c.target); part > 0.01 {
			t.Errorf("prompts of %d tokens, %g per second: overloaded for %.3f of the time, first after %v; %.3f late", c.in, c.rate, part, first, late)
		}
	}
}

// TestLongPromptsAreAnOverload: a model counts as overloaded soon after long prompts come faster
// than they are read, but not at the normal load.
func TestLongPromptsAreAnOverload(t *testing.T) {
	tokens := func(random *rand.Rand) (int, int) { return 2000 + random.IntN(6000), 54 }
	engines := func() []*enginetest.Engine { return []*enginetest.Engine{{Speed: 0.55}, {Speed: 1.2}} }
	engine := Engine{48, 250_000, 6}
	if first, part, _ := watchOverload(engines(), engine, 16, 20*time.Second, tokens, 800*time.Millisecond); first < 0 || first > 3*time.Second || part < 0.8 {
		t.Errorf("overloaded after %v, for %.2f of the time", first, part)
	}
	fast := []*enginetest.Engine{{PrefillTokensPerMS: 300}, {PrefillTokensPerMS: 300}}
	if _, part, _ := watchOverload(fast, engine, 16, time.Minute, tokens, 800*time.Millisecond); part > 0.01 {
		t.Errorf("servers that read eight times as fast are overloaded for %.2f of the time", part)
	}
	if _, part, late := watchOverload(engines(), engine, 3, time.Minute, tokens, 800*time.Millisecond); part > 0.05 {
		t.Errorf("overloaded for %.2f of the time at the normal load; %.2f late", part, late)
	}
}

// TestOverloadEndsLate: a model must not change between overloaded and calm repeatedly, since each
// change is sent to all nodes.
func TestOverloadEndsLate(t *testing.T) {
	m := newModel()
	var list []Report
	for id := range uint64(10) {
		list = append(list, report(newRequest(id, 1, 6000, time.Second, 10*time.Second), "s0", 0, 0, false))
	}
	m.AddReports(testStart, "n", list, true)
	replicas := func(Key) []string { return []string{"s0", "s1"} }
	if len(m.Overloaded(testStart, replicas)) != 0 {
		t.Error("the model is overloaded at the first check")
	}
	if len(m.Overloaded(testStart.Add(overloadDelay), replicas)) != 1 {
		t.Fatal("the model is not overloaded")
	}
	m.NodeGone("n")
	if len(m.Overloaded(testStart.Add(time.Second), replicas)) != 1 {
		t.Error("the overload ended within a second")
	}
	if len(m.Overloaded(testStart.Add(5*time.Second), replicas)) != 0 {
		t.Error("the overload did not end")
	}
}

// BenchmarkDecide measures a decision among eight of 150 servers, with thirty requests on each.
func BenchmarkDecide(b *testing.B) {
	m := newModel()
	now := testStart
	for s := range 150 {
		var list []Report
		for i := range 30 {
			r := newRequest(uint64(s*100+i), i%3, 3000, 2*time.Second, 10*time.Second)
			first := time.Duration(0)
			if i > 6 {
				first = 200 * time.Millisecond
			}
			list = append(list, report(r, fmt.Sprint("s", s), time.Second-time.Duration(i)*20*time.Millisecond, first, false))
		}
		m.AddReports(now, fmt.Sprint("n", s), list, false)
	}
	r := newRequest(1, 1, 3000, 2*time.Second, 10*time.Second)
	r.Servers = nil
	for s := range 8 {
		r.Servers = append(r.Servers, fmt.Sprint("s", s*10))
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Place.ID++
		if _, err := m.Decide(now, r); err != nil {
			b.Fatal(err)
		}
		m.forget(r.Place)
	}
}

// TestModelsWithFewRequestsAreNoOverload: the replicas of a model are found by a scan of all
// servers, so they must not be looked up for models with few requests.
func TestModelsWithFewRequestsAreNoOverload(t *testing.T) {
	m := newModel()
	for i := range 2 {
		r := newRequest(uint64(i), 1, 6000, time.Second, 10*time.Second)
		r.Key.Model = fmt.Sprint("m", i)
		m.AddReports(testStart, "n", []Report{report(r, "s0", 0, 0, false)}, false)
	}
	asked := 0
	m.Overloaded(testStart, func(Key) []string { asked++; return []string{"s0"} })
	if asked != 0 {
		t.Errorf("replicas of %d models were looked up, want 0", asked)
	}
}
