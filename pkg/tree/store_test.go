package tree

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/findings/findingstest"
	"martenwheel.dev/pkg/platform"
)

// keepAlive returns a change of one setting of a service.
func keepAlive(id, service, value string, base Revision) Change {
	return Change{ID: id, Author: id, Base: base, Edits: []Edit{{Path: Path("/" + service), Key: "keep_alive", Value: value}}}
}

// mustCommit commits a change that must be accepted.
func mustCommit(t *testing.T, store *Store, change Change) Revision {
	t.Helper()
	revision, err := store.Commit(context.Background(), change)
	if err != nil {
		t.Fatalf("change %s: %v", change.ID, err)
	}
	return revision
}

func TestCommitUnderFaultsOfTheTableService(t *testing.T) {
	always := func(f fault) faultQueue { return faultQueue{rest: f} }
	cases := []struct {
		name    string
		commits faultQueue
		gets    faultQueue
		want    error // nil: accepted
	}{
		{name: "no fault"},
		{name: "down", commits: always(down), want: platform.ErrUnavailable},
		{name: "down for reads, too", gets: always(down), want: platform.ErrUnavailable},
		{name: "throttled twice", commits: faultQueue{next: []fault{throttled, throttled}}},
		{name: "reads throttled twice", gets: faultQueue{next: []fault{throttled, throttled}}},
		{name: "throttled all the time", commits: always(throttled), want: platform.ErrThrottled},
		{name: "request lost", commits: faultQueue{next: []fault{lostBefore}}},
		{name: "answer lost after the commit", commits: faultQueue{next: []fault{lostAfter}}},
		{name: "answer lost, then down for a while", commits: faultQueue{next: []fault{lostAfter}}, gets: faultQueue{next: []fault{works, works, down, down, throttled}}},
		{name: "answer lost, then down for long", commits: faultQueue{next: []fault{lostAfter}}, gets: faultQueue{next: []fault{works, works}, rest: down}, want: platform.ErrUnknownOutcome},
		{name: "request lost, then down for long", commits: faultQueue{next: []fault{lostBefore}}, gets: faultQueue{next: []fault{works, works}, rest: down}, want: platform.ErrUnknownOutcome},
		{name: "request lost, then commits down", commits: faultQueue{next: []fault{lostBefore}, rest: down}, want: platform.ErrUnknownOutcome},
		{name: "request late, after its repeat", commits: faultQueue{next: []fault{late}}},
		{name: "request late twice", commits: faultQueue{next: []fault{late, late}}},
		{name: "connection broken after the commit", commits: faultQueue{next: []fault{brokenPipe}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table, objects := newFakeTable(), newFakeObjects()
			table.commitFaults, table.getFaults = test.commits, test.gets
			change := keepAlive("a", "assistant", "5m", 0)
			revision, err := newFakeStore(table, objects).Commit(context.Background(), change)
			if !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if err == nil && revision != 1 {
				t.Fatalf("accepted as revision %d, want 1", revision)
			}
			if errors.Is(err, platform.ErrUnavailable) && table.accepted() != 0 {
				t.Fatal("Commit returned ErrUnavailable, but the change was written")
			}

			table.heal()
			other := newFakeStore(table, objects)
			if again := mustCommit(t, other, change); again != 1 {
				t.Errorf("the repeated change was accepted as revision %d, want 1", again)
			}
			if table.accepted() != 1 {
				t.Errorf("%d changes were accepted, want 1", table.accepted())
			}
		})
	}
}

func TestCommitUnderFaultsOfTheObjectStore(t *testing.T) {
	table, objects := newFakeTable(), newFakeObjects()
	objects.faults.rest = down
	store := newFakeStore(table, objects)
	for index := range SnapshotEvery + 1 {
		mustCommit(t, store, keepAlive(fmt.Sprint(index), "assistant", fmt.Sprintf("%dm", index+1), 0))
	}
	objects.faults.rest = works
	mustCommit(t, store, keepAlive("last", "assistant", "1h", 0))
	snapshot, err := store.LoadSnapshot(context.Background())
	if err != nil || snapshot.Revision() != SnapshotEvery+2 {
		t.Fatalf("the snapshot that failed was not written by the next commit: %v", err)
	}
}

