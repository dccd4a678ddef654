// Package platformtest contains the contract tests that each implementation of
// the interfaces of package platform must pass. The test of an implementation
// provides a factory that starts a service and returns a client of it.
package platformtest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

// Fault is a fault that is injected into a service under test.
type Fault int

// The faults. A fault lasts until another is set. NoFault clears it.
const (
	NoFault      Fault = iota
	Refuse             // answer with a server error, without effect
	Hang               // don't answer, without effect
	LoseRequest        // close the connection of the next request before it takes effect
	LoseAnswer         // close the connection of the next request after it took effect
	Throttle           // refuse as if the rate limit were exceeded
	Unreachable        // no connection can be made
	StaleReplica       // reads that are not consistent see the state at the time when the fault was set
)

// String returns the name of the fault.
func (f Fault) String() string {
	names := [...]string{"none", "refuse", "hang", "lose request", "lose answer", "throttle", "unreachable", "stale replica"}
	return names[f]
}

// Timeouts of requests during a fault.
const (
	hangTimeout  = 100 * time.Millisecond // the answer never comes
	faultTimeout = 10 * time.Second       // never reached
)

func withFaultTimeout(t *testing.T, fault Fault) (context.Context, context.CancelFunc) {
	if fault == Hang {
		return context.WithTimeout(t.Context(), hangTimeout)
	}
	return context.WithTimeout(t.Context(), faultTimeout)
}

// TableFixture is an empty table with a function to set its faults.
type TableFixture struct {
	Table    platform.Table
	SetFault func(Fault)
}

// RunTableContract tests that the tables returned by factory fulfil the contract
// of platform.Table.
func RunTableContract(t *testing.T, factory func(*testing.T) TableFixture) {
	t.Run("records", func(t *testing.T) { testRecords(t, factory(t).Table) })
	t.Run("conditions", func(t *testing.T) { testConditions(t, factory(t).Table) })
	t.Run("transaction is whole or not at all", func(t *testing.T) { testAtomicity(t, factory(t).Table) })
	t.Run("token applies once", func(t *testing.T) { testToken(t, factory(t).Table) })
	t.Run("long token", func(t *testing.T) { testLongToken(t, factory(t).Table) })
	t.Run("bad transactions", func(t *testing.T) { testBadTransactions(t, factory(t).Table) })
	t.Run("list", func(t *testing.T) { testList(t, factory(t).Table) })
	t.Run("stale replica", func(t *testing.T) { testStaleReplica(t, factory(t)) })
	testCommitFaults(t, factory)
	testReadFaults(t, factory)
}

// Put returns the transaction that writes one record on the condition that its
// present version is version.
func Put(token, key, value string, version uint64) platform.Transaction {
	return platform.Transaction{
		Token:      token,
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Writes:     []platform.Write{{Key: key, Value: []byte(value)}},
	}
}

func mustCommit(t *testing.T, table platform.Table, transaction platform.Transaction) {
	t.Helper()
	if err := table.Commit(t.Context(), transaction); err != nil {
		t.Fatalf("commit %s: %v", transaction.Token, err)
	}
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("error %v, want %v", err, want)
	}
}

func wantRecord(t *testing.T, table platform.Table, key, value string, version uint64) {
	t.Helper()
	record, err := table.Get(t.Context(), key, true)
	if err != nil {
		t.Fatalf("get %s: %v", key, err)
	}
	if record.Key != key || string(record.Value) != value || record.Version != version {
		t.Errorf("record %s = %q version %d, want %q version %d", record.Key, record.Value, record.Version, value, version)
	}
}

func wantMissing(t *testing.T, table platform.Table, key string) {
	t.Helper()
	_, err := table.Get(t.Context(), key, true)
	wantError(t, err, platform.ErrNotFound)
}

