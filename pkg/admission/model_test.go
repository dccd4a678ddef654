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

// ask returns a request for the servers s0 and s1: a prompt of so many tokens that nobody shares.
func ask(id uint64, rank, tokens int, target, patience time.Duration) *Request {
	return &Request{Place: Place{"n", id}, Key: Key{"s", "m"}, Need: "m", Work: Work{Tokens: tokens, Out: 50}, Rank: rank,
		Target: target, Patience: patience, Left: 15 * time.Second, Servers: []string{"s0", "s1"}}
}

// decide has a model decide.
func decide(t *testing.T, m *Model, at time.Duration, r *Request) Verdict {
	t.Helper()
	v, err := m.Decide(began.Add(at), r)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// report is what a node tells of a request.
func report(r *Request, server string, sent, first time.Duration, ended bool) Report {
	return Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: server, Work: r.Work, Rank: r.Rank, Target: r.Target,
		Sent: sent, First: first, Left: r.Left, Ended: ended}
}

// fill gives places until a request of the kind gets none, and returns how many it gave.
func fill(t *testing.T, m *Model, tokens int, target time.Duration) int {
	t.Helper()
	for n := range 200 {
		if v := decide(t, m, 0, ask(uint64(1000+n), 1, tokens, target, target)); v.Kind != Go {
			return n
		}
	}
	t.Fatal("it gives places without end")
	return 0
}

func TestWhatCantBeServedWhileItsCallerWaitsIsRefusedAtOnce(t *testing.T) {
	m := newModel()
	fill(t, m, 9000, 2*time.Second)
	v := decide(t, m, 0, ask(1, 1, 9000, 500*time.Millisecond, 600*time.Millisecond))
	if v.Kind != Refuse || v.After < leastAway || v.After > mostAway {
		t.Errorf("it got %+v", v)
	}
}

// TestRefusedRequestsComeBackApart: the room that one was told of is not promised to the next.
func TestRefusedRequestsComeBackApart(t *testing.T) {
	m := newModel()
	fill(t, m, 9000, 2*time.Second)
	last := time.Duration(0)
	for id := range uint64(4) {
		v := decide(t, m, 0, ask(id, 1, 9000, 500*time.Millisecond, 600*time.Millisecond))
		if v.Kind != Refuse || v.After <= last {
			t.Errorf("request %d got %+v after one that comes back after %v", id, v, last)
		}
		last = v.After
	}
	for id := range uint64(300) {
		if v := decide(t, m, 0, ask(id, 1, 9000, 500*time.Millisecond, 600*time.Millisecond)); v.After > mostAway {
			t.Fatalf("it is told to stay away for %v", v.After)
		}
	}
	if v := decide(t, m, 4*time.Second, ask(1, 1, 9000, 500*time.Millisecond, 600*time.Millisecond)); v.Kind != Refuse || v.After > mostAway/2 {
		t.Errorf("four seconds after 300 refusals it got %+v", v)
	}
}

func TestTheMoreUrgentGoesFirst(t *testing.T) {
	m := newModel()
	fill(t, m, 6000, 2*time.Second)
	patient := ask(1, 1, 6000, 4*time.Second, 10*time.Second)
	if v := decide(t, m, 0, patient); v.Kind != Wait {
		t.Fatalf("a patient request at full servers got %+v", v)
	}
	urgent := ask(2, 0, 800, 2500*time.Millisecond, 4*time.Second)
	if v := decide(t, m, 0, urgent); v.Kind != Go && v.Kind != Wait {
		t.Fatalf("an urgent one got %+v", v)
	}
	order := []Kind{}
	for at := time.Duration(0); at < 3*time.Second && len(order) < 2; at += 10 * time.Millisecond {
		if v := decide(t, m, at, ask(1, 1, 6000, 4*time.Second-at, 10*time.Second)); v.Kind == Go {
			t.Logf("the patient one goes after %v", at)
			break
		}
		if v := decide(t, m, at, ask(2, 0, 800, 2500*time.Millisecond-at, 4*time.Second)); v.Kind == Go {
			order = append(order, v.Kind)
			break
		}
	}
	if len(order) != 1 {
		t.Error("the urgent one did not go first")
	}
}

