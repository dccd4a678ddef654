package coordinator

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/peer"
)

// AskPlace asks the holder where and when a request goes to crowded servers.
type AskPlace struct {
	Request admission.Request
	News    []admission.Report // of the node's requests, not told yet
}

// PlaceAnswer answers AskPlace.
type PlaceAnswer struct {
	Term    uint64 // zero: not the holder
	Verdict admission.Verdict
}

// PlaceNews tells the holder of a node's requests to crowded servers.
type PlaceNews struct {
	Node string // see placeNode
	News []admission.Report
}

// CrowdNotice tells all nodes for which models the holder is to be asked from now on.
type CrowdNotice struct {
	Term    uint64
	Crowded []admission.Key
}

// newsPause is how long a node gathers news of its requests to crowded servers: little beside
// the times that are predicted from them.
const newsPause = 40 * time.Millisecond

// placeNode names one life of a node among those that have places.
func placeNode(n Node) string { return n.Name + "/" + strconv.FormatInt(n.Life, 36) }

// memberPlaces is a node's part in the turns at crowded servers.
type memberPlaces struct {
	ledger  admission.Ledger
	telling atomic.Bool // news go out soon
}

// NextPlace implements relay.Places.
func (m *Member) NextPlace() uint64 { return m.places.ledger.NextID() }

// SentToPlace implements relay.Places.
func (m *Member) SentToPlace(r admission.Report) {
	if m.places.ledger.Sent(m.Time.Now(), r) {
		m.tellPlacesSoon()
	}
}

// AnsweredInPlace implements relay.Places.
func (m *Member) AnsweredInPlace(id uint64) {
	if m.places.ledger.Answered(m.Time.Now(), id) {
		m.tellPlacesSoon()
	}
}

// LeftPlace implements relay.Places.
func (m *Member) LeftPlace(id uint64, key admission.Key) {
	if m.places.ledger.Ended(m.Time.Now(), id, key) {
		m.tellPlacesSoon()
	}
}

// TakePlace implements relay.Places. It asks only for models that the holder told to be crowded.
func (m *Member) TakePlace(ctx context.Context, r *admission.Request) (admission.Verdict, error) {
	now := m.Time.Now()
	switch m.places.ledger.Check(now, r) {
	case admission.Free:
		return admission.Verdict{}, nil
	case admission.Refused:
		return admission.Verdict{Kind: admission.Refuse, After: admission.RetryAfter}, errPlaceSilent
	case admission.Silent:
		return admission.Verdict{}, errPlaceSilent
	}
	r.Place.Node = placeNode(m.Self)
	news := m.places.ledger.NewReports(now)
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := ask[PlaceAnswer](ctx, m, AskPlace{Request: *r, News: news})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.places.ledger.Return(now, news)
		m.places.ledger.Unanswered(m.Time.Now())
		return admission.Verdict{}, err
	}
	m.places.ledger.Decided(m.Time.Now(), r, answer.Verdict)
	return answer.Verdict, nil
}

// tellPlacesSoon tells the holder of what changed, together with what comes within a moment.
func (m *Member) tellPlacesSoon() {
	if m.places.telling.CompareAndSwap(false, true) {
		time.AfterFunc(newsPause, m.tellPlaces)
	}
}

// tellPlaces tells the holder what it was not told yet.
func (m *Member) tellPlaces() {
	m.places.telling.Store(false)
	record, known := m.Lease.Current()
	if !known || record.Address == "" {
		return // the next beat tells it
	}
	list := m.places.ledger.NewReports(m.Time.Now())
	if len(list) == 0 {
		return
	}
	news := PlaceNews{Node: placeNode(m.Self), News: list}
	if record.Address == m.Self.Peers {
		m.Holder.takePlaceNews(m.Time.Now(), news)
		return
	}
	m.Transport.Send(record.Address, news)
}

// holderPlaces is the holder's part. All but told is safe for other goroutines than the holder's.
type holderPlaces struct {
	model   admission.Model
	term    atomic.Uint64   // in which the model began
	told    []admission.Key // models that nodes were told to be crowded
	once    sync.Once       // sets the model up
	faultAt atomic.Int64    // when an absurd message was logged last, in Unix nanoseconds of the holder's clock
}

// beginPlaces has the holder start anew.
func (h *Holder) beginPlaces(now time.Time, term uint64) {
	h.places.once.Do(func() { h.places.model.Engine = h.placeEngine })
	h.places.model.Begin(now)
	h.places.told = nil
	h.places.term.Store(term)
}

