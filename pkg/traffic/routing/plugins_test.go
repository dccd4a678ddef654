package routing

import (
	"math/rand/v2"
	"testing"

	"martenwheel.dev/pkg/api"
)

// good returns a candidate that every filter keeps.
func good() Candidate {
	return Candidate{
		Server: "s1", Zone: "a", State: api.ReplicaReady, Share: 1,
		Usage: Usage{Requests: 3, MaxRequests: 4, Tokens: 50, MaxTokens: 100},
	}
}

func TestFilters(t *testing.T) {
	cases := []struct {
		name   string
		filter Filter
		change func(*Candidate)
		keep   bool
	}{
		{"ready", ReadyFilter{}, func(*Candidate) {}, true},
		{"loading", ReadyFilter{}, func(c *Candidate) { c.State = api.ReplicaLoading }, false},
		{"draining", ReadyFilter{}, func(c *Candidate) { c.State = api.ReplicaDraining }, false},
		{"in doubt", ReadyFilter{}, func(c *Candidate) { c.State = api.ReplicaInDoubt }, false},
		{"answers", ReachableFilter{}, func(*Candidate) {}, true},
		{"server unreachable", ReachableFilter{}, func(c *Candidate) { c.Unreachable = true }, false},
		{"stays", LeavingFilter{}, func(*Candidate) {}, true},
		{"leaving", LeavingFilter{}, func(c *Candidate) { c.Leaving = true }, false},
		{"not ejected", EjectedFilter{}, func(*Candidate) {}, true},
		{"ejected", EjectedFilter{}, func(c *Candidate) { c.Ejected = true }, false},
		{"new server", TriedFilter{}, func(*Candidate) {}, true},
		{"tried server", TriedFilter{}, func(c *Candidate) { c.Server = "failed" }, false},
		{"last free slot", RoomFilter{}, func(*Candidate) {}, true},
		{"no free slot", RoomFilter{}, func(c *Candidate) { c.Usage.Requests = 4 }, false},
		{"last tokens", RoomFilter{}, func(c *Candidate) { c.Usage.Tokens = 90 }, true},
		{"no tokens", RoomFilter{}, func(c *Candidate) { c.Usage.Tokens = 91 }, false},
		{"no free slot on the base", RoomFilter{}, func(c *Candidate) { c.BaseUsage = Usage{Requests: 2, MaxRequests: 2} }, false},
		{"no limits", RoomFilter{}, func(c *Candidate) { c.Usage = Usage{Requests: 1000, Tokens: 1000} }, true},
	}
	request := Request{Zone: "a", Tokens: 10, Tried: []api.ServerID{"failed"}}
	for _, test := range cases {
		candidate := good()
		test.change(&candidate)
		if got := test.filter.Keep(&request, &candidate); got != test.keep {
			t.Errorf("%s filter, %s: Keep returned %t, want %t", test.filter.Name(), test.name, got, test.keep)
		}
	}
}

func TestScorers(t *testing.T) {
	cases := []struct {
		scorer Scorer
		change func(*Candidate)
		score  float64
	}{
		{InFlightScorer{}, func(c *Candidate) { c.Usage.Requests = 0 }, 1},
		{InFlightScorer{}, func(c *Candidate) { c.Usage.Requests = 1 }, 0.75},
		{InFlightScorer{}, func(c *Candidate) { c.Usage.Requests = 9 }, 0},
		{InFlightScorer{}, func(c *Candidate) { c.Usage.Requests = 0; c.BaseUsage.Requests = 2 }, 0.5},
		{InFlightScorer{}, func(c *Candidate) { c.Usage = Usage{Requests: 8} }, 0.75},
		{RecentScorer{}, func(*Candidate) {}, 1},
		{RecentScorer{}, func(c *Candidate) { c.Recent = 4 }, 0.5},
		{ReportedLoadScorer{}, func(c *Candidate) { c.ReportedLoad = 1 }, 0.75},
		{PrefixScorer{}, func(c *Candidate) { c.MatchedBlocks = 2 }, 0.25},
		{ZoneScorer{}, func(*Candidate) {}, 1},
		{ZoneScorer{}, func(c *Candidate) { c.Zone = "b" }, 0},
		{RegionScorer{}, func(*Candidate) {}, 1},
		{RegionScorer{}, func(c *Candidate) { c.Region = "far" }, 0},
		{AdapterScorer{}, func(c *Candidate) { c.AdapterSeen = true }, 1},
		{AdapterScorer{}, func(*Candidate) {}, 0},
		{ConnectedScorer{}, func(c *Candidate) { c.Connected = true }, 1},
		{ConnectedScorer{}, func(*Candidate) {}, 0},
		{PaceScorer{}, func(c *Candidate) { c.Slowness = 2 }, 0.5},
		{PaceScorer{}, func(*Candidate) {}, 1},
	}
	request := Request{Zone: "a", Blocks: 8}
	for index, test := range cases {
		candidate := good()
		test.change(&candidate)
		if got := test.scorer.Score(&request, &candidate); got != test.score {
			t.Errorf("case %d, %s scorer: score %v, want %v", index, test.scorer.Name(), got, test.score)
		}
	}
}

func TestPrefixScorerWithoutPrompt(t *testing.T) {
	candidate := good()
	if got := (PrefixScorer{}).Score(&Request{}, &candidate); got != 0 {
		t.Errorf("score %v, want 0", got)
	}
}

// counts returns how often each candidate is picked.
func counts(picker Picker, scored []Scored) map[int]int {
	random := rand.New(rand.NewPCG(1, 2))
	picked := make(map[int]int)
	for range 10_000 {
		list := append([]Scored(nil), scored...)
		picked[list[picker.Pick(random, list)].Index]++
	}
	return picked
}

func TestTwoChoicePicker(t *testing.T) {
	picker := TwoChoicePicker{Margin: 0.5}
	far := counts(picker, []Scored{{0, 1.0, 1}, {1, 0.4, 1}, {2, 0.9, 1}})
	if far[1] != 0 || far[0] != 10_000 {
		t.Errorf("candidate far below the best: picked %v, want only candidate 0", far)
	}
	near := counts(picker, []Scored{{0, 1.0, 1}, {1, 0.9, 1}, {2, 0.8, 1}})
	if near[0] < 6000 || near[1] < 3000 || near[2] != 0 {
		t.Errorf("candidates near the best: picked %v, want about 6667, 3333 and 0", near)
	}
	returning := counts(picker, []Scored{{0, 1.0, 0.1}, {1, 0.9, 1}})
	if returning[0] < 800 || returning[0] > 1200 {
		t.Errorf("candidate with a tenth of its share: picked %v, want candidate 0 about 1000 times", returning)
	}
	if only := counts(picker, []Scored{{7, 0, 0.1}}); only[7] != 10_000 {
		t.Errorf("single candidate: picked %v, want it always", only)
	}
}

func TestChooserWithoutCandidates(t *testing.T) {
	chooser := NewDefaultChooser()
	random := rand.New(rand.NewPCG(1, 2))
	if _, found := chooser.Choose(random, &Request{}, nil); found {
		t.Error("found a candidate in an empty list")
	}
	candidate := good()
	candidate.Leaving = true
	if _, found := chooser.Choose(random, &Request{}, []Candidate{candidate}); found {
		t.Error("chose a candidate whose server is leaving")
	}
}