// TestNobodyIsStarved: a patient request of a low rank is let in, though more urgent ones take all
// there is.
func TestNobodyIsStarved(t *testing.T) {
	m := newModel()
	id, gone := uint64(100), 0
	for at := time.Duration(0); at < 20*time.Second; at += 20 * time.Millisecond {
		id++
		decide(t, m, at, ask(id, 0, 4000, 400*time.Millisecond, 3*time.Second))
		if at < 3*time.Second {
			continue
		}
		low := ask(1, 5, 800, 2*time.Second, 10*time.Second)
		if at < 8*time.Second {
			low.Work.Tokens = 1500 // for a while it has company of its rank
			low.Place.ID = 2
		}
		switch v := decide(t, m, at, low); {
		case v.Kind == Go && at < 8*time.Second:
			gone++
		case v.Kind == Go:
			t.Logf("after %v; %d of the other went", at-8*time.Second, gone)
			if gone == 0 || gone > 10 {
				t.Errorf("%d of a low rank went within five seconds", gone)
			}
			return
		}
	}
	t.Error("it was never let in")
}

// TestTheLateTakeNobodysRoom: one that can't be in time waits until a server has little to read.
func TestTheLateTakeNobodysRoom(t *testing.T) {
	m := newModel()
	first := ask(1, 1, 3500, 2*time.Second, 10*time.Second)
	first.Servers = first.Servers[:1]
	decide(t, m, 0, first)
	for _, at := range []time.Duration{0, 200 * time.Millisecond} {
		late := ask(2, 1, 3000, -time.Second, 8*time.Second)
		late.Servers = late.Servers[:1]
		want := map[bool]Kind{false: Wait, true: Go}[at > 0]
		if v := decide(t, m, at, late); v.Kind != want {
			t.Errorf("a late one behind 3,500 tokens after %v: %v", at, v.Kind)
		}
	}
}

// TestMemoryIsNotExceeded: no more go to a server than its memory holds, also of those whose
// objective would allow it.
func TestMemoryIsNotExceeded(t *testing.T) {
	for _, without := range []bool{false, true} {
		m := newModel()
		m.ways.noMemory = without
		gave := 0
		for at := time.Duration(0); at < 80*time.Second; at += 4 * time.Second {
			r := ask(uint64(at), 1, 30_000, time.Minute, 2*time.Minute)
			r.Servers = r.Servers[:1]
			r.Left = 2 * time.Minute
			if v := decide(t, m, at, r); v.Kind == Go {
				gave++
				m.Told(began.Add(at), "n", []Report{report(r, "s0", 0, time.Second, false)}, false)
			}
		}
		if fits := 7; (gave > fits) != without {
			t.Errorf("%d prompts of 30,000 tokens at once, memory looked at: %t", gave, !without)
		}
	}
}

func TestSpeedIsLearnedWithCareAndForgotten(t *testing.T) {
	var s speed
	if got := s.careful(began); got != cautiousSpeed {
		t.Errorf("%g believed of a server that nothing is known of", got)
	}
	for i := range 30 {
		s.add(began, []float64{35, 45}[i%2], time.Millisecond)
	}
	if got := s.careful(began); got < 33 || got > 39 {
		t.Errorf("%g believed of one that reads 35 to 45", got)
	}
	if got := s.careful(began.Add(5 * time.Minute)); math.Abs(got-cautiousSpeed) > 1 {
		t.Errorf("%g believed five minutes later", got)
	}
	for range 30 {
		s.add(began, 5, time.Millisecond)
	}
	if got := s.careful(began); got > 6 {
		t.Errorf("%g believed of one that turned slow", got)
	}
	s.add(began, 1e9, time.Millisecond)
	s.add(began, -3, time.Millisecond)
	if got := s.careful(began); got > 6 {
		t.Errorf("%g believed after absurd news", got)
	}
}

