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
	beatInterval = time.Second
	beatRetry    = 300 * time.Millisecond
	beatTimeout  = 700 * time.Millisecond
	idleLook     = 250 * time.Millisecond // between looks at what went idle while servers are scarce
	noticeTime   = 5 * time.Second
)

// Errors of a member.
var (
	ErrNoHolder = errors.New("coordinator: no node is known to hold the lease")
	errMessage  = errors.New("coordinator: unexpected message")
)

// Member is a node's part in the site. Set the fields before Run.
type Member struct {
	Self      Node
	Lease     *lease.Lease
	Holder    *Holder // of this node; acts while the lease is held here
	Transport peer.Transport
	Servers   *backend.Directory
	Clock     *storeclock.Clock // of the store; nil: not needed
	// Configured is told the version of the configuration at the holder; may be nil.
	Configured func(version uint64)
	Candidate  func() bool // whether this node is among the first to take the lease
	// Nearest returns where a node is reached that knows all servers; empty, or nil: this node does.
	Nearest func() string
	// Cover gets to know lives of servers, which this node then is told of; nil: it knows all.
	Cover func(ctx context.Context, servers []string) error
	// Quarantine is what this node knows of requests that end servers; the holder's as well.
	Quarantine *quarantine.Table
	Time       clock.Clock
	Logger     hclog.Logger

	nodes      atomic.Pointer[[]Node]
	fleet      atomic.Int64
	version    NodesVersion    // of nodes; for Run alone
	listing    []Node          // as far as they were told; nil: they are told as a whole; for Run alone
	more       bool            // the last answer told of the first nodes only; for Run alone
	beatAt     time.Time       // when the next beat is due at the latest; for Run alone
	scarce     bool            // by the last answer; for Run alone
	told       map[replica]int // running requests by the last beat; for Run alone
	store      StoreLimit      // as the last holder learned it; for Run alone
	storeTold  uint64          // term of the holder that was told of it; for Run alone
	stopping   atomic.Bool
	ledger     quota.Ledger
	deputized  quota.Ledger // what this node lets in for all while there is no holder
	notices    notices
	apart      apart
	doubts     doubtLimit // that this node tells
	places     memberPlaces
	slotRests  slotRests
	hearings   hearings     // of this node, from servers
	saidKnown  SaidVersion  // of what servers said, as last told; for Run alone
	pacesKnown PacesVersion // of servers, as last told; for Run alone
	evidence   uint64       // sum of the holder's evidence, as last told; for Run alone
	beatNow    chan struct{}
	started    sync.Once

	mu       sync.Mutex
	arrivals map[demandKey]arrivals
	rates    map[demandKey]*rates // arrivals that a holder was told of
	toldTerm uint64               // term of the holder that knows the rates
	heard    heard                // of a holder
	wishes   map[demandKey]*asked
	answered bool      // the last beat was
	since    time.Time // of the first beat without an answer
}

// heard is since when a node has heard of the holder of a term.
type heard struct {
	term  uint64
	since time.Time
}

func (m *Member) init() {
	m.started.Do(func() { m.beatNow = make(chan struct{}, 1) })
}

// Nodes returns the nodes of the site as last told, this one among them.
func (m *Member) Nodes() []Node {
	if nodes := m.nodes.Load(); nodes != nil {
		return *nodes
	}
	return []Node{m.self()}
}

// Fleet returns among how many nodes this one shares what all may use together: no
// fewer than there are, zero while no holder told. It stays as last told while no holder
// answers.
func (m *Member) Fleet() int { return int(m.fleet.Load()) }

// Known tells whether the nodes of the site are as a holder told.
func (m *Member) Known() bool { return m.nodes.Load() != nil }

// Stop tells the others that this node is leaving.
func (m *Member) Stop() {
	m.stopping.Store(true)
	m.beatSoon()
}

// Woke has the node find out at once, after its machine was suspended, who holds the lease.
func (m *Member) Woke() {
	m.Lease.Suspect()
	m.beatSoon()
}

// beatSoon has the next beat go out at once.
func (m *Member) beatSoon() {
	m.init()
	select {
	case m.beatNow <- struct{}{}:
	default:
	}
}

func (m *Member) self() Node {
	n := m.Self
	n.Stopping, n.Follows = m.stopping.Load(), true
	return n
}

// Run beats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.init()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.beatNow:
			m.beatAt = time.Time{}
		case <-timer.C:
		}
		timer.Reset(m.beatOrLook(ctx))
	}
}

// beatOrLook beats if it is time to, or if requests ended that keep replicas from making
// way for models that wait. It returns when to look again.
func (m *Member) beatOrLook(ctx context.Context) time.Duration {
	now := m.Time.Now()
	if left := m.beatAt.Sub(now); left > 0 && !m.stopping.Load() && !m.wentIdle() {
		return min(left, idleLook)
	}
	m.beatAt = now.Add(beatInterval)
	if err := m.beat(ctx); err != nil {
		m.lost(err)
		m.scarce = false
		m.beatAt = now.Add(beatRetry)
		return beatRetry
	}
	if m.more {
		m.beatAt = now
		return 0
	}
	if m.scarce {
		return idleLook
	}
	return beatInterval
}