// placeEngine returns what a server can hold, false if it is gone or its memory is not told.
func (h *Holder) placeEngine(server string) (admission.Engine, bool) {
	m, table := h.Servers.Snapshot().Member(server), h.Routes()
	if m == nil || table == nil {
		return admission.Engine{}, false
	}
	s := table.Service(m.Service)
	if s == nil || s.Engine == nil || s.Engine.CacheTokens <= 0 {
		return admission.Engine{}, false
	}
	slots := m.Slots
	if slots <= 0 {
		slots = s.Engine.Slots
	}
	return admission.Engine{Slots: slots, CacheTokens: s.Engine.CacheTokens, EventTokens: s.Engine.EventTokens}, true
}

// replicas returns the servers that hold a model.
func (h *Holder) replicas(key admission.Key) []string {
	var list []string
	now := h.Time.Now()
	for _, m := range h.Servers.Snapshot().Service(key.Service) {
		if m.Serves(now, backend.Need{Model: key.Model}) {
			list = append(list, m.ID)
		}
	}
	return list
}

// decidePlace decides on a request. It does not wait for the holder's goroutine, which may be
// planning.
func (h *Holder) decidePlace(now time.Time, a AskPlace) PlaceAnswer {
	term, held := h.Lease.Held()
	if !held {
		return PlaceAnswer{}
	}
	answer := PlaceAnswer{Term: term}
	if h.places.term.Load() != term {
		return answer // it has hardly begun and knows nothing
	}
	h.logPlaceFaults(now, a.Request.Place.Node, h.places.model.AddReports(now, a.Request.Place.Node, a.News, false)...)
	verdict, err := h.places.model.Decide(now, &a.Request)
	if err != nil {
		h.logPlaceFaults(now, a.Request.Place.Node, err)
	}
	answer.Verdict = verdict
	return answer
}

// takePlaceNews takes in what a node tells between its beats.
func (h *Holder) takePlaceNews(now time.Time, n PlaceNews) {
	if term, held := h.Lease.Held(); held && h.places.term.Load() == term {
		h.logPlaceFaults(now, n.Node, h.places.model.AddReports(now, n.Node, n.News, false)...)
	}
}

// faultPause is the least time between two log lines on absurd messages.
const faultPause = time.Second

// logPlaceFaults logs that some of what a node told was not believed.
func (h *Holder) logPlaceFaults(now time.Time, node string, faults ...error) {
	if len(faults) == 0 {
		return
	}
	last := h.places.faultAt.Load()
	if now.UnixNano()-last < int64(faultPause) || !h.places.faultAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	h.Logger.Warn("place not believed", "node", node, "error", faults[0], "count", len(faults))
}

// takePlaces takes in all places of a node with its beat and returns the models that are
// crowded.
func (h *Holder) takePlaces(now time.Time, b Beat) []admission.Key {
	node := placeNode(b.Node)
	whole := len(b.Places) < admission.MaxReports // else the list may be cut off
	h.logPlaceFaults(now, node, h.places.model.AddReports(now, node, b.Places, whole)...)
	return h.places.told
}

// watchCrowds finds out which models are crowded and tells all nodes at once if one became so.
func (h *Holder) watchCrowds(now time.Time) {
	h.places.model.Expire(now)
	crowded := h.places.model.Overloaded(now, h.replicas)
	added := slices.ContainsFunc(crowded, func(k admission.Key) bool { return !slices.Contains(h.places.told, k) })
	if added || len(crowded) != len(h.places.told) {
		h.Logger.Info("crowded models", "models", crowded, "before", h.places.told, "term", h.term)
	}
	h.places.told = crowded
	if added {
		for _, n := range h.nodes {
			h.Transport.Send(n.node.Peers, CrowdNotice{Term: h.term, Crowded: crowded})
		}
	}
}

// crowded tells whether a model is crowded, as nodes were told last.
func (h *Holder) crowded(service, model string) bool {
	return slices.Contains(h.places.told, admission.Key{Service: service, Model: model})
}

// errPlaceSilent means that the holder was not asked, as it did not answer a moment ago.
var errPlaceSilent = errors.New("coordinator: the holder did not answer about a place a moment ago")

func init() { peer.RegisterRecent(AskPlace{}, PlaceAnswer{}, PlaceNews{}, CrowdNotice{}) }