// TestSpeedIsLearnedFromBeats, also from answers that had others before them.
func TestSpeedIsLearnedFromBeats(t *testing.T) {
	m := newModel()
	for id := range uint64(5) { // sent at once, read one after the other, 30 tokens a millisecond
		first := time.Duration(id+1) * 100 * time.Millisecond
		m.Told(began.Add(time.Second), fmt.Sprint("n", id), []Report{report(ask(id, 1, 3000, time.Second, time.Second), "s0", time.Second-time.Duration(id)*time.Millisecond, first, false)}, true)
	}
	if got := m.servers["s0"].speed.mean; got < 25 || got > 50 {
		t.Errorf("the server counts as reading %g tokens a millisecond", got)
	}
}

// TestAnOverdueAnswerTellsThatTheServerIsSlow before any answer came.
func TestAnOverdueAnswerTellsThatTheServerIsSlow(t *testing.T) {
	m := newModel()
	first := ask(1, 1, 3000, 2*time.Second, 10*time.Second)
	first.Servers = []string{"s0"}
	decide(t, m, 0, first)
	soon := m.servers["s0"].load(began.Add(300 * time.Millisecond))
	silent := m.servers["s0"].load(began.Add(2 * time.Second))
	m.Told(began.Add(2*time.Second), "n", []Report{report(first, "s0", 2*time.Second, 0, false)}, true)
	late := m.servers["s0"].load(began.Add(2 * time.Second))
	if soon.speed != cautiousSpeed || silent.speed != silentShare*cautiousSpeed || late.speed > cautiousSpeed/5 {
		t.Errorf("speed %g after 0.3 s, %g after 2 s without news, %g once they tell that there is no answer", soon.speed, silent.speed, late.speed)
	}
}

// TestPartsThatAreKeptCountLess, once it is sure that the server read them, and not for long.
func TestPartsThatAreKeptCountLess(t *testing.T) {
	m := newModel()
	shared := Work{Tokens: 9000, Out: 50, Parts: []prompt.Part{{ID: "c", Tokens: 2500}, {ID: "s", Tokens: 3500}, {ID: "o", Tokens: 3000}}}
	r := ask(1, 1, 0, 2*time.Second, 10*time.Second)
	r.Work, r.Servers = shared, []string{"s0"}
	decide(t, m, 0, r)
	s := m.servers["s0"]
	if got := s.toRead(began, "m", shared); got != 9000 {
		t.Errorf("%g to read while the first one may not be read", got)
	}
	m.Told(began.Add(time.Second), "n", []Report{report(r, "s0", time.Second, 500*time.Millisecond, false)}, false)
	if got := s.toRead(began.Add(time.Second), "m", shared); got != 3000 {
		t.Errorf("%g to read of one whose shared parts are kept", got)
	}
	if got := s.toRead(began.Add(time.Second), "m/adapter", shared); got != 9000 {
		t.Errorf("%g to read of one with an adapter", got)
	}
	if got := s.toRead(began.Add(20*time.Second), "m", shared); got != 9000 {
		t.Errorf("%g to read 20 s later", got)
	}
}

// TestPlacesThatNobodyTellsOfAreFreed: their ends were lost, their node is gone or silent, their
// time is over, or their server is.
func TestPlacesThatNobodyTellsOfAreFreed(t *testing.T) {
	gone := false
	for name, end := range map[string]func(m *Model, r *Request){
		"the end is told": func(m *Model, r *Request) {
			m.Told(began.Add(time.Second), "n", []Report{report(r, "s0", time.Second, 0, true)}, false)
		},
		"the end was lost, the node tells of the rest": func(m *Model, _ *Request) { m.Told(began.Add(2*time.Second), "n", nil, true) },
		"the node is silent":                           func(m *Model, _ *Request) { m.NodeGone("n") },
		"its time is over":                             func(m *Model, _ *Request) { m.Expire(began.Add(16 * time.Second)) },
		"the server is gone":                           func(m *Model, _ *Request) { gone = true; m.Expire(began.Add(time.Second)) },
		"it asks again":                                func(m *Model, r *Request) { r.Target, r.Patience = 1, 1; _, _ = m.Decide(began.Add(time.Second), r) },
	} {
		gone = false
		m := newModel()
		engine := m.Engine
		m.Engine = func(server string) (Engine, bool) {
			e, known := engine(server)
			return e, known && !gone
		}
		r := ask(1, 1, 9000, 4*time.Second, 10*time.Second)
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
			t.Errorf("%s: it is still believed in", name)
		}
	}
}

