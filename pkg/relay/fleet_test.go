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

// requestKind is one kind of request in a simulated load. Lengths and counts are means.
type requestKind struct {
	name              string
	share             float64 // share of all requests
	rare              bool    // for models with one replica
	common, session   int     // tokens of the two shared parts
	own               int     // tokens of the unshared part
	commons, sessions int     // different first and second parts per model
	events            float64
	adapters          float64 // share of requests with an adapter
	route             route.Route
}

// load describes a simulated fleet of engines and nodes in virtual time, and its requests.
type load struct {
	engines, modelsPerEngine int   // number, and models that each holds
	popular                  []int // replicas of each popular model; rare models use the remaining capacity
	perSecond                float64
	duration                 time.Duration
	nodes                    int
	engine                   enginetest.Engine
	speeds                   []float64
	kinds                    []requestKind
	shareSpeeds              bool          // nodes exchange speeds of servers every second
	restartAt                time.Duration // when a third of the engines restart with empty caches; zero: never
	staleFor                 time.Duration // delay after which half of the nodes learn of the restart
}

func stream(target, gap time.Duration) route.Route {
	return route.Route{Kind: route.Stream, Sticky: true, Target: target, GapTarget: gap}
}

// longPrompts is a load of long drafts and quick questions.
func longPrompts() load {
	const ms = time.Millisecond
	return load{
		engines: 24, modelsPerEngine: 3, popular: []int{4, 4, 4, 4, 3, 3, 3, 3, 2, 2, 2, 2},
		perSecond: 56, duration: 34 * time.Second, nodes: 77,
		engine: enginetest.Default, speeds: []float64{0.55, 1.2, 1.2, 1.2},
		kinds: []requestKind{
			{name: "draft", share: 0.39, common: 2520, session: 3780, own: 2890, commons: 3, sessions: 34, events: 9,
				adapters: 0.1, route: stream(800*ms, 300*ms)},
			{name: "notice", share: 0.17, rare: true, common: 2520, session: 3780, own: 2890, commons: 1, sessions: 2, events: 9,
				route: stream(2500*ms, 300*ms)},
			{name: "question", share: 0.44, common: 119, session: 79, own: 628, commons: 3, sessions: 26, events: 49,
				adapters: 0.5, route: stream(400*ms, 300*ms)},
		},
	}
}

// reviews is a load of another service with long prompts and a higher target for pauses.
func reviews() load {
	const ms = time.Millisecond
	l := longPrompts()
	l.perSecond = 62
	l.engine = enginetest.Engine{Slots: 64, CacheTokens: 263_628, ChunkTokens: 2048, StepTime: 3400 * time.Microsecond, PrefillTokensPerMS: 44.2, EventTokens: 8}
	l.kinds[0].share, l.kinds[0].events, l.kinds[0].route = 0.32, 7, stream(800*ms, 500*ms)
	l.kinds[1].share, l.kinds[1].events, l.kinds[1].route = 0.24, 7, stream(4000*ms, 500*ms)
	l.kinds[2].share, l.kinds[2].events, l.kinds[2].route = 0.44, 36, stream(500*ms, 500*ms)
	return l
}

// shortPrompts is a load of prompts that are read quickly and share little.
func shortPrompts(slots, eventTokens int) load {
	const ms = time.Millisecond
	l := longPrompts()
	l.engine = enginetest.Engine{Slots: slots, EventTokens: eventTokens}
	l.perSecond = 4 * float64(slots)
	l.kinds = []requestKind{{name: "chat", share: 1, common: 100, session: 250, own: 1110, commons: 3, sessions: 30,
		events: 86, adapters: 0.3, route: stream(500*ms, 250*ms)}}
	return l
}

// arrival is a request of the load.
type arrival struct {
	*enginetest.Run
	kind, node int
	need       backend.Need
	server     *backend.Member // server to which it was sent
}

// tally counts the answers to requests of a kind.
type tally struct{ asked, inTime, lateFirst, latePause int }

func (t tally) share() float64 { return float64(t.inTime) / float64(max(t.asked, 1)) }

