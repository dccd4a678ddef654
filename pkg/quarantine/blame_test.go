package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// part returns the fingerprint of the test's part with an ID.
func part(id string) Fingerprint { return FingerprintOfPart(id) }

// site is a table that learns of runs and crashes as a node does.
type site struct {
	table Table
	now   time.Time
}

// run begins a run of a request with parts on a server.
func (s *site) run(n int, server string, parts ...string) []Run {
	subjects := subjectsOf(n, parts...)
	runs := make([]Run, len(subjects))
	for i, f := range subjects {
		runs[i] = Run{Request: f, Service: "s", Server: server, Round: s.table.NextRound(s.now, f)}
		if i > 0 {
			runs[i].Part = parts[i-1]
		}
	}
	return runs
}

// crash records that the server of runs crashed. Parts that were answered lately are not accused.
func (s *site) crash(runs ...Run) {
	for _, r := range runs {
		if r.Part == "" || !s.table.Cleared(s.now, r.Request) {
			s.table.Merge(s.now, r.CrashEvidence())
		}
	}
}

// answer records that a request was answered.
func (s *site) answer(n int, parts ...string) {
	s.table.Completed(s.now, request(n))
	for _, id := range parts {
		s.table.PartAnswered(s.now, id, part(id))
	}
}

// standing returns the standing of a request with parts.
func (s *site) standing(n int, parts ...string) Standing {
	return s.table.Standing(s.now, subjectsOf(n, parts...)...)
}

func subjectsOf(n int, parts ...string) []Fingerprint {
	list := []Fingerprint{request(n)}
	for _, id := range parts {
		list = append(list, part(id))
	}
	return list
}

func TestAPartThatCrashesServersIsFreeInEachNewRequest(t *testing.T) {
	s := site{now: testStart}
	s.answer(100, "shared")
	for i, want := range []Standing{Free, Suspected, Quarantined, Quarantined} {
		s.crash(s.run(i, fmt.Sprintf("i-%d", i), "shared", "bad")...)
		if got := s.standing(10, "shared", "bad"); got != want {
			t.Errorf("after %d crashes a new request with the part is %v, want %v", i+1, got, want)
		}
	}
	for name, got := range map[string]Standing{
		"a request with the shared part": s.standing(11, "shared"), "with none": s.standing(12), "with another": s.standing(13, "shared", "other"),
	} {
		if got != Free {
			t.Errorf("%s is %v, want free", name, got)
		}
	}
}

func TestAPartThatAlwaysCameBesideABadOneStaysAccused(t *testing.T) {
	s := site{now: testStart}
	for i := range 3 {
		s.crash(s.run(i, fmt.Sprintf("i-%d", i), "companion", "bad")...)
	}
	if got := s.standing(10, "companion", "bad"); got != Quarantined {
		t.Errorf("both together are %v, want quarantined", got)
	}
	for _, alone := range []string{"companion", "bad"} {
		if got := s.standing(11, alone); got != Suspected {
			t.Errorf("%s alone is %v, want suspected: either explains the crashes", alone, got)
		}
	}
	s.answer(12, "companion")
	if got := s.standing(13, "companion"); got != Free {
		t.Errorf("the companion is %v after it was answered, want free", got)
	}
	if got := s.standing(14, "bad"); got != Quarantined {
		t.Errorf("the bad part is %v once the companion is cleared, want quarantined", got)
	}
}

func TestATrialOfTheBadPartAloneDoesNotExcuseItsCompanion(t *testing.T) {
	s := site{now: testStart}
	for i := range 3 {
		s.crash(s.run(i, fmt.Sprintf("i-%d", i), "companion", "bad")...)
	}
	s.crash(s.run(3, "i-3", "bad")...)
	if got := s.standing(10, "bad"); got != Quarantined {
		t.Errorf("the bad part is %v after its trial, want quarantined", got)
	}
	if got := s.standing(11, "companion"); got != Suspected {
		t.Errorf("the companion is %v, want suspected: one trial", got)
	}
	s.crash(s.run(12, "i-4", "companion")...)
	if got := s.standing(13, "companion"); got != Quarantined {
		t.Errorf("the companion is %v after a crash in its own trial, want quarantined", got)
	}
}

