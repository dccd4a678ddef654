package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/backpressure"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/relay"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/storeclock"
)

// Times of the holder.
const (
	tickInterval = 200 * time.Millisecond
	planPause    = 40 * time.Millisecond // between plans that news cause, at least
	// mostTickPause bounds the time that messages have after a plan: models wait for the next one.
	mostTickPause = time.Second
	planShare     = 4 // and so many times what one takes
	nodeExpiry    = 3 * time.Second
	wishTime      = 6 * time.Second         // how long a wish counts after it was last told
	learnTime     = 1200 * time.Millisecond // in which a new holder hears what is in use
	returnTime    = 1500 * time.Millisecond // in which a refused request is back after its model was ready
)

// Holder decides for the site while this node holds the lease. All its state
// belongs to the goroutine of Run. Set the fields before Run.
type Holder struct {
	Lease     *lease.Lease
	Routes    func() *route.Table
	Servers   *backend.Directory
	Orders    Orders
	Transport peer.Transport
	Clock     *storeclock.Clock // of the store; nil: not told
	Decider   policy.Decider
	Turns     time.Duration // between orders of two holders to one server
	Fenced    bool          // servers refuse orders of lower terms than they have seen
	Ceiling   Ceiling
	Budget    relay.BudgetConfig                // of repeats, part of which the holder lends
	Tolerance quota.Tolerance                   // of what runs beyond tenants' quotas
	Nodes     func() []Node                     // that this node knows of
	Unheard   func(now time.Time) time.Duration // since this node heard of a holder; none if nil
	// ScarceTold returns the tenants that were scarce by the last holder's word to this node; none
	// if nil.
	ScarceTold func() []string
	// Complete tells whether this node knows of all servers; it does if nil.
	Complete func() bool
	// Quarantine is what this node knows of requests that end servers.
	Quarantine *quarantine.Table
	Time       clock.Clock
	Logger     hclog.Logger

	once     sync.Once
	life     context.Context // of Run; orders outlive the messages that cause them
	requests chan func()
	planSoon bool

	term        uint64 // of the state below
	nodes       map[string]*nodeState
	fleet       fleet
	slack       relay.SlackPool
	turns       quarantine.Trials // of suspected requests
	doubts      doubtLimit        // that are passed on
	paces       paces             // of servers
	said        changeLog[noted]  // by servers, by their lives
	quotas      quota.Pool        // safe for other goroutines than the holder's
	places      holderPlaces
	slots       backpressure.Slots // at servers with a limit; safe for other goroutines than the holder's
	scarceTold  []string           // tenants for which the nodes were told to ask
	spentBefore []report           // that wait for the configuration
	// scarceRecorded is when the lease's record was last written for tenants that became scarce.
	scarceRecorded time.Time
	roomsTold      time.Time // when the log was last told how their quotas are shared
	roster         roster    // of the nodes
	expiredAt      time.Time // when nodes' silence was last looked at, in this term
	begunAt        time.Time // when the term began here
	demands        map[demandKey]*demand
	servers        map[string]*serverState
	indices        map[string]*index        // of the last plan, by service
	learned        int                      // servers that this term learned of
	interest       interest                 // of nodes in what they were asked for
	instances      map[string]*instance     // what all lives of a server share, by its name
	fatal          map[demandKey]*fatalLoad // models during whose loads servers ended
	fetches        []time.Time              // starts of loads from the weight store
	store          storeLimit               // how many of them go at full speed at once

	taking     bool                      // the last holder is asked what it did without the store
	quietUntil time.Time                 // the last holder had all servers see its fence
	guarding   bool                      // servers may get late orders of the last holder that no intent tells of
	followed   atomic.Pointer[following] // read by other goroutines
	counted    time.Time                 // when nodes that follow were counted
	asking     atomic.Pointer[float64]   // part of the nodes that beat lately; read by other goroutines
	// toldFollowed is whether most nodes ask, as the log was told.
	toldFollowed bool
	learnUntil   time.Time     // when the nodes should have told what is in use
	resumeAt     time.Time     // when orders are given again after the store failed
	scarceUntil  time.Time     // models wait for servers
	failing      time.Time     // since when no order could be written; zero: the last one was
	planned      time.Time     // the end of the last plan
	nextPlan     chan struct{} // closed when the next plan is done
	planTook     time.Duration
	expected     map[string]map[string]time.Time // when queued models will be ready, by service
}