// wentIdle tells whether a replica that the holder was told to be in use is idle by now.
func (m *Member) wentIdle() bool {
	if !m.scarce {
		return false
	}
	running := m.running()
	for r := range m.told {
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

// patience is how long nodes that are not candidates leave it to the others to
// find a new holder, who then announces itself.
const patience = 4 * time.Second

// lost notes that the holder does not answer.
func (m *Member) lost(err error) {
	m.mu.Lock()
	if m.answered || m.since.IsZero() {
		m.since = m.Time.Now()
		m.Logger.Warn("coordinator lost", "error", err)
	}
	m.answered = false
	waited := m.Time.Since(m.since)
	m.mu.Unlock()
	if !m.Known() || m.Candidate == nil || m.Candidate() || waited > patience {
		m.Lease.Suspect()
	}
}

// beat tells the holder of this node and takes in what it tells of the others.
func (m *Member) beat(ctx context.Context) error {
	told := m.running()
	beat := m.newBeat()
	sent := m.Time.Now()
	answer, err := ask[BeatAnswer](ctx, m, beat)
	if err == nil && answer.Version.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.ledger.Return(beat.Spent)
		m.places.ledger.Return(sent, beat.Places)
		m.hearings.giveBack(sent, beat.Said)
		return err
	}
	m.told = told
	m.takeAnswer(sent, &answer)
	return nil
}

// newBeat returns what this node tells now. What it tells once is taken from where it is kept.
func (m *Member) newBeat() Beat {
	var store StoreLimit
	var left []quota.Balance
	if record, _ := m.Lease.Current(); record.Term != m.storeTold {
		store = m.store
		left = m.Holder.quotas.FormerBalances(m.Time.Now(), record.Term)
	}
	return Beat{
		Node: m.self(), Uses: m.uses(m.Time.Now()), Knows: m.version, Partial: true, Paged: true, Store: store, Spent: m.ledger.Report(), QuotasLeft: left,
		Evidence: knownEvidence(m.Quarantine, m.Time.Now(), m.evidence),
		Paces:    m.Servers.TakeReports(pacesShare(m.Fleet())), KnowsPaces: m.pacesKnown,
		Places: m.places.ledger.AllReports(m.Time.Now()),
		Said:   m.hearings.take(m.Time.Now()), KnowsSaid: m.saidKnown,
	}
}

// takeAnswer takes in what the holder told in answer to a beat that was sent at a time.
func (m *Member) takeAnswer(sent time.Time, answer *BeatAnswer) {
	m.heardTerm(m.Time.Now(), answer.Version.Term)
	m.tellLedgers(answer.ScarceTenants)
	m.places.ledger.UpdateOverloaded(m.Time.Now(), answer.Crowded)
	m.takeEvidence(answer.Evidence.Parts)
	m.evidence = answer.Evidence.Sum
	m.takePaces(sent, answer)
	m.takeSaid(sent, answer)
	if m.Clock != nil && answer.StoreClock > 0 {
		m.Clock.ObserveLatest(sent, answer.StoreClock)
	}
	if m.Configured != nil && answer.Configuration > 0 {
		m.Configured(answer.Configuration)
	}
	m.scarce = answer.Scarce
	m.storeTold = answer.Version.Term
	if answer.Store.Loads > 0 {
		m.store = answer.Store
	}
	m.fleet.Store(int64(answer.Fleet))
	m.takeNodes(answer)
	m.more = answer.More
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.answered {
		m.Logger.Info("coordinator answers", "term", answer.Version.Term, "nodes", len(m.Nodes()))
	}
	m.answered = true
	m.toldTerm = answer.Version.Term
}

// ask sends a message to the holder, which may be this node.
func ask[A any](ctx context.Context, m *Member, message peer.Message) (A, error) {
	var none A
	record, known := m.Lease.Current()
	if !known || record.Holder == "" {
		return none, ErrNoHolder
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
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
		m.believe(n)
		return nil, nil
	case Locate:
		return m.locate(n), nil
	case Announcement:
		m.Lease.Announced(lease.Record{Term: n.Term, Holder: n.Holder, Address: n.Address})
		m.beatSoon()
		return nil, nil
	case EvidenceNotice:
		m.takeEvidence(n.Evidence)
		return nil, nil
	case DoubtNews:
		m.takeEvidence([]quarantine.Evidence{n.Evidence})
		return DoubtTaken{}, nil
	case DeputyDraw:
		return m.drawAsDeputy(ctx, n)
	case QuotaNotice:
		if record, known := m.Lease.Current(); known && record.Term == n.Term {
			m.tellLedgers(n.Scarce)
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
		m.beatSoon()
		return handover, nil
	}
	return m.Holder.HandleMessage(ctx, from, message)
}