func testRecords(t *testing.T, table platform.Table) {
	wantMissing(t, table, "a")
	mustCommit(t, table, Put("1", "a", "one", 0))
	wantRecord(t, table, "a", "one", 1)
	mustCommit(t, table, Put("2", "a", "", 1))
	wantRecord(t, table, "a", "", 2)
	mustCommit(t, table, platform.Transaction{
		Token:      "3",
		Conditions: []platform.Condition{{Key: "a", Version: 2}},
		Writes:     []platform.Write{{Key: "a", Delete: true}},
	})
	wantMissing(t, table, "a")
}

func testConditions(t *testing.T, table platform.Table) {
	mustCommit(t, table, Put("1", "a", "one", 0))
	for _, version := range []uint64{0, 2} {
		wantError(t, table.Commit(t.Context(), Put(fmt.Sprint("v", version), "a", "two", version)), platform.ErrConflict)
	}
	wantError(t, table.Commit(t.Context(), Put("missing", "b", "two", 1)), platform.ErrConflict)
	wantRecord(t, table, "a", "one", 1)
	wantMissing(t, table, "b")
}

func testAtomicity(t *testing.T, table platform.Table) {
	mustCommit(t, table, Put("1", "guard", "", 0))
	write := func(token string, guard uint64) error {
		return table.Commit(t.Context(), platform.Transaction{
			Token:      token,
			Conditions: []platform.Condition{{Key: "a"}, {Key: "guard", Version: guard}, {Key: "b"}},
			Writes:     []platform.Write{{Key: "a", Value: []byte("x")}, {Key: "b", Value: []byte("y")}},
		})
	}
	wantError(t, write("2", 7), platform.ErrConflict)
	wantMissing(t, table, "a")
	wantMissing(t, table, "b")
	if err := write("3", 1); err != nil {
		t.Fatal(err)
	}
	wantRecord(t, table, "a", "x", 1)
	wantRecord(t, table, "b", "y", 1)
	wantRecord(t, table, "guard", "", 1)
}

func testToken(t *testing.T, table platform.Table) {
	mustCommit(t, table, Put("once", "a", "one", 0))
	mustCommit(t, table, Put("once", "a", "one", 0)) // a repeat is no conflict and has no second effect
	wantRecord(t, table, "a", "one", 1)
	wantError(t, table.Commit(t.Context(), Put("once", "b", "other", 0)), platform.ErrConflict)
	wantMissing(t, table, "b")
}

// testLongToken checks that tokens may be longer than the protocol allows.
func testLongToken(t *testing.T, table platform.Table) {
	long := strings.Repeat("cell/node/", 20)
	mustCommit(t, table, Put(long+"1", "a", "one", 0))
	mustCommit(t, table, Put(long+"1", "a", "one", 0))
	mustCommit(t, table, Put(long+"2", "a", "two", 1))
	wantRecord(t, table, "a", "two", 2)
	wantError(t, table.Commit(t.Context(), Put(long+"2", "b", "other", 0)), platform.ErrConflict)
}

