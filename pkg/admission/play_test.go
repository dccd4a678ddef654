package admission

import (
	"cmp"
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
type counts struct{ all, inTime, late, refused, left, lateFirst, latePause, latePauseSlow int }

func (c counts) String() string {
	part := func(n int) float64 { return float64(n) / float64(max(c.all, 1)) }
	return fmt.Sprintf("%.2f/%.2f/%.2f/%.2f [%.2f %.2f %.2f]", part(c.inTime), part(c.late), part(c.refused), part(c.left), part(c.lateFirst), part(c.latePause), part(c.latePauseSlow))
}

// play is a load on servers, and what decides on it.
type play struct {
	random   *rand.Rand
	speeds   []float64
	engines  []*enginetest.Engine
	model    *Model // nil: the standing way
	list     []*request
	inFlight [playNodes][]int // by server
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
		if r.run.First-r.arrives > r.kind.target {
			c.lateFirst++
		} else {
			c.latePause++
			if r.server == 0 {
				c.latePauseSlow++
			}
		}
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
	if p.model != nil {
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
	p.inFlight[r.node][r.server]++
	p.engines[r.server].Add(&r.run)
}

// standing returns the server that the request's node would choose: the one at which it has
// less itself.
func (p *play) standing(r *request) int {
	own := p.inFlight[r.node]
	a, b := p.random.IntN(len(own)), p.random.IntN(len(own))
	if own[a] <= own[b] {
		return a
	}
	return b
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
		r.done = true
	}
}

func (p *play) tell(r *request, at time.Duration, ended bool) {
	p.inFlight[r.node][r.server]--
	if !ended {
		p.inFlight[r.node][r.server]++
	}
	if p.model == nil {
		return
	}
	report := Report{ID: r.Place.ID, Key: r.Key, Need: r.Need, Server: fmt.Sprint("s", r.server), Work: r.Work, Rank: r.Rank,
		Target: r.kind.target, Sent: at - r.sent, Left: time.Second, Ended: ended}
	if r.run.First > 0 {
		report.First = r.run.First - r.sent
	}
	if faults := p.model.Told(began.Add(at), r.Place.Node, []Report{report}, false); faults != nil {
		panic(faults)
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

// TestCrowd shows the ways beside each other, with -v, and checks the one that is used.
func TestCrowd(t *testing.T) {
	for _, rate := range []float64{10, 15, 20, 25, 35} {
		for _, way := range []struct {
			name string
			ways *ways
		}{
			{"standing", nil},
			{"patience, no memory", &ways{patience: true, noMemory: true, noRoom: true}},
			{"patience", &ways{patience: true, noRoom: true}},
			{"objective, no room for the urgent", &ways{noRoom: true}},
			{"objective, no memory", &ways{noMemory: true}},
			{"objective (used)", &ways{}},
		} {
			sum, asks, offs := map[string]*counts{}, 0, []float64(nil)
			const seeds = 4
			for seed := range uint64(seeds) {
				p := newPlay(seed, way.ways, 0.55, 1.2)
				p.load(rate)
				for name, c := range p.run() {
					s := cmp.Or(sum[name], &counts{})
					*s = counts{s.all + c.all, s.inTime + c.inTime, s.late + c.late, s.refused + c.refused, s.left + c.left, s.lateFirst + c.lateFirst, s.latePause + c.latePause, s.latePauseSlow + c.latePauseSlow}
					sum[name] = s
				}
				asks += p.asks
				offs = append(offs, p.offs...)
			}
			slices.Sort(offs)
			off := ""
			if len(offs) > 0 {
				off = fmt.Sprintf("predicted/real %.2f %.2f %.2f", offs[len(offs)/10], offs[len(offs)/2], offs[len(offs)*9/10])
			}
			t.Logf("%2.0f/s %-34s draft %v notice %v question %v worth %.3f asks/s %.0f %s", rate, way.name, sum["draft"], sum["notice"], sum["question"], worth(sum), float64(asks)/seeds/playTime.Seconds(), off)
		}
	}
}
