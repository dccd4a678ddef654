package tree

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/sourcegraph/conc"
)

// chain returns n accepted changes and the trees before and after each of them.
func chain(t *testing.T, n int) ([]Change, []*Tree) {
	t.Helper()
	trees := []*Tree{Empty()}
	changes := make([]Change, 0, n)
	for index := range n {
		change := keepAlive(fmt.Sprint(index), "assistant", fmt.Sprintf("%dm", index+1), 0)
		change.Revision = Revision(index + 1)
		next, err := trees[index].Apply(change)
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, change)
		trees = append(trees, next)
	}
	return changes, trees
}

func TestExchangeBetweenPeers(t *testing.T) {
	changes, trees := chain(t, 6)
	cases := []struct {
		name     string
		mine     *Tree
		peer     *Tree
		recent   []Change
		whole    bool
		want     Revision
		wantFull bool
	}{
		{name: "changes", mine: trees[2], peer: trees[6], recent: changes, want: 6},
		{name: "gap in the recent changes", mine: trees[2], peer: trees[6], recent: changes[4:], want: 6, wantFull: true},
		{name: "no recent changes", mine: trees[0], peer: trees[6], want: 6, wantFull: true},
		{name: "whole tree asked for", mine: trees[2], peer: trees[6], recent: changes, whole: true, want: 6, wantFull: true},
		{name: "peer is older", mine: trees[5], peer: trees[2], recent: changes[:2], want: 5},
		{name: "same revision", mine: trees[5], peer: trees[5], recent: changes[:5], want: 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			answer := Answer(test.peer, test.recent, FetchRequest{After: test.mine.Revision(), Whole: test.whole})
			if (len(answer.Whole) > 0) != test.wantFull {
				t.Errorf("whole tree: %t, want %t", len(answer.Whole) > 0, test.wantFull)
			}
			tree, err := ApplyAnswer(test.mine, answer)
			if err != nil || tree.Revision() != test.want || tree.Digest() != trees[test.want].Digest() {
				t.Fatalf("got %v, %v", tree, err)
			}
		})
	}
}

func TestAnswersThatDoNotFitAreRefused(t *testing.T) {
	changes, trees := chain(t, 6)
	whole, err := trees[6].Pack()
	if err != nil {
		t.Fatal(err)
	}
	digest := trees[6].Digest()
	cases := map[string]FetchAnswer{
		"gap":               {Revision: 6, Digest: digest, Changes: changes[4:]},
		"short":             {Revision: 6, Digest: digest, Changes: changes[:5]},
		"other digest":      {Revision: 6, Digest: "0", Changes: changes},
		"nothing":           {Revision: 6, Digest: digest},
		"cut":               {Revision: 6, Digest: digest, Whole: whole[:len(whole)/2]},
		"other revision":    {Revision: 7, Digest: digest, Whole: whole},
		"no tree":           {Revision: 6, Digest: digest, Whole: []byte("x")},
		"too large":         {Revision: 6, Digest: digest, Whole: make([]byte, maxAnswerBytes+1)},
		"too many changes":  {Revision: 6, Digest: digest, Changes: make([]Change, maxAnswerChanges+1)},
		"change not valid":  {Revision: 3, Digest: digest, Changes: []Change{{Revision: 3, Edits: []Edit{{Path: "x"}}}}},
		"change with holes": {Revision: 6, Digest: digest, Changes: []Change{changes[2], changes[4], changes[5]}},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			holder := NewHolder(trees[2])
			changed, err := holder.Receive(answer)
			if !errors.Is(err, ErrAnswerRefused) || changed || holder.Current() != trees[2] {
				t.Fatalf("got %t, %v", changed, err)
			}
		})
	}
}

func TestHolderKeepsABoundedRunOfRecentChanges(t *testing.T) {
	changes, trees := chain(t, 6)
	holder := NewHolder(trees[0])
	for index, change := range changes[:3] {
		answer := FetchAnswer{Revision: change.Revision, Digest: trees[index+1].Digest(), Changes: []Change{change}}
		if changed, err := holder.Receive(answer); !changed || err != nil {
			t.Fatalf("got %t, %v", changed, err)
		}
	}
	if answer := holder.Answer(FetchRequest{After: 1}); len(answer.Changes) != 2 {
		t.Fatalf("got %d changes, want 2", len(answer.Changes))
	}
	holder.Offer(trees[5])
	if answer := holder.Answer(FetchRequest{After: 1}); len(answer.Whole) == 0 {
		t.Fatal("the answer has changes with a gap instead of the whole tree")
	}
}

func TestAnswersStayAsTheyWere(t *testing.T) {
	changes, trees := chain(t, 6)
	holder := NewHolder(trees[0])
	receive := func(index int) {
		answer := FetchAnswer{Revision: changes[index].Revision, Digest: trees[index+1].Digest(), Changes: changes[index : index+1]}
		if changed, err := holder.Receive(answer); !changed || err != nil {
			t.Fatalf("got %t, %v", changed, err)
		}
	}
	for index := range changes {
		early := holder.Answer(FetchRequest{})
		receive(index)
		spoiled := append(early.Changes, Change{ID: "spoiled"})
		late := holder.Answer(FetchRequest{})
		if !slices.EqualFunc(early.Changes, changes[:index], sameID) || !slices.EqualFunc(late.Changes, changes[:index+1], sameID) {
			t.Errorf("got %v and %v beside %v", early.Changes, late.Changes, spoiled)
		}
	}
}

// sameID reports whether two changes have the same ID.
func sameID(a, b Change) bool {
	return a.ID == b.ID
}

func TestPackedTreeTellsItsOwnRevision(t *testing.T) {
	tree := parseSample(t)
	for _, revision := range []Revision{0, 7, 8} {
		tree = tree.WithRevision(revision)
		packed, err := tree.Pack()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Unpack(packed)
		if err != nil || again.Revision() != revision || again.Digest() != tree.Digest() {
			t.Errorf("got %v, %v, want revision %d", again, err, revision)
		}
	}
}

func TestHolderTellsOfChangesAndReadersNeverGoBack(t *testing.T) {
	_, trees := chain(t, 50)
	holder := NewHolder(trees[0])
	changed := holder.Changed()
	var workers conc.WaitGroup
	for reader := range 4 {
		workers.Go(func() {
			floor := Revision(0)
			for floor < 50 {
				next := holder.Changed()
				revision := holder.Current().Revision()
				if revision < floor {
					t.Errorf("reader %d: the revision went back from %d to %d", reader, floor, revision)
					return
				}
				floor = revision
				if floor < 50 {
					<-next
				}
			}
		})
	}
	for writer := range 2 {
		workers.Go(func() {
			for index := range trees {
				holder.Offer(trees[index])
				holder.Offer(trees[(index*7+writer)%(index+1)])
			}
		})
	}
	workers.Wait()
	<-changed
	if holder.Offer(trees[50]) || holder.Offer(trees[3]) {
		t.Error("an equal or lower revision was accepted")
	}
}
