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
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/relay"
)

// Times of a member.
const (
	beatInterval = time.Second
	beatRetry    = 300 * time.Millisecond
	beatTimeout  = 700 * time.Millisecond
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
	Candidate func() bool // whether this node is among the first to take the lease
	Logger    hclog.Logger

	nodes    atomic.Pointer[[]Node]
	version  NodesVersion // of nodes; for Run alone
	stopping atomic.Bool
	beatNow  chan struct{}
	started  sync.Once

	mu       sync.Mutex
	arrivals map[demandKey]int
	rates    map[demandKey]*rate // arrivals that a holder was told of
	told     uint64              // term of the holder that knows the rates
	wishes   map[demandKey]*asked
	answered bool      // the last beat was
	since    time.Time // of the first beat without an answer
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

// Known tells whether the nodes of the site are as a holder told.
func (m *Member) Known() bool { return m.nodes.Load() != nil }

// Stop tells the others that this node is leaving.
func (m *Member) Stop() {
	m.stopping.Store(true)
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
	n.Stopping = m.stopping.Load()
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
		case <-timer.C:
		}
		pause := beatInterval
		if err := m.beat(ctx); err != nil {
			m.lost(err)
			pause = beatRetry
		}
		timer.Reset(pause)
	}
}

// patience is how long nodes that are not candidates leave it to the others to
// find a new holder, who then announces itself.
const patience = 4 * time.Second

// lost notes that the holder does not answer.
func (m *Member) lost(err error) {
	m.mu.Lock()
	if m.answered || m.since.IsZero() {
		m.since = time.Now()
		m.Logger.Warn("coordinator lost", "error", err)
	}
	m.answered = false
	waited := time.Since(m.since)
	m.mu.Unlock()
	if !m.Known() || m.Candidate == nil || m.Candidate() || waited > patience {
		m.Lease.Suspect()
	}
}

// beat tells the holder of this node and takes in what it tells of the others.
func (m *Member) beat(ctx context.Context) error {
	beat := Beat{Node: m.self(), Uses: m.uses(time.Now()), Knows: m.version}
	answer, err := ask[BeatAnswer](ctx, m, beat)
	if err != nil {
		return err
	}
	if answer.Version.Term == 0 {
		return ErrNoHolder
	}
	if len(answer.Nodes) > 0 {
		m.nodes.Store(&answer.Nodes)
		m.version = answer.Version
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.answered {
		m.Logger.Info("coordinator answers", "term", answer.Version.Term, "nodes", len(m.Nodes()))
	}
	m.answered = true
	m.told = answer.Version.Term
	return nil
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

// Arrived counts a request for a model.
func (m *Member) Arrived(service string, n backend.Need) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.arrivals == nil {
		m.arrivals = make(map[demandKey]int)
	}
	m.arrivals[demandKey{service, n.Model}]++
	if n.Adapter != "" {
		m.arrivals[demandKey{service, n.String()}]++
	}
}

// uses returns what this node serves, and starts to count anew. A holder that is
// new to this node is told the rates of what came before.
func (m *Member) uses(now time.Time) []Use {
	uses := make(map[demandKey]*Use)
	of := func(key demandKey) *Use {
		u := uses[key]
		if u == nil {
			u = &Use{Service: key.service, Model: key.need}
			uses[key] = u
		}
		return u
	}
	record, _ := m.Lease.Current()
	m.mu.Lock()
	for key, r := range m.rates {
		perSecond := r.at(now)
		if perSecond < leastRate {
			delete(m.rates, key)
		} else if record.Term != m.told {
			of(key).Rate = perSecond
		}
	}
	for key, n := range m.arrivals {
		of(key).Arrivals = n
		m.rate(key).add(now, n)
	}
	m.arrivals = nil
	m.mu.Unlock()
	for _, s := range m.Servers.Snapshot().Members() {
		s.EachRunning(func(model string, n int) {
			of(demandKey{s.Service, model}).InFlight += n
		})
	}
	list := make([]Use, 0, len(uses))
	for _, u := range uses {
		list = append(list, *u)
	}
	return list
}

// rate returns the rate of a model, made if there is none. The caller holds mu.
func (m *Member) rate(key demandKey) *rate {
	if m.rates == nil {
		m.rates = make(map[demandKey]*rate)
	}
	r := m.rates[key]
	if r == nil {
		r = &rate{}
		m.rates[key] = r
	}
	return r
}

// wakeRest is how long an answer to a wish serves all requests of this node that
// need the same: notices tell sooner when it is fulfilled.
const wakeRest = 800 * time.Millisecond

// asked is a wish that was told, and what is known of it.
type asked struct {
	at      time.Time
	done    chan struct{} // closed when the answer is here
	outlook relay.Outlook
	err     error
}

// Wake implements relay.Waker.
func (m *Member) Wake(ctx context.Context, w relay.Wish) (relay.Outlook, error) {
	key := demandKey{w.Service, w.Need.String()}
	m.mu.Lock()
	known := m.wishes[key]
	fresh := known == nil || time.Since(known.at) > wakeRest || w.Missing != ""
	if fresh {
		known = &asked{at: time.Now(), done: make(chan struct{})}
		if m.wishes == nil || len(m.wishes) > maxWishes {
			m.wishes = make(map[demandKey]*asked)
		}
		m.wishes[key] = known
	}
	m.mu.Unlock()
	if fresh {
		known.outlook, known.err = m.tellWish(ctx, w)
		close(known.done)
	}
	select {
	case <-known.done:
	case <-ctx.Done():
		return relay.Outlook{}, ctx.Err()
	}
	o := known.outlook
	if o.ReadyIn > 0 {
		o.ReadyIn = max(o.ReadyIn-time.Since(known.at), time.Millisecond)
	}
	return o, known.err
}

// maxWishes bounds the wishes that are remembered.
const maxWishes = 1024

// tellWish asks the holder.
func (m *Member) tellWish(ctx context.Context, w relay.Wish) (relay.Outlook, error) {
	answer, err := ask[WishAnswer](ctx, m, WishMessage{
		Service: w.Service, Need: w.Need.String(), Priority: w.Priority,
		Left: time.Until(w.Deadline), RequestID: w.RequestID, Missing: w.Missing,
	})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.lost(err)
		return relay.Outlook{}, err
	}
	return relay.Outlook{Server: answer.Server, ReadyIn: answer.ReadyIn}, nil
}

// HandleMessage implements peer.Handler.
func (m *Member) HandleMessage(ctx context.Context, from api.NodeRef, message peer.Message) (peer.Message, error) {
	switch n := message.(type) {
	case Notice:
		m.Servers.Believe(n.Server, backend.ParseNeed(n.Need), n.Holds, time.Now().Add(noticeTime))
		return nil, nil
	case Announcement:
		m.Lease.Announced(lease.Record{Term: n.Term, Holder: n.Holder, Address: n.Address})
		m.beatSoon()
		return nil, nil
	}
	return m.Holder.HandleMessage(ctx, from, message)
}
