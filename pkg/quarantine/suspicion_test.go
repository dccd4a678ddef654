package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// beginRun returns a run that begins on a server.
func beginRun(table *Table, f Fingerprint, now time.Time, server string) Run {
	rounds, again := table.SuspectedRounds(now, f, server)
	return Run{Request: f, Server: server, Round: table.NextRound(now, f), Doubts: rounds, Again: again}
}

// suspectRuns runs the request on servers one after the other and has each connection break.
func suspectRuns(table *Table, f Fingerprint, now time.Time, servers ...string) {
	for _, server := range servers {
		table.Suspect(now, beginRun(table, f, now, server))
	}
}

// TestSuspicionsNeverQuarantine: after two broken connections the request is suspected, but no
// number of broken connections puts it in quarantine while no server is known to have crashed.
func TestSuspicionsNeverQuarantine(t *testing.T) {
	var table Table
	f := request(1)
	for i := range 6 {
		want := Suspected
		if i < 2 {
			want = Free
		}
		if got := table.Standing(testStart, f); got != want {
			t.Errorf("after %d broken runs the request is %v, want %v", i, got, want)
		}
		suspectRuns(&table, f, testStart, fmt.Sprintf("i-%d", i))
	}
	if list := table.Restricted(testStart); len(list) > 0 {
		t.Errorf("suspicions are shared and stored like crashes: %+v", list)
	}
}

// TestSuspicionsConfirmedAsCrashesCount: once the crashes of two runs and of a trial are known, the
// request is in quarantine.
func TestSuspicionsConfirmedAsCrashesCount(t *testing.T) {
	var table Table
	f := request(1)
	var runs []Run
	for i := range 3 {
		runs = append(runs, beginRun(&table, f, testStart, fmt.Sprintf("i-%d", i)))
		table.Suspect(testStart, runs[i])
	}
	for _, r := range runs {
		table.Merge(testStart.Add(time.Second), r.CrashEvidence())
	}
	if got := table.Standing(testStart.Add(time.Second), f); got != Quarantined {
		t.Errorf("the request is %v, want quarantined", got)
	}
}

// TestSuspicionsExpire: a suspicion ends after its time, when the server answers a request that was
// sent later, and when the request completes.
func TestSuspicionsExpire(t *testing.T) {
	f := request(1)
	for _, c := range []struct {
		name string
		do   func(table *Table)
		at   time.Duration
		want Standing
	}{
		{"just before their time is over", func(*Table) {}, SuspicionTime - 1, Suspected},
		{"their time is over", func(*Table) {}, SuspicionTime, Free},
		{"one of the servers answers", func(table *Table) {
			table.ServerAlive(testStart.Add(time.Second), "i-1", testStart.Add(time.Millisecond))
		}, time.Second, Free},
		{"it answers what was sent before", func(table *Table) {
			table.ServerAlive(testStart.Add(time.Second), "i-1", testStart.Add(-time.Millisecond))
		}, time.Second, Suspected},
		{"another server answers", func(table *Table) {
			table.ServerAlive(testStart.Add(time.Second), "i-9", testStart.Add(time.Millisecond))
		}, time.Second, Suspected},
		{"the request ran to its end", func(table *Table) { table.Completed(testStart.Add(time.Second), f) }, time.Second, Free},
	} {
		var table Table
		suspectRuns(&table, f, testStart, "i-0", "i-1")
		c.do(&table)
		if got := table.Standing(testStart.Add(c.at), f); got != c.want {
			t.Errorf("%s: the request is %v, want %v", c.name, got, c.want)
		}
	}
}

// TestRunsAtOneServerOneAfterTheOther: if a server's new incarnations are listed late, all runs
// have the ID of the one that crashed first. They still count as crashes of different incarnations.
func TestRunsAtOneServerOneAfterTheOther(t *testing.T) {
	var table Table
	f := request(1)
	var runs []Run
	for range 3 {
		runs = append(runs, beginRun(&table, f, testStart, "i-0"))
		table.Suspect(testStart, runs[len(runs)-1])
	}
	for _, r := range runs {
		table.Merge(testStart.Add(time.Second), r.CrashEvidence())
	}
	if got := table.Standing(testStart.Add(time.Second), f); got != Quarantined {
		t.Errorf("the request is %v, want quarantined", got)
	}
}