// TestLateNewsOfAnEarlierSend don't free the place that the request has by now.
func TestLateNewsOfAnEarlierSend(t *testing.T) {
	m := newModel()
	r := ask(1, 1, 3000, 4*time.Second, 10*time.Second)
	r.Servers = r.Servers[:1]
	decide(t, m, 0, r)
	decide(t, m, 300*time.Millisecond, r)
	m.Told(began.Add(320*time.Millisecond), "n", []Report{report(r, "s0", 320*time.Millisecond, 0, true)}, false)
	if len(m.places) != 1 {
		t.Error("the second place is gone with the first")
	}
	m.Told(began.Add(340*time.Millisecond), "n", []Report{report(r, "s0", 40*time.Millisecond, 0, true)}, false)
	if len(m.places) != 0 {
		t.Error("the second place is left after its end")
	}
}

// TestABeatThatCrossesAVerdictFreesNothing: it was written before the node had the word.
func TestABeatThatCrossesAVerdictFreesNothing(t *testing.T) {
	m := newModel()
	decide(t, m, 0, ask(1, 1, 9000, 4*time.Second, 10*time.Second))
	m.Told(began.Add(20*time.Millisecond), "n", nil, true)
	if len(m.places) != 1 {
		t.Error("the place is gone")
	}
}

// TestASuccessorLearnsFromBeats what runs, and decides nothing before.
func TestASuccessorLearnsFromBeats(t *testing.T) {
	m, next := newModel(), newModel()
	next.Begin(began)
	n := fill(t, m, 6000, 2*time.Second)
	if v := decide(t, next, 0, ask(1, 1, 6000, 2*time.Second, 2*time.Second)); v.Kind != Stand {
		t.Errorf("a holder that knows nothing decides %v", v.Kind)
	}
	for _, h := range m.places["n"] {
		r := ask(h.key.ID, h.rank, 6000, h.target, time.Second)
		next.Told(began.Add(1300*time.Millisecond), "n", []Report{report(r, h.server, 1300*time.Millisecond, 0, false)}, false)
	}
	got := 0
	for _, s := range next.servers {
		got += len(s.places)
	}
	if got != n {
		t.Errorf("%d of %d places are known", got, n)
	}
}

// TestManyNodesAtOnce ask for two servers within a moment: as many go as can be in time.
func TestManyNodesAtOnce(t *testing.T) {
	m := newModel()
	kinds := map[Kind]int{}
	var worst time.Duration
	for id := range uint64(300) {
		r := ask(id, 1, 3000, 800*time.Millisecond, 3200*time.Millisecond)
		r.Place.Node = fmt.Sprint("n", id)
		v := decide(t, m, 0, r)
		kinds[v.Kind]++
		if v.Kind == Go {
			worst = max(worst, v.First)
		}
	}
	if kinds[Go] == 0 || kinds[Go] > 8 || worst > 800*time.Millisecond || kinds[Refuse] < 200 {
		t.Errorf("%v, the first event of those that go after %v at most", kinds, worst)
	}
}

