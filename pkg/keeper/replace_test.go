package keeper

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
)

// The tests in this file run schedules in which members are replaced while claims
// are made in the previous configuration. Each schedule runs with all safety
// mechanisms and without the one that it depends on.

var replacementNodes = map[string]api.NodeRef{
	"a": testMembers[0], "b": testMembers[1], "c": testMembers[2],
	"d": {ID: "d", Incarnation: 1}, "e": {ID: "e", Incarnation: 1},
}

func refs(ids string) []api.NodeRef {
	var list []api.NodeRef
	for _, id := range ids {
		list = append(list, replacementNodes[string(id)])
	}
	return list
}

// replacement holds the stores of all nodes and the configurations before and
// after members are replaced.
type replacement struct {
	t           *testing.T
	now         time.Time
	stores      map[string]*Store
	first, next Configuration
	attempts    int
}

func newReplacement(t *testing.T, members, next string, disabled ablation) *replacement {
	r := &replacement{
		t: t, now: simStart, stores: map[string]*Store{},
		first: Configuration{Cell: simCell, Version: 1, Members: refs(members)},
		next:  Configuration{Cell: simCell, Version: 2, Members: refs(next), Previous: refs(members)},
	}
	for id, ref := range replacementNodes {
		store := NewStore(ref, Limits{Records: 10, RecordsPerCaller: 10, MaxRetention: time.Minute, ConfirmWithin: simConfirm})
		store.ablation = disabled
		r.stores[id] = store
	}
	for _, id := range members {
		r.stores[string(id)].SetConfiguration(r.now, r.first)
	}
	return r
}

func (r *replacement) adopt(ids string) {
	for _, id := range ids {
		r.stores[string(id)].SetConfiguration(r.now, r.next)
	}
}

func (r *replacement) copyFrom(to string, sources string) {
	store := r.stores[to]
	for _, id := range sources {
		request, wanted := store.CopyRequests(r.now)[replacementNodes[string(id)]]
		if !wanted {
			continue
		}
		reply, err := r.stores[string(id)].Handle(r.now, request)
		if err != nil {
			r.t.Fatal(err)
		}
		store.AddCopy(r.now, replacementNodes[string(id)], request, reply.(CopyReply))
	}
}

// runs makes a new attempt to claim the key from some members, and reports whether
// a majority granted it.
func (r *replacement) runs(configuration Configuration, from string) bool {
	r.attempts++
	claim := testClaim("k", string(rune('0'+r.attempts)))
	grants := 0
	for _, id := range from {
		request := ClaimRequest{Claim: claim, Round: 1, Version: configuration.Version}
		if claimAt(r.t, r.stores[string(id)], r.now, request).Outcome == OutcomeGranted {
			grants++
		}
	}
	return grants >= configuration.majority()
}

func TestReplacementOfMembers(t *testing.T) {
	cases := []struct {
		name       string
		mechanism  ablation
		before     string
		after      string
		schedule   func(r *replacement) (first, second bool)
		firstRuns  bool // whether the first claim is granted with all mechanisms enabled
		secondRuns bool // whether the second claim is granted with all mechanisms enabled
	}{
		{
			name: "copied before the old member adopted", mechanism: ablation{noCopyBarrier: true},
			before: "abc", after: "abd", firstRuns: true,
			schedule: func(r *replacement) (bool, bool) {
				r.adopt("d")
				r.copyFrom("d", "ab")
				first := r.runs(r.first, "bc")
				r.adopt("a")
				return first, r.runs(r.next, "ad")
			},
		},
		{
			name: "old majority cut off and unaware", mechanism: ablation{noConfirmation: true},
			before: "abc", after: "bde", secondRuns: true,
			schedule: func(r *replacement) (bool, bool) {
				r.adopt("bde")
				r.now = r.now.Add(r.stores["d"].limits.abstentionPeriod() - time.Second)
				first := r.runs(r.first, "ac")
				r.now = r.now.Add(time.Second)
				r.stores["d"].Confirm(r.now, 2)
				r.stores["e"].Confirm(r.now, 2)
				return first, r.runs(r.next, "de")
			},
		},
		{
			name: "new member asked before it copied", mechanism: ablation{noAbstention: true},
			before: "abc", after: "abd", firstRuns: true,
			schedule: func(r *replacement) (bool, bool) {
				first := r.runs(r.first, "bc")
				r.adopt("abd")
				return first, r.runs(r.next, "ad")
			},
		},
		{
			name: "router and keeper with the configuration before", mechanism: ablation{noVersionCheck: true},
			before: "abc", after: "abd", firstRuns: true,
			schedule: func(r *replacement) (bool, bool) {
				r.adopt("abd")
				r.copyFrom("d", "ab")
				first := r.runs(r.next, "bd")
				return first, r.runs(r.first, "ac")
			},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			first, second := test.schedule(newReplacement(t, test.before, test.after, ablation{}))
			if first != test.firstRuns || second != test.secondRuns {
				t.Errorf("runs: %v and %v, want %v and %v", first, second, test.firstRuns, test.secondRuns)
			}
			first, second = test.schedule(newReplacement(t, test.before, test.after, test.mechanism))
			if !first || !second {
				t.Errorf("runs without the mechanism: %v and %v, want both", first, second)
			}
		})
	}
}

