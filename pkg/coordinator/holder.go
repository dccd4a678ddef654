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
	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/route"
	"martenwheel.dev/pkg/storeclock"
)

// Times of the holder.
const (
	tickInterval = 200 * time.Millisecond
	planPause    = 40 * time.Millisecond // minimum between plans triggered by messages
	// maxTickPause bounds the time left for messages after a long plan: models wait for the next plan.
	maxTickPause    = time.Second
	planPauseFactor = 4 // the pause is also at least this many times the duration of the last plan
	nodeExpiry      = 3 * time.Second
	loadRequestTTL  = 6 * time.Second         // how long a load request counts after it was last received
	learnPeriod     = 1200 * time.Millisecond // time for nodes to report what is in use to a new holder
	retryGrace      = 1500 * time.Millisecond // time for a refused request to come back after its model is ready
)

// Holder decides for the site while this node holds the lease. Its state belongs to the goroutine of
// Run, except where noted. Set the exported fields before Run.
type Holder struct {
	Lease         *lease.Lease
	Routes        func() *route.Table
	Servers       *backend.Directory
	Orders        Orders
	Transport     peer.Transport
	Clock         *storeclock.Clock // the store's clock; nil: unknown
	Decider       policy.Decider
	HandoverPause time.Duration // pause between orders of two holders to one server
	Fenced        bool          // servers refuse orders of terms lower than the highest they have seen
	Ceiling       Ceiling
	Budget        relay.BudgetConfig                // budget of retries, part of which the holder lends to nodes
	Tolerance     quota.Tolerance                   // how far usage may exceed tenants' quotas
	Nodes         func() []Node                     // nodes that this node knows of
	HolderSilence func(now time.Time) time.Duration // time since this node last had an answer from a holder; zero if nil
	// ScarceTenants returns the tenants that the last holder reported to this node as scarce; none if nil.
	ScarceTenants func() []string
	// Complete tells whether this node knows all servers; if nil, it does.
	Complete func() bool
	// ListRevision returns the revision of the store at which the list of servers was last confirmed; nil: unknown.
	ListRevision func() revision.Revision
	// ListAge returns the age of the list of servers; nil: it is up to date.
	ListAge func() time.Duration
	// RoutesOverdue tells whether the configuration that Routes returns has not been confirmed to be in force for longer than its bound;
	// nil: it always has.
	RoutesOverdue func() bool
	// Quarantine is this node's evidence against requests that crash servers.
	Quarantine *quarantine.Table
	Time       clock.Clock
	Logger     hclog.Logger

	once     sync.Once
	runCtx   context.Context // context of Run; orders outlive the messages that cause them
	tasks    chan func()
	planSoon bool

	term            uint64 // term of the state below
	nodes           map[string]*nodeState
	fleet           fleet
	retryPool       relay.SlackPool
	trials          quarantine.Trials          // trials of suspected requests
	suspicions      suspicionLimit             // limits the suspicions that are forwarded
	speeds          serverSpeeds               // speeds of servers, as sent to the nodes
	beliefs         changeLog[announcedBelief] // what servers announced, by ID of the incarnation
	quotas          quota.Pool                 // safe for concurrent use
	places          holderPlaces
	versions        versionWatch
	slots           backpressure.Slots // slots at servers with a request limit; safe for concurrent use
	announcedScarce []string           // tenants last announced to the nodes as scarce
	pendingSpend    []spendReport      // reports of quota usage that wait until the configuration is read
	// scarceRecordedAt is when the lease's record was last written because tenants became scarce.
	scarceRecordedAt time.Time
	sharesLoggedAt   time.Time // when the division of scarce tenants' quotas was last logged
	roster           roster    // list of nodes and its changes
	lastExpiry       time.Time // when silent nodes were last looked for, in this term
	termBegan        time.Time // when the term began at this node
	demands          map[demandKey]*demand
	servers          map[string]*serverState
	indices          map[string]*index           // indices of servers made for the last plan, by service
	learnedServers   int                         // number of servers learned of in this term
	interest         interest                    // models that were recently requested at each node
	instances        map[string]*instance        // state that outlives a server's incarnations, by server name
	crashingLoads    map[demandKey]*crashingLoad // models during whose loads servers crashed
	fetchStarts      []time.Time                 // start times of loads from the weight store
	sizes            sizeMemory                  // sizes of models by earlier configurations
	store            storeLimit                  // learns how many loads from the weight store run at full speed at once

	awaitingHandover    bool                     // the last holder was asked for the orders it gave without the store
	quietUntil          time.Time                // end of the pause after the last holder raised its fence at all servers
	fenceAll            bool                     // servers may get late orders of the last holder that no intent records
	majority            atomic.Pointer[majority] // since when most nodes send heartbeats here; safe for concurrent use
	heartbeatsCountedAt time.Time                // when the nodes' heartbeats were last counted
	heartbeatShare      atomic.Pointer[float64]  // share of the nodes that sent a heartbeat recently; safe for concurrent use
	// majorityLogged is whether most nodes ask this holder, as last logged.
	majorityLogged bool
	learnUntil     time.Time     // when the nodes should have reported what is in use
	resumeAt       time.Time     // when orders are given again after the store failed
	scarceUntil    time.Time     // models waited for servers recently, until this time
	routesOverdue  bool          // orders wait for the configuration, as last logged
	failingSince   time.Time     // since when no order's intent could be written; zero: the last write succeeded
	lastPlanned    time.Time     // end of the last plan
	nextPlan       chan struct{} // closed when the next plan is done
	planTook       time.Duration
	expectedReady  map[string]map[string]time.Time // when queued models will be ready, by service
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

// demand is the demand for one model or adapter.
type demand struct {
	rate         rates
	lastArrival  time.Time
	waitingSince time.Time // when the first load request that still counts arrived
	logged       bool      // the load request was logged
	waitLogged   bool      // the long wait was logged
	waitsUntil   time.Time // when the load request expires if no server holds the model
	deadline     time.Time
	priority     int // 0 is the most urgent
	requestID    string
	bound        map[string]time.Time // software versions whose streams wait for the adapter, until when
}

func (h *Holder) init() {
	h.once.Do(func() {
		h.tasks = make(chan func(), 256)
		h.quotas.Tolerance, h.quotas.MajorityAsksFor = h.Tolerance, h.majorityFor
		h.quotas.AskingFraction, h.quotas.ReportedFraction = h.recentHeartbeatShare, h.termHeartbeatShare
		h.nextPlan = make(chan struct{})
	})
}

// Run coordinates the site whenever this node holds the lease, until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.init()
	h.runCtx = ctx
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
		case f := <-h.tasks:
			f()
			if h.planSoon && h.mayPlan(h.Time.Now()) {
				h.tick()
			}
		}
	}
}