func TestRacingOperators(t *testing.T) {
	first := keepAlive("first", "assistant", "5m", 1)
	cases := []struct {
		name     string
		second   Change
		conflict *ConflictError // nil: accepted
	}{
		{name: "other node", second: keepAlive("second", "booking", "7m", 1)},
		{name: "same value", second: keepAlive("second", "assistant", "300s", 1)},
		{name: "other value", second: keepAlive("second", "assistant", "7m", 1),
			conflict: &ConflictError{Path: "/assistant", Key: "keep_alive", Yours: `"7m"`, Theirs: `"5m"`, Author: "first", Revision: 2}},
		{name: "other value, last writer wins", second: keepAlive("second", "assistant", "7m", 0)},
		{name: "unset", second: Change{ID: "second", Base: 1, Edits: []Edit{{Path: "/assistant", Key: "keep_alive", Unset: true}}},
			conflict: &ConflictError{Path: "/assistant", Key: "keep_alive", Yours: "unset", Theirs: `"5m"`, Author: "first", Revision: 2}},
		{name: "removal of the branch", second: Change{ID: "second", Base: 1, Edits: []Edit{{Path: "/assistant", Remove: true}}},
			conflict: &ConflictError{Path: "/assistant", Yours: "removed", Theirs: `"5m"`, Author: "first", Revision: 2}},
	}
	for _, test := range cases {
		for _, racing := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, at once: %t", test.name, racing), func(t *testing.T) {
				table, objects := newFakeTable(), newFakeObjects()
				one, two := newFakeStore(table, objects), newFakeStore(table, objects)
				mustCommit(t, one, Change{ID: "base", Edits: []Edit{{Path: "/assistant", Key: "keep_alive", Value: "1m"}, {Path: "/booking"}}})
				commitFirst := func() { mustCommit(t, one, first) }
				if racing {
					table.beforeCommit = commitFirst
				} else {
					commitFirst()
				}
				revision, err := two.Commit(context.Background(), test.second)
				var conflict *ConflictError
				if errors.As(err, &conflict) != (test.conflict != nil) {
					t.Fatalf("got revision %d, %v", revision, err)
				}
				if test.conflict != nil && *conflict != *test.conflict {
					t.Fatalf("got %+v, want %+v", conflict, test.conflict)
				}
				if test.conflict == nil && revision != 3 {
					t.Fatalf("accepted as revision %d, %v, want 3", revision, err)
				}
			})
		}
	}
}

