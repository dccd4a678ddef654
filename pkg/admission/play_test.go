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

// kind is a kind of request of the load.
type kind struct {
	name              string
	share             float64
	rank              int
	common, session   int // tokens of the parts that 3 and so many sessions share
	sessions          int
	own, events       float64
	target, gap, left time.Duration // left: when callers leave without an event
}

// kinds are those of a crowded model: drafts, notices and questions.
var kinds = []kind{
	{"draft", 0.39, 1, 2520, 3780, 26, 2900, 9, 800 * time.Millisecond, 300 * time.Millisecond, 3200 * time.Millisecond},
	{"notice", 0.17, 1, 2520, 3780, 26, 2900, 9, 2500 * time.Millisecond, 300 * time.Millisecond, 10 * time.Second},
	{"question", 0.44, 0, 119, 83, 26, 628, 49, 400 * time.Millisecond, 300 * time.Millisecond, 3200 * time.Millisecond},
}

// Of the play.
const (
	playTime   = 30 * time.Second // in which requests come
	playDrain  = 12 * time.Second
	playStep   = 5 * time.Millisecond
	playNodes  = 77
	reportTime = 50 * time.Millisecond // until the news of a node are told
)

// request is one of the play.
type request struct {
	Request
	kind    *kind
	run     enginetest.Run
	arrives time.Duration
	next    time.Duration // asks again
	node    int
	server  int // it runs at; -1: none
	sent    time.Duration
	told    bool // its first event was
	refused bool
	gone    bool
	done    bool          // whole
	first   time.Duration // predicted
}

// counts is what callers of a kind got.
type counts struct{ all, inTime, late, refused, left int }

func (c counts) String() string {
	part := func(n int) float64 { return float64(n) / float64(max(c.all, 1)) }
	return fmt.Sprintf("%.2f/%.2f/%.2f/%.2f", part(c.inTime), part(c.late), part(c.refused), part(c.left))
}

// play is a load on servers, and what decides on it.
type play struct {
	random  *rand.Rand
	speeds  []float64
	engines []*enginetest.Engine
	model   *Model // nil: the standing way
	// ledgers are those of nodes that ask only for what they were told to be crowded; nil: they
	// ask always.
	ledgers  []Ledger
	away     func(at time.Duration) bool // nobody answers
	lost     float64                     // share of the news between beats
	list     []*request
	inFlight [playNodes][]int     // by server
	paces    [playNodes][]float64 // of an event, by server; zero: not known
	asks     int
	offs     []float64 // predictions by the real time to the first event
	slow     func(server int, at time.Duration) float64
}

var began = time.Unix(1000, 0)

func newPlay(seed uint64, ways *ways, speeds ...float64) *play {
	p := &play{random: rand.New(rand.NewPCG(seed, 3)), speeds: speeds}
	for _, speed := range speeds {
		p.engines = append(p.engines, &enginetest.Engine{Speed: speed})
	}
	for i := range p.inFlight {
		p.inFlight[i] = make([]int, len(speeds))
		p.paces[i] = make([]float64, len(speeds))
	}
	if ways != nil {
		p.model = newModel()
		p.model.ways = *ways
	}
	return p
}

func newModel() *Model {
	m := &Model{Engine: func(name string) (Engine, bool) {
		return Engine{Slots: 48, CacheTokens: 250_000, EventTokens: 6}, name != "" && name[0] == 's'
	}}
	m.Begin(began.Add(-time.Minute))
	return m
}

// load makes the requests of a rate.
func (p *play) load(rate float64) {
	for at := 0.0; at < playTime.Seconds(); {
		at += p.random.ExpFloat64() / rate
		p.list = append(p.list, p.request(time.Duration(at*float64(time.Second))))
	}
}

