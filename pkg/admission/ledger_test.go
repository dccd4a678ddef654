package admission

import (
	"testing"
	"time"
)

// TestALedgerAsksForWhatItWasToldOf, and for a while only.
func TestALedgerAsksForWhatItWasToldOf(t *testing.T) {
	var l Ledger
	r := ask(1, 1, 6000, time.Second, 4*time.Second)
	if got := l.Look(began, r); got != Free {
		t.Errorf("told of nothing it is %d", got)
	}
	l.Told(began, []Key{r.Key})
	if got := l.Look(began, r); got != Ask {
		t.Errorf("of a crowded model it is %d", got)
	}
	if got := l.Look(began.Add(heardTime+time.Millisecond), r); got != Free {
		t.Errorf("by an old word it is %d", got)
	}
}

// TestTheLastWordHoldsForAMoment while nobody answers: for requests like the one that was refused
// and for less urgent ones.
func TestTheLastWordHoldsForAMoment(t *testing.T) {
	var l Ledger
	r := ask(1, 1, 6000, time.Second, 4*time.Second)
	urgent, patient := *r, *r
	urgent.Rank, patient.Target = 0, 3*time.Second
	l.Told(began, []Key{r.Key})
	l.Decided(began, r, Verdict{Kind: Refuse})
	l.Unanswered(began)
	for _, c := range []struct {
		name string
		r    *Request
		at   time.Duration
		want Standing
	}{
		{"one like it", r, 100 * time.Millisecond, Refused},
		{"a more urgent one", &urgent, 100 * time.Millisecond, Silent},
		{"one with more time", &patient, 100 * time.Millisecond, Silent},
		{"once somebody may answer again", r, silentTime, Ask},
	} {
		if got := l.Look(began.Add(c.at), c.r); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
	l.Unanswered(began.Add(refusalTime))
	if got := l.Look(began.Add(refusalTime), r); got != Silent {
		t.Errorf("half a second after the last word: %d", got)
	}
}

// TestALedgerTellsAllOfWhatItHas: changes once, everything when asked to, and again what could
// not be told.
func TestALedgerTellsAllOfWhatItHas(t *testing.T) {
	var l Ledger
	r := ask(l.Next(), 1, 6000, time.Second, 4*time.Second)
	l.Told(began, []Key{r.Key})
	if !l.Sent(began, report(r, "s0", 0, 0, false)) {
		t.Error("what was sent without a word is not waited for")
	}
	if got := l.News(began); len(got) != 1 || got[0].First != 0 {
		t.Errorf("news %+v", got)
	}
	if got := l.News(began); len(got) != 0 {
		t.Errorf("the same news %+v", got)
	}
	l.Answered(began.Add(300*time.Millisecond), r.Place.ID)
	l.Answered(began.Add(500*time.Millisecond), r.Place.ID)
	if got := l.News(began.Add(time.Second)); len(got) != 1 || got[0].First != 300*time.Millisecond || got[0].Sent != time.Second {
		t.Errorf("news of an answer %+v", got)
	}
	if got := l.Whole(began); len(got) != 1 {
		t.Errorf("all it has: %+v", got)
	}
	l.Ended(began, r.Place.ID, r.Key)
	ended := l.News(began)
	if len(ended) != 1 || !ended[0].Ended {
		t.Errorf("news of the end %+v", ended)
	}
	l.Return(began, ended)
	if got := l.Whole(began); len(got) != 1 || !got[0].Ended {
		t.Errorf("the end that could not be told: %+v", got)
	}
	if got := l.Whole(began); len(got) != 0 {
		t.Errorf("after its end %+v", got)
	}
	l.Ended(began, 77, r.Key)
	if got := l.News(began); len(got) != 1 || got[0].Server != "" || !got[0].Ended {
		t.Errorf("of one that waited in vain %+v", got)
	}
}

// TestALedgerThatNobodyAsksIsBounded: while there is nobody to tell, what has ended is not kept for ever.
func TestALedgerThatNobodyAsksIsBounded(t *testing.T) {
	var l Ledger
	for range 10 * MostReports {
		r := ask(l.Next(), 1, 6000, time.Second, 4*time.Second)
		l.Sent(began, report(r, "s0", 0, 0, false))
		l.Ended(began, r.Place.ID, r.Key)
	}
	if n := len(l.open); n > MostReports {
		t.Errorf("it keeps %d requests", n)
	}
	r := ask(l.Next(), 1, 6000, time.Second, 4*time.Second)
	l.Sent(began, report(r, "s0", 0, 0, false))
	if _, found := l.open[r.Place.ID]; !found {
		t.Error("a request that runs is not kept")
	}
}
