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

// AskPlace asks the holder when, and to which overloaded server, a request may be sent.
type AskPlace struct {
	Request admission.Request
	News    []admission.Report // changes of the node's requests that were not reported yet
}

// PlaceAnswer answers AskPlace.
type PlaceAnswer struct {
	Term    uint64 // zero: not the holder
	Verdict admission.Verdict
}

// PlaceNews reports changes of a node's requests at overloaded servers to the holder.
type PlaceNews struct {
	Node string // incarnation of the node, see placeNodeID
	News []admission.Report
}

// CrowdNotice tells all nodes for which models they must ask the holder from now on, as these are overloaded.
type CrowdNotice struct {
	Term    uint64
	Crowded []admission.Key
}

// newsDelay is how long a node collects changes of its requests at overloaded servers: short compared to the times
// that are predicted from them.
const newsDelay = 40 * time.Millisecond

// placeNodeID identifies an incarnation of a node in the admission model.
func placeNodeID(n Node) string { return n.Name + "/" + strconv.FormatInt(n.Life, 36) }

// memberPlaces is a node's side of the admission to overloaded servers.
type memberPlaces struct {
	ledger        admission.Ledger
	sendScheduled atomic.Bool // sendPlaceNews is scheduled
}

// NewPlaceID implements relay.Places.
func (m *Member) NewPlaceID() uint64 { return m.places.ledger.NextID() }

// ReportPlaceSent implements relay.Places.
func (m *Member) ReportPlaceSent(r admission.Report) {
	if m.places.ledger.Sent(m.Time.Now(), r) {
		m.schedulePlaceNews()
	}
}

// ReportPlaceAnswered implements relay.Places.
func (m *Member) ReportPlaceAnswered(id uint64) {
	if m.places.ledger.Answered(m.Time.Now(), id) {
		m.schedulePlaceNews()
	}
}

// ReleasePlace implements relay.Places.
func (m *Member) ReleasePlace(id uint64, key admission.Key) {
	if m.places.ledger.Ended(m.Time.Now(), id, key) {
		m.schedulePlaceNews()
	}
}

// RequestPlace implements relay.Places. It asks the holder only for models that the holder announced as overloaded.
func (m *Member) RequestPlace(ctx context.Context, r *admission.Request) (admission.Verdict, error) {
	now := m.Time.Now()
	switch m.places.ledger.Check(now, r) {
	case admission.Free:
		return admission.Verdict{}, nil
	case admission.Refused:
		return admission.Verdict{Kind: admission.Refuse, After: admission.RetryAfter}, errHolderSilent
	case admission.Silent:
		return admission.Verdict{}, errHolderSilent
	}
	r.Place.Node = placeNodeID(m.Self)
	news := m.places.ledger.NewReports(now)
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := callHolder[PlaceAnswer](ctx, m, AskPlace{Request: *r, News: news})
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

// schedulePlaceNews sends changes to the holder after newsDelay, together with other changes of that time.
func (m *Member) schedulePlaceNews() {
	if m.places.sendScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(newsDelay, m.sendPlaceNews)
	}
}

// sendPlaceNews sends the holder the changes that were not reported yet.
func (m *Member) sendPlaceNews() {
	m.places.sendScheduled.Store(false)
	record, known := m.Lease.Current()
	if !known || record.Address == "" {
		return // the next heartbeat reports it
	}
	list := m.places.ledger.NewReports(m.Time.Now())
	if len(list) == 0 {
		return
	}
	news := PlaceNews{Node: placeNodeID(m.Self), News: list}
	if record.Address == m.Self.Peers {
		m.Holder.applyPlaceNews(m.Time.Now(), news)
		return
	}
	m.Transport.Send(record.Address, news)
}

// holderPlaces is the holder's side of the admission to overloaded servers. All but announced is safe for concurrent
// use.
type holderPlaces struct {
	model         admission.Model
	term          atomic.Uint64   // term in which the model began
	announced     []admission.Key // models announced as overloaded
	once          sync.Once       // initializes model
	faultLoggedAt atomic.Int64    // when an implausible report was last logged, in Unix nanoseconds of the holder's clock
}

