package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Standing says whether and how a request may run.
type Standing uint8

// The standings.
const (
	Free        Standing = iota // runs like any other request
	Suspected                   // runs alone, see Trials
	Quarantined                 // does not run
)

// String returns the name that is used in logs.
func (s Standing) String() string {
	switch s {
	case Suspected:
		return "suspected"
	case Quarantined:
		return "quarantined"
	default:
		return "free"
	}
}

// The number of crashes, and of rounds of crashes, after which a request is suspected or in
// quarantine. The runs of one round all began before a crash of that round was known: many copies
// of a harmless request break at once when another request crashes servers.
//
// One crash says little, since it may break as many requests as the server has places. Two rounds
// happen to harmless requests as well, because all requests of a crashed server are sent on
// together. The third round is a trial apart from other suspected requests and shows which of them
// caused the crash. The users' rules allow three crashes before retries count, and three retries.
const (
	suspectedRounds   = 2
	suspectedCrashes  = 3 // in any rounds
	quarantinedRounds = 3
)

// maxEnds bounds the crashes that are kept of a request. Those of the last rounds are kept, as many
// copies may break at once in one round. If the first ones were kept instead, later rounds would
// not count, and the request would keep running: it crashed nine more servers after eight crashes
// in two rounds.
const maxEnds = 8

// End records that a server crashed under a request.
type End struct {
	Server  string // ID of one incarnation; a restarted server has another ID
	Round   int    // one more than the rounds that were known when the run began
	Cleared bool   // a server completed the request since, or an operator lifted the quarantine
	// Doubts is the number of additional rounds if all runs that were under suspicion when this run
	// began crashed their servers, see Doubt.
	Doubts int `json:",omitempty"`
	// EarlierRuns has bit r set for each earlier run on the server that was of round r, counting
	// suspicions as crashes: the server crashed under one of its runs.
	EarlierRuns uint32 `json:",omitempty"`
	// Held is the round of a trial whose crash puts the request in quarantine unless reports of other nodes show
	// another cause, see Run.UndecidedEvidence. It is zero if no such crash was reported.
	Held int `json:",omitempty"`
}

// isHeld reports whether the crash does not count with its round yet.
func (e End) isHeld() bool { return !e.Cleared && e.Round < e.Held }

// maxRound returns the round if all earlier suspicions were crashes.
func (e End) maxRound() int { return e.Round + e.Doubts }

// mayBeOf reports whether the crash may be of a round, counting suspicions as crashes.
func (e End) mayBeOf(round int) bool {
	return e.maxRound() == round || e.EarlierRuns&roundBit(round) != 0
}

// maxRoundBit is the highest bit of End.EarlierRuns, which stands for all higher rounds as well.
const maxRoundBit = 31

// roundBit returns the bit of a round in End.EarlierRuns.
func roundBit(round int) uint32 { return 1 << min(max(round, 0), maxRoundBit) }

// Run is one run of a request on a server, as of its beginning, as far as it concerns one subject of
// evidence: the request or a part of its prompt.
type Run struct {
	Request   Fingerprint // the subject
	Part      string      // ID of the part; empty: the subject is the request itself
	Service   string
	Server    string
	Round     int    // round of the crash, if the server crashes
	Doubts    int    // additional rounds by suspicions, see End
	Again     bool   // an earlier run on the server is under suspicion: if it crashed the server, this run is on the next incarnation
	RequestID string // of the caller's attempt, for logs
	Unlisted  bool   // this node has not listed the server, so that no record shows its crash
	// ByRecord is set if only the server's record showed its crash, as with servers behind a proxy
	// that never refuses connections.
	ByRecord bool
	// trialServer is the server of the run's trial, if that is not Server, see At.
	trialServer string
}

// TrialServer returns the server for which the run had its trial, if it had one.
func (r Run) TrialServer() string { return cmp.Or(r.trialServer, r.Server) }

