package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"martenwheel.dev/pkg/enginetest"
	"martenwheel.dev/pkg/prompt"
)

// requestKind is a kind of request of the load.
type requestKind struct {
	name              string
	share             float64 // part of all requests
	rank              int
	common, session   int           // tokens of the shared parts: one of 3 common parts, and one per session
	sessions          int           // number of sessions
	own, events       float64       // means of the prompt tokens of the request alone, and of the events of its answer
	target, gap, left time.Duration // left is when callers give up without an event
}

// requestKinds are the requests for an overloaded model: drafts, notices and questions.
var requestKinds = []requestKind{
	{"draft", 0.39, 1, 2520, 3780, 26, 2900, 9, 800 * time.Millisecond, 300 * time.Millisecond, 3200 * time.Millisecond},
	{"notice", 0.17, 1, 2520, 3780, 26, 2900, 9, 2500 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second},
	{"question", 0.44, 0, 119, 83, 26, 628, 49, 400 * time.Millisecond, 300 * time.Millisecond, 3200 * time.Millisecond},
}

// Parameters of the simulation.
const (
	simTime     = 30 * time.Second // in which requests arrive
	simDrain    = 12 * time.Second // additional time in which the last requests end
	simStep     = 5 * time.Millisecond
	simNodes    = 77
	reportDelay = 50 * time.Millisecond // until a node's report arrives
)

// request is a simulated request.
type request struct {
	Request
	kind     *requestKind
	run      enginetest.Run
	arrives  time.Duration
	next     time.Duration // when it asks again
	node     int
	server   int // on which it runs; -1 for none
	sent     time.Duration
	reported bool // whether its first event was reported
	refused  bool
	gone     bool
	done     bool          // whether its answer is complete
	first    time.Duration // predicted time to its first event
}

// counts is what callers of a kind got.
type counts struct{ all, inTime, late, refused, left int }

func (c counts) String() string {
	part := func(n int) float64 { return float64(n) / float64(max(c.all, 1)) }
	return fmt.Sprintf("%.2f/%.2f/%.2f/%.2f", part(c.inTime), part(c.late), part(c.refused), part(c.left))
}

// simulation is a load on servers with the decisions on it.
type simulation struct {
	random  *rand.Rand
	speeds  []float64
	engines []*enginetest.Engine
	model   *Model // nil for the baseline, in which nodes choose by themselves
	// ledgers are those of nodes that ask only for models reported as overloaded. If nil, nodes
	// always ask.
	ledgers          []Ledger
	unavailable      func(at time.Duration) bool // whether the holder does not answer
	lostReports      float64                     // part of the reports between heartbeats that are lost
	list             []*request
	inFlight         [simNodes][]int                            // by server
	eventTimes       [simNodes][]float64                        // time per event by server; zero if unknown
	asks             int                                        // questions to the holder
	predictionRatios []float64                                  // predicted by actual times to the first event
	slow             func(server int, at time.Duration) float64 // factor on the speed of a server; nil: none
}

var testStart = time.Unix(1000, 0)

func newSimulation(seed uint64, ablated *ablation, speeds ...float64) *simulation {
	p := &simulation{random: rand.New(rand.NewPCG(seed, 3)), speeds: speeds}
	for _, speed := range speeds {
		p.engines = append(p.engines, &enginetest.Engine{Speed: speed})
	}
	for i := range p.inFlight {
		p.inFlight[i] = make([]int, len(speeds))
		p.eventTimes[i] = make([]float64, len(speeds))
	}
	if ablated != nil {
		p.model = newModel()
		p.model.ablation = *ablated
	}
	return p
}

func newModel() *Model {
	m := &Model{Engine: func(name string) (Engine, bool) {
		return Engine{Slots: 48, CacheTokens: 250_000, EventTokens: 6}, name != "" && name[0] == 's'
	}}
	m.Begin(testStart.Add(-time.Minute))
	return m
}

// load generates the requests for a rate.
func (p *simulation) load(rate float64) {
	for at := 0.0; at < simTime.Seconds(); {
		at += p.random.ExpFloat64() / rate
		p.list = append(p.list, p.request(time.Duration(at*float64(time.Second))))
	}
}