func (p *play) request(at time.Duration) *request {
	k := &kinds[0]
	for x := p.random.Float64() - k.share; x > 0 && k != &kinds[2]; x -= k.share {
		k = &kinds[slices.IndexFunc(kinds, func(other kind) bool { return other.name == k.name })+1]
	}
	id := len(p.list)
	session := p.random.IntN(k.sessions)
	own := int(k.own * math.Exp(0.8*p.random.NormFloat64()-0.32))
	r := &request{kind: k, arrives: at, next: at, node: p.random.IntN(playNodes), server: -1}
	parts := fmt.Sprintf("%sc%d:%d,%ss%d:%d,o%d:%d", k.name, session%3, k.common, k.name, session, k.session, id, own+1)
	r.run = enginetest.Run{Rank: k.rank, Out: 6 * int(1+(k.events-1)*(0.4+0.6*p.random.ExpFloat64())), Prompt: prompt.Parse(prompt.Fields{
		Tokens: fmt.Sprintf("%d,600", k.common+k.session+own+1), Parts: parts, Likely: fmt.Sprint(int(k.events) * 6)})}
	r.Place = Place{fmt.Sprint("n", r.node), uint64(id)}
	r.Key, r.Need, r.Rank = Key{"s", "m"}, "m", k.rank
	r.Work = Work{r.run.Prompt.Tokens(), r.run.Prompt.Likely(), r.run.Prompt.Parts()}
	return r
}

// run plays to the end and counts.
func (p *play) run() map[string]*counts {
	for at := time.Duration(0); at < playTime+playDrain; at += playStep {
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
			p.beat(at)
		}
	}
	result := map[string]*counts{}
	for _, k := range kinds {
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
	case r.run.First-r.arrives <= r.kind.target && r.run.Pause <= r.kind.gap:
		c.inTime++
	default:
		c.late++
	}
}

// step does what is due for a request.
func (p *play) step(r *request, at time.Duration) {
	switch {
	case r.refused || r.gone || r.done:
	case r.server >= 0:
		p.follow(r, at)
	case at-r.arrives > r.kind.left:
		r.gone = true
	case at >= r.next:
		p.send(r, at)
	}
}

// send has a request decided on.
func (p *play) send(r *request, at time.Duration) {
	r.server = p.standing(r)
	if p.asksFor(r, at) {
		p.asks++
		r.Servers = nil
		for i := range p.engines {
			r.Servers = append(r.Servers, fmt.Sprint("s", i))
		}
		r.Waited = at - r.arrives
		r.Target, r.Patience, r.Left = r.kind.target-r.Waited, r.kind.left-r.Waited, 15*time.Second-r.Waited
		v, err := p.model.Decide(began.Add(at), &r.Request)
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
	r.run.Arrives = at
	if p.ledgers != nil {
		l, now := &p.ledgers[r.node], began.Add(at)
		if l.Sent(now, p.report(r, at)) {
			if news := l.News(now); p.hears(at) {
				p.model.Told(now, r.Place.Node, news, false)
			}
		}
	}
	p.inFlight[r.node][r.server]++
	p.engines[r.server].Add(&r.run)
}

// asksFor tells whether a request's node has it decided on.
func (p *play) asksFor(r *request, at time.Duration) bool {
	if p.model == nil || p.ledgers == nil {
		return p.model != nil
	}
	l, now := &p.ledgers[r.node], began.Add(at)
	if l.Look(now, &r.Request) != Ask {
		return false
	}
	if p.away != nil && p.away(at) {
		l.Unanswered(now)
		return false
	}
	return true
}

// hears tells whether news between beats come through.
func (p *play) hears(at time.Duration) bool {
	return (p.away == nil || !p.away(at)) && p.random.Float64() >= p.lost
}

// standing returns the server that the request's node would choose, as package relay does: by
// what it has there itself, and by the pace of the streams that it saw.
func (p *play) standing(r *request) int {
	best, most := 0, 0.0
	for _, i := range p.random.Perm(len(p.engines)) {
		score := 2 * (1 - float64(p.inFlight[r.node][i])/48)
		paces := p.paces[r.node]
		if slices.Min(paces) > 0 {
			score += slices.Min(paces) / paces[i]
		} else {
			score++
		}
		if score > most+0.1 {
			best, most = i, score
		}
	}
	return best
}

// pace has a node learn from a stream that ended.
func (p *play) pace(r *request) {
	events := r.run.Out / 6
	if events < 8 {
		return
	}
	pace := &p.paces[r.node][r.server]
	sample := float64(r.run.End-r.run.First) / float64(events)
	if *pace == 0 {
		*pace = sample
	}
	*pace += 0.3 * (sample - *pace)
}

// follow notes what became of a request that was sent.
func (p *play) follow(r *request, at time.Duration) {
	if r.run.First == 0 && at-r.arrives > r.kind.left {
		r.gone = true
		p.engines[r.server].Leave(&r.run)
		p.tell(r, at, true)
		return
	}
	if r.run.First > 0 && !r.told && at >= r.run.First+reportTime {
		r.told = true
		p.tell(r, at, false)
		if r.first > 0 {
			p.offs = append(p.offs, float64(r.first)/float64(r.run.First-r.sent))
		}
	}
	if r.run.End > 0 && at >= r.run.End+reportTime {
		p.tell(r, at, true)
		p.pace(r)
		r.done = true
	}
}

func (p *play) tell(r *request, at time.Duration, ended bool) {
	if ended {
		p.inFlight[r.node][r.server]--
	}
	if p.model == nil {
		return
	}
	report := p.report(r, at)
	report.Ended = ended
	if r.run.First > 0 {
		report.First = r.run.First - r.sent
	}
	now, list := began.Add(at), []Report{report}
	if p.ledgers != nil {
		l := &p.ledgers[r.node]
		news := false
		if report.First > 0 {
			news = l.Answered(began.Add(r.run.First), r.Place.ID)
		}
		if ended {
			news = l.Ended(now, r.Place.ID, r.Key) || news
		}
		if !news {
			return
		}
		if list = l.News(now); !p.hears(at) {
			return
		}
	}
	if faults := p.model.Told(now, r.Place.Node, list, false); faults != nil {
		panic(faults)
	}
}

func (p *play) report(r *request, at time.Duration) Report {
	return Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: fmt.Sprint("s", r.server), Work: r.Work, Rank: r.Rank,
		Target: r.kind.target, Sent: at - r.sent, Left: 15 * time.Second, Granted: r.first > 0}
}

