package coordinator

import (
	"context"
	"time"

	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/relay"
)

// loadStatusTTL is how long the answer to a load request is reused for all requests of this node that need the same
// model. If the model is ready earlier, a Notice tells it.
const loadStatusTTL = 800 * time.Millisecond

// loadRequestKey identifies load requests that have the same answer.
type loadRequestKey struct {
	demandKey
	bound    bool
	software string // see relay.LoadRequest
}

// sentLoadRequest is a load request that was sent, and its answer.
type sentLoadRequest struct {
	at     time.Time
	done   chan struct{} // closed when the answer has arrived
	short  bool          // the request named a server that rejects requests
	status relay.LoadStatus
	err    error
	// readyAt is when the model is ready by the holder's last answer; zero: unknown. Guarded by the member's mu.
	readyAt time.Time
	// silentSince is when the first call was sent that no holder has answered since; zero: this one was answered, or is
	// under way. Guarded by the member's mu.
	silentSince time.Time
}

// RequestLoad implements relay.ModelLoader.
func (m *Member) RequestLoad(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	key := loadRequestKey{demandKey{w.Service, w.Need.String()}, w.Bound, w.Software}
	m.mu.Lock()
	known := m.loadRequests[key]
	fresh := known == nil || m.Time.Since(known.at) > loadStatusTTL || w.Missing != "" || w.Short != "" && !known.short ||
		!known.silentSince.IsZero() && m.connected // a holder answers again
	if fresh {
		last := known
		known = &sentLoadRequest{at: m.Time.Now(), done: make(chan struct{}), short: w.Short != ""}
		if last != nil {
			known.readyAt = last.readyAt
		}
		if m.loadRequests == nil || len(m.loadRequests) > maxLoadRequests {
			m.loadRequests = make(map[loadRequestKey]*sentLoadRequest)
		}
		m.loadRequests[key] = known
	}
	m.mu.Unlock()
	if fresh {
		known.status, known.err = m.sendLoadRequest(ctx, w)
		m.noteAnswer(known)
		close(known.done)
	}
	select {
	case <-known.done:
	case <-ctx.Done():
		return relay.LoadStatus{}, ctx.Err()
	}
	o := known.status
	o.Age = m.Time.Since(known.at)
	if known.err != nil {
		o.ReadyIn, o.Silence = m.lastKnown(known)
		return o, known.err
	}
	if o.ReadyIn > 0 {
		o.ReadyIn = max(o.ReadyIn-o.Age, time.Millisecond)
	}
	return o, nil
}

// noteAnswer records when the model is ready by the answer to a load request. Without an answer the last one stands: a
// load goes on without the holder.
func (m *Member) noteAnswer(r *sentLoadRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.err != nil {
		r.silentSince = m.silentSince
		return
	}
	r.readyAt = time.Time{}
	if r.status.ReadyIn > 0 {
		r.readyAt = m.Time.Now().Add(r.status.ReadyIn)
	}
}

// Expectations by the last answer of a holder that does not answer any more.
const (
	// dueReady is the expected time until a model is ready that should be, as a holder expects it.
	dueReady = tickInterval / 4
	// maxOverdue is how long a model may be due. By then another holder has taken the lease and tells more.
	maxOverdue = lease.Expiry + time.Second
)

// lastKnown returns what is known after a load request without an answer: the time until the model is ready by the
// holder's last answer, zero if that is unknown, and for how long no holder has answered.
func (m *Member) lastKnown(r *sentLoadRequest) (readyIn, silence time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence = m.Time.Since(r.silentSince)
	left := m.Time.Until(r.readyAt)
	if r.readyAt.IsZero() || left < -maxOverdue {
		return 0, silence
	}
	return max(left, dueReady), silence
}

// BorrowRetry implements relay.Lender.
func (m *Member) BorrowRetry(ctx context.Context, service string) (bool, error) {
	answer, err := callHolder[BorrowAnswer](ctx, m, Borrow{Service: service})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	return answer.Lent, err
}

// maxLoadRequests bounds the load requests that are kept.
const maxLoadRequests = 1024

// sendLoadRequest looks for a server that this node does not know, and asks the holder to have the model loaded if there
// is none.
func (m *Member) sendLoadRequest(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	if server := m.locateServer(ctx, w); server != "" {
		return relay.LoadStatus{Server: server}, nil
	}
	if w.Need.Model == "" {
		return relay.LoadStatus{}, nil
	}
	status, err := m.askHolder(ctx, w)
	if err == nil && status.Server != "" && m.EnsureServers != nil {
		if status.Server = m.learnServers(ctx, []string{status.Server}); status.Server == "" {
			status.ReadyIn = learnRetry
		}
	}
	return status, err
}

// learnRetry is how long a request waits before another attempt to load the details of the server that can serve it.
const learnRetry = 250 * time.Millisecond

// askHolder sends a load request to the holder. If another node became the holder meanwhile, that one is asked: it is not
// known to be lost.
func (m *Member) askHolder(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	for {
		asked, _ := m.Lease.Current()
		sent := m.Time.Now()
		answer, err := callHolder[WishAnswer](ctx, m, WishMessage{
			Service: w.Service, Need: w.Need.String(), Priority: w.Priority,
			Left: m.Time.Until(w.Deadline), RequestID: w.RequestID, Missing: w.Missing, Gone: w.Gone,
			Bound: w.Bound, Software: w.Software, Short: w.Short, ShortFor: w.ShortFor,
		})
		if err == nil && answer.Term == 0 {
			err = ErrNoHolder
		}
		if err == nil {
			return relay.LoadStatus{Server: answer.Server, ReadyIn: answer.ReadyIn}, nil
		}
		if ctx.Err() != nil { // the request ended, or its time for this call, which shows nothing of the holder
			return relay.LoadStatus{}, err
		}
		if next, _ := m.Lease.Current(); next.Term == asked.Term {
			m.holderLost(sent, err)
			return relay.LoadStatus{}, err
		}
	}
}