func TestAbsurdNewsAreNotBelieved(t *testing.T) {
	m := newModel()
	for name, change := range map[string]func(*Request){
		"negative tokens": func(r *Request) { r.Work.Tokens = -5 },
		"endless time":    func(r *Request) { r.Patience = math.MaxInt64 },
		"no server":       func(r *Request) { r.Servers = nil },
		"unknown server":  func(r *Request) { r.Servers = []string{"x"} },
		"no model":        func(r *Request) { r.Key.Model = "" },
		"negative part":   func(r *Request) { r.Work.Parts = []prompt.Part{{ID: "a", Tokens: -1}, {ID: "b", Tokens: 1}} },
	} {
		r := ask(1, 1, 100, time.Second, time.Second)
		change(r)
		if v, err := m.Decide(began, r); err == nil || v.Kind != Stand {
			t.Errorf("%s: %v, %v", name, v.Kind, err)
		}
	}
	r := ask(1, 1, 100, time.Second, time.Second)
	bad := report(r, "s0", -time.Second, 0, false)
	if faults := m.Told(began, "n", []Report{bad, report(r, "x", 0, 0, false), report(r, "s0", 0, 0, false)}, false); len(faults) != 2 {
		t.Errorf("%d faults: %v", len(faults), faults)
	}
	if len(m.servers["s0"].places) != 1 {
		t.Error("what is well told is not taken in")
	}
}

func FuzzModel(f *testing.F) {
	f.Add(uint64(1), 900, 50, int64(1e9), int64(1e9), 3, "s0", int64(1e6), true)
	f.Add(uint64(1), -1, 1<<30, int64(-5), int64(math.MaxInt64), -2, "x", int64(-1), false)
	f.Fuzz(func(t *testing.T, id uint64, tokens, out int, target, patience int64, rank int, server string, first int64, ended bool) {
		m := newModel()
		for i := range uint64(3) {
			r := ask(id+i, rank, tokens, time.Duration(target), time.Duration(patience))
			r.Work.Out = out
			r.Servers = append(r.Servers, server)
			v, _ := m.Decide(began, r)
			if v.After < 0 || v.After > mostAway {
				t.Errorf("it is to come back after %v", v.After)
			}
			m.Told(began.Add(time.Second), "n", []Report{report(r, server, time.Second, time.Duration(first), ended)}, i == 2)
		}
		m.Crowded(began.Add(time.Second), func(Key) []string { return []string{"s0", "s1", server} })
		m.Expire(began.Add(time.Hour))
		if len(m.places) != 0 || len(m.waiting) != 0 {
			t.Error("places are left an hour later")
		}
	})
}

// watch plays requests of nodes that choose by themselves and tell of them once a second, and
// returns when the model counted as crowded first, and for which part of the time.
func watch(engines []*enginetest.Engine, engine Engine, rate float64, length time.Duration, tokens func(*rand.Rand) (in, out int), target time.Duration) (first time.Duration, part, late float64) {
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
	crowded, looks, tooLate := 0, 0, 0
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		for ; next < at.Seconds(); next += random.ExpFloat64() / rate {
			id++
			in, out := tokens(random)
			r := ask(id, 1, in, target, 10*time.Second)
			r.Work.Out = out
			s := &sent{r, &enginetest.Run{Prompt: prompt.Parse(prompt.Fields{Tokens: fmt.Sprintf("%d,%d", in, out)}), Out: out, Arrives: at},
				random.IntN(playNodes), random.IntN(len(engines))}
			engines[s.to].Add(s.run)
			open = append(open, s)
		}
		for _, e := range engines {
			e.Advance(at)
		}
		left := open[:0]
		for _, s := range open {
			if int(at/(10*time.Millisecond))%100 == s.node {
				answered := max(s.run.First-s.run.Arrives, 0)
				m.Told(began.Add(at), fmt.Sprint("n", s.node), []Report{report(s.r, fmt.Sprint("s", s.to), at-s.run.Arrives, answered, s.run.End > 0)}, false)
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
		looks++
		if len(m.Crowded(began.Add(at), func(Key) []string { return []string{"s0", "s1"}[:len(engines)] })) > 0 {
			crowded++
			if first < 0 {
				first = at
			}
		}
	}
	return first, float64(crowded) / float64(looks), float64(tooLate) / float64(id)
}

// TestShortPromptsAreNoCrowd: servers that answer prompts of 350 to 1,800 tokens, with 12 to 64
// slots and as many requests as they can bear in time, don't count as crowded.
func TestShortPromptsAreNoCrowd(t *testing.T) {
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
		if first, part, late := watch(engines, Engine{c.slots, 250_000, 6}, c.rate, time.Minute, tokens, c.target); part > 0.01 {
			t.Errorf("prompts of %d tokens, %g a second: crowded for %.3f of the time, first after %v; %.3f late", c.in, c.rate, part, first, late)
		}
	}
}