func (p *simulation) request(at time.Duration) *request {
	k := &requestKinds[0]
	for x := p.random.Float64() - k.share; x > 0 && k != &requestKinds[2]; x -= k.share {
		k = &requestKinds[slices.IndexFunc(requestKinds, func(other requestKind) bool { return other.name == k.name })+1]
	}
	id := len(p.list)
	session := p.random.IntN(k.sessions)
	own := int(k.own * math.Exp(0.8*p.random.NormFloat64()-0.32))
	r := &request{kind: k, arrives: at, next: at, node: p.random.IntN(simNodes), server: -1}
	parts := fmt.Sprintf("%sc%d:%d,%ss%d:%d,o%d:%d", k.name, session%3, k.common, k.name, session, k.session, id, own+1)
	r.run = enginetest.Run{Rank: k.rank, OutputTokens: 6 * int(1+(k.events-1)*(0.4+0.6*p.random.ExpFloat64())), Prompt: prompt.Parse(prompt.Fields{
		Tokens: fmt.Sprintf("%d,600", k.common+k.session+own+1), Parts: parts, ExpectedOutput: fmt.Sprint(int(k.events) * 6)})}
	r.Place = Place{fmt.Sprint("n", r.node), uint64(id)}
	r.Key, r.Need, r.Rank = Key{"s", "m"}, "m", k.rank
	r.Work = Work{r.run.Prompt.Tokens(), r.run.Prompt.ExpectedOutput(), r.run.Prompt.Parts()}
	return r
}

// run runs the simulation and counts the results.
func (p *simulation) run() map[string]*counts {
	for at := time.Duration(0); at < simTime+simDrain; at += simStep {
		for i, e := range p.engines {
			if p.slow != nil {
				e.Speed = p.speeds[i] * p.slow(i, at)
			}
			e.Advance(at)
		}
		for _, r := range p.list {
			if r.arrives > at {
				break
			}
			p.step(r, at)
		}
		if p.ledgers != nil {
			p.heartbeat(at)
		}
	}
	result := map[string]*counts{}
	for _, k := range requestKinds {
		result[k.name] = &counts{}
	}
	for _, r := range p.list {
		result[r.kind.name].add(r)
	}
	return result
}

func (c *counts) add(r *request) {
	c.all++
	switch {
	case r.refused:
		c.refused++
	case r.gone:
		c.left++
	case r.run.FirstEvent-r.arrives <= r.kind.target && r.run.LongestPause <= r.kind.gap:
		c.inTime++
	default:
		c.late++
	}
}

// step does what is due for a request.
func (p *simulation) step(r *request, at time.Duration) {
	switch {
	case r.refused || r.gone || r.done:
	case r.server >= 0:
		p.track(r, at)
	case at-r.arrives > r.kind.left:
		r.gone = true
	case at >= r.next:
		p.send(r, at)
	}
}

// send decides on a request and sends it.
func (p *simulation) send(r *request, at time.Duration) {
	r.server = p.baselineServer(r)
	if p.asksHolder(r, at) {
		p.asks++
		r.Servers = nil
		for i := range p.engines {
			r.Servers = append(r.Servers, fmt.Sprint("s", i))
		}
		r.Waited = at - r.arrives
		r.Target, r.Patience, r.Left = r.kind.target-r.Waited, r.kind.left-r.Waited, 15*time.Second-r.Waited
		v, err := p.model.Decide(testStart.Add(at), &r.Request)
		switch {
		case err != nil:
			panic(err)
		case v.Kind == Wait:
			r.server, r.next = -1, at+v.After
			return
		case v.Kind == Refuse:
			r.server, r.refused = -1, true
			return
		case v.Kind == Go:
			r.server, r.first = int(v.Server[1]-'0'), v.First
		}
	}
	r.sent = at
	r.run.ArrivesAt = at
	if p.ledgers != nil {
		l, now := &p.ledgers[r.node], testStart.Add(at)
		if l.Sent(now, p.report(r, at)) {
			if reports := l.NewReports(now); p.reportArrives(at) {
				p.model.AddReports(now, r.Place.Node, reports, false)
			}
		}
	}
	p.inFlight[r.node][r.server]++
	p.engines[r.server].Add(&r.run)
}

