// Package admission decides which requests go to overloaded servers, and when.
//
// It is made for this load: the demand for a model rises beyond its two or three replicas, and it
// gets no more replicas for longer than callers wait. Its requests arrive at dozens of nodes, each
// of which sees only a few. A server reads prompts one after the other, so that each admitted
// prompt delays all behind it. A prompt that can no longer be served in time makes those behind it
// late as well.
//
// Model is the state of the one node that is asked, the lease holder: which requests run on the
// servers, how much of their prompts is still to be read, and how fast each server reads. Ledger is
// kept by every node: what the node itself runs, and for which models it asks. Neither of them
// handles messages, and times are arguments.
package admission

import (
	"time"

	"martenwheel.dev/pkg/prompt"
)

// Place identifies a request that has, or wants, a place on a server.
type Place struct {
	Node string // incarnation of the node
	ID   uint64 // counted by the node
}

// Key identifies a model of a service. A server holds the model with all its adapters.
type Key struct {
	Service string
	Model   string
}

// Work is the load that a request brings to a server.
type Work struct {
	Tokens int           // in the prompt
	Out    int           // expected tokens of the answer
	Parts  []prompt.Part // parts of the prompt, in order; the last one belongs to this request alone
}

// memory returns the tokens of a server's cache that the work takes.
func (w *Work) memory() int { return w.Tokens + w.Out }

// Request asks for a place. Durations count from when it is asked.
type Request struct {
	Place    Place
	Key      Key
	Need     string // the model, or the model and the adapter; prompt parts are shared among requests with the same need
	Work     Work
	Rank     int           // priority; 0 is the most urgent
	Target   time.Duration // time until its first event is late; negative if it is late already
	Patience time.Duration // time until its caller gives up
	Left     time.Duration // time until its deadline
	Waited   time.Duration // time since it arrived
	Servers  []string      // servers that may get it; its node's first choice comes first
}

// routeTarget returns the target of the request's route: what is left of it plus the time waited.
func (r *Request) routeTarget() time.Duration { return r.Target + r.Waited }

// Kind is the kind of a decision on a request.
type Kind uint8

// The kinds of verdicts.
const (
	Stand  Kind = iota // not decided: the node chooses a server by itself
	Go                 // send it to the server
	Wait               // ask again after a while
	Refuse             // it can't be served in time; come back later
)

// String returns the name that is used in logs.
func (k Kind) String() string {
	switch k {
	case Go:
		return "go"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	default:
		return "stand"
	}
}

// Verdict is the decision on a request.
type Verdict struct {
	Kind   Kind
	Server string        // server to send the request to
	First  time.Duration // predicted time to the first event, if the request goes or waits
	After  time.Duration // how long to wait, or to stay away
	Age    time.Duration // time since the last report on the server
}

// Report is a node's report on a request that it has on a server. Durations are as of the time of
// the report.
type Report struct {
	ID      uint64
	Key     Key
	Need    string
	Server  string // empty if the request got no place
	Work    Work
	Rank    int
	Target  time.Duration // target of the request's route
	Sent    time.Duration // time since the request was sent
	First   time.Duration // time from sending to the first event; zero if none came yet
	Left    time.Duration // time until its deadline
	Ended   bool
	Granted bool // whether the current holder granted the place
}

// Bounds of plausible values. Values beyond them are errors of the reporting node.
const (
	maxTokens   = 1 << 24          // of a prompt or an answer
	maxDuration = 10 * time.Minute // for any duration of a request, and for ages
	maxServers  = 64               // named in one request
	maxParts    = 64               // of one prompt
)

// valid reports whether the sizes are plausible.
func (w *Work) valid() bool {
	if w.Tokens < 0 || w.Tokens > maxTokens || w.Out < 0 || w.Out > maxTokens || len(w.Parts) > maxParts {
		return false
	}
	for _, p := range w.Parts {
		if p.Tokens < 0 || p.Tokens > maxTokens {
			return false
		}
	}
	return true
}

// plausible reports whether the durations of a request are plausible. A duration whose end has
// passed is negative.
func plausible(list ...time.Duration) bool {
	for _, d := range list {
		if d < -maxDuration || d > maxDuration {
			return false
		}
	}
	return true
}

// Valid reports whether the request's values are plausible.
func (r *Request) Valid() bool {
	return r.Work.valid() && r.Place.Node != "" && r.Key.Model != "" && r.Rank >= 0 && len(r.Servers) > 0 &&
		len(r.Servers) <= maxServers && plausible(r.Target, r.Patience, r.Left, r.Waited)
}

// Valid reports whether the report's values are plausible.
func (r *Report) Valid() bool {
	return r.Work.valid() && r.Key.Model != "" && r.Rank >= 0 && r.Sent >= 0 && r.First >= 0 &&
		plausible(r.Target, r.Sent, r.First, r.Left)
}
