package relay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/enginetest"
	"martenwheel.dev/pkg/prompt"
	"martenwheel.dev/pkg/route"
)

// kindOfRequest is one kind of request of a played load. Lengths and counts are means.
type kindOfRequest struct {
	name             string
	share            float64 // of all requests
	rare             bool    // for models with one replica
	common, session  int     // tokens of the two shared parts
	own              int     // tokens
	commons, several int     // different first and second parts of each model
	events           float64
	adapters         float64 // share that names an adapter
	route            route.Route
}

// load is a fleet of engines in virtual time, the nodes before it, and what comes.
type load struct {
	engines, places int   // models of an engine
	popular         []int // replicas of each popular model; the other places hold rare ones
	perSecond       float64
	lasts           time.Duration
	nodes           int
	engine          enginetest.Engine
	speeds          []float64
	kinds           []kindOfRequest
	told            bool          // nodes tell each other of paces, each second
	reborn          time.Duration // when a third of the engines restart, empty; zero: never
	behind          time.Duration // by which half of the nodes learn of it later
}

func stream(target, gap time.Duration) route.Route {
	return route.Route{Kind: route.Stream, Sticky: true, Target: target, GapTarget: gap}
}

// longPrompts is a load of long drafts beside quick questions.
func longPrompts() load {
	const ms = time.Millisecond
	return load{
		engines: 24, places: 3, popular: []int{4, 4, 4, 4, 3, 3, 3, 3, 2, 2, 2, 2},
		perSecond: 56, lasts: 34 * time.Second, nodes: 77,
		engine: enginetest.Default, speeds: []float64{0.55, 1.2, 1.2, 1.2},
		kinds: []kindOfRequest{
			{name: "draft", share: 0.39, common: 2520, session: 3780, own: 2890, commons: 3, several: 34, events: 9,
				adapters: 0.1, route: stream(800*ms, 300*ms)},
			{name: "notice", share: 0.17, rare: true, common: 2520, session: 3780, own: 2890, commons: 1, several: 2, events: 9,
				route: stream(2500*ms, 300*ms)},
			{name: "question", share: 0.44, common: 119, session: 79, own: 628, commons: 3, several: 26, events: 49,
				adapters: 0.5, route: stream(400*ms, 300*ms)},
		},
	}
}

// reviews is a load of another service with long prompts, whose pauses may be longer.
func reviews() load {
	const ms = time.Millisecond
	l := longPrompts()
	l.perSecond = 62
	l.engine = enginetest.Engine{Slots: 64, CacheTokens: 263_628, Piece: 2048, Step: 3400 * time.Microsecond, ReadsPerMS: 44.2, EventTokens: 8}
	l.kinds[0].share, l.kinds[0].events, l.kinds[0].route = 0.32, 7, stream(800*ms, 500*ms)
	l.kinds[1].share, l.kinds[1].events, l.kinds[1].route = 0.24, 7, stream(4000*ms, 500*ms)
	l.kinds[2].share, l.kinds[2].events, l.kinds[2].route = 0.44, 36, stream(500*ms, 500*ms)
	return l
}

// shortPrompts is a load of prompts that are quick to read and share little.
func shortPrompts(slots, eventTokens int) load {
	const ms = time.Millisecond
	l := longPrompts()
	l.engine = enginetest.Engine{Slots: slots, EventTokens: eventTokens}
	l.perSecond = 4 * float64(slots)
	l.kinds = []kindOfRequest{{name: "chat", share: 1, common: 100, session: 250, own: 1110, commons: 3, several: 30,
		events: 86, adapters: 0.3, route: stream(500*ms, 250*ms)}}
	return l
}

// arrival is a request of the load.
type arrival struct {
	*enginetest.Run
	kind, node int
	need       backend.Need
	server     *backend.Member // to which it was sent
}

// tally counts what callers of a kind got.
type tally struct{ asked, inTime, byFirst, byPause int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.asked, 1)) }

// result is what came of a load.
type result struct {
	kinds   []tally
	read    int     // tokens
	again   int     // of them, of shared parts that some engine had read before
	busiest float64 // requests of the engine with the most, by the mean
	choices []string
}

// fleet plays a load.
type fleet struct {
	*load
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	servers  []*backend.Server
	running  []*enginetest.Engine
	ended    []*enginetest.Engine
	byLife   map[string]*enginetest.Engine
	relays   []*Relay
	holder   *backend.Directory // of all paces
	toldAt   time.Duration
	models   [2][]string // popular and rare ones, a popular one for each of its replicas
	lengths  map[string]int
	open     []*arrival
	requests []*arrival
}

