package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/storeclock"
)

// Times of a member.
const (
	heartbeatInterval = time.Second
	heartbeatRetry    = 300 * time.Millisecond
	heartbeatTimeout  = 700 * time.Millisecond
	idleCheckInterval = 250 * time.Millisecond // between checks for idle replicas while servers are scarce
	noticeTime        = 5 * time.Second
)

// Errors of a member.
var (
	ErrNoHolder = errors.New("coordinator: no node is known to hold the lease")
	errMessage  = errors.New("coordinator: unexpected message")
)

// Member is each node's side of the coordination. Set the exported fields before Run.
type Member struct {
	Self      Node
	Lease     *lease.Lease
	Holder    *Holder // holder of this node; active while this node has the lease
	Transport peer.Transport
	Servers   *backend.Directory
	Clock     *storeclock.Clock // the store's clock; nil: not needed
	// Configured is called with the configuration version in force at the holder; may be nil.
	Configured func(version uint64)
	Candidate  func() bool // whether this node is among the first to take the lease; nil: it is
	// NearestFullNode returns the address of a node that knows all servers; empty, or nil: this node knows them.
	NearestFullNode func() string
	// EnsureServers loads the details of the given server incarnations and keeps them up to date; nil: this
	// node knows all servers.
	EnsureServers func(ctx context.Context, servers []string) error
	// ReadVersions is needed for ConfirmSole.
	ReadVersions ReadVersions
	// Quarantine is this node's evidence against requests that crash servers, shared with Holder.
	Quarantine *quarantine.Table
	Time       clock.Clock
	Logger     hclog.Logger

	nodes                atomic.Pointer[[]Node]
	fleet                atomic.Int64
	sole                 atomic.Pointer[knownSole]
	soleReads            soleReads
	version              NodesVersion    // version of the list in nodes; for Run alone
	partialNodes         []Node          // list received so far; nil: the list is complete; for Run alone
	moreNodes            bool            // the last answer held only part of the list; for Run alone
	nextHeartbeat        time.Time       // latest time of the next heartbeat; for Run alone
	serversScarce        bool            // models waited for servers recently, by the last answer; for Run alone
	reportedRunning      map[replica]int // running requests in the last heartbeat; for Run alone
	storeLimit           StoreLimit      // learned by the last holder; for Run alone
	storeLimitTerm       uint64          // term of the holder that was sent storeLimit; for Run alone
	stopping             atomic.Bool
	ledger               quota.Ledger
	deputyLedger         quota.Ledger // what this node admits as the deputy while no holder answers
	pendingEvidence      evidenceQueue
	held                 isolatedRuns // of other nodes
	isolated             isolatedRuns
	runningTrials        runningTrials
	suspicions           suspicionLimit // limits the suspicions that this node sends
	places               memberPlaces
	slotBackoffs         slotBackoffs
	pendingAnnouncements pendingAnnouncements // announcements of servers not sent to the holder yet
	announcementsKnown   SaidVersion          // last change of servers' announcements received; for Run alone
	speedsKnown          PacesVersion         // last change of servers' speeds received; for Run alone
	evidence             uint64               // checksum of the holder's evidence, as last received; for Run alone
	heartbeatNow         chan struct{}
	started              sync.Once

	mu              sync.Mutex
	arrivals        map[demandKey]arrivals
	rates           map[demandKey]*rates // arrivals that were reported to a holder
	ratesTerm       uint64               // term of the holder that was sent the rates
	firstContact    holderContact        // with the current holder
	loadRequests    map[loadRequestKey]*sentLoadRequest
	connected       bool      // the last heartbeat was answered
	unansweredSince time.Time // when the first call without an answer failed
	silentSince     time.Time // when it was sent
}

// holderContact is when the holder of a term first answered this node.
type holderContact struct {
	term  uint64
	since time.Time
}

func (m *Member) init() {
	m.started.Do(func() { m.heartbeatNow = make(chan struct{}, 1) })
}

// Nodes returns the nodes of the site as last received from a holder, including this one.
func (m *Member) Nodes() []Node {
	if nodes := m.nodes.Load(); nodes != nil {
		return *nodes
	}
	return []Node{m.self()}
}

// FleetSize returns the number of nodes that divide shared budgets: no fewer than there are, zero before a
// holder answered. It keeps its value while no holder answers.
func (m *Member) FleetSize() int { return int(m.fleet.Load()) }