// beginPlaces resets the admission model at the start of a term.
func (h *Holder) beginPlaces(now time.Time, term uint64) {
	h.places.once.Do(func() { h.places.model.Engine = h.placeEngine })
	h.places.model.Begin(now)
	h.places.announced = nil
	h.places.term.Store(term)
}

// placeEngine returns the capacity of a server, false if the server is gone or its memory is not configured.
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

// decidePlace decides on a request. It does not wait for the goroutine of Run, which may be planning.
func (h *Holder) decidePlace(now time.Time, a AskPlace) PlaceAnswer {
	term, held := h.Lease.Held()
	if !held {
		return PlaceAnswer{}
	}
	answer := PlaceAnswer{Term: term}
	if h.places.term.Load() != term {
		return answer // the term has just begun and nothing is known
	}
	h.logPlaceFaults(now, a.Request.Place.Node, h.places.model.AddReports(now, a.Request.Place.Node, a.News, false)...)
	verdict, err := h.places.model.Decide(now, &a.Request)
	if err != nil {
		h.logPlaceFaults(now, a.Request.Place.Node, err)
	}
	answer.Verdict = verdict
	return answer
}

// applyPlaceNews applies the changes that a node reports between its heartbeats.
func (h *Holder) applyPlaceNews(now time.Time, n PlaceNews) {
	if term, held := h.Lease.Held(); held && h.places.term.Load() == term {
		h.logPlaceFaults(now, n.Node, h.places.model.AddReports(now, n.Node, n.News, false)...)
	}
}

// faultLogInterval is the minimum between two log lines on implausible reports.
const faultLogInterval = time.Second

// logPlaceFaults logs that some of a node's reports were rejected as implausible.
func (h *Holder) logPlaceFaults(now time.Time, node string, faults ...error) {
	if len(faults) == 0 {
		return
	}
	last := h.places.faultLoggedAt.Load()
	if now.UnixNano()-last < int64(faultLogInterval) || !h.places.faultLoggedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	h.Logger.Warn("place not believed", "node", node, "error", faults[0], "count", len(faults))
}

// applyPlaces applies the list of all requests of a node, sent with its heartbeat, and returns the overloaded models.
func (h *Holder) applyPlaces(now time.Time, b Beat) []admission.Key {
	node := placeNodeID(b.Node)
	whole := len(b.Places) < admission.MaxReports // otherwise the list may be truncated
	h.logPlaceFaults(now, node, h.places.model.AddReports(now, node, b.Places, whole)...)
	return h.places.announced
}

// updateOverloadedModels determines which models are overloaded, and notifies all nodes at once if a model was added.
func (h *Holder) updateOverloadedModels(now time.Time) {
	h.places.model.Expire(now)
	overloaded := h.places.model.Overloaded(now, h.replicas)
	added := slices.ContainsFunc(overloaded, func(k admission.Key) bool { return !slices.Contains(h.places.announced, k) })
	if added || len(overloaded) != len(h.places.announced) {
		h.Logger.Info("crowded models", "models", overloaded, "before", h.places.announced, "term", h.term)
	}
	h.places.announced = overloaded
	if added {
		for _, n := range h.nodes {
			h.Transport.Send(n.node.Peers, CrowdNotice{Term: h.term, Crowded: overloaded})
		}
	}
}

// modelOverloaded tells whether a model was last announced as overloaded.
func (h *Holder) modelOverloaded(service, model string) bool {
	return slices.Contains(h.places.announced, admission.Key{Service: service, Model: model})
}

// errHolderSilent means that the holder was not asked because it recently failed to answer.
var errHolderSilent = errors.New("coordinator: the holder did not answer about a place a moment ago")

func init() { peer.RegisterRecent(AskPlace{}, PlaceAnswer{}, PlaceNews{}, CrowdNotice{}) }
