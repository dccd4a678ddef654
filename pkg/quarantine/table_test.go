package quarantine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testStart = time.Unix(1000, 0)

// request returns the fingerprint of a test's request.
func request(n int) Fingerprint {
	return FingerprintOf("POST", "host", "/path", []byte(fmt.Sprint(n)))
}

// ended is the evidence of servers that ended under a request, one after the other.
func ended(n int, servers ...string) Evidence {
	e := Evidence{Request: request(n), Service: "s"}
	for i, server := range servers {
		e.merge(Evidence{Ends: []End{{Server: server, Round: i + 1}}})
	}
	return e
}

func TestStandingFollowsTheServersThatEnded(t *testing.T) {
	var table Table
	f := request(1)
	for i, want := range []Standing{Free, Suspected, Quarantined, Quarantined} {
		server := fmt.Sprintf("i-%d", i)
		for range 3 { // the same end, told by several nodes
			table.Merge(testStart, Run{Request: f, Server: server, Round: i + 1}.Ended())
		}
		if got := table.Standing(testStart, f); got != want {
			t.Errorf("after %d ends it is %v, want %v", i+1, got, want)
		}
	}
	if c := table.Clear(testStart, f); c.Before != Quarantined || c.Now != Free || !c.New {
		t.Errorf("clearing it did %+v", c)
	}
	if c := table.Merge(testStart, ended(1, "i-0", "i-1", "i-2")); c.New || c.Now != Free {
		t.Errorf("ends that were cleared count again: %+v", c)
	}
	table.Merge(testStart, ended(1, "i-9"))
	if got := table.Standing(testStart, f); got != Free {
		t.Errorf("one end after it was cleared makes it %v", got)
	}
}

// TestCopiesThatBreakAtOnceAreOneRound: an innocent request that many send is at several
// servers that end within a moment.
func TestCopiesThatBreakAtOnceAreOneRound(t *testing.T) {
	var table Table
	f := request(1)
	var runs []Run
	for i := range 6 {
		runs = append(runs, Run{Request: f, Server: fmt.Sprintf("i-%d", i), Round: table.NextRound(testStart, f)})
	}
	for _, r := range runs {
		table.Merge(testStart, r.Ended())
	}
	if got := table.Standing(testStart, f); got != Suspected {
		t.Errorf("six copies that broke at once make it %v, want suspected", got)
	}
	for i := range 2 * maxEnds { // more than are kept
		table.Merge(testStart, Run{Request: f, Server: fmt.Sprintf("k-%d", i), Round: 1}.Ended())
	}
	for i, want := range []Standing{Suspected, Quarantined} {
		next := Run{Request: f, Server: fmt.Sprintf("j-%d", i), Round: table.NextRound(testStart, f)}
		if c := table.Merge(testStart, next.Ended()); c.Now != want {
			t.Errorf("%d that began after them, each alone, and ended their servers make it %v, want %v", i+1, c.Now, want)
		}
	}
}

func TestEvidenceLapses(t *testing.T) {
	var table Table
	table.Merge(testStart, ended(1, "i-1", "i-2", "i-3"))
	if got := table.Standing(testStart.Add(Lifetime), request(1)); got != Quarantined {
		t.Errorf("at the end of its time it is %v", got)
	}
	if got := table.Standing(testStart.Add(Lifetime+1), request(1)); got != Free {
		t.Errorf("after its time it is %v", got)
	}
}

// TestTablesAgreeInAnyOrder has nodes take in the same words in any order, any of them twice.
func TestTablesAgreeInAnyOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("order and repetition change nothing", prop.ForAll(func(words []int, seed int64) bool {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		var news []Evidence
		for _, w := range words {
			e := Run{Request: request(w % 3), Service: "s", Server: fmt.Sprintf("i-%d", w/3%20), Round: 1 + w%4}.Ended()
			if w%7 == 0 {
				e.clear()
			}
			news = append(news, e)
		}
		var tables [2]Table
		for i := range tables {
			for _, k := range random.Perm(len(news)) {
				tables[i].Merge(testStart, news[k])
				if random.IntN(3) == 0 {
					tables[i].Merge(testStart, news[k])
				}
			}
		}
		a, b := tables[0].Restricted(testStart), tables[1].Restricted(testStart)
		return reflect.DeepEqual(a, b) && Sum(a) == Sum(b)
	}, gen.SliceOf(gen.IntRange(0, 200)), gen.Int64()))
	properties.TestingRun(t)
}

