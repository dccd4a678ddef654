package admission

import (
	"testing"
	"time"
)

// TestLedgerAsksForOverloadedModels: a node asks for models that the holder reported as overloaded,
// until the report is too old.
func TestLedgerAsksForOverloadedModels(t *testing.T) {
	var l Ledger
	r := newRequest(1, 1, 6000, time.Second, 4*time.Second)
	if got := l.Check(testStart, r); got != Free {
		t.Errorf("without any report the standing is %d, want Free", got)
	}
	l.UpdateOverloaded(testStart, []Key{r.Key})
	if got := l.Check(testStart, r); got != Ask {
		t.Errorf("for an overloaded model the standing is %d, want Ask", got)
	}
	if got := l.Check(testStart.Add(overloadTTL+time.Millisecond), r); got != Free {
		t.Errorf("after an old report the standing is %d, want Free", got)
	}
}

// TestRefusalHoldsBriefly: while the holder does not answer, a refusal applies for a moment to
// similar and to less urgent requests.
func TestRefusalHoldsBriefly(t *testing.T) {
	var l Ledger
	r := newRequest(1, 1, 6000, time.Second, 4*time.Second)
	urgent, patient := *r, *r
	urgent.Rank, patient.Target = 0, 3*time.Second
	l.UpdateOverloaded(testStart, []Key{r.Key})
	l.Decided(testStart, r, Verdict{Kind: Refuse})
	l.Unanswered(testStart)
	for _, c := range []struct {
		name string
		r    *Request
		at   time.Duration
		want Standing
	}{
		{"a similar request", r, 100 * time.Millisecond, Refused},
		{"a more urgent request", &urgent, 100 * time.Millisecond, Silent},
		{"a request with a longer target", &patient, 100 * time.Millisecond, Silent},
		{"when the holder may be asked again", r, unansweredPause, Ask},
	} {
		if got := l.Check(testStart.Add(c.at), c.r); got != c.want {
			t.Errorf("%s: the standing is %d, want %d", c.name, got, c.want)
		}
	}
	l.Unanswered(testStart.Add(refusalTime))
	if got := l.Check(testStart.Add(refusalTime), r); got != Silent {
		t.Errorf("refusalTime after the last verdict the standing is %d, want Silent", got)
	}
}

// TestLedgerReportsAllRequests: changes are reported once, all requests on demand, and reports that
// could not be sent are sent again.
func TestLedgerReportsAllRequests(t *testing.T) {
	var l Ledger
	r := newRequest(l.NextID(), 1, 6000, time.Second, 4*time.Second)
	l.UpdateOverloaded(testStart, []Key{r.Key})
	if !l.Sent(testStart, report(r, "s0", 0, 0, false)) {
		t.Error("a request sent without a verdict is not reported at once")
	}
	if got := l.NewReports(testStart); len(got) != 1 || got[0].First != 0 {
		t.Errorf("new reports %+v, want one without a first event", got)
	}
	if got := l.NewReports(testStart); len(got) != 0 {
		t.Errorf("the same reports again: %+v", got)
	}
	l.Answered(testStart.Add(300*time.Millisecond), r.Place.ID)
	l.Answered(testStart.Add(500*time.Millisecond), r.Place.ID)
	if got := l.NewReports(testStart.Add(time.Second)); len(got) != 1 || got[0].First != 300*time.Millisecond || got[0].Sent != time.Second {
		t.Errorf("new reports after an answer: %+v", got)
	}
	if got := l.AllReports(testStart); len(got) != 1 {
		t.Errorf("all reports: %+v, want one", got)
	}
	l.Ended(testStart, r.Place.ID, r.Key)
	ended := l.NewReports(testStart)
	if len(ended) != 1 || !ended[0].Ended {
		t.Errorf("new reports after the end: %+v", ended)
	}
	l.Return(testStart, ended)
	if got := l.AllReports(testStart); len(got) != 1 || !got[0].Ended {
		t.Errorf("after the end could not be reported: %+v", got)
	}
	if got := l.AllReports(testStart); len(got) != 0 {
		t.Errorf("reports after the end: %+v", got)
	}
	l.Ended(testStart, 77, r.Key)
	if got := l.NewReports(testStart); len(got) != 1 || got[0].Server != "" || !got[0].Ended {
		t.Errorf("reports on a request that never got a place: %+v", got)
	}
}

// TestUnreadLedgerIsBounded: while nobody collects reports, ended requests must not accumulate.
func TestUnreadLedgerIsBounded(t *testing.T) {
	var l Ledger
	for range 10 * MaxReports {
		r := newRequest(l.NextID(), 1, 6000, time.Second, 4*time.Second)
		l.Sent(testStart, report(r, "s0", 0, 0, false))
		l.Ended(testStart, r.Place.ID, r.Key)
	}
	if n := len(l.requests); n > MaxReports {
		t.Errorf("the ledger keeps %d requests, want at most MaxReports", n)
	}
	r := newRequest(l.NextID(), 1, 6000, time.Second, 4*time.Second)
	l.Sent(testStart, report(r, "s0", 0, 0, false))
	if _, found := l.requests[r.Place.ID]; !found {
		t.Error("a running request is not kept")
	}
}
