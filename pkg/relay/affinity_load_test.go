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

// selectWith chooses without the relay's preferences, after prefer modified the candidates.
func selectWith(prefer func(c *call, candidates []routing.Candidate)) strategy {
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

func noPreference(*call, []routing.Candidate) {}

// byKey prefers servers by rendezvous hashing, regardless of their lanes and speeds.
func byKey(key func(c *call) string) func(*call, []routing.Candidate) {
	return func(c *call, candidates []routing.Candidate) {
		if !c.affinityReq.Shares() {
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
	return fmt.Sprintf("%016x", affinity.ServerHash(key+string(candidate.Server)))
}

func lastPart(c *call) string  { return c.need.String() + c.prompt.SharedID() }
func firstPart(c *call) string { return c.need.String() + c.prompt.Parts()[0].ID }
func modelOnly(c *call) string { return c.need.String() }

// strictLanes reserves a share of the replicas, in the given order, for long requests and the
// others for short ones.
func strictLanes(share float64, order func(*routing.Candidate) float64, affine bool) func(*call, []routing.Candidate) {
	return func(c *call, candidates []routing.Candidate) {
		if len(candidates) < 2 || c.affinityReq.Lane() == affinity.AnyLane {
			return
		}
		list := indices(candidates)
		slices.SortFunc(list, func(a, b int) int { return cmp.Compare(order(&candidates[b]), order(&candidates[a])) })
		n := min(max(int(math.Round(share*float64(len(list)))), 1), len(list)-1)
		own := list[:n]
		if c.affinityReq.Lane() == affinity.ShortLane {
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

// byPlace is the standard order of replicas in lanes.
func byPlace(candidate *routing.Candidate) float64 {
	return affinity.Position(affinity.ServerHash(string(candidate.Server)))
}

// slowForShort is the order of lanes with slow servers at the end for short requests.
func slowForShort(candidate *routing.Candidate) float64 {
	return byPlace(candidate) - max(candidate.Slowness, 1)
}

// Shares of the replicas for long requests.
const (
	halfShare = 0.5
	readShare = 0.9 // share of the prompt tokens in the load of long prompts
)

// ownIndex prefers the servers to which this node sent the shared parts before.
func ownIndex() func(*call, []routing.Candidate) {
	type place struct {
		relay  *Relay
		server string
	}
	indexes := make(map[place]*prefixcache.Index)
	return func(c *call, candidates []routing.Candidate) {
		if !c.affinityReq.Shares() {
			return
		}
		var prefixes []uint64
		for _, part := range c.prompt.Parts()[:2] {
			prefixes = append(prefixes, affinity.ServerHash(part.ID))
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

// relayChoice is the choice of the relay.
func relayChoice(c *call) *backend.Member { return c.choose() }

// without is the choice of the relay after what disabled part of the preferences.
func without(what func(c *call)) strategy {
	return func(c *call) *backend.Member {
		what(c)
		return c.choose()
	}
}

func noLanes(c *call) { *c.relay.mixes.of(c.service) = affinity.Mix{} }

func noParts(c *call) {
	if c.affinityReq.Shares() {
		c.affinityReq = affinity.Request{}
	}
}

// runSeeds simulates a load with several seeds.
func (l load) runSeeds(newStrategy func() strategy) result {
	const seeds = 5
	sum := result{kinds: make([]tally, len(l.kinds))}
	for seed := range uint64(seeds) {
		r := l.simulate(seed+1, newStrategy())
		for i, k := range r.kinds {
			t := &sum.kinds[i]
			t.asked, t.inTime, t.lateFirst, t.latePause = t.asked+k.asked, t.inTime+k.inTime, t.lateFirst+k.lateFirst, t.latePause+k.latePause
		}
		sum.read += r.read
		sum.reread += r.reread
		sum.busiest += r.busiest / seeds
	}
	return sum
}

// describe formats a result: for each kind the share in time, and the numbers late by the first
// event and by a pause.
func (l load) describe(r result) string {
	text := ""
	for i, t := range r.kinds {
		text += fmt.Sprintf(" %s %.1f%% %d %d |", l.kinds[i].name, 100*t.share(), t.lateFirst, t.latePause)
	}
	return text + fmt.Sprintf(" read %.1fM, again %.2fM, busiest %.2f", float64(r.read)/1e6, float64(r.reread)/1e6, r.busiest)
}

func fixedStrategy(w strategy) func() strategy { return func() strategy { return w } }

// strategies are compared with each other. The first is the baseline, the second the relay's.
var strategies = []struct {
	name   string
	choose func() strategy
}{
	{"random of two", fixedStrategy(selectWith(noPreference))},
	{"kept", fixedStrategy(relayChoice)},
	{"kept, no lanes", fixedStrategy(without(noLanes))},
	{"kept, no shared parts", fixedStrategy(without(noParts))},
	{"last shared part alone", fixedStrategy(selectWith(byKey(lastPart)))},
	{"first shared part alone", fixedStrategy(selectWith(byKey(firstPart)))},
	{"model alone", fixedStrategy(selectWith(byKey(modelOnly)))},
	{"lanes by halves alone", fixedStrategy(selectWith(strictLanes(halfShare, byPlace, false)))},
	{"lanes by halves, last part", fixedStrategy(selectWith(strictLanes(halfShare, byPlace, true)))},
	{"lanes by shares, last part", fixedStrategy(selectWith(strictLanes(readShare, byPlace, true)))},
	{"slow for short, last part", fixedStrategy(selectWith(strictLanes(halfShare, slowForShort, true)))},
	{"where this node sent it", func() strategy { return selectWith(ownIndex()) }},
}

// noise is the random variation of the share of answers in time over five seeds.
const noise = 0.01

// TestLongPromptsBesideQuestions checks that the relay's choice serves no kind of request worse
// than the baseline, with or without shared speeds, that it serves drafts and questions better, and
// that far fewer shared parts are read again.
func TestLongPromptsBesideQuestions(t *testing.T) {
	for _, l := range []struct {
		name string
		load load
	}{{"drafts", longPrompts()}, {"reviews", reviews()}} {
		for _, shared := range []bool{false, true} {
			load := l.load
			load.shareSpeeds = shared
			gain := 0.01
			if shared {
				gain = 0.005 // less can be gained
			}
			t.Run(fmt.Sprintf("%s/told=%v", l.name, shared), func(t *testing.T) {
				t.Parallel()
				var results []result
				for _, w := range strategies {
					results = append(results, load.runSeeds(w.choose))
					t.Logf("%-26s %s", w.name, load.describe(results[len(results)-1]))
				}
				load.compare(t, results[0], results[1], gain)
			})
		}
	}
}

// compare fails if the relay's choice is worse than the baseline, gains less than gain for drafts
// and questions, or saves less than a third of the tokens read again.
func (l load) compare(t *testing.T, baseline, current result, gain float64) {
	t.Helper()
	for i := range current.kinds {
		minShare := baseline.kinds[i].share() + gain
		if l.kinds[i].rare {
			minShare = baseline.kinds[i].share() - noise
		}
		if current.kinds[i].share() < minShare {
			t.Errorf("%ss: %.3f in time, %.3f by the baseline", l.kinds[i].name,
				current.kinds[i].share(), baseline.kinds[i].share())
		}
	}
	if current.reread*3 > baseline.reread*2 {
		t.Errorf("%d tokens read again, %d by the baseline", current.reread, baseline.reread)
	}
}

// TestEachPreferenceImprovesService checks that without lanes more questions are late, and that
// without affinity more drafts are late and more tokens are read again.
func TestEachPreferenceImprovesService(t *testing.T) {
	l := longPrompts()
	both, noLanes, noParts := l.runSeeds(fixedStrategy(relayChoice)), l.runSeeds(fixedStrategy(without(noLanes))), l.runSeeds(fixedStrategy(without(noParts)))
	const draft, question = 0, 2
	if gain := both.kinds[question].share() - noLanes.kinds[question].share(); gain < 3*noise {
		t.Errorf("lanes gain %.3f of the questions", gain)
	}
	if gain := both.kinds[draft].share() - noParts.kinds[draft].share(); gain < noise {
		t.Errorf("affinity gains %.3f of the drafts", gain)
	}
	if both.reread*2 > noParts.reread {
		t.Errorf("%d tokens read again with affinity, %d without", both.reread, noParts.reread)
	}
}

// TestSharedSpeedsImproveService checks that if nodes exchange the speeds of servers, more requests
// of all kinds are in time than if each node knows only its own streams, and than with the baseline
// even far beyond the capacity.
func TestSharedSpeedsImproveService(t *testing.T) {
	for _, factor := range []float64{1, 1.4, 1.8, 2.4} {
		separate := longPrompts()
		separate.perSecond *= factor
		shared := separate
		shared.shareSpeeds = true
		baseline, before, after := separate.runSeeds(fixedStrategy(selectWith(noPreference))), separate.runSeeds(fixedStrategy(relayChoice)), shared.runSeeds(fixedStrategy(relayChoice))
		t.Logf("%.1f times the load, random of two: %s", factor, separate.describe(baseline))
		t.Logf("%.1f times the load, separate speeds:%s", factor, separate.describe(before))
		t.Logf("%.1f times the load, shared speeds:  %s", factor, shared.describe(after))
		for i := range before.kinds {
			if gain := after.kinds[i].share() - baseline.kinds[i].share(); gain < noise {
				t.Errorf("%.1f times the load: %ss gain %.3f", factor, separate.kinds[i].name, gain)
			}
			if gain := after.kinds[i].share() - before.kinds[i].share(); factor < 2 && gain < noise {
				t.Errorf("%.1f times the load: %ss gain %.3f by shared speeds", factor, separate.kinds[i].name, gain)
			}
		}
	}
}

// TestStaleServerLists restarts a third of the engines with empty caches, while half of the nodes
// learn of it later or by a failed attempt.
func TestStaleServerLists(t *testing.T) {
	for _, staleFor := range []time.Duration{0, time.Second, 5 * time.Second} {
		l := longPrompts()
		l.restartAt, l.staleFor = 15*time.Second, staleFor
		baseline, current := l.runSeeds(fixedStrategy(selectWith(noPreference))), l.runSeeds(fixedStrategy(relayChoice))
		t.Logf("%v stale: random of two: %s", staleFor, l.describe(baseline))
		t.Logf("%v stale: relay:         %s", staleFor, l.describe(current))
		l.compare(t, baseline, current, 0.01)
	}
}

// TestShortPromptsAreServedAsBefore checks that prompts that share little and are read quickly are
// not served worse than by the baseline.
func TestShortPromptsAreServedAsBefore(t *testing.T) {
	for _, slots := range []int{12, 64} {
		for _, eventTokens := range []int{1, 2, 4} {
			l := shortPrompts(slots, eventTokens)
			baseline, current := l.runSeeds(fixedStrategy(selectWith(noPreference))), l.runSeeds(fixedStrategy(relayChoice))
			t.Logf("%d slots, events of %d: random of two: %s", slots, eventTokens, l.describe(baseline))
			t.Logf("%d slots, events of %d: relay:         %s", slots, eventTokens, l.describe(current))
			if current.kinds[0].share() < baseline.kinds[0].share()-noise {
				t.Errorf("%d slots, events of %d: %.3f in time, %.3f by the baseline", slots, eventTokens,
					current.kinds[0].share(), baseline.kinds[0].share())
			}
		}
	}
}

// TestNoPreferenceChoosesAsBefore checks that the same servers as in the baseline are chosen if the
// route does not declare shared parts, if requests do not name them, or if they are too short to
// matter.
func TestNoPreferenceChoosesAsBefore(t *testing.T) {
	notSticky := longPrompts()
	for i := range notSticky.kinds {
		notSticky.kinds[i].route.Sticky = false
	}
	short := shortPrompts(24, 2)
	short.kinds[0].session = 80 // no prompt is long enough above the mean to matter
	notTold := func(c *call) *backend.Member {
		c.affinityReq, c.prompt = affinity.Request{}, prompt.Prompt{}
		c.computeAffinity()
		return c.choose()
	}
	for _, test := range []struct {
		name   string
		load   load
		choose strategy
	}{{"not sticky", notSticky, relayChoice}, {"not told", longPrompts(), notTold}, {"short", short, relayChoice}} {
		before, after := test.load.simulate(1, selectWith(noPreference)), test.load.simulate(1, test.choose)
		if !slices.Equal(before.choices, after.choices) {
			t.Errorf("%s: servers other than those of the baseline were chosen", test.name)
		}
	}
	before, after := longPrompts().simulate(1, selectWith(noPreference)), longPrompts().simulate(1, relayChoice)
	if slices.Equal(before.choices, after.choices) {
		t.Error("preferences did not change any choice")
	}
}