// mayTick tells whether a tick may plan. After each plan, messages have at least as long as the plan took,
// at most maxTickPause (a plan may seem long because the process was suspended). Otherwise, with plans
// longer than the tick interval, waiting ticks and messages are chosen equally often, about one heartbeat
// is answered per plan, and 302 nodes get 62 of 1,510 heartbeats answered in time instead of all
// (TestHeartbeatsAreAnsweredDuringLongPlans).
func (h *Holder) mayTick(now time.Time) bool {
	return now.Sub(h.lastPlanned) >= min(h.planTook, maxTickPause)
}

// tick updates the state and plans, if this node holds the lease.
func (h *Holder) tick() {
	h.planSoon = false
	h.learnSizes(h.Time.Now(), h.Routes())
	term, held := h.Lease.Held()
	if !held {
		h.signalPlanned()
		return
	}
	if term != h.term {
		h.beginTerm(term)
	}
	now := h.Time.Now()
	h.expire(now)
	h.updateOverloadedModels(now)
	h.countHeartbeats(now)
	h.learnRecords(now)
	h.observeVersions()
	h.markOverloadedServers(now)
	h.plan(now)
}

// beginTerm resets the state at the start of a term to what the lease's record tells.
func (h *Holder) beginTerm(term uint64) {
	h.term = term
	h.nodes = make(map[string]*nodeState)
	h.interest = interest{}
	h.roster.begin()
	h.demands = make(map[demandKey]*demand)
	h.servers, h.indices, h.learnedServers = make(map[string]*serverState), nil, 0
	h.instances = make(map[string]*instance)
	h.fetchStarts = nil
	h.crashingLoads = make(map[demandKey]*crashingLoad)
	h.failingSince = time.Time{}
	h.store = storeLimit{} // outdated if another node held the lease since; nodes report what was learned
	h.expectedReady = make(map[string]map[string]time.Time)
	record, _ := h.Lease.Current()
	now, storeNow := h.Time.Now(), h.Lease.Now()
	h.lastExpiry, h.termBegan = now, now
	h.majority.Store(nil)
	h.heartbeatShare.Store(nil)
	_, restored := h.Lease.TookOverAfterRestore()
	h.fleet.begin(now, record.Fleet, len(h.Nodes()), restored)
	h.retryPool.Budget = h.Budget
	h.retryPool.Begin(now)
	h.trials = quarantine.Trials{}
	h.speeds = serverSpeeds{}
	h.beginBeliefs(now)
	h.Quarantine.MergeStored(now, record.Aged(storeNow))
	h.announcedScarce, h.pendingSpend = nil, nil
	h.beginPlaces(now, term)
	h.slots.Begin(now, term)
	h.beginVersions(term, record.Sole)
	h.sizes.inherit(now, record.Sizes)
	h.learnUntil = now.Add(learnPeriod)
	h.quietUntil = time.Time{}
	h.inheritIntents(now, storeNow, record.Intents)
	h.takeOver(term)
	h.Logger.Info("coordinating", "term", term, "intents", len(record.Intents), "fleet", record.Fleet, "listed", len(h.Nodes()), "copied", restored)
	for _, n := range h.Nodes() {
		if n.Peers != record.Address {
			h.Transport.Send(n.Peers, Announcement{Term: term, Holder: record.Holder, Address: record.Address})
		}
	}
}