func TestRequestsInterruptedByABadPartAreRefused(t *testing.T) {
	s := site{now: testStart}
	s.answer(100, "shared")
	for i, want := range []Standing{Free, Suspected, Suspected} {
		server := fmt.Sprintf("i-%d", i)
		bad, sound := s.run(i, server, "shared", "bad"), s.run(50, server, "shared", fmt.Sprint("fresh", i))
		s.crash(bad...)
		s.crash(sound...)
		if got := s.standing(50, "shared", "fresh9"); got != want {
			t.Errorf("a request that was interrupted %d times is %v, want %v", i+1, got, want)
		}
		if got := s.standing(51, "shared", "fresh9"); got != Free {
			t.Errorf("another request is %v then, want free", got)
		}
	}
	s.crash(s.run(50, "k-0", "shared")...)
	if got := s.standing(50, "shared"); got != Quarantined {
		t.Errorf("after a crash in its own trial it is %v, want quarantined", got)
	}
}

// TestARequestIsExcusedByOnePartInDoubtAfterTheOther has another request beside it at each server, whose part is in doubt
// until it is answered.
func TestARequestIsExcusedByOnePartInDoubtAfterTheOther(t *testing.T) {
	for _, sharing := range []int{2, 3, 4, 12} { // crashes with the same part beside the request
		s := site{now: testStart}
		s.answer(100, "shared")
		crashed := 0
		for ; crashed < 12 && s.standing(1, "shared") != Quarantined; crashed++ {
			server, other := fmt.Sprintf("i-%d", crashed), crashed/sharing
			request, beside := s.run(1, server, "shared"), s.run(50+other, server, "shared", fmt.Sprint("fresh", other))
			s.crash(beside...)
			s.crash(request...)
			if crashed >= 1 && s.standing(1, "shared") == Free { // many copies of it may wait for a server
				t.Errorf("%d crashes with each part beside it: after %d crashes it is free, want suspected", sharing, crashed+1)
			}
			if crashed%sharing == sharing-1 {
				s.answer(50+other, "shared", fmt.Sprint("fresh", other))
			}
		}
		if crashed > 4 {
			t.Errorf("%d crashes with each part beside it: %d servers crashed, want 4 at most", sharing, crashed)
		}
	}
}

func TestAPartThatIsFreedKeepsTheCrashesThatItExplained(t *testing.T) {
	nodes := []*site{{now: testStart}, {now: testStart}}
	for i := range 3 {
		server := fmt.Sprintf("i-%d", i)
		runs := append(nodes[0].run(1, server), nodes[0].run(50, server, "fresh")...)
		for _, n := range nodes {
			n.crash(runs...)
		}
	}
	for i, n := range nodes {
		if got := n.standing(1); got != Suspected {
			t.Errorf("at node %d the request is %v after three crashes that a part explains, want suspected", i, got)
		}
	}
	freed := nodes[0].table.PartAnswered(testStart, "fresh", part("fresh"))
	nodes[1].table.Merge(testStart, freed.Evidence)
	cleared := nodes[0].table.Completed(testStart, request(50))
	nodes[1].table.Merge(testStart, cleared.Evidence)
	for i, n := range nodes {
		if got := n.standing(1); got != Quarantined {
			t.Errorf("at node %d the request is %v once the part was answered, want quarantined", i, got)
		}
	}
}

func TestASoundRequestIsRefusedBesideABadPart(t *testing.T) {
	s := site{now: testStart}
	for i := range 3 {
		server := fmt.Sprintf("i-%d", i)
		bad, sound := s.run(i, server, "bad"), s.run(50, server, "own")
		s.crash(bad...)
		s.crash(sound...)
	}
	if got := s.standing(50, "own"); got != Suspected {
		t.Errorf("a request that was interrupted three times is %v, want suspected: its trial decides", got)
	}
	s.answer(50, "own")
	if got := s.standing(50, "own"); got != Free {
		t.Errorf("it is %v after it was answered, want free", got)
	}
	if got := s.standing(9, "bad"); got != Quarantined {
		t.Errorf("the bad part is %v, want quarantined", got)
	}
}