// result is the result of a simulation run.
type result struct {
	kinds   []tally
	read    int     // prompt tokens that engines read
	reread  int     // tokens of shared parts that some engine had already read
	busiest float64 // requests of the busiest engine relative to the mean
	choices []string
}

// fleet simulates a load.
type fleet struct {
	*load
	seed          uint64
	random        *rand.Rand
	now           time.Duration
	servers       []*backend.Server
	running       []*enginetest.Engine
	ended         []*enginetest.Engine
	byIncarnation map[string]*enginetest.Engine
	relays        []*Relay
	coordinator   *backend.Directory // knows all speeds
	exchangedAt   time.Duration
	models        [2][]string // popular and rare models; a popular one is listed once per replica
	lengths       map[string]int
	active        []*arrival
	requests      []*arrival
}

// strategy chooses a server for a call.
type strategy func(c *call) *backend.Member

func (l load) simulate(seed uint64, choose strategy) result {
	f := &fleet{load: &l, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), lengths: make(map[string]int),
		byIncarnation: make(map[string]*enginetest.Engine)}
	f.build()
	f.requests = f.arrivals()
	for _, a := range f.requests {
		f.advanceWithEvents(a.ArrivesAt)
		f.send(a, choose)
	}
	f.advance(l.duration + time.Minute)
	return f.result()
}

// build places the models, rare ones in the remaining capacity.
func (f *fleet) build() {
	held := make([][]backend.Holding, f.engines)
	place := func(name string, replicas int) {
		order := f.random.Perm(f.engines)
		slices.SortStableFunc(order, func(a, b int) int { return len(held[a]) - len(held[b]) })
		for _, i := range order[:replicas] {
			held[i] = append(held[i], backend.Holding{Model: name, Version: 1, Adapters: []string{"a0", "a1", "a2"}})
		}
	}
	left := f.engines * f.modelsPerEngine
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
	f.coordinator = &backend.Directory{Time: f.clock()}
	f.coordinator.Replace(f.servers, 1)
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

// start begins an incarnation of an engine.
func (f *fleet) start(i, incarnation int) {
	e := f.engine
	e.Speed = f.speeds[i%len(f.speeds)]
	e.Advance(f.now)
	s := *f.servers[i]
	s.ID = fmt.Sprintf("server%d-%d-%d", i, incarnation, f.seed)
	f.servers[i], f.running[i], f.byIncarnation[s.ID] = &s, &e, &e
}

// restartThird restarts a third of the engines.
func (f *fleet) restartThird() {
	for i := 0; i < f.engines; i += 3 {
		f.ended = append(f.ended, f.running[i])
		f.start(i, 2)
	}
}

// advanceWithEvents advances the time and triggers the events that are due.
func (f *fleet) advanceWithEvents(at time.Duration) {
	for _, step := range []struct {
		at time.Duration
		do func()
	}{{f.restartAt, func() { f.restartThird(); f.updateServerLists(0) }}, {f.restartAt + f.staleFor, func() { f.updateServerLists(1) }}} {
		if f.restartAt > 0 && f.now < step.at && step.at <= at {
			f.advance(step.at)
			step.do()
		}
	}
	f.advance(at)
	if f.shareSpeeds && f.now-f.exchangedAt >= time.Second {
		f.exchangeSpeeds()
	}
}

// updateServerLists updates the server list of every second node.
func (f *fleet) updateServerLists(first int) {
	for i := first; i < len(f.relays); i += 2 {
		f.relays[i].Servers.Replace(f.servers, 2)
	}
	f.coordinator.Replace(f.servers, 2)
}

func (f *fleet) advance(to time.Duration) {
	for _, e := range f.byIncarnation {
		e.Advance(to)
	}
	f.now = to
	f.active = slices.DeleteFunc(f.active, func(a *arrival) bool {
		if a.End == 0 {
			return false
		}
		f.finish(a)
		return true
	})
}

// finish reports the end of a stream to its node.
func (f *fleet) finish(a *arrival) {
	a.server.End(a.need.Model)
	events := a.OutputTokens / f.engine.EventTokens
	if events < minTimedEvents {
		return
	}
	perEvent := (a.End - a.FirstEvent - a.LongestPause) / time.Duration(events-2)
	f.relays[a.node].Servers.RecordPace(a.server.ID, a.need.Model, perEvent)
	f.relays[a.node].Servers.QueuePace(backend.Pace{Server: a.server.ID, Model: a.need.Model, PerEvent: perEvent})
}

// exchangeSpeeds simulates a heartbeat of all nodes.
func (f *fleet) exchangeSpeeds() {
	f.exchangedAt = f.now
	var list []backend.Slowness
	for _, m := range f.coordinator.Snapshot().Service("s") {
		list = append(list, backend.Slowness{Server: m.ID, Ratio: m.Slowness()})
	}
	for _, r := range f.relays {
		r.Servers.LearnSlowness(list)
		f.coordinator.LearnPaces(r.Servers.TakeQueuedPaces(math.MaxInt))
	}
}

// length returns the length of a part, random around a mean. It stays the same for each part.
func (f *fleet) length(part string, mean int, sigma float64) int {
	if f.lengths[part] == 0 {
		f.lengths[part] = max(int(float64(mean)*math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2)), 1)
	}
	return f.lengths[part]
}

