package relay

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/affinity"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/prompt"
	"martenwheel.dev/pkg/traffic/prefixcache"
	"martenwheel.dev/pkg/traffic/routing"
)

// with is the choice before there were preferences, with candidates that prefer notes.
func with(prefer func(c *call, candidates []routing.Candidate)) way {
	return func(c *call) *backend.Member {
		var members []*backend.Member
		var candidates []routing.Candidate
		for _, m := range c.relay.Servers.Snapshot().Service(c.service) {
			if m.Serves(c.relay.Time.Now(), c.need) {
				members = append(members, m)
				candidates = append(candidates, c.candidate(c.relay.Time.Now(), m))
			}
		}
		prefer(c, candidates)
		i, _ := c.relay.chooser.Choose(c.relay.random, &routing.Request{Zone: c.relay.Zone}, candidates)
		return members[i]
	}
}

func nothing(*call, []routing.Candidate) {}

// byKey prefers servers by rendezvous hashing, whatever their lanes and paces.
func byKey(key func(c *call) string) func(*call, []routing.Candidate) {
	return func(c *call, candidates []routing.Candidate) {
		if !c.shaped.Shares() {
			return
		}
		first := slices.MaxFunc(indices(candidates), func(a, b int) int {
			return strings.Compare(score(key(c), &candidates[a]), score(key(c), &candidates[b]))
		})
		candidates[first].Affinity = 1
	}
}

func indices(candidates []routing.Candidate) []int {
	list := make([]int, len(candidates))
	for i := range list {
		list[i] = i
	}
	return list
}

func score(key string, candidate *routing.Candidate) string {
	return fmt.Sprintf("%016x", affinity.LifeOf(key+string(candidate.Server)))
}

func lastPart(c *call) string  { return c.need.String() + c.prompt.SharedID() }
func firstPart(c *call) string { return c.need.String() + c.prompt.Parts()[0].ID }
func modelOnly(c *call) string { return c.need.String() }

// strictLanes gives a part of the replicas, in an order, to long requests and the others to
// short ones.
func strictLanes(share float64, order func(*routing.Candidate) float64, affine bool) func(*call, []routing.Candidate) {
	return func(c *call, candidates []routing.Candidate) {
		if len(candidates) < 2 || c.shaped.Lane() == affinity.AnyLane {
			return
		}
		list := indices(candidates)
		slices.SortFunc(list, func(a, b int) int { return cmp.Compare(order(&candidates[b]), order(&candidates[a])) })
		n := min(max(int(math.Round(share*float64(len(list)))), 1), len(list)-1)
		own := list[:n]
		if c.shaped.Lane() == affinity.ShortLane {
			own = list[n:]
		}
		var within []routing.Candidate
		for _, i := range own {
			candidates[i].Lane = 1
			within = append(within, candidates[i])
		}
		if affine {
			byKey(lastPart)(c, within)
		}
		for j, i := range own {
			candidates[i] = within[j]
		}
	}
}

// byPlace is the order of lanes.
func byPlace(candidate *routing.Candidate) float64 {
	return affinity.Place(affinity.LifeOf(string(candidate.Server)))
}

// slowForShort is the order of lanes with slow servers at the short end.
func slowForShort(candidate *routing.Candidate) float64 {
	return byPlace(candidate) - max(candidate.Slowness, 1)
}

// Parts of the replicas that long requests get.
const (
	half      = 0.5
	byReading = 0.9 // of what is read in the load of long prompts
)

// ownIndex prefers where this node sent the shared parts before.
func ownIndex() func(*call, []routing.Candidate) {
	type place struct {
		relay  *Relay
		server string
	}
	indexes := make(map[place]*prefixcache.Index)
	return func(c *call, candidates []routing.Candidate) {
		if !c.shaped.Shares() {
			return
		}
		var prefixes []uint64
		for _, part := range c.prompt.Parts()[:2] {
			prefixes = append(prefixes, affinity.LifeOf(part.ID))
		}
		best := -1
		for i := range candidates {
			at := place{c.relay, string(candidates[i].Server)}
			if indexes[at] == nil {
				indexes[at] = &prefixcache.Index{}
			}
			candidates[i].Affinity = float64(indexes[at].Match(c.relay.Time.Now(), 0, prefixes)) / 2
			if best < 0 || candidates[i].Affinity > candidates[best].Affinity {
				best = i
			}
		}
		indexes[place{c.relay, string(candidates[best].Server)}].Hint(c.relay.Time.Now(), 0, prefixes)
	}
}

// kept is the way that the relay goes.
func kept(c *call) *backend.Member { return c.choose() }