func TestManyOperatorsAtOnceLoseNoChange(t *testing.T) {
	const operators = 8
	table, objects := newFakeTable(), newFakeObjects()
	var workers conc.WaitGroup
	for index := range operators {
		workers.Go(func() {
			name := fmt.Sprintf("s%d", index)
			if _, err := newFakeStore(table, objects).Commit(context.Background(), keepAlive(name, name, "5m", 0)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		})
	}
	workers.Wait()
	tree, err := newFakeStore(table, objects).Load(context.Background())
	if err != nil || tree.Revision() != operators || len(tree.Services()) != operators {
		t.Fatalf("got %v, %v", tree, err)
	}
}

func TestLateCommitDoesNotOverwriteAnotherOperator(t *testing.T) {
	table, objects := newFakeTable(), newFakeObjects()
	table.commitFaults.next = []fault{late}
	table.getFaults = faultQueue{next: []fault{works, works}, rest: down}
	slow := keepAlive("slow", "assistant", "5m", 0)
	if _, err := newFakeStore(table, objects).Commit(context.Background(), slow); !errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	table.heal()
	store := newFakeStore(table, objects)
	mustCommit(t, store, keepAlive("fast", "assistant", "7m", 0)) // then the late commit arrives
	tree, err := newFakeStore(table, objects).Load(context.Background())
	if err != nil || tree.Revision() != 1 {
		t.Fatalf("got %v", err)
	}
	if settings, _ := tree.Resolve("/assistant"); settings.KeepAlive.Minutes() != 7 {
		t.Errorf("keep_alive is %s, want 7m", settings.KeepAlive)
	}
	if revision := mustCommit(t, store, slow); revision != 2 {
		t.Errorf("the repeated late change was accepted as revision %d, want 2", revision)
	}
}

func TestRepeatThatOvertakesItsFirstTryAppliesOnce(t *testing.T) {
	for _, hookAt := range []string{"after the receipt was read", "before the commit"} {
		t.Run(hookAt, func(t *testing.T) {
			table, objects := newFakeTable(), newFakeObjects()
			change := keepAlive("same", "assistant", "5m", 0)
			repeat := func() { mustCommit(t, newFakeStore(table, objects), change) }
			if hookAt == "before the commit" {
				table.beforeCommit = repeat
			} else {
				table.afterFirstGet = repeat
			}
			if revision := mustCommit(t, newFakeStore(table, objects), change); revision != 1 || table.accepted() != 1 {
				t.Errorf("accepted as revision %d, %d changes in total, want 1 and 1", revision, table.accepted())
			}
		})
	}
}

func TestChangeIDIsNotReusedForOtherEdits(t *testing.T) {
	store := newFakeStore(newFakeTable(), newFakeObjects())
	mustCommit(t, store, keepAlive("a", "assistant", "5m", 0))
	_, err := store.Commit(context.Background(), keepAlive("a", "assistant", "6m", 0))
	findingstest.Want(t, err, "change a: the ID was used for other edits at revision 1")
	_, err = store.Commit(context.Background(), keepAlive("", "assistant", "6m", 0))
	findingstest.Want(t, err, "change id: must have 1 to 128 bytes")
	_, err = store.Commit(context.Background(), keepAlive("b", "assistant", "6m", 9))
	findingstest.Want(t, err, "change b: its base 9 is newer than the tree")
}

func TestLargeChanges(t *testing.T) {
	table := newFakeTable()
	store := newFakeStore(table, newFakeObjects())
	edits := make([]Edit, 0, 12_000)
	for model := range 4000 {
		path := Path(fmt.Sprintf("/s/f/model-%d", model))
		edits = append(edits, Edit{Path: path, Key: "memory", Value: "16GiB"}, Edit{Path: path, Key: "keep_alive", Value: "7m"}, Edit{Path: path.Child("a")})
	}
	mustCommit(t, store, Change{ID: "site", Edits: edits})
	for key, record := range table.records {
		if len(record.Value) > maxRecordBytes {
			t.Errorf("record %s has %d bytes", key, len(record.Value))
		}
	}

	random := rand.New(rand.NewPCG(propertySeed, 0))
	edits = edits[:0]
	for range 40_000 {
		edits = append(edits, Edit{Path: Path(fmt.Sprintf("/s/f/m%d", random.Uint64())), Key: "memory", Value: fmt.Sprintf("%dB", random.Uint32())})
	}
	_, err := store.Commit(context.Background(), Change{ID: "huge", Edits: edits})
	findingstest.Want(t, err, "change huge: has ")
	_, err = store.Commit(context.Background(), Change{ID: "endless", Edits: make([]Edit, maxEdits+1)})
	findingstest.Want(t, err, "change: has 50001 edits, more than 50000")
}

func TestChangeOnAnOldTreeIsRefused(t *testing.T) {
	store := newFakeStore(newFakeTable(), newFakeObjects())
	fill(t, store, maxBaseAge+2)
	_, err := store.Commit(context.Background(), keepAlive("late", "booking", "5m", 1))
	findingstest.Want(t, err, "change late: its base 1 is more than 1000 revisions old")
	mustCommit(t, store, keepAlive("in time", "booking", "5m", 2))
}

// fill commits n changes and returns their tree.
func fill(t *testing.T, store *Store, n int) *Tree {
	t.Helper()
	for index := range n {
		mustCommit(t, store, keepAlive(fmt.Sprint(index), "assistant", fmt.Sprintf("%dm", index+1), 0))
	}
	return store.known()
}

func TestLoadUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		damage  func(table *fakeTable, objects *fakeObjects)
		wantErr error
		maxGets int
	}{
		{name: "from the newest snapshot", maxGets: SnapshotEvery + 1},
		{name: "object store down", damage: func(_ *fakeTable, o *fakeObjects) { o.faults.rest = down }, maxGets: 1000},
		{name: "newest snapshot broken", damage: func(_ *fakeTable, o *fakeObjects) { o.data[snapshotName(200)] = []byte("broken") }, maxGets: 2*SnapshotEvery + 1},
		{name: "table service down", damage: func(f *fakeTable, _ *fakeObjects) { f.getFaults.rest = down }, wantErr: platform.ErrUnavailable, maxGets: 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			table, objects := newFakeTable(), newFakeObjects()
			want := fill(t, newFakeStore(table, objects), 250)
			if test.damage != nil {
				test.damage(table, objects)
			}
			table.gets = 0
			tree, err := newFakeStore(table, objects).Load(context.Background())
			if !errors.Is(err, test.wantErr) {
				t.Fatalf("got %v, want %v", err, test.wantErr)
			}
			if err == nil && (tree.Revision() != want.Revision() || tree.Digest() != want.Digest()) {
				t.Fatalf("got revision %d, want %d", tree.Revision(), want.Revision())
			}
			if table.gets > test.maxGets {
				t.Errorf("read %d records, want at most %d", table.gets, test.maxGets)
			}
		})
	}
}