// TestLaterRunsOnACrashedServerAreForgotten: as its first crash became known, those of its unlisted next incarnations counted for nothing.
func TestLaterRunsOnACrashedServerAreForgotten(t *testing.T) {
	f := request(1)
	for _, c := range []struct {
		name string
		do   func(table *Table)
		at   time.Duration
		want Standing
	}{
		{"a moment later", func(*Table) {}, time.Second, Suspected},
		{"once a crash would have shown", func(*Table) {}, SuspicionTime + time.Second, Suspected},
		{"the request ran to its end", func(table *Table) { table.Completed(testStart.Add(time.Second), f) }, time.Second, Free},
		{"after the lifetime of evidence", func(*Table) {}, Lifetime + time.Second, Free},
	} {
		var table, other Table
		var runs []Run
		for range 3 {
			runs = append(runs, beginRun(&table, f, testStart, "i-0"))
			table.Suspect(testStart, runs[len(runs)-1])
		}
		table.Merge(testStart, runs[0].CrashEvidence())
		c.do(&table)
		at := testStart.Add(c.at)
		if got := table.Standing(at, f); got != c.want {
			t.Errorf("%s: the request is %v, want %v", c.name, got, c.want)
		}
		if got := other.Merge(at, table.Evidence(at, f, "s")).Now; got != c.want {
			t.Errorf("%s: at another node the request is %v, want %v", c.name, got, c.want)
		}
	}
}

// TestLastingSuspicionsAreLostWithAllNodes: the platform's store kept crashes alone, so that a request that nodes had suspected
// for a second crash at an incarnation that was never listed ran freely once all of them had been lost.
func TestLastingSuspicionsAreLostWithAllNodes(t *testing.T) {
	f := request(1)
	var before, after, completed Table
	runs := []Run{beginRun(&before, f, testStart, "i-0")}
	before.Suspect(testStart, runs[0])
	runs = append(runs, beginRun(&before, f, testStart, "i-0"))
	before.Suspect(testStart, runs[1])
	if stored := before.MergeStored(testStart, nil); len(stored) > 0 {
		t.Errorf("suspicions that expire soon are stored: %+v", stored)
	}
	before.Merge(testStart, runs[0].CrashEvidence())
	suspectRuns(&before, f, testStart, "i-1") // expires soon
	bytes, err := json.Marshal(before.MergeStored(testStart, nil))
	if err != nil {
		t.Fatal(err)
	}
	var stored []Aged
	if err := json.Unmarshal(bytes, &stored); err != nil {
		t.Fatal(err)
	}
	if len(stored) != 1 {
		t.Fatalf("the store keeps %+v, want the evidence on one request", stored)
	}
	if len(stored[0].Doubts) != 1 {
		t.Errorf("the store keeps the suspicions %+v, want the lasting one", stored[0].Doubts)
	}
	const age = SuspicionTime + time.Second
	later := testStart.Add(age)
	stored[0].Age = age
	again := after.MergeStored(later, stored)
	if got := after.Standing(later, f); got != Suspected {
		t.Errorf("once all nodes were lost the request is %v, want suspected", got)
	}
	if len(again) != 1 || len(again[0].Doubts) != 1 {
		t.Errorf("the next record has %+v, want the same suspicion", again)
	}
	if got := after.Standing(testStart.Add(Lifetime+time.Second), f); got != Free {
		t.Errorf("after the lifetime of evidence the request is %v, want free", got)
	}
	completed.Completed(later, f)
	if kept := completed.MergeStored(later, stored); len(kept) > 0 || completed.Standing(later, f) != Free {
		t.Errorf("where the request ran to its end it is %v, and %+v is stored, want free and nothing", completed.Standing(later, f), kept)
	}
}

