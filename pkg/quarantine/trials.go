package quarantine

import (
	"slices"
	"time"
)

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
// shows which request caused it, and a subject runs on at most one server. The lease holder keeps it.
// A new holder does not know the running trials; in the worst case two suspected requests run on one
// server once. The zero value is ready. It is not safe for concurrent use.
type Trials struct {
	running map[string]trial // by server
}

// trial is a trial that was granted.
type trial struct {
	subjects []Fingerprint // of the request that may run
	until    time.Time
}

func (t trial) has(f Fingerprint) bool { return slices.Contains(t.subjects, f) }

// Start grants a request with the given subjects a trial on a server. It returns false if another
// request has a trial there or one of the subjects has a trial elsewhere.
func (t *Trials) Start(now time.Time, server string, subjects ...Fingerprint) bool {
	for at, taken := range t.running {
		switch {
		case !now.Before(taken.until):
			delete(t.running, at)
		case at == server || slices.ContainsFunc(subjects, taken.has):
			return false
		}
	}
	if t.running == nil {
		t.running = make(map[string]trial)
	}
	t.running[server] = trial{subjects, now.Add(TrialTime)}
	return true
}

// Running reports whether a request with one of the subjects has a trial on any server.
func (t *Trials) Running(now time.Time, subjects ...Fingerprint) bool {
	for _, taken := range t.running {
		if now.Before(taken.until) && slices.ContainsFunc(subjects, taken.has) {
			return true
		}
	}
	return false
}

// Renew restarts the time of a trial on a server, unless another request has a trial there or one of
// the subjects has one elsewhere.
func (t *Trials) Renew(now time.Time, server string, subjects ...Fingerprint) {
	if taken := t.running[server]; slices.ContainsFunc(subjects, taken.has) {
		taken.until = now.Add(TrialTime)
		t.running[server] = taken
		return
	}
	t.Start(now, server, subjects...)
}

// End ends the trial of a request with one of the subjects on a server.
func (t *Trials) End(server string, subjects ...Fingerprint) {
	if slices.ContainsFunc(subjects, t.running[server].has) {
		delete(t.running, server)
	}
}