// Decisive reports whether a crash of the run's server puts the request in quarantine.
func (r Run) Decisive() bool { return r.Round+r.Doubts >= quarantinedRounds }

// At returns the run with the ID of the incarnation at which it was, if that is known by now to be a later one.
func (r Run) At(server string) Run {
	if server != r.Server {
		r.trialServer, r.Server, r.Again = r.TrialServer(), server, false
	}
	return r
}

// repeatMark separates, in End.Server, the ID of a server from the round of a run. It marks the crash
// of a later incarnation whose own ID is not known yet.
const repeatMark = "#"

// CrashEvidence returns the evidence that the run's server crashed under it.
func (r Run) CrashEvidence() Evidence {
	server := r.Server
	if r.Again {
		server += repeatMark + strconv.Itoa(r.Round+r.Doubts)
	}
	return Evidence{Request: r.Request, Part: r.Part, Service: r.Service, Ends: []End{{Server: server, Round: r.Round, Doubts: r.Doubts}}}
}

// UndecidedEvidence is CrashEvidence while reports of other nodes may still show another cause: it makes
// the subject suspected at most.
func (r Run) UndecidedEvidence() Evidence {
	e := r.CrashEvidence()
	if r.Round >= quarantinedRounds {
		e.Ends[0].Held = r.Round
	}
	e.Ends[0].Round, e.Ends[0].Doubts = min(r.Round, quarantinedRounds-1), 0
	return e
}

// listedServer returns the ID in End.Server without a repeatMark and a round.
func listedServer(server string) string {
	name, _, _ := strings.Cut(server, repeatMark)
	return name
}

// Evidence is what is known of a subject: a request or a part of prompts. Merging the evidence of
// different nodes in any order and any number of times gives the same result.
type Evidence struct {
	Request Fingerprint // of the subject
	Part    string      `json:",omitempty"` // ID of the part; empty: the subject is a request
	Service string
	Ends    []End // sorted by server
	// Doubts lists the runs that may have crashed their servers. Nodes send them when they ask for
	// trials. Only lasting ones are stored in the platform's store.
	Doubts []Doubt `json:",omitempty"`
	// ClearedFor is how much longer the subject is not blamed because it ran to its end at the node
	// that says so, or at one that told it.
	ClearedFor time.Duration `json:",omitempty"`
	// Age is how long ago the evidence last changed. It is zero in the platform's store, see Aged.
	Age time.Duration `json:",omitempty"`
	// RefusedAgo is how long ago a request with the subject was last refused; zero: none is known.
	RefusedAgo time.Duration `json:",omitempty"`
}

// Standing returns the standing by this subject's crashes that are not cleared. Table.Standing also
// considers other subjects.
func (e *Evidence) Standing() Standing {
	rounds := e.rounds()
	switch {
	case rounds >= quarantinedRounds:
		return Quarantined
	case rounds >= suspectedRounds, len(e.Servers()) >= suspectedCrashes:
		return Suspected
	default:
		return Free
	}
}

// rounds returns the number of rounds with crashes that are not cleared. A round that may be higher
// because of suspicions counts as soon as there are crashes of that round and of the one before.
func (e *Evidence) rounds() int {
	rounds := 0
	for _, end := range e.Ends {
		if !end.Cleared {
			rounds = max(rounds, end.Round)
		}
	}
	var used []string
	server, found := e.crashOfRound(rounds, used)
	for found {
		used = append(used, server)
		if server, found = e.crashOfRound(rounds+1, used); found {
			rounds++
		}
	}
	return rounds
}

// crashOfRound returns a server that crashed in a round, counting suspicions as crashes, and is not in
// used: a crash is of one round, even if several runs were on the server.
func (e *Evidence) crashOfRound(round int, used []string) (server string, found bool) {
	lastRun := 0
	for _, end := range e.Ends {
		if end.Cleared || slices.Contains(used, end.Server) || !end.mayBeOf(round) {
			continue
		}
		if !found || end.maxRound() < lastRun { // others may be of a later round
			server, found, lastRun = end.Server, true, end.maxRound()
		}
	}
	return server, found
}