// asksHolder reports whether a request's node asks for a decision.
func (p *simulation) asksHolder(r *request, at time.Duration) bool {
	if p.model == nil || p.ledgers == nil {
		return p.model != nil
	}
	l, now := &p.ledgers[r.node], testStart.Add(at)
	if l.Check(now, &r.Request) != Ask {
		return false
	}
	if p.unavailable != nil && p.unavailable(at) {
		l.Unanswered(now)
		return false
	}
	return true
}

// reportArrives reports whether a report between heartbeats arrives.
func (p *simulation) reportArrives(at time.Duration) bool {
	return (p.unavailable == nil || !p.unavailable(at)) && p.random.Float64() >= p.lostReports
}

// baselineServer returns the server that the request's node would choose by itself, as in package
// relay: by its own requests there and by the time per event of its own streams.
func (p *simulation) baselineServer(r *request) int {
	best, most := 0, 0.0
	for _, i := range p.random.Perm(len(p.engines)) {
		score := 2 * (1 - float64(p.inFlight[r.node][i])/48)
		eventTimes := p.eventTimes[r.node]
		if slices.Min(eventTimes) > 0 {
			score += slices.Min(eventTimes) / eventTimes[i]
		} else {
			score++
		}
		if score > most+0.1 {
			best, most = i, score
		}
	}
	return best
}

// learnEventTime has a node learn from a finished stream.
func (p *simulation) learnEventTime(r *request) {
	events := r.run.OutputTokens / 6
	if events < 8 {
		return
	}
	eventTime := &p.eventTimes[r.node][r.server]
	sample := float64(r.run.End-r.run.FirstEvent) / float64(events)
	if *eventTime == 0 {
		*eventTime = sample
	}
	*eventTime += 0.3 * (sample - *eventTime)
}

// track records what became of a request that was sent.
func (p *simulation) track(r *request, at time.Duration) {
	if r.run.FirstEvent == 0 && at-r.arrives > r.kind.left {
		r.gone = true
		p.engines[r.server].Cancel(&r.run)
		p.reportChange(r, at, true)
		return
	}
	if r.run.FirstEvent > 0 && !r.reported && at >= r.run.FirstEvent+reportDelay {
		r.reported = true
		p.reportChange(r, at, false)
		if r.first > 0 {
			p.predictionRatios = append(p.predictionRatios, float64(r.first)/float64(r.run.FirstEvent-r.sent))
		}
	}
	if r.run.End > 0 && at >= r.run.End+reportDelay {
		p.reportChange(r, at, true)
		p.learnEventTime(r)
		r.done = true
	}
}

func (p *simulation) reportChange(r *request, at time.Duration, ended bool) {
	if ended {
		p.inFlight[r.node][r.server]--
	}
	if p.model == nil {
		return
	}
	report := p.report(r, at)
	report.Ended = ended
	if r.run.FirstEvent > 0 {
		report.First = r.run.FirstEvent - r.sent
	}
	now, list := testStart.Add(at), []Report{report}
	if p.ledgers != nil {
		l := &p.ledgers[r.node]
		due := false
		if report.First > 0 {
			due = l.Answered(testStart.Add(r.run.FirstEvent), r.Place.ID)
		}
		if ended {
			due = l.Ended(now, r.Place.ID, r.Key) || due
		}
		if !due {
			return
		}
		if list = l.NewReports(now); !p.reportArrives(at) {
			return
		}
	}
	if errs := p.model.AddReports(now, r.Place.Node, list, false); errs != nil {
		panic(errs)
	}
}

func (p *simulation) report(r *request, at time.Duration) Report {
	return Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: fmt.Sprint("s", r.server), Work: r.Work, Rank: r.Rank,
		Target: r.kind.target, Sent: at - r.sent, Left: 15 * time.Second, Granted: r.first > 0}
}

