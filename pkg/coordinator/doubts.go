package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/quarantine"
)

// DoubtNotice asks the holder to have all nodes know that servers may have ended under a request.
type DoubtNotice struct {
	Evidence quarantine.Evidence
}

// DoubtAnswer tells that the holder has passed it on.
type DoubtAnswer struct {
	Term uint64 // zero: not the holder
}

// DoubtNews is what the holder passes on to the other nodes, which answer it.
type DoubtNews struct {
	Evidence quarantine.Evidence
}

// DoubtTaken answers DoubtNews.
type DoubtTaken struct{}

// doubtTimeout bounds how long the answer to a request whose connection broke, or its repeat, waits until the
// other nodes are told: the most urgent requests are to be answered within 100 ms.
const doubtTimeout = 50 * time.Millisecond

// doubtNewsTimeout bounds how long the holder waits for the nodes that it passes a doubt on to.
const doubtNewsTimeout = 30 * time.Millisecond

// Bounds of the doubts that a node tells, and that the holder passes on to each node. When a network resets many
// connections at once nearly all of them are of innocent requests; what is not told is known at one node.
const (
	doubtsAtOnce = 16
	doubtsRate   = 8.0 // a second
)

// doubtLimit bounds the doubts that are told. The zero value is ready. Safe for concurrent use.
type doubtLimit struct {
	mu   sync.Mutex
	told float64 // of doubtsAtOnce
	at   time.Time
}

// take tells whether one more may be told.
func (l *doubtLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = max(l.told-doubtsRate*now.Sub(l.at).Seconds(), 0)
	l.at = now
	if l.told > doubtsAtOnce-1 {
		return false
	}
	l.told++
	return true
}

// Doubted implements relay.Quarantine. The holder has passed the doubt on when it returns, unless it does not answer
// in time: callers send such a request again within milliseconds, at any node.
func (m *Member) Doubted(ctx context.Context, r quarantine.Run) {
	now := m.Time.Now()
	change := m.Quarantine.Suspect(now, r)
	m.Logger.Info("server may have ended under request", "fingerprint", r.Request.String(), "request_id", r.RequestID,
		"service", r.Service, "server", r.Server, "round", r.Round, "rounds_in_doubt", r.Doubts, "ended_under_it", change.Servers(),
		"in_doubt", len(change.Doubts), "standing", change.Now.String())
	if !change.New || len(change.Doubts) == 0 || !m.doubts.take(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, doubtTimeout)
	defer cancel()
	answer, err := ask[DoubtAnswer](ctx, m, DoubtNotice{change.Evidence})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.Logger.Warn("doubt not told", "fingerprint", r.Request.String(), "server", r.Server, "error", err)
	}
}

// answerDoubt takes in a node's doubt, and answers as the other nodes have it: who sends the request again at one of
// them right after is not to find it free there.
func (h *Holder) answerDoubt(ctx context.Context, n DoubtNotice) (DoubtAnswer, error) {
	taken, err := decide(ctx, h, func() takenDoubt { return h.takeDoubt(h.Time.Now(), n) })
	if err != nil {
		return DoubtAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, doubtNewsTimeout)
	defer cancel()
	var told conc.WaitGroup
	for _, address := range taken.others {
		told.Go(func() {
			if _, err := h.Transport.Call(ctx, address, DoubtNews(n)); err != nil {
				h.Logger.Debug("doubt not passed on", "fingerprint", n.Evidence.Request.String(), "address", address, "error", err)
			}
		})
	}
	told.Wait()
	return DoubtAnswer{Term: taken.term}, nil
}

// takenDoubt is a doubt as the holder took it in.
type takenDoubt struct {
	term   uint64   // zero: not the holder
	others []string // nodes to pass it on to
}

// takeDoubt takes in a node's doubt. It is passed on also if it was known here: the node may be this one.
func (h *Holder) takeDoubt(now time.Time, n DoubtNotice) takenDoubt {
	if !h.holds() {
		return takenDoubt{}
	}
	taken := takenDoubt{term: h.term}
	h.Quarantine.Merge(now, n.Evidence)
	if h.doubts.take(now) {
		taken.others = h.others()
	}
	return taken
}

func init() { peer.RegisterRecent(DoubtNotice{}, DoubtAnswer{}, DoubtNews{}, DoubtTaken{}) }
