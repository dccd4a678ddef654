package quarantine

import "time"

// Times of turns.
const (
	// TurnTime bounds a turn whose end is not told: its node ended. A request waits for a
	// place and for its prompt to be read, a second or two on a busy day, before it runs.
	TurnTime = 5 * time.Second
	// TurnPause is when to ask again for a turn that another request has. Turns mostly take
	// as long as a server takes to begin an answer and SettleTime.
	TurnPause = 150 * time.Millisecond
	// SettleTime is how long a server sends an answer until the request counts as one that
	// does not end it: in the users' record the ends came 50 to 500 ms after a request began,
	// before the first event.
	SettleTime = time.Second
)

// Turns has suspected requests run alone: one at a server at a time, so that the server's end
// tells which of them it was, and each at one server only. The site's holder sees to it. A
// new holder knows of no turns; at worst two requests run at one server once. The zero value
// is ready; not safe for concurrent use.
type Turns struct {
	taken map[string]turn // by server
}

// turn is one that was granted.
type turn struct {
	request Fingerprint
	until   time.Time
}

// Take gives a request its turn at a server, false if another one has it or the request runs
// elsewhere.
func (t *Turns) Take(now time.Time, server string, f Fingerprint) bool {
	for at, taken := range t.taken {
		switch {
		case !now.Before(taken.until):
			delete(t.taken, at)
		case at == server || taken.request == f:
			return false
		}
	}
	if t.taken == nil {
		t.taken = make(map[string]turn)
	}
	t.taken[server] = turn{request: f, until: now.Add(TurnTime)}
	return true
}

// Keep has a request's turn at a server begin anew, unless another one has it or the request runs
// elsewhere.
func (t *Turns) Keep(now time.Time, server string, f Fingerprint) {
	t.Release(server, f)
	t.Take(now, server, f)
}

// Release ends a request's turn at a server.
func (t *Turns) Release(server string, f Fingerprint) {
	if t.taken[server].request == f {
		delete(t.taken, server)
	}
}