// heartbeat has each node report all its requests once a second and learn which models are
// overloaded.
func (p *simulation) heartbeat(at time.Duration) {
	now, step := testStart.Add(at), int(at/simStep)
	if p.unavailable != nil && p.unavailable(at) {
		p.model.Begin(now) // the next holder knows nothing
		return
	}
	for i := range p.ledgers {
		if step%200 == i {
			p.model.AddReports(now, fmt.Sprint("n", i), p.ledgers[i].AllReports(now), true)
		}
	}
	if step%40 != 0 {
		return
	}
	p.model.Expire(now)
	overloaded := p.model.Overloaded(now, func(Key) []string { return []string{"s0", "s1"} })
	for i := range p.ledgers {
		p.ledgers[i].UpdateOverloaded(now, overloaded)
	}
}

// score rates what callers got. Late answers count a third. Drafts have weight 1, questions a half,
// notices ten.
func score(result map[string]*counts) float64 {
	weights := map[string]float64{"draft": 1, "notice": 10, "question": 0.5}
	got, most := 0.0, 0.0
	for name, c := range result {
		got += weights[name] * (float64(c.inTime) + float64(c.late)/3)
		most += weights[name] * float64(c.all)
	}
	return got / most
}

// sum adds other counts.
func (c *counts) sum(other *counts) {
	*c = counts{c.all + other.all, c.inTime + other.inTime, c.late + other.late, c.refused + other.refused, c.left + other.left}
}

// outcome is the result of a strategy under a load.
type outcome struct {
	kinds            map[string]*counts
	asks             float64   // per second
	predictionRatios []float64 // predicted by actual times, sorted
}

func (o *outcome) part(kind string, of func(*counts) int) float64 {
	return float64(of(o.kinds[kind])) / float64(o.kinds[kind].all)
}

func inTimeOf(c *counts) int  { return c.inTime }
func refusedOf(c *counts) int { return c.refused }
func leftOf(c *counts) int    { return c.left }
func servedOf(c *counts) int  { return c.inTime + c.late }

// String formats the parts of in time/late/refused/left by kind, and the prediction ratios: the
// first decile, the median and the last decile.
func (o *outcome) String() string {
	text := fmt.Sprintf("draft %v notice %v question %v score %.3f", o.kinds["draft"], o.kinds["notice"], o.kinds["question"], score(o.kinds))
	if n := len(o.predictionRatios); n > 0 {
		text += fmt.Sprintf(" asks/s %3.0f predicted/real %.2f %.2f %.2f", o.asks, o.predictionRatios[n/10], o.predictionRatios[n/2], o.predictionRatios[n*9/10])
	}
	return text
}

// simSeeds is the number of runs with different seeds.
const simSeeds = 4

// simulate runs a load with all seeds.
func simulate(ablated *ablation, rate float64, change func(*simulation)) *outcome {
	o := &outcome{kinds: map[string]*counts{}}
	for _, k := range requestKinds {
		o.kinds[k.name] = &counts{}
	}
	for seed := range uint64(simSeeds) {
		p := newSimulation(seed, ablated, 0.55, 1.2)
		if change != nil {
			change(p)
		}
		p.load(rate)
		for name, c := range p.run() {
			o.kinds[name].sum(c)
		}
		o.asks += float64(p.asks) / simSeeds / simTime.Seconds()
		o.predictionRatios = append(o.predictionRatios, p.predictionRatios...)
	}
	slices.Sort(o.predictionRatios)
	return o
}