func (f *fleet) arrivals() []*arrival {
	var list []*arrival
	for at := time.Duration(0); at < f.duration; {
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
	session := int(float64(k.sessions) * math.Pow(f.random.Float64(), 1.3)) // some sessions are more frequent
	common, second := fmt.Sprintf("%v-%d-c%d", need, kind, session%k.commons), fmt.Sprintf("%v-%d-s%d", need, kind, session)
	a, b, own := f.length(common, k.common, 0.4), f.length(second, k.session, 0.6), f.length(fmt.Sprint(n), k.own, 0.8)
	out := f.engine.EventTokens * (1 + int(f.random.ExpFloat64()*(k.events-1)+0.5))
	p := prompt.Parse(prompt.Fields{Tokens: fmt.Sprintf("%d,%d", a+b+own, out),
		Parts: fmt.Sprintf("%s:%d,%s:%d,own%d:%d", common, a, second, b, n, own)})
	return &arrival{Run: &enginetest.Run{Prompt: p, OutputTokens: out, ArrivesAt: at}, kind: kind, node: f.random.IntN(f.nodes), need: need}
}

// send lets a node choose a server for a request.
func (f *fleet) send(a *arrival, choose strategy) {
	r := f.relays[a.node]
	c := &call{relay: r, request: request{arrived: r.Time.Now(), service: "s", need: a.need, prompt: a.Prompt, route: &f.kinds[a.kind].route,
		engine: &route.Engine{Slots: f.engine.Slots, EventTokens: f.engine.EventTokens}}}
	c.computeAffinity()
	m := choose(c)
	if e := f.byIncarnation[m.ID]; slices.Contains(f.ended, e) {
		r.Servers.Replace(f.servers, 2) // the server is gone: the node updates its list and tries another one
		m = choose(c)
	}
	m.Begin(r.Time.Now(), a.need.Model)
	f.byIncarnation[m.ID].Add(a.Run)
	a.server = m
	f.active = append(f.active, a)
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
				r.reread += part.Tokens
			}
			known[part.ID] = true
		}
	}
	for id, e := range f.byIncarnation {
		r.read += e.TokensRead()
		r.reread -= e.TokensReused()
		r.busiest = max(r.busiest, float64(sent[id]*len(f.servers))/float64(len(f.requests)))
	}
	return r
}

// count adds the answer to a request.
func (t *tally) count(a *arrival, r *route.Route) {
	t.asked++
	switch {
	case a.FirstEvent == 0 || a.FirstEvent-a.ArrivesAt > r.Target:
		t.lateFirst++
	case a.End == 0 || a.LongestPause > r.GapTarget:
		t.latePause++
	default:
		t.inTime++
	}
}