func TestHistoryAndOlderTrees(t *testing.T) {
	store := newFakeStore(newFakeTable(), newFakeObjects())
	fill(t, store, 130)
	changes, err := store.History(context.Background(), 3)
	if err != nil || len(changes) != 3 || changes[0].Revision != 130 || changes[2].Revision != 128 {
		t.Fatalf("got %v, %v", changes, err)
	}
	older, err := store.At(context.Background(), 120)
	if err != nil || older.Revision() != 120 {
		t.Fatalf("got %v", err)
	}
	if settings, _ := older.Resolve("/assistant"); settings.KeepAlive.Minutes() != 120 {
		t.Errorf("keep_alive at revision 120: %s", settings.KeepAlive)
	}
}

// fixedSource answers like a peer with the given tree. With a nil tree it is unreachable.
type fixedSource struct{ tree *Tree }

func (s fixedSource) Fetch(_ context.Context, request FetchRequest) (FetchAnswer, error) {
	if s.tree == nil {
		return FetchAnswer{}, platform.ErrUnavailable
	}
	return Answer(s.tree, nil, request), nil
}

func TestFreshProcessTakesTheNewestInReach(t *testing.T) {
	at := func(revision Revision) Source { return fixedSource{Empty().WithRevision(revision)} }
	gone := fixedSource{}
	table, objects := newFakeTable(), newFakeObjects()
	want := fill(t, newFakeStore(table, objects), SnapshotEvery+7)
	brokenTable := newFakeTable()
	brokenTable.getFaults.rest = down
	up, broken := newFakeStore(table, objects), newFakeStore(brokenTable, objects)
	empty := newFakeStore(newFakeTable(), newFakeObjects())
	cases := []struct {
		name  string
		store Source
		peers []Source
		want  Revision
		err   error
	}{
		{name: "platform before peers", store: up, peers: []Source{at(5)}, want: want.Revision()},
		{name: "platform down", store: broken, peers: []Source{at(5), at(120), gone}, want: 120},
		{name: "platform down and only a snapshot left", store: broken, peers: []Source{gone}, err: ErrNoSource},
		{name: "platform down and peers just started, too", store: broken, peers: []Source{at(0), at(0)}, err: ErrNoSource},
		{name: "peers gone", store: up, peers: []Source{gone}, want: want.Revision()},
		{name: "nothing accepted yet", store: empty, peers: []Source{at(0)}, want: 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			tree, err := Newest(context.Background(), test.store, test.peers...)
			if !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if err == nil && tree.Revision() != test.want {
				t.Fatalf("got revision %d, want %d", tree.Revision(), test.want)
			}
		})
	}
}

func TestEditorPutsAcceptedChangesInForceAtOnce(t *testing.T) {
	table, objects := newFakeTable(), newFakeObjects()
	mine, theirs := NewHolder(Empty()), NewHolder(Empty())
	editor := NewEditor(newFakeStore(table, objects), mine)
	for index := range 3 {
		if _, err := editor.Commit(context.Background(), keepAlive(fmt.Sprint(index), "assistant", "5m", 0)); err != nil {
			t.Fatal(err)
		}
	}
	answer := mine.Answer(FetchRequest{})
	if mine.Current().Revision() != 3 || len(answer.Changes) != 3 {
		t.Fatalf("revision %d, %d changes for peers", mine.Current().Revision(), len(answer.Changes))
	}
	if changed, err := theirs.Receive(answer); !changed || err != nil {
		t.Fatalf("got %t, %v", changed, err)
	}
	if theirs.Current().Digest() != mine.Current().Digest() {
		t.Error("the peer has another tree")
	}
}