// NodesKnown tells whether a holder has sent the list of nodes.
func (m *Member) NodesKnown() bool { return m.nodes.Load() != nil }

// Stop tells the others that this node is leaving.
func (m *Member) Stop() {
	m.stopping.Store(true)
	m.heartbeatSoon()
}

// MachineResumed makes the node check at once who holds the lease, after its machine was suspended.
func (m *Member) MachineResumed() {
	m.Lease.Suspect()
	m.heartbeatSoon()
}

// heartbeatSoon sends the next heartbeat at once.
func (m *Member) heartbeatSoon() {
	m.init()
	select {
	case m.heartbeatNow <- struct{}{}:
	default:
	}
}

func (m *Member) self() Node {
	n := m.Self
	n.Stopping, n.Follows = m.stopping.Load(), true
	return n
}

// Run sends heartbeats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.init()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.heartbeatNow:
			m.nextHeartbeat = time.Time{}
		case <-timer.C:
		}
		timer.Reset(m.heartbeatIfDue(ctx))
	}
}

// heartbeatIfDue sends a heartbeat if one is due, or if replicas became idle that can be replaced by
// models that wait. It returns the time until the next check.
func (m *Member) heartbeatIfDue(ctx context.Context) time.Duration {
	now := m.Time.Now()
	if left := m.nextHeartbeat.Sub(now); left > 0 && !m.stopping.Load() && !m.replicaWentIdle() {
		return min(left, idleCheckInterval)
	}
	m.nextHeartbeat = now.Add(heartbeatInterval)
	if err := m.heartbeat(ctx); err != nil {
		m.holderLost(now, err)
		m.serversScarce = false
		m.nextHeartbeat = now.Add(heartbeatRetry)
		return heartbeatRetry
	}
	if m.moreNodes {
		m.nextHeartbeat = now
		return 0
	}
	if m.serversScarce {
		return idleCheckInterval
	}
	return heartbeatInterval
}

// replicaWentIdle tells whether a replica that was last reported in use is idle now.
func (m *Member) replicaWentIdle() bool {
	if !m.serversScarce {
		return false
	}
	running := m.running()
	for r := range m.reportedRunning {
		if running[r] == 0 {
			return true
		}
	}
	return false
}

// running counts the requests of this node by replica.
func (m *Member) running() map[replica]int {
	running := make(map[replica]int)
	for _, s := range m.Servers.Snapshot().Members() {
		s.EachRunning(func(model string, n int) {
			if n > 0 {
				running[replica{s.ID, model}] = n
			}
		})
	}
	return running
}

// suspectDelay is how long nodes that are not candidates wait for the candidates to elect a new holder,
// which then announces itself.
const suspectDelay = 4 * time.Second

// holderLost records that the holder did not answer a call that was sent at the given time.
func (m *Member) holderLost(sent time.Time, err error) {
	m.mu.Lock()
	if m.connected || m.unansweredSince.IsZero() {
		m.unansweredSince, m.silentSince = m.Time.Now(), sent
		m.Logger.Warn("coordinator lost", "error", err)
	}
	m.connected = false
	waited := m.Time.Since(m.unansweredSince)
	m.mu.Unlock()
	if !m.NodesKnown() || m.Candidate == nil || m.Candidate() || waited > suspectDelay {
		m.Lease.Suspect()
	}
}

// heartbeat sends a heartbeat to the holder and processes the answer.
func (m *Member) heartbeat(ctx context.Context) error {
	running := m.running()
	beat := m.newHeartbeat()
	sent := m.Time.Now()
	answer, err := callHolder[BeatAnswer](ctx, m, beat)
	if err == nil && answer.Version.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.ledger.Return(beat.Spent)
		m.places.ledger.Return(sent, beat.Places)
		m.pendingAnnouncements.restore(sent, beat.Said)
		return err
	}
	m.reportedRunning = running
	m.applyAnswer(sent, &answer)
	return nil
}

