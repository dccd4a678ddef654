package coordinator

import (
	"context"
	"time"

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
}

// RequestLoad implements relay.ModelLoader.
func (m *Member) RequestLoad(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	key := loadRequestKey{demandKey{w.Service, w.Need.String()}, w.Bound, w.Software}
	m.mu.Lock()
	known := m.loadRequests[key]
	fresh := known == nil || m.Time.Since(known.at) > loadStatusTTL || w.Missing != "" || w.Short != "" && !known.short
	if fresh {
		known = &sentLoadRequest{at: m.Time.Now(), done: make(chan struct{}), short: w.Short != ""}
		if m.loadRequests == nil || len(m.loadRequests) > maxLoadRequests {
			m.loadRequests = make(map[loadRequestKey]*sentLoadRequest)
		}
		m.loadRequests[key] = known
	}
	m.mu.Unlock()
	if fresh {
		known.status, known.err = m.sendLoadRequest(ctx, w)
		close(known.done)
	}
	select {
	case <-known.done:
	case <-ctx.Done():
		return relay.LoadStatus{}, ctx.Err()
	}
	o := known.status
	o.Age = m.Time.Since(known.at)
	if o.ReadyIn > 0 {
		o.ReadyIn = max(o.ReadyIn-o.Age, time.Millisecond)
	}
	return o, known.err
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

// askHolder sends a load request to the holder.
func (m *Member) askHolder(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	answer, err := callHolder[WishAnswer](ctx, m, WishMessage{
		Service: w.Service, Need: w.Need.String(), Priority: w.Priority,
		Left: m.Time.Until(w.Deadline), RequestID: w.RequestID, Missing: w.Missing, Gone: w.Gone,
		Bound: w.Bound, Software: w.Software, Short: w.Short, ShortFor: w.ShortFor,
	})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.holderLost(err)
		return relay.LoadStatus{}, err
	}
	return relay.LoadStatus{Server: answer.Server, ReadyIn: answer.ReadyIn}, nil
}
