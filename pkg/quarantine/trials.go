package quarantine

import "time"

// Times of trials.
const (
	// TrialTime bounds a trial whose end is never reported because its node failed. Before a
	// request runs, it waits for a place and for its prompt to be read, which takes a second or two
	// on a busy day.
	TrialTime = 5 * time.Second
	// TrialRetryAfter is when to ask again while another request has the trial. A trial mostly
	// takes as long as a server takes to begin an answer, plus SettleTime.
	TrialRetryAfter = 150 * time.Millisecond
	// SettleTime is how long a server must have been sending an answer until the request counts as
	// not crashing it. In the users' record, crashes came 50 to 500 ms after a request began,
	// before the first event.
	SettleTime = time.Second
)

// Trials has suspected requests run alone: a server has at most one at a time, so that a crash
// shows which request caused it, and a request runs on at most one server. The lease holder keeps
// it. A new holder does not know the running trials; in the worst case two suspected requests run
// on one server once. The zero value is ready. It is not safe for concurrent use.
type Trials struct {
	running map[string]trial // by server
}

// trial is a trial that was granted.
type trial struct {
	request Fingerprint
	until   time.Time
}

// Start grants a request a trial on a server. It returns false if another request has a trial there
// or the request has a trial elsewhere.
func (t *Trials) Start(now time.Time, server string, f Fingerprint) bool {
	for at, taken := range t.running {
		switch {
		case !now.Before(taken.until):
			delete(t.running, at)
		case at == server || taken.request == f:
			return false
		}
	}
	if t.running == nil {
		t.running = make(map[string]trial)
	}
	t.running[server] = trial{request: f, until: now.Add(TrialTime)}
	return true
}

// Renew restarts the time of a request's trial on a server, unless another request has a trial
// there or the request has one elsewhere.
func (t *Trials) Renew(now time.Time, server string, f Fingerprint) {
	t.End(server, f)
	t.Start(now, server, f)
}

// End ends a request's trial on a server.
func (t *Trials) End(server string, f Fingerprint) {
	if t.running[server].request == f {
		delete(t.running, server)
	}
}