func testBadTransactions(t *testing.T, table platform.Table) {
	unconditional := Put("1", "a", "x", 0)
	unconditional.Conditions = []platform.Condition{{Key: "other"}}
	twice := Put("2", "a", "x", 0)
	twice.Writes = append(twice.Writes, twice.Writes[0])
	cases := map[string]platform.Transaction{
		"write without condition": unconditional,
		"two writes of a key":     twice,
		"no token":                Put("", "a", "x", 0),
		"empty":                   {Token: "3"},
	}
	for name, transaction := range cases {
		err := table.Commit(t.Context(), transaction)
		if err == nil || errors.Is(err, platform.ErrUnknownOutcome) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	wantMissing(t, table, "a")
}

func testList(t *testing.T, table platform.Table) {
	const count = 40
	large := string(make([]byte, 60_000)) // so that the list takes several pages
	for i := range count {
		mustCommit(t, table, Put(fmt.Sprint("n", i), fmt.Sprintf("n/%02d", count-1-i), large, 0))
	}
	mustCommit(t, table, Put("m", "m", "", 0))
	records, err := table.List(t.Context(), "n/")
	if err != nil || len(records) != count {
		t.Fatalf("%d records, error %v", len(records), err)
	}
	for i, record := range records {
		if want := fmt.Sprintf("n/%02d", i); record.Key != want || len(record.Value) != len(large) || record.Version != 1 {
			t.Errorf("record %d is %s with %d bytes, version %d", i, record.Key, len(record.Value), record.Version)
		}
	}
	if all, err := table.List(t.Context(), ""); err != nil || len(all) != count+1 {
		t.Errorf("%d records in total, error %v", len(all), err)
	}
	if none, err := table.List(t.Context(), "x"); err != nil || len(none) != 0 {
		t.Errorf("records %v, error %v", none, err)
	}
}

func testStaleReplica(t *testing.T, fixture TableFixture) {
	mustCommit(t, fixture.Table, Put("1", "a", "old", 0))
	fixture.SetFault(StaleReplica)
	mustCommit(t, fixture.Table, Put("2", "a", "new", 1))
	stale, err := fixture.Table.Get(t.Context(), "a", false)
	if err != nil || string(stale.Value) != "old" {
		t.Errorf("the replica has %q, error %v: the fault had no effect", stale.Value, err)
	}
	wantRecord(t, fixture.Table, "a", "new", 2)
	records, err := fixture.Table.List(t.Context(), "a")
	if err != nil || len(records) != 1 || string(records[0].Value) != "new" {
		t.Errorf("list %v, error %v", records, err)
	}
}

// testCommitFaults checks that the error of a commit correctly reports whether
// the commit may have taken effect.
func testCommitFaults(t *testing.T, factory func(*testing.T) TableFixture) {
	cases := []struct {
		fault   Fault
		want    error
		applied bool
	}{
		{Refuse, platform.ErrUnknownOutcome, false}, // a server error may occur after the effect
		{Hang, platform.ErrUnknownOutcome, false},
		{LoseRequest, platform.ErrUnknownOutcome, false},
		{LoseAnswer, platform.ErrUnknownOutcome, true},
		{Throttle, platform.ErrThrottled, false},
		{Unreachable, platform.ErrUnavailable, false},
	}
	for _, test := range cases {
		t.Run("commit, "+test.fault.String(), func(t *testing.T) {
			fixture := factory(t)
			mustCommit(t, fixture.Table, Put("before", "before", "", 0)) // establishes the connection
			fixture.SetFault(test.fault)
			ctx, cancel := withFaultTimeout(t, test.fault)
			defer cancel()
			wantError(t, fixture.Table.Commit(ctx, Put("tested", "a", "one", 0)), test.want)
			fixture.SetFault(NoFault)
			if test.applied {
				wantRecord(t, fixture.Table, "a", "one", 1)
			} else {
				wantMissing(t, fixture.Table, "a")
			}
			mustCommit(t, fixture.Table, Put("tested", "a", "one", 0)) // repeating the token resolves the outcome
			wantRecord(t, fixture.Table, "a", "one", 1)
		})
	}
}

func testReadFaults(t *testing.T, factory func(*testing.T) TableFixture) {
	cases := map[Fault]error{
		Refuse:      platform.ErrUnavailable,
		Hang:        platform.ErrUnavailable,
		LoseAnswer:  platform.ErrUnavailable,
		Throttle:    platform.ErrThrottled,
		Unreachable: platform.ErrUnavailable,
	}
	for fault, want := range cases {
		t.Run("read, "+fault.String(), func(t *testing.T) {
			fixture := factory(t)
			ctx, cancel := withFaultTimeout(t, fault)
			defer cancel()
			fixture.SetFault(fault)
			_, err := fixture.Table.Get(ctx, "a", true)
			wantError(t, err, want)
			fixture.SetFault(fault)
			_, err = fixture.Table.List(ctx, "a")
			wantError(t, err, want)
		})
	}
}
