package quarantine

import (
	"slices"
	"time"
)

// explanation tells which other subjects explain an entry's crashes.
type explanation struct {
	// servers are those at which a weightier subject explains the crash or suspicion.
	servers []string
	// sharers are the accused entries with other crashes under which servers of the entry's last round crashed.
	sharers []*entry
	// parts are the accused parts under which all of its servers crashed.
	parts []*entry
}

// leftover is what is left of an entry's evidence when the crashes and suspicions that a weightier
// subject explains are left out.
type leftover struct {
	rounds  int
	crashes int
	doubts  int
}

// standing is like Evidence.Standing, but never more than suspected.
func (l leftover) standing() Standing {
	suspected := l.rounds >= suspectedRounds || l.crashes >= suspectedCrashes
	if suspected || l.doubts > 0 && l.crashes+l.doubts >= minSuspicions {
		return Suspected
	}
	return Free
}

// mayExplain reports whether the subject crashed so many servers that it may have crashed others as well.
// Two in one round count: a node that learns of crashes late gives all its runs the same round.
func (l leftover) mayExplain() bool { return l.crashes+l.doubts >= suspectedRounds }

// standing returns the standing of a subject in a request that has the given subjects. Crashes of
// other subjects count: several may have run at a server when it crashed, and one is to blame. The
// caller holds mu.
//
// Crashes that another part explains make no part suspected. A request is suspected whatever explains
// its crashes: many copies of it may wait for a server, and of parts in doubt there is always another
// one. A subject that is in quarantine by itself is only suspected while others, which the request does
// not have, explain the same crashes: its trial decides. A part that always came beside one that
// crashes servers is found harmless in this way. Suspicions alone never make a subject more than
// suspected.
func (t *Table) standing(now time.Time, e *entry, subjects []Fingerprint) Standing {
	s := e.Standing()
	switch {
	case s == Free && !e.suspectedBySuspicion():
		return Free
	case s != Quarantined && e.Part != "":
		return t.leftover(now, e).standing()
	case s != Quarantined, e.mayBeTried(now), t.hasAlternative(now, e, subjects):
		return Suspected
	default:
		return Quarantined
	}
}

// standingAlone is standing for a request without other subjects. The caller holds mu.
func (t *Table) standingAlone(now time.Time, e *entry) Standing {
	return t.standing(now, e, []Fingerprint{e.Request})
}

// leftover returns what no weightier subject explains. The caller holds mu.
func (t *Table) leftover(now time.Time, e *entry) leftover {
	return e.without(t.explain(now, e).servers)
}

// hasAlternative reports whether subjects that the request does not have explain the crashes of a
// subject in quarantine.
//
// The run of the third round is a trial, so that a crash shows what caused it. If other subjects with
// two more crashes crashed the same server, because a node did not know of trials yet, the crash
// shows nothing. A fourth round puts a request in quarantine in any case: of two that crash servers
// and are never alone, each crashes one more server. A part has an alternative as long as another one
// explains all of its crashes. The caller holds mu.
func (t *Table) hasAlternative(now time.Time, e *entry, subjects []Fingerprint) bool {
	x := t.explain(now, e)
	outside := func(other *entry) bool { return !slices.Contains(subjects, other.Request) }
	if e.rounds() > quarantinedRounds {
		return e.Part != "" && slices.ContainsFunc(x.parts, outside)
	}
	last := e.serversFrom(e.rounds())
	for _, other := range x.sharers {
		if len(last) == 0 {
			break
		}
		if outside(other) {
			last = slices.DeleteFunc(last, other.crashed)
		}
	}
	return len(last) == 0
}

// explain returns the explanation of an entry's crashes. It is cached until an entry changes, since it
// takes a scan of the accused entries and a request in quarantine may come thousands of times. The
// caller holds mu.
func (t *Table) explain(now time.Time, e *entry) *explanation {
	if e.explainedAtChange != t.changes {
		e.explained = t.computeExplanation(now, e)
		e.explainedAtChange = t.changes
	}
	return &e.explained
}

// computeExplanation is explain without the cache. The caller holds mu.
func (t *Table) computeExplanation(now time.Time, e *entry) explanation {
	var x explanation
	last, all := e.serversFrom(e.rounds()), e.accusedServers()
	for _, other := range t.accusedEntries() {
		if other == e {
			continue
		}
		if slices.ContainsFunc(last, other.crashed) && other.without(last).mayExplain() {
			x.sharers = append(x.sharers, other)
		}
		if other.Part == "" {
			continue
		}
		theirs := other.accusedServers()
		if containsAll(theirs, all) {
			x.parts = append(x.parts, other)
		}
		if len(theirs) > len(all) {
			x.servers = append(x.servers, slices.DeleteFunc(slices.Clone(all), func(server string) bool {
				return !slices.Contains(theirs, server) || slices.Contains(x.servers, server)
			})...)
		}
	}
	return x
}

// without returns what is left of the evidence without crashes and suspicions at the given servers.
func (e *entry) without(servers []string) leftover {
	isExplained := func(server string) bool { return slices.Contains(servers, server) }
	l := leftover{rounds: e.rounds()}
	rounds := make(map[int]bool)
	for _, end := range e.Ends {
		if !end.Cleared && !isExplained(end.Server) {
			l.crashes++
			rounds[end.Round] = true
		}
	}
	if l.crashes < len(e.Servers()) {
		l.rounds = len(rounds)
	}
	for _, d := range e.suspicions {
		if !isExplained(d.server) {
			l.doubts++
		}
	}
	return l
}

// accusedEntries returns the entries with a standing by themselves. The caller holds mu.
func (t *Table) accusedEntries() []*entry {
	if t.accusedAtChange == t.changes {
		return t.accused
	}
	t.accused, t.accusedAtChange = nil, t.changes
	for _, e := range t.entries {
		if e.Standing() != Free || e.suspectedBySuspicion() {
			t.accused = append(t.accused, e)
		}
	}
	return t.accused
}

// accusedServers returns the servers that crashed under a subject, or may have.
func (e *entry) accusedServers() []string {
	list := e.Servers()
	for _, d := range e.suspicions {
		list = append(list, d.server)
	}
	return list
}

// containsAll reports whether a list contains all elements of another one.
func containsAll(list, others []string) bool {
	return !slices.ContainsFunc(others, func(one string) bool { return !slices.Contains(list, one) })
}
