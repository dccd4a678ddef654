package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"martenwheel.dev/pkg/api"
)

// The herd: many routers see the same load report, which is a second old when
// the next one comes. Times are in steps of 10 ms.
const (
	herdRouters  = 20
	herdServers  = 12
	herdLimit    = 32
	herdSteps    = 3000
	reportSteps  = 100 // between two load reports
	halfLife     = 200 // of a report
	meanHold     = 50  // steps that a request takes on average
	meanInFlight = 8.0 // per server
)

// strategy chooses a server for a router.
type strategy func(herd *herd, router int) int

// herd is a simulation of routers before servers.
type herd struct {
	random   *rand.Rand
	step     int
	own      [herdRouters][herdServers]int
	total    [herdServers]int
	reported [herdServers]int
	turns    [herdRouters]int
	ending   map[int][][2]int // by step: router and server
	chooser  *Chooser
}

func (h *herd) candidates(router int) []Candidate {
	list := make([]Candidate, herdServers)
	age := float64(h.step % reportSteps)
	for server := range list {
		own := h.own[router][server]
		others := math.Max(0, float64(h.reported[server]-own)) * math.Exp2(-age/halfLife)
		list[server] = Candidate{
			Server: api.ServerID(fmt.Sprint(server)), State: api.ReplicaReady, Share: 1,
			Usage: Usage{Requests: own, MaxRequests: herdLimit}, ReportedLoad: others,
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
	h.turns[router]++
	return (h.turns[router] + router) % herdServers
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

// imbalance runs the herd and returns the mean ratio of the fullest server to
// the average one.
func imbalance(choose strategy, chooser *Chooser, seed uint64) float64 {
	h := &herd{
		random:  rand.New(rand.NewPCG(seed, 1)),
		ending:  make(map[int][][2]int),
		chooser: chooser,
	}
	const perStep = meanInFlight * herdServers / meanHold
	sum, samples, due := 0.0, 0, 0.0
	for h.step = range herdSteps {
		for _, place := range h.ending[h.step] {
			h.own[place[0]][place[1]]--
			h.total[place[1]]--
		}
		delete(h.ending, h.step)
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

func (h *herd) send(choose strategy) {
	router := h.random.IntN(herdRouters)
	server := choose(h, router)
	h.own[router][server]++
	h.total[server]++
	end := h.step + 1 + int(h.random.ExpFloat64()*meanHold)
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

// meanImbalance averages over seeds.
func meanImbalance(choose strategy, chooser func() *Chooser) float64 {
	const seeds = 5
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += imbalance(choose, chooser(), seed)
	}
	return sum / seeds
}

// bestPicker always takes the best score, as a router would that trusts what it
// knows.
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

func TestTwoChoicesPreventHerding(t *testing.T) {
	twoChoices := meanImbalance(byScores, NewDefaultChooser)
	best := meanImbalance(byScores, withBestPicker)
	random := meanImbalance(atRandom, NewDefaultChooser)
	turns := meanImbalance(roundRobin, NewDefaultChooser)
	least := meanImbalance(leastReported, NewDefaultChooser)
	t.Logf("fullest server to average: two choices %.2f, best score %.2f, random %.2f, round robin %.2f, least reported %.2f",
		twoChoices, best, random, turns, least)
	if twoChoices >= random || twoChoices >= turns || twoChoices >= least || twoChoices >= best {
		t.Error("two choices among the best are not the most even")
	}
}

func BenchmarkImbalance(b *testing.B) {
	strategies := []struct {
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
	for _, strategy := range strategies {
		b.Run(strategy.name, func(b *testing.B) {
			ratio := 0.0
			for b.Loop() {
				ratio = meanImbalance(strategy.choose, strategy.chooser)
			}
			b.ReportMetric(ratio, "max/mean")
		})
	}
}