// Ceiling bounds the loads from the weight store in any window.
type Ceiling struct {
	Window time.Duration
}

// demandKey names a model of a service, or an adapter of it.
type demandKey struct {
	service string
	need    string
}

// demand is what is asked of a model.
type demand struct {
	rate      rates
	last      time.Time // arrival
	since     time.Time // of the first wish that counts
	logged    bool      // the log told of the wish
	waitTold  bool      // the log told that it waits for long
	waitsTill time.Time // until when a wish without a server counts
	deadline  time.Time
	priority  int // 0 is the most urgent
	request   string
}

func (h *Holder) init() {
	h.once.Do(func() {
		h.requests = make(chan func(), 256)
		h.quotas.Tolerance, h.quotas.MajorityAsksFor = h.Tolerance, h.followedFor
		h.quotas.AskingFraction, h.quotas.ReportedFraction = h.askedPart, h.heardPart
		h.nextPlan = make(chan struct{})
	})
}

// Run acts whenever the lease is held, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.init()
	h.life = ctx
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if h.mayTick(h.Time.Now()) {
				h.tick()
			}
		case f := <-h.requests:
			f()
			if h.planSoon && h.mayPlan(h.Time.Now()) {
				h.tick()
			}
		}
	}
}

// mayTick tells whether a tick may plan: messages have as long as the last plan took, in any case. With
// plans longer than the pause between ticks, messages and ticks that both waited had the same chance:
// one beat or so was answered for each plan, 62 of 1,510 of 302 nodes in time; all are so
// (TestBeatsAreAnsweredBesideLongPlans). A plan during which the process stood still counts as one of
// mostTickPause.
func (h *Holder) mayTick(now time.Time) bool {
	return now.Sub(h.planned) >= min(h.planTook, mostTickPause)
}

// tick takes in what changed and plans.
func (h *Holder) tick() {
	h.planSoon = false
	term, held := h.Lease.Held()
	if !held {
		h.tellPlanned()
		return
	}
	if term != h.term {
		h.begin(term)
	}
	now := h.Time.Now()
	h.expire(now)
	h.watchCrowds(now)
	h.countFollowers(now)
	h.learn(now)
	h.noteShort(now)
	h.plan(now)
}

// begin starts a term with nothing but what the record tells.
func (h *Holder) begin(term uint64) {
	h.term = term
	h.nodes = make(map[string]*nodeState)
	h.interest = interest{}
	h.roster.begin()
	h.demands = make(map[demandKey]*demand)
	h.servers, h.indices, h.learned = make(map[string]*serverState), nil, 0
	h.instances = make(map[string]*instance)
	h.fetches = nil
	h.fatal = make(map[demandKey]*fatalLoad)
	h.failing = time.Time{}
	h.store = storeLimit{} // another node may have held the lease since: the nodes tell what it learned
	h.expected = make(map[string]map[string]time.Time)
	record, _ := h.Lease.Current()
	now, storeNow := h.Time.Now(), h.Lease.Now()
	h.expiredAt, h.begunAt = now, now
	h.followed.Store(nil)
	h.asking.Store(nil)
	_, copied := h.Lease.TookOverAfterRestore()
	h.fleet.begin(now, record.Fleet, len(h.Nodes()), copied)
	h.slack.Budget = h.Budget
	h.slack.Begin(now)
	h.turns = quarantine.Trials{}
	h.paces = paces{}
	h.beginSaid(now)
	h.Quarantine.MergeStored(now, record.Aged(storeNow))
	h.scarceTold, h.spentBefore = nil, nil
	h.beginPlaces(now, term)
	h.slots.Begin(now, term)
	h.learnUntil = now.Add(learnTime)
	h.quietUntil = time.Time{}
	h.inheritIntents(now, storeNow, record.Intents)
	h.takeOver(term)
	h.Logger.Info("coordinating", "term", term, "intents", len(record.Intents), "fleet", record.Fleet, "listed", len(h.Nodes()), "copied", copied)
	for _, n := range h.Nodes() {
		if n.Peers != record.Address {
			h.Transport.Send(n.Peers, Announcement{Term: term, Holder: record.Holder, Address: record.Address})
		}
	}
}