// way chooses a server for a call.
type way func(c *call) *backend.Member

func (l load) play(seed uint64, choose way) result {
	f := &fleet{load: &l, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), lengths: make(map[string]int),
		byLife: make(map[string]*enginetest.Engine)}
	f.build()
	f.requests = f.arrivals()
	for _, a := range f.requests {
		f.passTo(a.Arrives)
		f.send(a, choose)
	}
	f.advance(l.lasts + time.Minute)
	return f.result()
}

// build places the models, the rare ones where room is left.
func (f *fleet) build() {
	held := make([][]backend.Holding, f.engines)
	place := func(name string, replicas int) {
		order := f.random.Perm(f.engines)
		slices.SortStableFunc(order, func(a, b int) int { return len(held[a]) - len(held[b]) })
		for _, i := range order[:replicas] {
			held[i] = append(held[i], backend.Holding{Model: name, Version: 1, Adapters: []string{"a0", "a1", "a2"}})
		}
	}
	left := f.engines * f.places
	for i, n := range f.popular {
		name := fmt.Sprintf("popular%d", i)
		place(name, n)
		f.models[0] = append(f.models[0], slices.Repeat([]string{name}, n)...)
		left -= n
	}
	for i := range left {
		name := fmt.Sprintf("rare%d", i)
		place(name, 1)
		f.models[1] = append(f.models[1], name)
	}
	for i := range f.engines {
		f.servers = append(f.servers, &backend.Server{Service: "s", Zone: f.zone(i), Slots: f.engine.Slots, Version: 1, Models: held[i]})
		f.running = append(f.running, nil)
		f.start(i, 1)
	}
	f.holder = &backend.Directory{Time: f.clock()}
	f.holder.Replace(f.servers, 1)
	for i := range f.nodes {
		directory := &backend.Directory{Time: f.clock()}
		directory.Replace(f.servers, 1)
		f.relays = append(f.relays, &Relay{Zone: f.zone(i), Time: f.clock(), Servers: directory,
			chooser: newChooser(), random: rand.New(rand.NewPCG(f.seed, uint64(i)))})
	}
}

func (f *fleet) zone(i int) string { return string(rune('a' + i%3)) }

func (f *fleet) clock() clock.Clock {
	return func() time.Time { return time.Unix(1e6, 0).Add(f.now) }
}

// start begins a life of an engine.
func (f *fleet) start(i, life int) {
	e := f.engine
	e.Speed = f.speeds[i%len(f.speeds)]
	e.Advance(f.now)
	s := *f.servers[i]
	s.ID = fmt.Sprintf("server%d-%d-%d", i, life, f.seed)
	f.servers[i], f.running[i], f.byLife[s.ID] = &s, &e, &e
}

// rebirth restarts a third of the engines.
func (f *fleet) rebirth() {
	for i := 0; i < f.engines; i += 3 {
		f.ended = append(f.ended, f.running[i])
		f.start(i, 2)
	}
}

// passTo lets time pass.
func (f *fleet) passTo(at time.Duration) {
	for _, step := range []struct {
		at time.Duration
		do func()
	}{{f.reborn, func() { f.rebirth(); f.tell(0) }}, {f.reborn + f.behind, func() { f.tell(1) }}} {
		if f.reborn > 0 && f.now < step.at && step.at <= at {
			f.advance(step.at)
			step.do()
		}
	}
	f.advance(at)
	if f.told && f.now-f.toldAt >= time.Second {
		f.tellPaces()
	}
}

// tell has every second node take in the list of servers.
func (f *fleet) tell(first int) {
	for i := first; i < len(f.relays); i += 2 {
		f.relays[i].Servers.Replace(f.servers, 2)
	}
	f.holder.Replace(f.servers, 2)
}

func (f *fleet) advance(to time.Duration) {
	for _, e := range f.byLife {
		e.Advance(to)
	}
	f.now = to
	f.open = slices.DeleteFunc(f.open, func(a *arrival) bool {
		if a.End == 0 {
			return false
		}
		f.finish(a)
		return true
	})
}

// finish tells nodes of the end of a stream.
func (f *fleet) finish(a *arrival) {
	a.server.End(a.need.Model)
	events := a.Out / f.engine.EventTokens
	if events < leastPaced {
		return
	}
	pace := (a.End - a.First - a.Pause) / time.Duration(events-2)
	f.relays[a.node].Servers.Paced(a.server.ID, a.need.Model, pace)
	f.relays[a.node].Servers.Report(backend.Pace{Server: a.server.ID, Model: a.need.Model, PerEvent: pace})
}