// beat has nodes tell the one who is asked of all they have, each once a second, and learn which
// models are crowded.
func (p *play) beat(at time.Duration) {
	now, step := began.Add(at), int(at/playStep)
	if p.away != nil && p.away(at) {
		p.model.Begin(now) // who comes next knows nothing
		return
	}
	for i := range p.ledgers {
		if step%200 == i {
			p.model.Told(now, fmt.Sprint("n", i), p.ledgers[i].Whole(now), true)
		}
	}
	if step%40 != 0 {
		return
	}
	p.model.Expire(now)
	crowded := p.model.Crowded(now, func(Key) []string { return []string{"s0", "s1"} })
	for i := range p.ledgers {
		p.ledgers[i].Told(now, crowded)
	}
}

// worth weighs what callers got: late answers count a third, those of drafts 1, of questions
// half, of notices ten times as much.
func worth(result map[string]*counts) float64 {
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

// outcome is what a way made of a load.
type outcome struct {
	kinds map[string]*counts
	asks  float64   // a second
	offs  []float64 // predictions by the real time, sorted
}

func (o *outcome) part(kind string, of func(*counts) int) float64 {
	return float64(of(o.kinds[kind])) / float64(o.kinds[kind].all)
}

func inTimeOf(c *counts) int  { return c.inTime }
func refusedOf(c *counts) int { return c.refused }
func leftOf(c *counts) int    { return c.left }
func servedOf(c *counts) int  { return c.inTime + c.late }

// String shows in time/late/refused/left by kind, and predictions: a tenth, the median and nine
// tenths.
func (o *outcome) String() string {
	text := fmt.Sprintf("draft %v notice %v question %v worth %.3f", o.kinds["draft"], o.kinds["notice"], o.kinds["question"], worth(o.kinds))
	if n := len(o.offs); n > 0 {
		text += fmt.Sprintf(" asks/s %3.0f predicted/real %.2f %.2f %.2f", o.asks, o.offs[n/10], o.offs[n/2], o.offs[n*9/10])
	}
	return text
}

// Seeds of the plays.
const playSeeds = 4

// playAll plays a load with all seeds.
func playAll(w *ways, rate float64, change func(*play)) *outcome {
	o := &outcome{kinds: map[string]*counts{}}
	for _, k := range kinds {
		o.kinds[k.name] = &counts{}
	}
	for seed := range uint64(playSeeds) {
		p := newPlay(seed, w, 0.55, 1.2)
		if change != nil {
			change(p)
		}
		p.load(rate)
		for name, c := range p.run() {
			o.kinds[name].sum(c)
		}
		o.asks += float64(p.asks) / playSeeds / playTime.Seconds()
		o.offs = append(o.offs, p.offs...)
	}
	slices.Sort(o.offs)
	return o
}

// TestCrowd plays the ways beside each other at loads from what two servers bear to far more,
// and shows with -v what callers get. It checks the one that is used against the standing one,
// and that each of its parts is worth something.
func TestCrowd(t *testing.T) {
	for _, rate := range []float64{10, 15, 25, 35} {
		got := map[string]*outcome{}
		for _, way := range []struct {
			name string
			ways *ways
		}{
			{"standing", nil},
			{"by patience, no memory", &ways{patience: true, noMemory: true, noRoom: true}},
			{"by patience", &ways{patience: true, noRoom: true}},
			{"by objective, no room for the urgent", &ways{noRoom: true}},
			{"by objective, no memory", &ways{noMemory: true}},
			{"by objective (used)", &ways{}},
		} {
			o := playAll(way.ways, rate, nil)
			got[way.name] = o
			t.Logf("%2.0f/s %-36s %v", rate, way.name, o)
		}
		told := playAll(&ways{}, rate, func(p *play) { p.ledgers = make([]Ledger, playNodes) })
		t.Logf("%2.0f/s %-36s %v", rate, "used, asked once nodes are told", told)
		told.check(t, rate, got["standing"])
		used, standing := got["by objective (used)"], got["standing"]
		used.check(t, rate, standing)
		if rate < 25 {
			continue
		}
		if a, b := worth(used.kinds), worth(got["by patience"].kinds); a < b+0.2 {
			t.Errorf("%g/s: worth %.3f by objective, %.3f by patience", rate, a, b)
		}
		without := got["by objective, no room for the urgent"]
		if a, b := used.part("question", inTimeOf), without.part("question", inTimeOf); a < b+0.1 {
			t.Errorf("%g/s: %.2f of the most urgent in time with room kept for them, %.2f without", rate, a, b)
		}
	}
}

// check has each kind fare better than by the standing way, the most urgent be refused least, and
// no kind starve.
func (o *outcome) check(t *testing.T, rate float64, standing *outcome) {
	t.Helper()
	for _, k := range kinds {
		if a, b := o.part(k.name, inTimeOf), standing.part(k.name, inTimeOf); a < b {
			t.Errorf("%g/s: %.2f of %s in time, %.2f by the standing way", rate, a, k.name, b)
		}
		if a := o.part(k.name, leftOf); a > 0.02 {
			t.Errorf("%g/s: of %s %.2f left", rate, k.name, a)
		}
		if a := o.part(k.name, servedOf); a < 0.1 {
			t.Errorf("%g/s: of %s %.2f are served", rate, k.name, a)
		}
	}
	if a, b := o.part("question", refusedOf), o.part("draft", refusedOf); a > b+0.01 {
		t.Errorf("%g/s: %.2f of the most urgent are refused, %.2f of the least", rate, a, b)
	}
}

// TestAServerThatTurnsSlow has the fast server work at a fifth of its speed for 2 s, three times.
func TestAServerThatTurnsSlow(t *testing.T) {
	slow := func(p *play) {
		p.slow = func(server int, at time.Duration) float64 {
			if server == 1 && at%(9*time.Second) > 7*time.Second {
				return 0.2
			}
			return 1
		}
	}
	standing, used := playAll(nil, 15, slow), playAll(&ways{}, 15, slow)
	t.Logf("standing %v", standing)
	t.Logf("used     %v", used)
	used.check(t, 15, standing)
}

// TestACrowdInTrouble has one thing go wrong at a time while nodes ask: callers fare better than
// by the standing way all the same.
func TestACrowdInTrouble(t *testing.T) {
	standing := playAll(nil, 25, nil)
	t.Logf("standing %v", standing)
	for name, change := range map[string]func(p *play){
		"nothing": func(*play) {},
		"nobody answers for 2.5 s, and the next knows nothing": func(p *play) {
			p.away = func(at time.Duration) bool { return at > 12*time.Second && at < 14500*time.Millisecond }
		},
		"a fifth of the news between beats is lost": func(p *play) { p.lost = 0.2 },
		"all news between beats are lost":           func(p *play) { p.lost = 1 },
	} {
		o := playAll(&ways{}, 25, func(p *play) { p.ledgers = make([]Ledger, playNodes); change(p) })
		t.Logf("%s %v", name, o)
		if a, b := worth(o.kinds), worth(standing.kinds); a < b+0.05 {
			t.Errorf("%s: worth %.3f, standing %.3f", name, a, b)
		}
		if a := o.part("question", refusedOf); a > 0.1 {
			t.Errorf("%s: %.2f of the most urgent are refused", name, a)
		}
	}
}