// HeldServers returns the servers whose crashes do not count with their round yet.
func (e *Evidence) HeldServers() []string {
	var list []string
	for _, end := range e.Ends {
		if end.isHeld() {
			list = append(list, end.Server)
		}
	}
	return list
}

// decide counts the crash of a server with its round. It reports whether it was held back.
func (e *Evidence) decide(server string) bool {
	for i, end := range e.Ends {
		if end.Server == server && end.isHeld() {
			decided := end
			decided.Round, decided.Doubts = end.Held, 0
			e.Ends[i].merge(decided)
			return true
		}
	}
	return false
}

// merge adds what another node knows. It reports whether anything was new.
func (e *Evidence) merge(other Evidence) bool {
	before := slices.Clone(e.Ends)
	for _, end := range other.Ends {
		i, known := slices.BinarySearchFunc(e.Ends, end.Server, func(have End, id string) int {
			return strings.Compare(have.Server, id)
		})
		if known {
			e.Ends[i].merge(end)
		} else {
			e.Ends = slices.Insert(e.Ends, i, end)
		}
	}
	for len(e.Ends) > maxEnds {
		e.dropEarliest()
	}
	return !slices.Equal(before, e.Ends)
}

// dropEarliest drops the crash that says least, which is one of the earliest round.
func (e *Evidence) dropEarliest() {
	least := 0
	for i, end := range e.Ends {
		if end.maxRound() < e.Ends[least].maxRound() {
			least = i
		}
	}
	e.Ends = slices.Delete(e.Ends, least, least+1)
}

// merge combines two reports of the same crash. If there were several runs on the server, the last
// one counts, and the earlier ones are kept in EarlierRuns.
func (e *End) merge(other End) {
	last := max(e.maxRound(), other.maxRound())
	runs := e.EarlierRuns | other.EarlierRuns | roundBit(e.maxRound()) | roundBit(other.maxRound())
	e.EarlierRuns = runs &^ roundBit(last)
	e.Round = max(e.Round, other.Round)
	e.Doubts = last - e.Round
	e.Cleared = e.Cleared || other.Cleared
	e.Held = max(e.Held, other.Held)
}

// standingIfNotCleared returns the standing by all crashes, cleared or not.
func (e *Evidence) standingIfNotCleared() Standing {
	if !slices.ContainsFunc(e.Ends, func(end End) bool { return end.Cleared }) {
		return e.Standing()
	}
	accusation := e.copy()
	for i := range accusation.Ends {
		accusation.Ends[i].Cleared = false
	}
	return accusation.Standing()
}

// clear marks all crashes as not caused by the request. It reports whether anything changed.
func (e *Evidence) clear() bool {
	changed := false
	for i := range e.Ends {
		changed = changed || !e.Ends[i].Cleared
		e.Ends[i].Cleared = true
	}
	return changed
}

// crashed reports whether a server, or a later incarnation that is known by the same ID, crashed under
// the request and the crash is not cleared.
func (e *Evidence) crashed(server string) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool { return listedServer(end.Server) == listedServer(server) && !end.Cleared })
}

// Servers returns the servers that crashed under the request, except cleared ones.
func (e *Evidence) Servers() []string { return e.serversFrom(0) }

// serversFrom is Servers for the given round and later ones.
func (e *Evidence) serversFrom(round int) []string {
	var list []string
	for _, end := range e.Ends {
		if !end.Cleared && end.maxRound() >= round {
			list = append(list, end.Server)
		}
	}
	return list
}

// copy returns a copy that shares no memory with e and has no suspicions.
func (e *Evidence) copy() Evidence {
	return Evidence{Request: e.Request, Part: e.Part, Service: e.Service, Ends: slices.Clone(e.Ends)}
}
