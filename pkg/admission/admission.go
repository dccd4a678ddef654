// Package admission decides which requests go to servers that are crowded, and when.
//
// It answers this load: a model whose demand rises has two or three replicas and gets no more
// for longer than callers wait, while its requests come in at dozens of nodes, each of which sees
// a few. Prompts are read one after the other, so that each one that is let in delays all behind
// it: one that can no longer be in time makes those behind it late as well.
//
// Model is the belief of the one node that is asked: what runs at the servers, what of its
// prompts is still to be read and how fast each server reads. Ledger is the part of every node:
// what it runs itself, and for which models it asks. Neither knows of messages; times are
// arguments.
package admission

import (
	"time"

	"martenwheel.dev/pkg/prompt"
)

// Place names a request that a node has at a server, or wants to have.
type Place struct {
	Node string // of one life of the node
	ID   uint64 // the node's count
}

// Key names a model of a service, which servers hold with all its adapters.
type Key struct {
	Service string
	Model   string
}

// Work is what a request brings to a server.
type Work struct {
	Tokens int           // of its prompt
	Out    int           // likely tokens of the answer
	Parts  []prompt.Part // of its prompt, in order; the last one is the request's own
}

// memory returns what the work takes of a server's memory, in tokens.
func (w *Work) memory() int { return w.Tokens + w.Out }

// Request asks for a place. Durations count from when it is asked.
type Request struct {
	Place    Place
	Key      Key
	Need     string // the model, or the model and the adapter; prompts are shared under the same one
	Work     Work
	Rank     int           // 0 is the most urgent
	Target   time.Duration // until its first event is late; below zero: it is
	Patience time.Duration // until its caller leaves
	Left     time.Duration // until its deadline
	Waited   time.Duration // since it came
	Servers  []string      // that may get it, the one that its node would choose first
}

// routeTarget returns the target of the request's route: what is left of it, and what has passed.
func (r *Request) routeTarget() time.Duration { return r.Target + r.Waited }

// Kind is what is to be done with a request.
type Kind uint8

// The kinds of verdicts.
const (
	Stand  Kind = iota // the node chooses as it does without anybody's word
	Go                 // send it to the server
	Wait               // ask again after a while
	Refuse             // it can't be served as it should; come back after a while
)

// String names the kind in logs.
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

// Verdict is what was decided on a request.
type Verdict struct {
	Kind   Kind
	Server string        // to go to
	First  time.Duration // predicted time to the first event, of one that goes or waits
	After  time.Duration // to wait, or to stay away
	Age    time.Duration // of the last news of the server
}

// Report is what a node tells of a request that it has at a server. Durations are ages when it
// is told.
type Report struct {
	ID      uint64
	Key     Key
	Need    string
	Server  string // empty: it got no place
	Work    Work
	Rank    int
	Target  time.Duration // of its route
	Sent    time.Duration // since it was sent
	First   time.Duration // from when it was sent to its first event; zero: none came yet
	Left    time.Duration // until its deadline
	Ended   bool
	Granted bool // by the word of the one who is asked now
}

// Bounds of what is believed; what lies beyond is a fault of the node that tells it.
const (
	mostTokens  = 1 << 24          // of a prompt or an answer
	mostTime    = 10 * time.Minute // for any duration of a request, and for ages
	mostServers = 64               // named by one request
	mostParts   = 64               // of one prompt
)

// valid tells whether the sizes can be believed.
func (w *Work) valid() bool {
	if w.Tokens < 0 || w.Tokens > mostTokens || w.Out < 0 || w.Out > mostTokens || len(w.Parts) > mostParts {
		return false
	}
	for _, p := range w.Parts {
		if p.Tokens < 0 || p.Tokens > mostTokens {
			return false
		}
	}
	return true
}

// plausible tells whether durations of a request can be believed; those that are over are negative.
func plausible(list ...time.Duration) bool {
	for _, d := range list {
		if d < -mostTime || d > mostTime {
			return false
		}
	}
	return true
}

// Valid tells whether a request can be decided on.
func (r *Request) Valid() bool {
	return r.Work.valid() && r.Place.Node != "" && r.Key.Model != "" && r.Rank >= 0 && len(r.Servers) > 0 &&
		len(r.Servers) <= mostServers && plausible(r.Target, r.Patience, r.Left, r.Waited)
}

// Valid tells whether a report can be believed.
func (r *Report) Valid() bool {
	return r.Work.valid() && r.Key.Model != "" && r.Rank >= 0 && r.Sent >= 0 && r.First >= 0 &&
		plausible(r.Target, r.Sent, r.First, r.Left)
}