// learning tells whether what is in use is not known yet: all nodes but one, the
// last holder, are to have told it.
func (h *Holder) learning(now time.Time) bool {
	return now.Before(h.learnUntil) && len(h.nodes) < len(h.Nodes())-1
}

// do runs f on the holder's goroutine and waits for it.
func (h *Holder) do(ctx context.Context, f func()) error {
	h.init()
	done := make(chan struct{})
	select {
	case h.requests <- func() { defer close(done); f() }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// decide returns what f decides on the holder's goroutine, nothing if ctx ends before: f may then run later.
func decide[A any](ctx context.Context, h *Holder, f func() A) (A, error) {
	var answer, none A
	if err := h.do(ctx, func() { answer = f() }); err != nil {
		return none, err
	}
	return answer, nil
}

// planAt has a plan made at a time, sooner than the next tick.
func (h *Holder) planAt(at time.Time) {
	time.AfterFunc(h.Time.Until(at), func() { h.post(func() { h.planSoon = true }) })
}

// post runs f on the holder's goroutine some time.
func (h *Holder) post(f func()) {
	select {
	case h.requests <- f:
	case <-h.life.Done():
	}
}

// Fleet returns how many nodes the site has, the most of the last while; zero if no
// holder of this process knew any. Safe for concurrent use.
func (h *Holder) Fleet() int { return h.fleet.known() }

// HandleMessage implements peer.Handler.
func (h *Holder) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	switch m := message.(type) {
	case Beat:
		return decide(ctx, h, func() BeatAnswer { return h.beat(h.Time.Now(), m) })
	case WishMessage:
		return h.answerWish(ctx, m, string(from.ID))
	case Draw:
		return h.draw(h.Time.Now(), m), nil
	case AskPlace:
		return h.decidePlace(h.Time.Now(), m), nil
	case AskSlot:
		return h.giveSlot(h.Time.Now(), m), nil
	case PlaceNews:
		h.takePlaceNews(h.Time.Now(), m)
		return nil, nil
	case TakeTurn:
		return decide(ctx, h, func() TurnAnswer { return h.takeTurn(h.Time.Now(), m) })
	case DoubtNotice:
		return h.answerDoubt(ctx, m)
	case ReleaseTurn:
		return nil, h.do(ctx, func() { h.releaseTurn(h.Time.Now(), m) })
	case Borrow:
		return decide(ctx, h, func() BorrowAnswer { return h.lend(h.Time.Now(), m) })
	default:
		return nil, errMessage
	}
}

// answerWish takes in a wish and answers after the next plan, which tells when the
// model will be ready.
func (h *Holder) answerWish(ctx context.Context, w WishMessage, node string) (WishAnswer, error) {
	type wished struct {
		answer  WishAnswer
		planned <-chan struct{}
	}
	told, err := decide(ctx, h, func() wished {
		answer, planned := h.wish(h.Time.Now(), w, node)
		return wished{answer, planned}
	})
	if err != nil || told.planned == nil {
		return told.answer, err
	}
	select {
	case <-told.planned:
	case <-ctx.Done():
		return told.answer, ctx.Err()
	}
	return decide(ctx, h, func() WishAnswer {
		answer := told.answer
		h.outlook(h.Time.Now(), w, &answer)
		return answer
	})
}

// holds tells whether the state is that of a term that is held now.
func (h *Holder) holds() bool {
	term, held := h.Lease.Held()
	if held && term != h.term {
		h.begin(term)
	}
	return held
}

// mayPlan tells whether news may cause a plan: plans are to leave most of the
// processor to the rest.
func (h *Holder) mayPlan(now time.Time) bool {
	return !now.Before(h.mayPlanAt())
}

// mayPlanAt returns from when news may cause a plan.
func (h *Holder) mayPlanAt() time.Time {
	return h.planned.Add(max(planPause, planShare*h.planTook))
}

func (h *Holder) demand(key demandKey) *demand {
	d := h.demands[key]
	if d == nil {
		d = &demand{}
		h.demands[key] = d
	}
	return d
}

// waits tells whether a request waits for the model.
func (d *demand) waits(now time.Time) bool { return now.Before(d.waitsTill) }

// wish takes in that a node of a name lacks a model. If no server holds it, what is known of it
// can be told after the next plan; the channel is closed then.
func (h *Holder) wish(now time.Time, w WishMessage, node string) (WishAnswer, <-chan struct{}) {
	if !h.holds() {
		return WishAnswer{}, nil
	}
	need := backend.ParseNeed(w.Need)
	key := demandKey{w.Service, w.Need}
	d := h.demand(key)
	h.interest.note(now, key, node)
	if !d.waits(now) {
		d.since, d.waitTold, d.logged = now, false, false
	}
	d.waitsTill, d.last = latest(d.waitsTill, now.Add(wishTime)), now
	d.priority, d.deadline, d.request = w.Priority, now.Add(w.Left), w.RequestID
	answer := WishAnswer{Term: h.term}
	if w.Gone {
		h.lose(now, w.Missing)
	} else {
		h.doubtHolding(now, w.Missing, need)
	}
	h.shorten(now, w.Short, w.ShortFor)
	if server := h.heldBy(now, w.Service, need); server != "" && !h.servers[server].short(now) {
		answer.Server = server
		h.tell(Notice{Server: server, Need: w.Need, Holds: true})
		d.waitsTill = time.Time{}
		return answer, nil
	}
	planned := h.nextPlan
	if !h.planSoon {
		h.planSoon = true
		h.planAt(h.mayPlanAt())
	}
	return answer, planned
}

// tellPlanned lets go those who wait for a plan.
func (h *Holder) tellPlanned() {
	close(h.nextPlan)
	h.nextPlan = make(chan struct{})
}

// outlook tells when a model that was wished for will be ready.
func (h *Holder) outlook(now time.Time, w WishMessage, answer *WishAnswer) {
	if !h.holds() || answer.Term != h.term {
		return
	}
	answer.ReadyIn = h.readyIn(now, w.Service, backend.ParseNeed(w.Need)) + h.failsFor(now)
	d := h.demand(demandKey{w.Service, w.Need})
	// Who is refused for now comes back about then.
	d.waitsTill = latest(d.waitsTill, now.Add(answer.ReadyIn+returnTime))
	if !d.logged {
		d.logged = true
		h.Logger.Info("wish", "request_id", w.RequestID, "service", w.Service, "model", w.Need,
			"priority", w.Priority, "ready_in_ms", answer.ReadyIn.Milliseconds())
	}
}

// tell sends a notice to the nodes whom it concerns and takes it in here.
func (h *Holder) tell(n Notice) {
	h.Servers.Believe(n.Server, backend.ParseNeed(n.Need), n.Holds, h.Time.Now().Add(noticeTime))
	sendAll(h.Transport, h.interested(h.Time.Now(), n), n)
}

// others returns where the nodes but this one are reached that beat to the holder.
func (h *Holder) others() []string {
	record, _ := h.Lease.Current()
	var list []string
	for _, n := range h.nodes {
		if n.node.Peers != record.Address {
			list = append(list, n.node.Peers)
		}
	}
	return list
}

// sendAll sends a message to nodes; it may get lost on the way to each.
func sendAll(t peer.Transport, addresses []string, message peer.Message) {
	for _, address := range addresses {
		t.Send(address, message)
	}
}