// TestShrinkingGroupWaits replaces three members by the one that missed a key. It
// must not grant the key again until the key has expired.
func TestShrinkingGroupWaits(t *testing.T) {
	r := newReplacement(t, "abc", "a", ablation{})
	if !r.runs(r.first, "bc") {
		t.Fatal("a claim at two of three members was not granted")
	}
	r.adopt("a")
	if r.runs(r.next, "a") {
		t.Error("a single member that missed the key granted it")
	}
	r.now = r.now.Add(r.stores["a"].limits.abstentionPeriod())
	r.stores["a"].Confirm(r.now, 2)
	if !r.runs(r.next, "a") {
		t.Error("the member still abstains after the key has expired")
	}
}

// TestCopiedRecords checks how copied records are used: not for granting while the
// store abstains, with the longest expiry of all sources, and with a key that
// sources granted to different attempts.
func TestCopiedRecords(t *testing.T) {
	page := func(attempt string, remaining time.Duration) CopyReply {
		record := Record{Claim: testClaim("k", attempt), Round: 1, Remaining: remaining}
		return CopyReply{Version: 2, Complete: true, Records: []Record{record}, Next: 1, Done: true}
	}
	outcome := func(r *replacement, attempt string) Outcome {
		return claimAt(t, r.stores["d"], r.now, ClaimRequest{testClaim("k", attempt), 2, 2}).Outcome
	}
	release := func(r *replacement, attempt string) {
		request := ReleaseRequest{Key: testClaim("k", attempt).Key, Attempt: attempt, Round: lastRound}
		if _, err := r.stores["d"].Handle(r.now, request); err != nil {
			t.Fatal(err)
		}
	}
	take := func(r *replacement, source string, page CopyReply) {
		store := r.stores["d"]
		ref := replacementNodes[source]
		store.AddCopy(r.now, ref, store.CopyRequests(r.now)[ref], page)
	}
	cases := []struct {
		name   string
		copies []CopyReply // pages from a and b
		after  time.Duration
		want   map[string]Outcome // outcomes by attempt
	}{
		{
			"grant nothing while the store abstains",
			[]CopyReply{page("1", time.Minute)}, 0,
			map[string]Outcome{"1": OutcomeAbstained},
		},
		{
			"last as long as the longest",
			[]CopyReply{page("1", time.Second), page("1", time.Minute)}, 2 * time.Second,
			map[string]Outcome{"2": OutcomeHeld},
		},
		{
			"of two attempts give the key to neither",
			[]CopyReply{page("1", time.Minute), page("2", time.Minute)}, 0,
			map[string]Outcome{"1": OutcomeHeld, "2": OutcomeHeld},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := newReplacement(t, "abc", "abd", ablation{})
			r.adopt("d")
			for i, reply := range test.copies {
				take(r, []string{"a", "b"}[i], reply)
			}
			r.now = r.now.Add(test.after)
			for attempt, want := range test.want {
				if want == OutcomeHeld {
					release(r, attempt)
				}
				if got := outcome(r, attempt); got != want {
					t.Errorf("attempt %s: outcome %d, want %d", attempt, got, want)
				}
			}
		})
	}
}