// TestOverload compares several strategies at loads from what two servers can bear to far more, and
// prints with -v what callers get. It checks the strategy in use against the baseline, and that
// each of its parts improves the result.
func TestOverload(t *testing.T) {
	for _, rate := range []float64{10, 15, 25, 35} {
		got := map[string]*outcome{}
		for _, way := range []struct {
			name string
			ways *ablation
		}{
			{"baseline", nil},
			{"by patience, no memory", &ablation{byPatience: true, noMemory: true, noHeadroom: true}},
			{"by patience", &ablation{byPatience: true, noHeadroom: true}},
			{"by objective, no headroom for the urgent", &ablation{noHeadroom: true}},
			{"by objective, no memory", &ablation{noMemory: true}},
			{"by objective (used)", &ablation{}},
		} {
			o := simulate(way.ways, rate, nil)
			got[way.name] = o
			t.Logf("%2.0f/s %-40s %v", rate, way.name, o)
		}
		withLedgers := simulate(&ablation{}, rate, func(p *simulation) { p.ledgers = make([]Ledger, simNodes) })
		t.Logf("%2.0f/s %-40s %v", rate, "used, asked for overloaded models only", withLedgers)
		withLedgers.check(t, rate, got["baseline"])
		used, baseline := got["by objective (used)"], got["baseline"]
		used.check(t, rate, baseline)
		if rate < 25 {
			continue
		}
		if a, b := score(used.kinds), score(got["by patience"].kinds); a < b+0.2 {
			t.Errorf("%g/s: score %.3f by objective, %.3f by patience", rate, a, b)
		}
		without := got["by objective, no headroom for the urgent"]
		if a, b := used.part("question", inTimeOf), without.part("question", inTimeOf); a < b+0.1 {
			t.Errorf("%g/s: %.2f of the most urgent requests in time with headroom kept for them, %.2f without", rate, a, b)
		}
	}
}

// check requires that each kind fares no worse than in the baseline, that the most urgent kind is
// refused least, and that no kind starves.
func (o *outcome) check(t *testing.T, rate float64, baseline *outcome) {
	t.Helper()
	for _, k := range requestKinds {
		if a, b := o.part(k.name, inTimeOf), baseline.part(k.name, inTimeOf); a < b {
			t.Errorf("%g/s: %.2f of %s in time, %.2f in the baseline", rate, a, k.name, b)
		}
		if a := o.part(k.name, leftOf); a > 0.02 {
			t.Errorf("%g/s: of %s %.2f gave up", rate, k.name, a)
		}
		if a := o.part(k.name, servedOf); a < 0.1 {
			t.Errorf("%g/s: of %s only %.2f are served", rate, k.name, a)
		}
	}
	if a, b := o.part("question", refusedOf), o.part("draft", refusedOf); a > b+0.01 {
		t.Errorf("%g/s: %.2f of the most urgent requests are refused, %.2f of drafts", rate, a, b)
	}
}

// TestAServerThatTurnsSlow: the fast server runs at a fifth of its speed for 2 s, three times.
func TestAServerThatTurnsSlow(t *testing.T) {
	slow := func(p *simulation) {
		p.slow = func(server int, at time.Duration) float64 {
			if server == 1 && at%(9*time.Second) > 7*time.Second {
				return 0.2
			}
			return 1
		}
	}
	baseline, used := simulate(nil, 15, slow), simulate(&ablation{}, 15, slow)
	t.Logf("baseline %v", baseline)
	t.Logf("used     %v", used)
	used.check(t, 15, baseline)
}

// TestOverloadWithFailures: one failure at a time happens while nodes ask. Callers must still fare
// better than in the baseline.
func TestOverloadWithFailures(t *testing.T) {
	baseline := simulate(nil, 25, nil)
	t.Logf("baseline %v", baseline)
	for name, change := range map[string]func(p *simulation){
		"no failure": func(*simulation) {},
		"no holder answers for 2.5 s, and the next one knows nothing": func(p *simulation) {
			p.unavailable = func(at time.Duration) bool { return at > 12*time.Second && at < 14500*time.Millisecond }
		},
		"a fifth of the reports between heartbeats is lost": func(p *simulation) { p.lostReports = 0.2 },
		"all reports between heartbeats are lost":           func(p *simulation) { p.lostReports = 1 },
	} {
		o := simulate(&ablation{}, 25, func(p *simulation) { p.ledgers = make([]Ledger, simNodes); change(p) })
		t.Logf("%s %v", name, o)
		if a, b := score(o.kinds), score(baseline.kinds); a < b+0.05 {
			t.Errorf("%s: score %.3f, baseline %.3f", name, a, b)
		}
		if a := o.part("question", refusedOf); a > 0.1 {
			t.Errorf("%s: %.2f of the most urgent requests are refused", name, a)
		}
	}
}
