package affinity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"martenwheel.dev/pkg/prompt"
)

func long(session string) *prompt.Prompt {
	p := prompt.Parse(prompt.Fields{Tokens: "9200,54", Parts: "common:2520," + session + ":3780,own:2900"})
	return &p
}

var terms = Terms{Target: 800 * time.Millisecond, GapTarget: 300 * time.Millisecond, EventTokens: 6}

func replicas(n int) []Replica {
	list := make([]Replica, n)
	for i := range list {
		list[i] = Replica{Hash: ServerHash(fmt.Sprintf("server-%d", i))}
	}
	return list
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// choose returns the choices of requests of many sessions.
func choose(list []Replica, lanes float64) []Choice {
	choices := make([]Choice, 2000)
	for i := range choices {
		r := Of("model", "", long(fmt.Sprint("s", i)), terms)
		choices[i], _ = r.Choose(random(), lanes, list)
	}
	return choices
}

func TestLaneAndSharedPartsOfARequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		fields prompt.Fields
		terms  Terms
		lane   Lane
		shares bool
	}{
		{"long", prompt.Fields{Tokens: "9200,54", Parts: "a:2520,b:3780,c:2900"}, terms, LongLane, true},
		{"short", prompt.Fields{Tokens: "830,294", Parts: "a:119,b:79,c:632"}, terms, ShortLane, false},
		{"patient, few shared", prompt.Fields{Tokens: "9200,54", Parts: "a:100,b:1800,c:7300"},
			Terms{Target: 4 * time.Second, GapTarget: 300 * time.Millisecond, EventTokens: 6}, LongLane, false},
		{"patient, many shared", prompt.Fields{Tokens: "9200,54", Parts: "a:2520,b:3780,c:2900"},
			Terms{Target: 4 * time.Second, GapTarget: 300 * time.Millisecond, EventTokens: 6}, LongLane, true},
		{"events of one token", prompt.Fields{Tokens: "1460,80", Parts: "a:100,b:250,c:1110"},
			Terms{Target: 500 * time.Millisecond, GapTarget: 250 * time.Millisecond, EventTokens: 1}, AnyLane, false},
		{"no target", prompt.Fields{Tokens: "9200,54", Parts: "a:2520,b:3780,c:2900"}, Terms{}, AnyLane, true},
		{"invalid parts", prompt.Fields{Tokens: "9200,54", Parts: "a:x,b"}, terms, LongLane, false},
		{"no fields", prompt.Fields{}, terms, AnyLane, false},
	} {
		p := prompt.Parse(test.fields)
		r := Of("model", "", &p, test.terms)
		if r.Lane() != test.lane || r.Shares() != test.shares {
			t.Errorf("%s: the lane is %v, prefers the replica with its shared parts: %v", test.name, r.Lane(), r.Shares())
		}
	}
}

// TestAllNodesChooseTheSameReplica: the choice must not depend on the order of a node's list or on
// its random numbers.
func TestAllNodesChooseTheSameReplica(t *testing.T) {
	list := replicas(5)
	rotated := append([]Replica{list[4], list[3]}, list[:3]...)
	for i := range 100 {
		r := Of("model", "adapter", long(fmt.Sprint("s", i)), terms)
		a, _ := r.Choose(random(), 1, list)
		b, _ := r.Choose(rand.New(rand.NewPCG(8, 9)), 1, rotated)
		if list[a.Taken] != rotated[b.Taken] {
			t.Fatalf("session %d: another node chooses another replica", i)
		}
	}
}

func TestModelsAndAdaptersHaveDifferentKeys(t *testing.T) {
	keys := make(map[uint64]bool)
	for _, need := range [][2]string{{"m", ""}, {"m", "a"}, {"n", ""}, {"n", "a"}, {"a", "m"}, {"ma", ""}, {"", "ma"}} {
		r := Of(need[0], need[1], long("s"), terms)
		keys[r.key] = true
	}
	if len(keys) != 7 {
		t.Errorf("%d keys for 7 models and adapters", len(keys))
	}
}

// TestOnlySessionsOfALostReplicaMove: when a replica is lost, only its sessions move. When it comes
// back as a new incarnation, with nothing cached, it gets its share of sessions again.
func TestOnlySessionsOfALostReplicaMove(t *testing.T) {
	for _, lanes := range []float64{0, 1} {
		list := replicas(5)
		before, after := choose(list, lanes), choose(list[:4], lanes)
		lost := 0
		for i := range before {
			if before[i].Taken == 4 {
				lost++
			} else if after[i].Taken != before[i].Taken {
				t.Fatalf("session %d moved from %d to %d", i, before[i].Taken, after[i].Taken)
			}
		}
		if lost == 0 {
			t.Fatal("no session was on the lost replica")
		}
		list[4].Hash = ServerHash("server-4 reborn")
		gained := 0
		for i, c := range choose(list, lanes) {
			switch c.Taken {
			case 4:
				gained++
			case after[i].Taken:
			default:
				t.Fatalf("session %d moved between replicas that stayed", i)
			}
		}
		if lanes == 0 && (gained < 300 || gained > 500) {
			t.Errorf("%d of 2,000 sessions on one of five replicas", gained)
		}
	}
}

