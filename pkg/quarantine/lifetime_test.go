package quarantine

import (
	"testing"
	"time"
)

func TestEvidenceThatNodesExchangeNeverExpires(t *testing.T) {
	var here, there Table
	here.Merge(testStart, crashEvidence(1, "i-1", "i-2", "i-3"))
	there.Merge(testStart.Add(time.Second/2), here.Evidence(testStart.Add(time.Second/2), request(1), "s"))
	exchange := func(now time.Time, from, to *Table) {
		for _, e := range from.Restricted(now) {
			to.Merge(now, e)
		}
	}
	now := testStart
	for ; now.Sub(testStart) < Lifetime+3*time.Second; now = now.Add(time.Second / 4) {
		exchange(now, &here, &there)
		exchange(now, &there, &here)
	}
	for name, table := range map[string]*Table{"one node": &here, "the other": &there} {
		if got := table.Standing(now, request(1)); got != Free {
			t.Errorf("at %s the request is %v after the lifetime of the evidence, want free", name, got)
		}
	}
}

func TestRequestsThatKeepComingLeaveQuarantine(t *testing.T) {
	var refuses, other Table
	refuses.Merge(testStart, crashEvidence(1, "i-1", "i-2", "i-3"))
	other.Merge(testStart, crashEvidence(1, "i-1", "i-2", "i-3"))
	told := 0
	refuse := func(from, to time.Duration) {
		for at := from; at < to; at += time.Second {
			now := testStart.Add(at)
			for _, e := range refuses.Refused(now, request(1)) {
				told++
				other.Merge(now, e)
			}
		}
	}
	refuse(0, Lifetime)
	later := testStart.Add(Lifetime + time.Second)
	for name, table := range map[string]*Table{"refuses them": &refuses, "was told": &other} {
		if got := table.Standing(later, request(1)); got != Suspected {
			t.Errorf("after a quarantine full of refusals the request is %v at the node that %s, want suspected: one trial", got, name)
		}
	}
	if told > 2 {
		t.Errorf("the other nodes were told %d times in %v, want 2 at most", told, Lifetime)
	}
	fourth := Run{Request: request(1), Server: "i-4", Round: refuses.NextRound(later, request(1))}
	refuses.Merge(later, fourth.CrashEvidence())
	refuse(Lifetime+time.Second, 2*Lifetime+time.Minute)
	if got := refuses.Standing(later.Add(Lifetime+time.Second), request(1)); got != Quarantined {
		t.Errorf("one lifetime after the crash in its trial the request is %v, want quarantined for twice as long", got)
	}
	if got := refuses.Standing(testStart.Add(4*Lifetime), request(1)); got != Free {
		t.Errorf("when no such request comes any more it is %v, want free", got)
	}
}

func TestOldEvidenceIsPassedOnAsNew(t *testing.T) {
	var here Table
	old := crashEvidence(1, "i-1", "i-2", "i-3")
	old.Age = Lifetime / 2
	if c := here.Merge(testStart, old); c.Evidence.Age != Lifetime/2 || c.Now != Quarantined {
		t.Errorf("evidence of an age of %v is passed on as %+v", old.Age, c)
	}
	here.PartAnswered(testStart, "p", part("p"))
	accusation := Evidence{Request: part("p"), Part: "p", Ends: old.Ends, Age: completedTime / 2}
	if c := here.Merge(testStart.Add(completedTime/2), accusation); c.ClearedFor != completedTime/2 {
		t.Errorf("a part that is cleared for %v is told as cleared for %v", completedTime/2, c.ClearedFor)
	}
}