// learning tells whether the models in use are not known yet: nodes still have to report them, all but
// one, which is the last holder and may be gone.
func (h *Holder) learning(now time.Time) bool {
	return now.Before(h.learnUntil) && len(h.nodes) < len(h.Nodes())-1
}

// runOnLoop runs f on the goroutine of Run and waits for it.
func (h *Holder) runOnLoop(ctx context.Context, f func()) error {
	h.init()
	done := make(chan struct{})
	select {
	case h.tasks <- func() { defer close(done); f() }:
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

// callOnLoop runs f on the goroutine of Run and returns its result. It returns an error if ctx ends
// first: f may then still run later.
func callOnLoop[A any](ctx context.Context, h *Holder, f func() A) (A, error) {
	var answer, none A
	if err := h.runOnLoop(ctx, func() { answer = f() }); err != nil {
		return none, err
	}
	return answer, nil
}

// planAt schedules a plan for a time before the next tick.
func (h *Holder) planAt(at time.Time) {
	time.AfterFunc(h.Time.Until(at), func() { h.post(func() { h.planSoon = true }) })
}

// post queues f for the goroutine of Run and does not wait for it.
func (h *Holder) post(f func()) {
	select {
	case h.tasks <- f:
	case <-h.runCtx.Done():
	}
}

// FleetSize returns the number of nodes of the site, the maximum of recent times; zero if no holder in this
// process knew any. Safe for concurrent use.
func (h *Holder) FleetSize() int { return h.fleet.known() }

// HandleMessage implements peer.Handler.
func (h *Holder) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	switch m := message.(type) {
	case Beat:
		return callOnLoop(ctx, h, func() BeatAnswer { return h.handleHeartbeat(h.Time.Now(), m) })
	case WishMessage:
		return h.answerLoadRequest(ctx, m, string(from.ID))
	case Draw:
		return h.decideDraw(h.Time.Now(), m), nil
	case AskPlace:
		return h.decidePlace(h.Time.Now(), m), nil
	case AskSlot:
		return h.grantSlot(ctx, h.Time.Now(), m), nil
	case ReturnPlace:
		h.returnPlace(h.Time.Now(), m)
		return nil, nil
	case PlaceNews:
		h.applyPlaceNews(h.Time.Now(), m)
		return nil, nil
	case TakeTurn:
		return callOnLoop(ctx, h, func() TurnAnswer { return h.grantTrial(h.Time.Now(), m) })
	case DoubtNotice:
		return h.answerSuspicion(ctx, m)
	case ReleaseTurn:
		return nil, h.runOnLoop(ctx, func() { h.releaseTrial(h.Time.Now(), m) })
	case Borrow:
		return callOnLoop(ctx, h, func() BorrowAnswer { return h.lendRetry(h.Time.Now(), m) })
	default:
		return nil, errMessage
	}
}

// answerLoadRequest handles a load request. It answers after the next plan, which tells when the model
// will be ready.
func (h *Holder) answerLoadRequest(ctx context.Context, w WishMessage, node string) (WishAnswer, error) {
	type acceptedRequest struct {
		answer  WishAnswer
		planned <-chan struct{}
	}
	result, err := callOnLoop(ctx, h, func() acceptedRequest {
		answer, planned := h.handleLoadRequest(h.Time.Now(), w, node)
		return acceptedRequest{answer, planned}
	})
	if err != nil || result.planned == nil {
		return result.answer, err
	}
	select {
	case <-result.planned:
	case <-ctx.Done():
		return result.answer, ctx.Err()
	}
	return callOnLoop(ctx, h, func() WishAnswer {
		answer := result.answer
		h.estimateReady(h.Time.Now(), w, &answer)
		return answer
	})
}

// ensureTerm tells whether this node holds the lease, and resets the state if it is of an earlier term.
func (h *Holder) ensureTerm() bool {
	term, held := h.Lease.Held()
	if held && term != h.term {
		h.beginTerm(term)
	}
	return held
}

// mayPlan tells whether a message may trigger a plan now. Plans must leave most of the processor time to
// other work.
func (h *Holder) mayPlan(now time.Time) bool {
	return !now.Before(h.mayPlanAt())
}

// mayPlanAt returns when a message may next trigger a plan.
func (h *Holder) mayPlanAt() time.Time {
	return h.lastPlanned.Add(max(planPause, planPauseFactor*h.planTook))
}

func (h *Holder) demandFor(key demandKey) *demand {
	d := h.demands[key]
	if d == nil {
		d = &demand{}
		h.demands[key] = d
	}
	return d
}

// waits tells whether a request waits for the model.
func (d *demand) waits(now time.Time) bool { return now.Before(d.waitsUntil) }

// handleLoadRequest handles a load request of the named node. If no server holds the model, it also
// returns a channel that is closed after the next plan, when the time to ready can be estimated.
func (h *Holder) handleLoadRequest(now time.Time, w WishMessage, node string) (WishAnswer, <-chan struct{}) {
	if !h.ensureTerm() {
		return WishAnswer{}, nil
	}
	need := backend.ParseNeed(w.Need)
	key := demandKey{w.Service, w.Need}
	d := h.demandFor(key)
	h.interest.note(now, key, node)
	if w.Bound {
		return h.handleBoundRequest(now, w, d)
	}
	if !d.waits(now) {
		d.waitingSince, d.waitLogged, d.logged = now, false, false
	}
	d.waitsUntil, d.lastArrival = latest(d.waitsUntil, now.Add(loadRequestTTL)), now
	d.priority, d.deadline, d.requestID = w.Priority, now.Add(w.Left), w.RequestID
	answer := WishAnswer{Term: h.term}
	if w.Gone {
		h.noteConnectionRefused(now, w.Missing)
	} else {
		h.recheckHolding(now, w.Missing, need)
	}
	h.markOverloaded(now, w.Short, w.ShortFor)
	if server := h.heldBy(now, w.Service, need); server != "" && !h.servers[server].overloaded(now) {
		answer.Server = server
		h.sendNotice(Notice{Server: server, Need: w.Need, Holds: true})
		d.waitsUntil = time.Time{}
		return answer, nil
	}
	return answer, h.planNext()
}

// planNext makes the next plan follow soon, and returns a channel that is closed after it.
func (h *Holder) planNext() <-chan struct{} {
	planned := h.nextPlan
	if !h.planSoon {
		h.planSoon = true
		h.planAt(h.mayPlanAt())
	}
	return planned
}

// signalPlanned wakes the load requests that wait for a plan.
func (h *Holder) signalPlanned() {
	close(h.nextPlan)
	h.nextPlan = make(chan struct{})
}

// estimateReady fills in when the model of a load request will be ready.
func (h *Holder) estimateReady(now time.Time, w WishMessage, answer *WishAnswer) {
	if !h.ensureTerm() || answer.Term != h.term {
		return
	}
	if w.Bound {
		answer.ReadyIn = h.boundReadyIn(now, w)
		return
	}
	answer.ReadyIn = h.readyIn(now, w.Service, backend.ParseNeed(w.Need)) + h.expectedOutage(now)
	d := h.demandFor(demandKey{w.Service, w.Need})
	// A caller that is refused now retries at about that time.
	d.waitsUntil = latest(d.waitsUntil, now.Add(answer.ReadyIn+retryGrace))
	if !d.logged {
		d.logged = true
		h.Logger.Info("model load requested", "request_id", w.RequestID, "service", w.Service, "model", w.Need,
			"priority", w.Priority, "ready_in_ms", answer.ReadyIn.Milliseconds())
	}
}

// sendNotice applies a notice here and sends it to the nodes that are interested in it.
func (h *Holder) sendNotice(n Notice) {
	h.Servers.OverrideHolding(n.Server, backend.ParseNeed(n.Need), n.Holds, h.Time.Now().Add(noticeTime))
	sendAll(h.Transport, h.interested(h.Time.Now(), n), n)
}

// otherNodes returns the addresses of the nodes that send heartbeats, without this one.
func (h *Holder) otherNodes() []string {
	record, _ := h.Lease.Current()
	var list []string
	for _, n := range h.nodes {
		if n.node.Peers != record.Address {
			list = append(list, n.node.Peers)
		}
	}
	return list
}

// sendAll sends a message to several nodes, without confirmation.
func sendAll(t peer.Transport, addresses []string, message peer.Message) {
	for _, address := range addresses {
		t.Send(address, message)
	}
}
