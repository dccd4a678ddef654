package coordinator

import (
	"context"
	"time"

	"martenwheel.dev/pkg/relay"
)

// wakeRest is how long an answer to a wish serves all requests of this node that
// need the same: notices tell sooner when it is fulfilled.
const wakeRest = 800 * time.Millisecond

// asked is a wish that was told, and what is known of it.
type asked struct {
	at      time.Time
	done    chan struct{} // closed when the answer is here
	short   bool          // it told of a server that turns requests away
	outlook relay.LoadStatus
	err     error
}

// Wake implements relay.Waker.
func (m *Member) Wake(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	key := demandKey{w.Service, w.Need.String()}
	m.mu.Lock()
	known := m.wishes[key]
	fresh := known == nil || m.Time.Since(known.at) > wakeRest || w.Missing != "" || w.Short != "" && !known.short
	if fresh {
		known = &asked{at: m.Time.Now(), done: make(chan struct{}), short: w.Short != ""}
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
		return relay.LoadStatus{}, ctx.Err()
	}
	o := known.outlook
	o.Age = m.Time.Since(known.at)
	if o.ReadyIn > 0 {
		o.ReadyIn = max(o.ReadyIn-o.Age, time.Millisecond)
	}
	return o, known.err
}

// Borrow implements relay.Lender.
func (m *Member) Borrow(ctx context.Context, service string) (bool, error) {
	answer, err := ask[BorrowAnswer](ctx, m, Borrow{Service: service})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	return answer.Lent, err
}

// maxWishes bounds the wishes that are remembered.
const maxWishes = 1024

// tellWish looks for a server that this node does not know, and asks the holder if there is none.
func (m *Member) tellWish(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	if server := m.find(ctx, w); server != "" {
		return relay.LoadStatus{Server: server}, nil
	}
	outlook, err := m.askHolder(ctx, w)
	if err == nil && outlook.Server != "" && m.Cover != nil {
		if outlook.Server = m.meet(ctx, []string{outlook.Server}); outlook.Server == "" {
			outlook.ReadyIn = meetAgain
		}
	}
	return outlook, err
}

// meetAgain is how long a request waits for another try to get to know the server that serves it.
const meetAgain = 250 * time.Millisecond

// askHolder tells the holder of a wish.
func (m *Member) askHolder(ctx context.Context, w relay.LoadRequest) (relay.LoadStatus, error) {
	answer, err := ask[WishAnswer](ctx, m, WishMessage{
		Service: w.Service, Need: w.Need.String(), Priority: w.Priority,
		Left: m.Time.Until(w.Deadline), RequestID: w.RequestID, Missing: w.Missing, Gone: w.Gone,
		Short: w.Short, ShortFor: w.ShortFor,
	})
	if err == nil && answer.Term == 0 {
		err = ErrNoHolder
	}
	if err != nil {
		m.lost(err)
		return relay.LoadStatus{}, err
	}
	return relay.LoadStatus{Server: answer.Server, ReadyIn: answer.ReadyIn}, nil
}