// without is the relay's way with a part of what the request prefers taken away.
func without(what func(c *call)) way {
	return func(c *call) *backend.Member {
		what(c)
		return c.choose()
	}
}

func noLanes(c *call) { *c.relay.mixes.of(c.service) = affinity.Mix{} }

func noParts(c *call) {
	if c.shaped.Shares() {
		c.shaped = affinity.Request{}
	}
}

// total plays a load by several seeds.
func (l load) total(choose func() way) result {
	const seeds = 5
	sum := result{kinds: make([]tally, len(l.kinds))}
	for seed := range uint64(seeds) {
		r := l.play(seed+1, choose())
		for i, k := range r.kinds {
			t := &sum.kinds[i]
			t.asked, t.inTime, t.byFirst, t.byPause = t.asked+k.asked, t.inTime+k.inTime, t.byFirst+k.byFirst, t.byPause+k.byPause
		}
		sum.read += r.read
		sum.again += r.again
		sum.busiest += r.busiest / seeds
	}
	return sum
}

// describe is a line of a table: for each kind in time, late by the first event and by a pause.
func (l load) describe(r result) string {
	text := ""
	for i, t := range r.kinds {
		text += fmt.Sprintf(" %s %.1f%% %d %d |", l.kinds[i].name, 100*t.share(), t.byFirst, t.byPause)
	}
	return text + fmt.Sprintf(" read %.1fM, again %.2fM, busiest %.2f", float64(r.read)/1e6, float64(r.again)/1e6, r.busiest)
}

func always(w way) func() way { return func() way { return w } }

// ways are compared side by side; the first is the standing one, the second the relay's.
var ways = []struct {
	name   string
	choose func() way
}{
	{"random of two", always(with(nothing))},
	{"kept", always(kept)},
	{"kept, no lanes", always(without(noLanes))},
	{"kept, no shared parts", always(without(noParts))},
	{"last shared part alone", always(with(byKey(lastPart)))},
	{"first shared part alone", always(with(byKey(firstPart)))},
	{"model alone", always(with(byKey(modelOnly)))},
	{"lanes by halves alone", always(with(strictLanes(half, byPlace, false)))},
	{"lanes by halves, last part", always(with(strictLanes(half, byPlace, true)))},
	{"lanes by shares, last part", always(with(strictLanes(byReading, byPlace, true)))},
	{"slow for short, last part", always(with(strictLanes(half, slowForShort, true)))},
	{"where this node sent it", func() way { return with(ownIndex()) }},
}

// noise is by how much the shares of answers in time of five seeds differ by luck alone.
const noise = 0.01

// TestLongPromptsBesideQuestions: by the relay's choice callers of no kind are served worse
// than by the standing one, whether nodes know each other's paces or not, drafts and questions
// better, and shared parts are read again much less.
func TestLongPromptsBesideQuestions(t *testing.T) {
	for _, l := range []struct {
		name string
		load load
	}{{"drafts", longPrompts()}, {"reviews", reviews()}} {
		for _, told := range []bool{false, true} {
			load := l.load
			load.told = told
			gain := 0.01
			if told {
				gain = 0.005 // less is left to gain
			}
			t.Run(fmt.Sprintf("%s/told=%v", l.name, told), func(t *testing.T) {
				t.Parallel()
				var results []result
				for _, w := range ways {
					results = append(results, load.total(w.choose))
					t.Logf("%-26s %s", w.name, load.describe(results[len(results)-1]))
				}
				load.compare(t, results[0], results[1], gain)
			})
		}
	}
}

// compare reports where the relay's way is worse than the standing one, and if it gains less
// for drafts and questions, or saves less than a third of what is read again.
func (l load) compare(t *testing.T, standing, kept result, gain float64) {
	t.Helper()
	for i := range kept.kinds {
		least := standing.kinds[i].share() + gain
		if l.kinds[i].rare {
			least = standing.kinds[i].share() - noise
		}
		if kept.kinds[i].share() < least {
			t.Errorf("%ss: %.3f in time, %.3f by the standing choice", l.kinds[i].name,
				kept.kinds[i].share(), standing.kinds[i].share())
		}
	}
	if kept.again*3 > standing.again*2 {
		t.Errorf("%d tokens read again, %d by the standing choice", kept.again, standing.again)
	}
}