// tellPaces has all nodes beat.
func (f *fleet) tellPaces() {
	f.toldAt = f.now
	var list []backend.Slowness
	for _, m := range f.holder.Snapshot().Service("s") {
		list = append(list, backend.Slowness{Server: m.ID, Ratio: m.Slowness()})
	}
	for _, r := range f.relays {
		r.Servers.Believed(list)
		f.holder.Learn(r.Servers.TakeReports(math.MaxInt))
	}
}

// length draws the length of a part around a mean; a part keeps its own.
func (f *fleet) length(part string, mean int, sigma float64) int {
	if f.lengths[part] == 0 {
		f.lengths[part] = max(int(float64(mean)*math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2)), 1)
	}
	return f.lengths[part]
}

func (f *fleet) arrivals() []*arrival {
	var list []*arrival
	for at := time.Duration(0); at < f.lasts; {
		at += time.Duration(f.random.ExpFloat64() / f.perSecond * float64(time.Second))
		list = append(list, f.arrival(at, len(list)))
	}
	return list
}

func (f *fleet) arrival(at time.Duration, n int) *arrival {
	kind := 0
	for x := f.random.Float64(); kind < len(f.kinds)-1 && x >= f.kinds[kind].share; kind++ {
		x -= f.kinds[kind].share
	}
	k := &f.kinds[kind]
	models := f.models[0]
	if k.rare {
		models = f.models[1]
	}
	need := backend.Need{Model: models[f.random.IntN(len(models))]}
	if f.random.Float64() < k.adapters {
		need.Adapter = fmt.Sprintf("a%d", f.random.IntN(3))
	}
	session := int(float64(k.several) * math.Pow(f.random.Float64(), 1.3)) // some are more frequent
	common, second := fmt.Sprintf("%v-%d-c%d", need, kind, session%k.commons), fmt.Sprintf("%v-%d-s%d", need, kind, session)
	a, b, own := f.length(common, k.common, 0.4), f.length(second, k.session, 0.6), f.length(fmt.Sprint(n), k.own, 0.8)
	out := f.engine.EventTokens * (1 + int(f.random.ExpFloat64()*(k.events-1)+0.5))
	p := prompt.Parse(prompt.Fields{Tokens: fmt.Sprintf("%d,%d", a+b+own, out),
		Parts: fmt.Sprintf("%s:%d,%s:%d,own%d:%d", common, a, second, b, n, own)})
	return &arrival{Run: &enginetest.Run{Prompt: p, Out: out, Arrives: at}, kind: kind, node: f.random.IntN(f.nodes), need: need}
}

// send has a node choose a server for a request.
func (f *fleet) send(a *arrival, choose way) {
	r := f.relays[a.node]
	c := &call{relay: r, request: request{arrived: r.Time.Now(), service: "s", need: a.need, prompt: a.Prompt, route: &f.kinds[a.kind].route,
		engine: &route.Engine{Slots: f.engine.Slots, EventTokens: f.engine.EventTokens}}}
	c.shape()
	m := choose(c)
	if e := f.byLife[m.ID]; slices.Contains(f.ended, e) {
		r.Servers.Replace(f.servers, 2) // the server is gone: the node looks and tries another
		m = choose(c)
	}
	m.Begin(r.Time.Now(), a.need.Model)
	f.byLife[m.ID].Add(a.Run)
	a.server = m
	f.open = append(f.open, a)
}

func (f *fleet) result() result {
	r := result{kinds: make([]tally, len(f.kinds))}
	sent := make(map[string]int)
	known := make(map[string]bool)
	for _, a := range f.requests {
		r.kinds[a.kind].count(a, &f.kinds[a.kind].route)
		r.choices = append(r.choices, a.server.ID)
		sent[a.server.ID]++
		parts := a.Prompt.Parts()
		for _, part := range parts[:len(parts)-1] {
			if known[part.ID] {
				r.again += part.Tokens
			}
			known[part.ID] = true
		}
	}
	for id, e := range f.byLife {
		r.read += e.Read()
		r.again -= e.Reused()
		r.busiest = max(r.busiest, float64(sent[id]*len(f.servers))/float64(len(f.requests)))
	}
	return r
}

// count takes in what a caller got.
func (t *tally) count(a *arrival, r *route.Route) {
	t.asked++
	switch {
	case a.First == 0 || a.First-a.Arrives > r.Target:
		t.byFirst++
	case a.End == 0 || a.Pause > r.GapTarget:
		t.byPause++
	default:
		t.inTime++
	}
}
