package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/quarantine"
)

// DoubtNotice reports a suspicion to the holder, to be forwarded to all nodes: servers may have crashed under a
// request.
type DoubtNotice struct {
	Evidence quarantine.Evidence
	Others   []quarantine.Evidence // on other subjects of the same request
}

// list returns the evidence on all subjects.
func (n DoubtNotice) list() []quarantine.Evidence {
	return append([]quarantine.Evidence{n.Evidence}, n.Others...)
}

// DoubtAnswer tells that the holder has forwarded the suspicion.
type DoubtAnswer struct {
	Term uint64 // zero: not the holder
}

// DoubtNews is a suspicion that the holder forwards to the other nodes.
type DoubtNews struct {
	Evidence quarantine.Evidence
	Others   []quarantine.Evidence // on other subjects of the same request
}

// DoubtTaken answers DoubtNews.
type DoubtTaken struct{}

// suspicionTimeout bounds how long the answer to a request whose connection broke, or its retry, waits until the
// other nodes know: the most urgent requests must be answered within 100 ms.
const suspicionTimeout = 50 * time.Millisecond

// suspicionForwardTimeout bounds how long the holder waits for the nodes to which it forwards a suspicion.
const suspicionForwardTimeout = 30 * time.Millisecond

// Rate limit of the suspicions that a node sends, and that the holder forwards to each node. When a network resets
// many connections at once, nearly all of them belong to harmless requests. A suspicion that is not sent is known at
// one node only.
const (
	suspicionBurst = 16
	suspicionRate  = 8.0 // per second
)

// suspicionLimit is a token bucket for suspicions. The zero value is ready. Safe for concurrent use.
type suspicionLimit struct {
	mu   sync.Mutex
	used float64 // part of suspicionBurst in use
	at   time.Time
}

// take returns whether another suspicion may be sent.
func (l *suspicionLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = max(l.used-suspicionRate*now.Sub(l.at).Seconds(), 0)
	l.at = now
	if l.used > suspicionBurst-1 {
		return false
	}
	l.used++
	return true
}

// CrashSuspected implements relay.Quarantine. When it returns, the holder has forwarded the suspicion, unless it does not
// answer in time: callers retry such a request within milliseconds, at any node.
func (m *Member) CrashSuspected(ctx context.Context, runs ...quarantine.Run) {
	now := m.Time.Now()
	var suspicions []quarantine.Evidence
	for _, r := range runs {
		if e, suspected := m.suspect(now, r); suspected {
			suspicions = append(suspicions, e)
		}
	}
	if len(suspicions) == 0 || !m.suspicions.take(now) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, suspicionTimeout)
	defer cancel()
	answer, err := callHolder[DoubtAnswer](ctx, m, DoubtNotice{suspicions[0], suspicions[1:]})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.Logger.Warn("suspicion not sent to the lease holder", "fingerprint", suspicions[0].Request.String(), "server", runs[0].Server, "error", err)
	}
}

// suspect records that a server may have crashed under a run. It returns the evidence, and whether it is new and not
// cleared.
func (m *Member) suspect(now time.Time, r quarantine.Run) (quarantine.Evidence, bool) {
	if r.Part != "" && m.Quarantine.Cleared(now, r.Request) {
		return quarantine.Evidence{}, false
	}
	r.Unlisted = !m.Servers.ListedLately(r.Server)
	change := m.Quarantine.Suspect(now, r)
	m.Logger.Info("server may have crashed under "+subjectKind(r.Part), "fingerprint", r.Request.String(), "part", r.Part, "request_id", r.RequestID,
		"service", r.Service, "server", r.Server, "round", r.Round, "rounds_in_doubt", r.Doubts, "ended_under_it", change.Servers(),
		"in_doubt", len(change.Doubts), "standing", change.Now.String())
	return change.Evidence, change.New && len(change.Doubts) > 0
}

// answerSuspicion handles a node's suspicion and answers once the other nodes know it: a caller that retries the
// request right afterwards at one of them must not be able to run it there without restriction.
func (h *Holder) answerSuspicion(ctx context.Context, n DoubtNotice) (DoubtAnswer, error) {
	accepted, err := callOnLoop(ctx, h, func() acceptedSuspicion { return h.acceptSuspicion(h.Time.Now(), n) })
	if err != nil {
		return DoubtAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, suspicionForwardTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, address := range accepted.others {
		wg.Go(func() {
			if _, err := h.Transport.Call(ctx, address, DoubtNews(n)); err != nil {
				h.Logger.Debug("suspicion not forwarded", "fingerprint", n.Evidence.Request.String(), "address", address, "error", err)
			}
		})
	}
	wg.Wait()
	return DoubtAnswer{Term: accepted.term}, nil
}

// acceptedSuspicion is the result of accepting a suspicion.
type acceptedSuspicion struct {
	term   uint64   // zero: not the holder
	others []string // addresses of nodes to forward it to
}

// acceptSuspicion merges a node's suspicion. It is also forwarded if it was known here: the node may be this one.
func (h *Holder) acceptSuspicion(now time.Time, n DoubtNotice) acceptedSuspicion {
	if !h.ensureTerm() {
		return acceptedSuspicion{}
	}
	accepted := acceptedSuspicion{term: h.term}
	for _, e := range n.list() {
		h.Quarantine.Merge(now, e)
	}
	if h.suspicions.take(now) {
		accepted.others = h.otherNodes()
	}
	return accepted
}

func init() { peer.RegisterRecent(DoubtNotice{}, DoubtAnswer{}, DoubtNews{}, DoubtTaken{}) }