// TestTableIsBounded has a caller change a byte each time, with servers that end for other
// reasons: what is found stays, what is weakest goes.
func TestTableIsBounded(t *testing.T) {
	var table Table
	table.Merge(testStart, ended(-1, "i-1", "i-2", "i-3"))
	for i := range 3 * maxEntries {
		table.Merge(testStart.Add(time.Duration(i)*time.Millisecond), ended(i, "i-1"))
	}
	if n := len(table.entries); n > maxEntries {
		t.Errorf("%d entries are kept, want %d at most", n, maxEntries)
	}
	if got := table.Standing(testStart, request(-1)); got != Quarantined {
		t.Errorf("the request that was found is %v by now", got)
	}
	for i := range 3 * maxRestricted {
		table.Merge(testStart, ended(i, "i-1", "i-2"))
	}
	if n := len(table.Restricted(testStart)); n != maxRestricted {
		t.Errorf("%d requests are told to other nodes, want %d", n, maxRestricted)
	}
	for i := range 20 {
		table.Merge(testStart, Run{Request: request(-1), Server: fmt.Sprintf("i-%d", i), Round: i + 1}.Ended())
	}
	if n := len(table.Evidence(testStart, request(-1), "s").Ends); n > maxEnds {
		t.Errorf("%d ends of one request are kept, want %d at most", n, maxEnds)
	}
}

// TestStoreOutlivesTheNodes has what the store keeps come to a node that knows nothing, with
// its age, and goes when it is cleared.
func TestStoreOutlivesTheNodes(t *testing.T) {
	var first, second Table
	first.Merge(testStart, ended(1, "i-1", "i-2", "i-3"))
	first.Merge(testStart, ended(2, "i-1"))
	later := testStart.Add(Lifetime / 2)
	stored := first.Keep(later, nil)
	if len(stored) != 1 || stored[0].Request != request(1) || stored[0].Age != Lifetime/2 {
		t.Fatalf("the store keeps %+v", stored)
	}
	if again := second.Keep(later, stored); !reflect.DeepEqual(again, stored) {
		t.Errorf("the next holder keeps %+v", again)
	}
	second.Clear(later, request(1))
	if kept := second.Keep(later, stored); len(kept) != 0 {
		t.Errorf("what was lifted is still kept: %+v", kept)
	}
	var third Table
	third.Keep(later, stored)
	if got := third.Standing(testStart.Add(Lifetime+1), request(1)); got != Free {
		t.Errorf("a change of holder made it last longer: it is %v", got)
	}
}

// TestTurnsRunSuspectsApart gives each server to one suspected request at a time, and each
// such request to one server.
func TestTurnsRunSuspectsApart(t *testing.T) {
	var turns Turns
	now := testStart
	for _, step := range []struct {
		what    string
		after   time.Duration
		release bool
		server  string
		request int
		want    bool
	}{
		{"the first", 0, false, "i-1", 1, true},
		{"another at the same server", 0, false, "i-1", 2, false},
		{"the same at another server", 0, false, "i-2", 1, false},
		{"another at another server", 0, false, "i-2", 2, true},
		{"after the end of another's turn", 0, true, "i-1", 3, true},
		{"within the time of a turn", TurnTime - 1, false, "i-2", 4, false},
		{"after it", 1, false, "i-2", 4, true},
	} {
		now = now.Add(step.after)
		if step.release {
			turns.Release("i-1", request(9)) // not its turn
			turns.Release("i-1", request(1))
		}
		if got := turns.Take(now, step.server, request(step.request)); got != step.want {
			t.Errorf("%s: granted is %v", step.what, got)
		}
	}
}