// TestLanesSeparate: long and short prompts prefer opposite ends of the order, and slow servers get
// few of either.
func TestLanesSeparate(t *testing.T) {
	low, high := Replica{}, Replica{}
	for i := 0; low.Hash == 0 || high.Hash == 0; i++ {
		hash := ServerHash(fmt.Sprint(i))
		switch place := Position(hash); {
		case place < 0.1:
			low.Hash = hash
		case place > 0.9:
			high.Hash = hash
		}
	}
	p := prompt.Parse(prompt.Fields{Tokens: "830,294", Parts: "a:119,b:79,c:632"})
	short, source, shortLow := Of("model", "", &p, terms), random(), 0
	for range 2000 {
		if c, _ := short.Choose(source, 1, []Replica{low, high}); c.Taken == 0 {
			shortLow++
		}
	}
	if shortLow < 1900 {
		t.Errorf("%d of 2,000 short requests on the low end", shortLow)
	}
	count := func(list []Replica) int {
		n := 0
		for _, c := range choose(list, 1) {
			n += c.Taken
		}
		return n
	}
	if n := count([]Replica{low, high}); n < 1750 {
		t.Errorf("%d of 2,000 long requests on the high end", n)
	}
	high.Slowness = 12
	if n := count([]Replica{low, high}); n > 200 {
		t.Errorf("%d of 2,000 long requests on a slow server", n)
	}
}

// TestLoadIsBounded: if all requests belong to one session, they are spread once its replica has
// more than its share.
func TestLoadIsBounded(t *testing.T) {
	list := replicas(4)
	r := Of("model", "", long("hot"), terms)
	passed := 0
	for range 200 {
		c, _ := r.Choose(random(), 1, list)
		list[c.Taken].Load++
		if c.Taken != c.First {
			passed++
		}
	}
	for i := range list {
		if list[i].Load > 200*5/4/4+loadSlack+1 {
			t.Errorf("replica %d runs %d of 200 requests", i, list[i].Load)
		}
	}
	if passed == 0 {
		t.Error("no request was passed on to another replica")
	}
}

func TestExcludedReplicasAreSkipped(t *testing.T) {
	list := replicas(3)
	r := Of("model", "", long("s"), terms)
	c, _ := r.Choose(random(), 1, list)
	list[c.First].Excluded = true
	if next, prefers := r.Choose(random(), 1, list); !prefers || next.First != c.First || next.Taken == c.First {
		t.Errorf("with the first replica excluded the choice is %+v, before it was %+v", next, c)
	}
	for i := range list {
		list[i].Excluded = true
	}
	if _, prefers := r.Choose(random(), 1, list); prefers {
		t.Error("an excluded replica is preferred")
	}
}

func TestLanesCountWhereLongAndShortMeet(t *testing.T) {
	now := time.Unix(100, 0)
	p := prompt.Parse(prompt.Fields{Tokens: "830,294"})
	shortRequest, longRequest := Of("m", "", &p, terms), Of("m", "", long("s"), terms)
	var m Mix
	if m.Lanes() != 0 {
		t.Error("lanes have a weight before any request")
	}
	m.Note(now, &shortRequest)
	if m.Lanes() != 0 {
		t.Error("lanes have a weight without long requests")
	}
	m.Note(now, &longRequest)
	if m.Lanes() != 1 {
		t.Errorf("with long and short requests the weight of lanes is %v, want 1", m.Lanes())
	}
	now = now.Add(-time.Hour) // the clock goes back
	m.Note(now, &longRequest)
	for range 1000 {
		now = now.Add(4 * time.Second)
		m.Note(now, &shortRequest)
	}
	if m.Lanes() != 0 {
		t.Errorf("long after the last long request the weight of lanes is %v, want 0", m.Lanes())
	}
}

func FuzzChoose(f *testing.F) {
	f.Add("m", "a", "9200,54", "a:2520,b:3780,c:2900", int64(8e8), int64(3e8), 6, 1.0, 2.0, 3)
	f.Add("", "", "16777216,1", "a:16777216,b:16777216", int64(-1), int64(math.MaxInt64), math.MaxInt, math.NaN(), math.Inf(1), -5)
	f.Fuzz(func(t *testing.T, model, adapter, tokens, parts string, target, gap int64, event int, lanes, slow float64, load int) {
		p := prompt.Parse(prompt.Fields{Tokens: tokens, Parts: parts})
		r := Of(model, adapter, &p, Terms{Target: time.Duration(target), GapTarget: time.Duration(gap), EventTokens: event})
		if r.Strength() < 0 || r.Strength() > 1 || r.Shares() != (r.Strength() > 0) {
			t.Errorf("strength %v, shares %v", r.Strength(), r.Shares())
		}
		list := replicas(3)
		list[1].Slowness, list[2].Near, list[2].Load, list[0].Excluded = slow, lanes, load, load%2 == 0
		c, prefers := r.Choose(random(), lanes, list)
		if prefers && (c.Taken < 0 || c.Taken > 2 || c.First < 0 || list[c.Taken].Excluded) {
			t.Errorf("invalid choice %+v", c)
		}
		var m Mix
		m.Note(time.Unix(0, target), &r)
		if l := m.Lanes(); l < 0 || l > 1 {
			t.Errorf("the weight of lanes is %v, want 0 to 1", l)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	list, source := replicas(150), random()
	r := Of("model", "", long("s"), terms)
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(source, 1, list)
	}
}
