package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"martenwheel.dev/pkg/api"
)

// Parameters of the simulation. Many routers see the same load report, which is one
// second old when the next one comes. One step is 10 ms.
const (
	herdRouters    = 20
	herdServers    = 12
	herdLimit      = 32
	herdSteps      = 3000
	reportSteps    = 100 // steps between two load reports
	halfLife       = 15  // half-life of a report in steps, 0.3 of the mean hold time
	recentHalfLife = 500 // half-life of a sent request in steps
	meanHold       = 50  // mean duration of a request in steps
	meanInFlight   = 8.0 // requests per server
	slowFactor     = 3   // how much longer requests take on slow servers
)

// strategy chooses a server for a router.
type strategy func(herd *herd, router int) int

// herd is the state of a simulation of routers that send requests to servers.
type herd struct {
	random   *rand.Rand
	step     int
	own      [herdRouters][herdServers]int     // requests in flight by router and server
	total    [herdServers]int                  // requests in flight by server
	recent   [herdRouters][herdServers]float64 // sent requests, decayed
	reported [herdServers]int                  // total at the last report
	sent     [herdRouters]int                  // requests sent, for round robin
	slow     int                               // number of slow servers
	ending   map[int][][2]int                  // router and server of the requests that end, by step
	chooser  *Chooser
	scratch  [herdServers]Candidate
}

func (h *herd) candidates(router int) []Candidate {
	list := h.scratch[:]
	age := float64(h.step % reportSteps)
	for server := range list {
		own := h.own[router][server]
		others := math.Max(0, float64(h.reported[server]-own)) * math.Exp2(-age/halfLife)
		list[server] = Candidate{
			State: api.ReplicaReady, Share: 1,
			Usage: Usage{Requests: own, MaxRequests: herdLimit}, ReportedLoad: others,
			Recent: h.recent[router][server],
		}
	}
	return list
}

func byScores(h *herd, router int) int {
	index, _ := h.chooser.Choose(h.random, &Request{}, h.candidates(router))
	return index
}

func atRandom(h *herd, _ int) int { return h.random.IntN(herdServers) }

func roundRobin(h *herd, router int) int {
	h.sent[router]++
	return (h.sent[router] + router) % herdServers
}

func leastReported(h *herd, _ int) int {
	least := 0
	for server, load := range h.reported {
		if load < h.reported[least] {
			least = server
		}
	}
	return least
}

// imbalance runs the simulation and returns the mean ratio of the load of the fullest
// server to the average load.
func imbalance(choose strategy, chooser *Chooser, slow int, seed uint64) float64 {
	h := &herd{
		random:  rand.New(rand.NewPCG(seed, 1)),
		ending:  make(map[int][][2]int),
		chooser: chooser,
		slow:    slow,
	}
	const perStep = meanInFlight * herdServers / meanHold
	sum, samples, due := 0.0, 0, 0.0
	for h.step = range herdSteps {
		for _, place := range h.ending[h.step] {
			h.own[place[0]][place[1]]--
			h.total[place[1]]--
		}
		delete(h.ending, h.step)
		h.ageRecent()
		if h.step%reportSteps == 0 {
			h.reported = h.total
		}
		for due += h.random.ExpFloat64() * perStep; due >= 1; due-- {
			h.send(choose)
		}
		if h.step >= 2*reportSteps {
			sum += h.ratio()
			samples++
		}
	}
	return sum / float64(samples)
}

func (h *herd) ageRecent() {
	for router := range h.recent {
		for server := range h.recent[router] {
			h.recent[router][server] *= math.Exp2(-1.0 / recentHalfLife)
		}
	}
}

func (h *herd) send(choose strategy) {
	router := h.random.IntN(herdRouters)
	server := choose(h, router)
	h.recent[router][server]++
	h.own[router][server]++
	h.total[server]++
	hold := h.random.ExpFloat64() * meanHold
	if server < h.slow {
		hold *= slowFactor
	}
	end := h.step + 1 + int(hold)
	h.ending[end] = append(h.ending[end], [2]int{router, server})
}

func (h *herd) ratio() float64 {
	most, sum := 0, 0
	for _, count := range h.total {
		most = max(most, count)
		sum += count
	}
	if sum == 0 {
		return 1
	}
	return float64(most) * herdServers / float64(sum)
}

// meanImbalance returns the mean imbalance over several seeds.
func meanImbalance(choose strategy, chooser func() *Chooser, slow int) float64 {
	const seeds = 3
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += imbalance(choose, chooser(), slow, seed)
	}
	return sum / seeds
}

// bestPicker always takes the candidate with the best score.
type bestPicker struct{}

func (bestPicker) Pick(_ Random, scored []Scored) int {
	best := 0
	for index := range scored {
		if scored[index].Score > scored[best].Score {
			best = index
		}
	}
	return best
}

func withBestPicker() *Chooser {
	chooser := NewDefaultChooser()
	chooser.picker = bestPicker{}
	return chooser
}

// strategies holds the strategies to compare. The first is the one that routers use.
var strategies = []struct {
	name    string
	choose  strategy
	chooser func() *Chooser
}{
	{"two choices", byScores, NewDefaultChooser},
	{"best score", byScores, withBestPicker},
	{"random", atRandom, NewDefaultChooser},
	{"round robin", roundRobin, NewDefaultChooser},
	{"least reported", leastReported, NewDefaultChooser},
}

// herdCases differ in the number of slow servers.
var herdCases = []struct {
	name string
	slow int
}{{"alike", 0}, {"two slow", 2}}

func TestTwoChoicesPreventHerding(t *testing.T) {
	for _, herd := range herdCases {
		t.Run(herd.name, func(t *testing.T) {
			ratios := make(map[string]float64)
			for _, strategy := range strategies {
				ratios[strategy.name] = meanImbalance(strategy.choose, strategy.chooser, herd.slow)
				t.Logf("%s: the fullest server has %.2f times the average load", strategy.name, ratios[strategy.name])
			}
			own := ratios["two choices"]
			if own >= ratios["random"] || own >= ratios["least reported"] {
				t.Error("two choices do not balance better than random and least reported load")
			}
			if own > ratios["round robin"]*1.02 {
				t.Error("two choices balance worse than round robin")
			}
		})
	}
}

func BenchmarkImbalance(b *testing.B) {
	for _, herd := range herdCases {
		for _, strategy := range strategies {
			b.Run(herd.name+"/"+strategy.name, func(b *testing.B) {
				ratio := 0.0
				for b.Loop() {
					ratio = meanImbalance(strategy.choose, strategy.chooser, herd.slow)
				}
				b.ReportMetric(ratio, "max/mean")
			})
		}
	}
}