// TestARequestThatRanLatelyIsNotBlamed: many callers send one, so that it is at all servers
// that a neighbour ends within a moment. A node at which it ran clears it for all.
func TestARequestThatRanLatelyIsNotBlamed(t *testing.T) {
	var table Table
	f := request(1)
	table.Ran(testStart, f)
	if c := table.Merge(testStart.Add(time.Second), ended(1, "i-1", "i-2", "i-3")); c.Now != Free || !c.New {
		t.Errorf("a second after it ran three ends make it %v", c.Now)
	}
	later := testStart.Add(ranTime + time.Second)
	if c := table.Merge(later, ended(1, "i-4", "i-5", "i-6")); c.Now != Quarantined {
		t.Errorf("long after it ran three more ends make it %v", c.Now)
	}
	for i := range 3 * maxRan {
		table.Ran(later, request(i+10))
	}
	if n := len(table.ran.current) + len(table.ran.last); n > 2*maxRan {
		t.Errorf("%d requests that ran are remembered, want %d at most", n, 2*maxRan)
	}
}

// TestAThirdEndThatASuspectSharesTellsNothing: a node that was not told yet has the request that
// ends servers run without a turn, at the server where an innocent one has its own. All ends of the
// innocent one are those of the other as well, so that its next turn tells.
func TestAThirdEndThatASuspectSharesTellsNothing(t *testing.T) {
	const innocent, fatal = 1, 2
	ends := []Evidence{
		ended(innocent, "i-1", "i-2", "i-3"), ended(fatal, "i-1", "i-2"),
		Run{Request: request(fatal), Service: "s", Server: "i-3", Round: 1}.Ended(), // by the node that was not told
	}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2}, {2, 0, 1}} {
		var table Table
		for _, i := range order {
			table.Merge(testStart, ends[i])
		}
		for _, n := range []int{innocent, fatal} {
			if got := table.Standing(testStart, request(n)); got != Suspected {
				t.Errorf("in order %v request %d is %v, want suspected", order, n, got)
			}
		}
		c := table.Merge(testStart, Run{Request: request(fatal), Server: "i-4", Round: table.NextRound(testStart, request(fatal))}.Ended())
		if c.Now != Quarantined {
			t.Errorf("after an end of its own the request that ends servers is %v", c.Now)
		}
		if got := table.Standing(testStart, request(innocent)); got != Suspected {
			t.Errorf("the innocent one is %v then", got)
		}
		if c := table.Ran(testStart, request(innocent)); c.Now != Free {
			t.Errorf("having run to its end it is %v", c.Now)
		}
	}
}

// TestAFourthRoundCountsThoughShared: a request that ends servers and is never alone is stopped one
// server later.
func TestAFourthRoundCountsThoughShared(t *testing.T) {
	var table Table
	table.Merge(testStart, ended(1, "i-1", "i-2", "i-3"))
	table.Merge(testStart, ended(2, "i-1", "i-2", "i-3"))
	for _, n := range []int{1, 2} {
		if got := table.Standing(testStart, request(n)); got != Suspected {
			t.Errorf("of two that ended all three together %d is %v, want suspected", n, got)
		}
	}
	if c := table.Merge(testStart, Run{Request: request(1), Server: "i-4", Round: 4}.Ended()); c.Now != Quarantined {
		t.Errorf("after a fourth round it is %v", c.Now)
	}
	if c := table.Merge(testStart, Run{Request: request(2), Server: "i-4", Round: 4}.Ended()); c.Now != Quarantined {
		t.Errorf("after a fourth round that is shared as well it is %v", c.Now)
	}
}

// BenchmarkRan is the cost of noting each request that ran to its end. It is new: 64
// nanoseconds on one core of the machine that ran it.
func BenchmarkRan(b *testing.B) {
	var table Table
	prints := make([]Fingerprint, 1000)
	for i := range prints {
		prints[i] = request(i)
	}
	i := 0
	for b.Loop() {
		table.Ran(testStart, prints[i%len(prints)])
		i++
	}
}

// BenchmarkStandingAfterAThirdRound is the cost of each arrival of a request in quarantine at a node
// that keeps evidence of as many others as it can, all suspected: 0.7 microseconds on one core of a
// loaded machine, 340 with all of them looked at each time.
func BenchmarkStandingAfterAThirdRound(b *testing.B) {
	var table Table
	table.Merge(testStart, ended(-1, "i-1", "i-2", "i-3"))
	for i := range maxEntries - 1 {
		table.Merge(testStart, ended(i, "i-4", "i-5"))
	}
	for b.Loop() {
		table.Standing(testStart, request(-1))
	}
}