// TestEachPreferenceIsWorthIt: without lanes questions are late more often, without affinity
// drafts are, and more is read again.
func TestEachPreferenceIsWorthIt(t *testing.T) {
	l := longPrompts()
	both, noLanes, noParts := l.total(always(kept)), l.total(always(without(noLanes))), l.total(always(without(noParts)))
	const draft, question = 0, 2
	if gain := both.kinds[question].share() - noLanes.kinds[question].share(); gain < 3*noise {
		t.Errorf("lanes gain %.3f of the questions", gain)
	}
	if gain := both.kinds[draft].share() - noParts.kinds[draft].share(); gain < noise {
		t.Errorf("affinity gains %.3f of the drafts", gain)
	}
	if both.again*2 > noParts.again {
		t.Errorf("%d tokens read again with affinity, %d without", both.again, noParts.again)
	}
}

// TestToldPacesServeBetter: if nodes tell each other of the paces of servers, callers of all
// kinds are served in time more often than if each knows its own streams, and than by the
// standing choice also far beyond what the fleet can bear.
func TestToldPacesServeBetter(t *testing.T) {
	for _, crowd := range []float64{1, 1.4, 1.8, 2.4} {
		alone := longPrompts()
		alone.perSecond *= crowd
		told := alone
		told.told = true
		standing, before, after := alone.total(always(with(nothing))), alone.total(always(kept)), told.total(always(kept))
		t.Logf("%.1f times the load, random of two: %s", crowd, alone.describe(standing))
		t.Logf("%.1f times the load, each alone:    %s", crowd, alone.describe(before))
		t.Logf("%.1f times the load, told:          %s", crowd, told.describe(after))
		for i := range before.kinds {
			if gain := after.kinds[i].share() - standing.kinds[i].share(); gain < noise {
				t.Errorf("%.1f times the load: %ss gain %.3f", crowd, alone.kinds[i].name, gain)
			}
			if gain := after.kinds[i].share() - before.kinds[i].share(); crowd < 2 && gain < noise {
				t.Errorf("%.1f times the load: %ss gain %.3f by being told", crowd, alone.kinds[i].name, gain)
			}
		}
	}
}

// TestNodesWithOldLists: a third of the engines restart with nothing kept, and half of the
// nodes learn of it later or by a try that fails.
func TestNodesWithOldLists(t *testing.T) {
	for _, behind := range []time.Duration{0, time.Second, 5 * time.Second} {
		l := longPrompts()
		l.reborn, l.behind = 15*time.Second, behind
		standing, kept := l.total(always(with(nothing))), l.total(always(kept))
		t.Logf("%v behind: random of two: %s", behind, l.describe(standing))
		t.Logf("%v behind: kept:          %s", behind, l.describe(kept))
		l.compare(t, standing, kept, 0.01)
	}
}

// TestShortPromptsAreServedAsBefore: where prompts share little and are quick to read,
// callers get what they got.
func TestShortPromptsAreServedAsBefore(t *testing.T) {
	for _, slots := range []int{12, 64} {
		for _, eventTokens := range []int{1, 2, 4} {
			l := shortPrompts(slots, eventTokens)
			standing, kept := l.total(always(with(nothing))), l.total(always(kept))
			t.Logf("%d slots, events of %d: random of two: %s", slots, eventTokens, l.describe(standing))
			t.Logf("%d slots, events of %d: kept:          %s", slots, eventTokens, l.describe(kept))
			if kept.kinds[0].share() < standing.kinds[0].share()-noise {
				t.Errorf("%d slots, events of %d: %.3f in time, %.3f before", slots, eventTokens,
					kept.kinds[0].share(), standing.kinds[0].share())
			}
		}
	}
}

// TestNoPreferenceChoosesAsBefore: with the same random numbers the choice is the same as
// before if the route doesn't say that its requests share parts, if they don't tell them, or
// if they are too short to matter.
func TestNoPreferenceChoosesAsBefore(t *testing.T) {
	notSticky := longPrompts()
	for i := range notSticky.kinds {
		notSticky.kinds[i].route.Sticky = false
	}
	short := shortPrompts(24, 2)
	short.kinds[0].session = 80 // none is so far above the mean that it matters
	notTold := func(c *call) *backend.Member {
		c.shaped, c.prompt = affinity.Request{}, prompt.Prompt{}
		c.shape()
		return c.choose()
	}
	for _, test := range []struct {
		name   string
		load   load
		choose way
	}{{"not sticky", notSticky, kept}, {"not told", longPrompts(), notTold}, {"short", short, kept}} {
		before, after := test.load.play(1, with(nothing)), test.load.play(1, test.choose)
		if !slices.Equal(before.choices, after.choices) {
			t.Errorf("%s: other servers were chosen", test.name)
		}
	}
	before, after := longPrompts().play(1, with(nothing)), longPrompts().play(1, kept)
	if slices.Equal(before.choices, after.choices) {
		t.Error("preferences change nothing")
	}
}