// TestLongPromptsAreACrowd soon after they come faster than they are read, and not at the usual
// load.
func TestLongPromptsAreACrowd(t *testing.T) {
	tokens := func(random *rand.Rand) (int, int) { return 2000 + random.IntN(6000), 54 }
	engines := func() []*enginetest.Engine { return []*enginetest.Engine{{Speed: 0.55}, {Speed: 1.2}} }
	engine := Engine{48, 250_000, 6}
	if first, part, _ := watch(engines(), engine, 16, 20*time.Second, tokens, 800*time.Millisecond); first < 0 || first > 3*time.Second || part < 0.8 {
		t.Errorf("crowded after %v, for %.2f of the time", first, part)
	}
	fast := []*enginetest.Engine{{ReadsPerMS: 300}, {ReadsPerMS: 300}}
	if _, part, _ := watch(fast, engine, 16, time.Minute, tokens, 800*time.Millisecond); part > 0.01 {
		t.Errorf("servers that read eight times as fast are crowded for %.2f of the time", part)
	}
	if _, part, late := watch(engines(), engine, 3, time.Minute, tokens, 800*time.Millisecond); part > 0.05 {
		t.Errorf("crowded for %.2f of the time at the usual load; %.2f late", part, late)
	}
}

// TestCrowdsEndLate: what is told to all nodes doesn't change to and fro.
func TestCrowdsEndLate(t *testing.T) {
	m := newModel()
	var list []Report
	for id := range uint64(10) {
		list = append(list, report(ask(id, 1, 6000, time.Second, 10*time.Second), "s0", 0, 0, false))
	}
	m.Told(began, "n", list, true)
	replicas := func(Key) []string { return []string{"s0", "s1"} }
	if len(m.Crowded(began, replicas)) != 0 {
		t.Error("it is a crowd at the first look")
	}
	if len(m.Crowded(began.Add(crowdTime), replicas)) != 1 {
		t.Fatal("no crowd")
	}
	m.NodeGone("n")
	if len(m.Crowded(began.Add(time.Second), replicas)) != 1 {
		t.Error("the crowd ended within a second")
	}
	if len(m.Crowded(began.Add(5*time.Second), replicas)) != 0 {
		t.Error("it did not end")
	}
}

// BenchmarkDecide is a verdict among eight replicas, each with thirty requests, of 150 servers.
func BenchmarkDecide(b *testing.B) {
	m := newModel()
	now := began
	for s := range 150 {
		var list []Report
		for i := range 30 {
			r := ask(uint64(s*100+i), i%3, 3000, 2*time.Second, 10*time.Second)
			first := time.Duration(0)
			if i > 6 {
				first = 200 * time.Millisecond
			}
			list = append(list, report(r, fmt.Sprint("s", s), time.Second-time.Duration(i)*20*time.Millisecond, first, false))
		}
		m.Told(now, fmt.Sprint("n", s), list, false)
	}
	r := ask(1, 1, 3000, 2*time.Second, 10*time.Second)
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
		m.drop(r.Place)
	}
}

// TestModelsThatFewAskForAreNoCrowd: their replicas, which are looked for among all servers, are not asked
// for.
func TestModelsThatFewAskForAreNoCrowd(t *testing.T) {
	m := newModel()
	for i := range 2 {
		r := ask(uint64(i), 1, 6000, time.Second, 10*time.Second)
		r.Key.Model = fmt.Sprint("m", i)
		m.Told(began, "n", []Report{report(r, "s0", 0, 0, false)}, false)
	}
	asked := 0
	m.Crowded(began, func(Key) []string { asked++; return []string{"s0"} })
	if asked != 0 {
		t.Errorf("replicas of %d models are asked for", asked)
	}
}