func TestARequestWhosePartsAreAllSoundIsNotBlamed(t *testing.T) {
	s := site{now: testStart}
	s.answer(100, "shared", "subject")
	for i := range 3 {
		s.crash(s.run(1, fmt.Sprintf("i-%d", i), "shared", "subject")...)
	}
	if got := s.standing(1, "shared", "subject"); got != Quarantined {
		t.Errorf("the request is %v, want quarantined", got)
	}
	if got := s.standing(2, "shared", "subject"); got != Free {
		t.Errorf("another request with its parts is %v, want free", got)
	}
}

func TestANeighboursPartIsRefusedBecauseABadRequestNamesIt(t *testing.T) {
	s := site{now: testStart}
	for i := range 20 {
		s.answer(100+i, "victim")
		s.crash(s.run(i, fmt.Sprintf("i-%d", i), "victim", fmt.Sprint("own", i))...)
		s.now = s.now.Add(completedTime / 2)
	}
	if got := s.standing(200, "victim"); got != Free {
		t.Errorf("the neighbour's requests are %v, want free", got)
	}
}

func TestClearedPartsAreForgottenByTheNodesThatAccuseThem(t *testing.T) {
	knows, accuses := site{now: testStart}, site{now: testStart}
	knows.answer(1, "sound")
	for i := range 2 {
		accuses.crash(accuses.run(i, fmt.Sprintf("i-%d", i), "sound")...)
	}
	told := knows.table.Merge(testStart, accuses.table.Evidence(testStart, part("sound"), "s"))
	if told.Accused != Suspected || told.ClearedFor != completedTime || told.Now != Free {
		t.Errorf("the node that knows better learns %+v", told)
	}
	accuses.table.Merge(testStart, told.Evidence)
	if got := accuses.standing(9, "sound"); got != Free || !accuses.table.Cleared(testStart, part("sound")) {
		t.Errorf("at the other node the part is %v, cleared: %t", got, accuses.table.Cleared(testStart, part("sound")))
	}
	if later := testStart.Add(completedTime); accuses.table.Cleared(later, part("sound")) {
		t.Error("it is still cleared when the time of the node that knows is over")
	}
}

func TestPromptsWithManyPartsPushOutAllThatIsKnown(t *testing.T) {
	s := site{now: testStart}
	s.table.Completed(testStart, request(1))
	for i := range 10 * maxCompletedParts {
		id := fmt.Sprint(i)
		s.table.PartAnswered(testStart, id, part(id))
		if i%(maxCompletedParts/2) == 0 {
			s.table.PartAnswered(testStart, "popular", part("popular"))
		}
	}
	if n := len(s.table.completedParts.current) + len(s.table.completedParts.last); n > 2*maxCompletedParts {
		t.Errorf("%d parts are remembered, want %d at most", n, 2*maxCompletedParts)
	}
	if !s.table.Cleared(testStart, part("popular")) {
		t.Error("a popular part is forgotten")
	}
	if s.table.clearedFor(testStart, "", request(1)) == 0 {
		t.Error("a request that ran to its end is forgotten because of parts")
	}
}

// BenchmarkStandingOfABadPart measures a request with four parts in quarantine, at a node whose table is
// full of requests that the bad part interrupted.
func BenchmarkStandingOfABadPart(b *testing.B) {
	s := site{now: testStart}
	for i := range 4 {
		server := fmt.Sprintf("i-%d", i)
		s.crash(s.run(-1-i, server, "bad")...)
		for k := range maxEntries / 2 {
			s.crash(s.run(k, server)...)
		}
	}
	subjects := subjectsOf(-9, "a", "b", "c", "bad")
	for b.Loop() {
		s.table.Standing(testStart, subjects...)
	}
}