// Guards against lasting suspicions that an operator lifted and that return from the platform's store, or stay at other nodes.
func TestLiftedSuspicionsReturn(t *testing.T) {
	f := request(1)
	var holder, other, late Table
	var runs []Run
	for range 3 {
		runs = append(runs, beginRun(&holder, f, testStart, "i-0"))
		holder.Suspect(testStart, runs[len(runs)-1])
	}
	holder.Merge(testStart, runs[0].CrashEvidence())
	stored := holder.MergeStored(testStart, nil)
	for _, table := range []*Table{&other, &late} {
		table.MergeStored(testStart, stored)
	}
	standings := func(now time.Time) string {
		return fmt.Sprint(holder.Standing(now, f), other.Standing(now, f), late.Standing(now, f))
	}
	if got, want := standings(testStart), fmt.Sprint(Suspected, Suspected, Suspected); got != want {
		t.Fatalf("before the request is lifted: %s, want %s", got, want)
	}
	now := testStart.Add(time.Second)
	other.Merge(now, holder.Clear(now, f).Evidence)
	old := stored
	stored = holder.MergeStored(now, old)
	if got, want := standings(now), fmt.Sprint(Free, Free, Suspected); got != want || len(stored) > 0 {
		t.Errorf("once the request is lifted, and late is not told: %s, want %s; stored: %+v", got, want, stored)
	}
	holder.MergeStored(now, late.MergeStored(now, old)) // late writes the record as the next holder
	if got, want := standings(now), fmt.Sprint(Free, Free, Suspected); got != want {
		t.Errorf("once late has written the record: %s, want %s", got, want)
	}
	suspectRuns(&holder, f, now, "i-1", "i-1")
	holder.Merge(now, Evidence{Request: f, Ends: []End{{Server: "i-1", Round: 1}}})
	later := now.Add(SuspicionTime + time.Second)
	stored = holder.MergeStored(later, nil)
	other.MergeStored(later, stored)
	if got, want := standings(later), fmt.Sprint(Suspected, Suspected, Suspected); got != want || len(stored) != 1 {
		t.Errorf("after new suspicions: %s, want %s; stored: %+v", got, want, stored)
	}
}

// TestLivingServerRemainsInDoubt: connections to a server that broke twice are no lasting evidence while it is not known to have crashed.
func TestLivingServerRemainsInDoubt(t *testing.T) {
	var table Table
	f := request(1)
	suspectRuns(&table, f, testStart, "i-0", "i-0", "i-0")
	if got := table.Standing(testStart.Add(SuspicionTime), f); got != Free {
		t.Errorf("after SuspicionTime the request is %v, want free", got)
	}
}

// TestLaterRunOnACrashedServerMakesARequestFree: a second run on the last of two crashed servers took away that server's round.
func TestLaterRunOnACrashedServerMakesARequestFree(t *testing.T) {
	f := request(1)
	first := Run{Request: f, Server: "i-0", Round: 1}
	second := Run{Request: f, Server: "i-1", Round: 1, Doubts: 1}
	third := Run{Request: f, Server: "i-1", Round: 1, Doubts: 2}
	for _, order := range [][]Run{{first, second, third}, {third, first, second}, {second, third, first}, {third, second, first, third, second}} {
		var table Table
		for _, r := range order {
			table.Merge(testStart, r.CrashEvidence())
		}
		if got := table.Standing(testStart, f); got != Suspected {
			t.Errorf("after crashes of two servers in two rounds the request is %v, want suspected: %+v", got, order)
		}
	}
}

// TestRoundsOfSuspicionsAreNotCrashes: a harmless request whose connections broke twice and that
// then runs on a crashing server has one crash, not three.
func TestRoundsOfSuspicionsAreNotCrashes(t *testing.T) {
	var table Table
	f := request(1)
	suspectRuns(&table, f, testStart, "i-0", "i-1")
	run := beginRun(&table, f, testStart, "i-2")
	if !run.Decisive() {
		t.Errorf("its third run is not decisive: %+v", run)
	}
	later := testStart.Add(SuspicionTime)
	table.Merge(later, run.CrashEvidence())
	if got := table.Standing(later, f); got != Free {
		t.Errorf("after one crash the request is %v, want free", got)
	}
}

// TestOtherNodesLearnOfSuspicions: the suspicions that a node sends when it asks for a trial make
// other nodes suspect the request, for as long as at that node.
func TestOtherNodesLearnOfSuspicions(t *testing.T) {
	var here, there Table
	f := request(1)
	suspectRuns(&here, f, testStart, "i-0", "i-1")
	asked := testStart.Add(2 * time.Second)
	if c := there.Merge(asked, here.Evidence(asked, f, "s")); !c.New || c.Now != Suspected {
		t.Errorf("merging it at the other node gives %+v, want a new suspected request", c)
	}
	if got := there.Standing(testStart.Add(SuspicionTime), f); got != Free {
		t.Errorf("after SuspicionTime the request is %v, want free", got)
	}
}

func TestRunAtTheNextIncarnationLosesItsTrial(t *testing.T) {
	run := Run{Request: request(1), Server: "i-0", Round: 2, Again: true}
	next := run.At("i-1")
	if next.Server != "i-1" || next.Again || next.TrialServer() != "i-0" {
		t.Errorf("%+v has its trial at %s", next, next.TrialServer())
	}
	if same := run.At("i-0"); same != run || same.TrialServer() != "i-0" {
		t.Errorf("%+v, want %+v", same, run)
	}
}