// newHeartbeat returns the heartbeat to send now. Reports that are sent only once are removed from where
// they are kept.
func (m *Member) newHeartbeat() Beat {
	var store StoreLimit
	var quotasLeft []quota.Balance
	if record, _ := m.Lease.Current(); record.Term != m.storeLimitTerm {
		store = m.storeLimit
		quotasLeft = m.Holder.quotas.FormerBalances(m.Time.Now(), record.Term)
	}
	return Beat{
		Node: m.self(), Uses: m.uses(m.Time.Now()), Knows: m.version, Partial: true, Paged: true, Store: store, Spent: m.ledger.Report(), QuotasLeft: quotasLeft,
		Evidence: knownEvidence(m.Quarantine, m.Time.Now(), m.evidence),
		Paces:    m.Servers.TakeQueuedPaces(speedReportShare(m.FleetSize())), KnowsPaces: m.speedsKnown,
		Places: m.places.ledger.AllReports(m.Time.Now()),
		Said:   m.pendingAnnouncements.take(m.Time.Now()), KnowsSaid: m.announcementsKnown,
	}
}

// applyAnswer processes the answer to a heartbeat that was sent at the given time.
func (m *Member) applyAnswer(sent time.Time, answer *BeatAnswer) {
	m.noteTerm(m.Time.Now(), answer.Version.Term)
	m.setScarce(answer.ScarceTenants)
	m.places.ledger.UpdateOverloaded(m.Time.Now(), answer.Crowded)
	m.applyEvidence(answer.Evidence.Parts)
	m.evidence = answer.Evidence.Sum
	m.applySpeeds(sent, answer)
	m.applyAnnouncements(sent, answer)
	if m.Clock != nil && answer.StoreClock > 0 {
		m.Clock.ObserveLatest(sent, answer.StoreClock)
	}
	if m.Configured != nil && answer.Configuration > 0 {
		m.Configured(answer.Configuration)
	}
	m.sole.Store(&knownSole{sent, answer.SoleAsOf, answer.Sole})
	m.serversScarce = answer.Scarce
	m.storeLimitTerm = answer.Version.Term
	if answer.Store.Loads > 0 {
		m.storeLimit = answer.Store
	}
	m.fleet.Store(int64(answer.Fleet))
	m.applyNodes(answer)
	m.moreNodes = answer.More
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.connected {
		m.Logger.Info("coordinator answers", "term", answer.Version.Term, "nodes", len(m.Nodes()))
	}
	m.connected = true
	m.ratesTerm = answer.Version.Term
}

// callHolder sends a message to the holder, which may be this node, and returns its answer.
func callHolder[A any](ctx context.Context, m *Member, message peer.Message) (A, error) {
	var none A
	record, known := m.Lease.Current()
	if !known || record.Holder == "" {
		return none, ErrNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply peer.Message
	var err error
	if record.Address == m.Self.Peers {
		reply, err = m.Holder.HandleMessage(ctx, api.NodeRef{}, message)
	} else {
		reply, err = m.Transport.Call(ctx, record.Address, message)
	}
	if err != nil {
		return none, err
	}
	answer, ok := reply.(A)
	if !ok {
		return none, errMessage
	}
	return answer, nil
}

// HandleMessage implements peer.Handler.
func (m *Member) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	switch n := message.(type) {
	case Notice:
		m.applyNotice(n)
		return nil, nil
	case Locate:
		return m.answerLocate(n), nil
	case Announcement:
		m.Lease.Announced(lease.Record{Term: n.Term, Holder: n.Holder, Address: n.Address})
		m.heartbeatSoon()
		return nil, nil
	case EvidenceNotice:
		m.applyEvidence(n.Evidence)
		m.watchHeld(n.Evidence)
		return nil, nil
	case DoubtNews:
		m.applyEvidence(DoubtNotice(n).list())
		return DoubtTaken{}, nil
	case DeputyDraw:
		return m.drawAsDeputy(ctx, n)
	case QuotaNotice:
		if record, known := m.Lease.Current(); known && record.Term == n.Term {
			m.setScarce(n.Scarce)
		}
		return nil, nil
	case CrowdNotice:
		if record, known := m.Lease.Current(); known && record.Term == n.Term {
			m.places.ledger.UpdateOverloaded(m.Time.Now(), n.Crowded)
		}
		return nil, nil
	case Yield:
		next := lease.Record{Term: n.Term, Holder: n.Holder, Address: n.Address}
		handover := Handover{m.Lease.Yield(next)}
		m.heartbeatSoon()
		return handover, nil
	}
	return m.Holder.HandleMessage(ctx, from, message)
}
