package quarantine

import (
	"maps"
	"slices"
	"time"
)

// SuspicionTime is the time within which a crash becomes known: a server's record expires after
// three missed heartbeats, which are 1.2 s apart on the users' sites.
const SuspicionTime = 5 * time.Second

// minSuspicions is the number of crashes and suspicions from which on a request is suspected, if at
// least one of them is a suspicion.
const minSuspicions = 2

// Doubt is the suspicion that a run crashed its server: the run's connection broke shortly after
// the run began, and it is not known whether the server crashed. A proxy in front of a server may
// accept connections after the server crashed, so that only the server's record shows the crash. By
// then the same request can be on several more servers. A suspicion therefore counts as a crash in
// making a request suspected and in the rounds of its runs, but never puts it in quarantine.
type Doubt struct {
	Server string
	Round  int           // of the run, suspicions included
	Left   time.Duration // how long the suspicion still counts
	Again  bool          // see Run
	// Lasting tells that the run was on an incarnation that may never be listed, so that no record settles the suspicion:
	// the node did not list Server, or Server is known to have crashed before the run, which is therefore of Again.
	Lasting bool
}

// limit bounds how long the suspicion counts.
func (d Doubt) limit() time.Duration {
	if d.Lasting {
		return Lifetime
	}
	return SuspicionTime
}

// suspicion is a Doubt as a table keeps it.
type suspicion struct {
	server string
	round  int
	since  time.Time // by this node's clock
	until  time.Time

	again, lasting bool // see Doubt
}

// Suspect records that the connection of a run broke shortly after the run began.
func (t *Table) Suspect(now time.Time, r Run) Change {
	d := Doubt{Server: r.Server, Round: r.Round + r.Doubts, Again: r.Again, Lasting: r.Unlisted}
	d.Left = d.limit()
	return t.Merge(now, Evidence{Request: r.Request, Part: r.Part, Service: r.Service, Doubts: []Doubt{d}})
}

// SuspectedRounds returns how far the round of a run that begins on a server now exceeds NextRound
// if all suspicions are true, and whether one of them concerns that server.
func (t *Table) SuspectedRounds(now time.Time, f Fingerprint, server string) (rounds int, again bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.liveEntry(now, f)
	if e == nil {
		return 0, false
	}
	known := e.rounds()
	for _, d := range e.suspicions {
		rounds = max(rounds, d.round-known)
		again = again || d.server == server
	}
	return rounds, again
}

// ServerAlive records that a server answered a request that was sent at the given time. Suspicions
// of earlier runs on the server are dropped.
func (t *Table) ServerAlive(now time.Time, server string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.After(t.suspectedUntil[server]) {
		return
	}
	var left []suspicion
	for f := range t.entries {
		e := t.liveEntry(now, f)
		if e == nil {
			continue
		}
		e.suspicions = slices.DeleteFunc(e.suspicions, func(d suspicion) bool { return d.server == server && d.since.Before(sent) })
		t.changes++
		left = append(left, e.suspicions...)
	}
	clear(t.suspectedUntil)
	t.noteSuspicions(now, left)
}

// noteSuspicions updates until when there are suspicions at servers. The caller holds mu.
func (t *Table) noteSuspicions(now time.Time, list []suspicion) {
	if t.suspectedUntil == nil {
		t.suspectedUntil = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.suspectedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for _, d := range list {
		if d.until.After(t.suspectedUntil[d.server]) {
			t.suspectedUntil[d.server] = d.until
		}
	}
}

// mergeSuspicions adds the suspicions that are not settled by a known crash. It reports whether any
// was new.
func (e *entry) mergeSuspicions(now time.Time, list []Doubt) bool {
	changed := false
	for _, d := range list {
		known := slices.ContainsFunc(e.suspicions, func(have suspicion) bool { return have.server == d.Server && have.round == d.Round })
		switch {
		case known || d.Left <= 0:
		case len(e.suspicions) < maxEnds:
			one := suspicion{d.Server, d.Round, now, now.Add(min(d.Left, d.limit())), d.Again, d.Lasting}
			if e.settles(one) {
				continue
			}
			e.suspicions = append(e.suspicions, one)
			changed = true
		}
	}
	return changed
}

// clearedSince reports whether a server's crash is cleared here and not yet in the other evidence, whose suspicions of
// runs on the server are older than that.
func (e *Evidence) clearedSince(other Evidence, server string) bool {
	has := func(list []End, cleared bool) bool {
		return slices.ContainsFunc(list, func(end End) bool { return end.Server == server && end.Cleared == cleared })
	}
	return has(e.Ends, true) && has(other.Ends, false)
}

// unclearedDoubts returns the doubts of other evidence but for those that were cleared since.
func (e *entry) unclearedDoubts(other Evidence) []Doubt {
	return slices.DeleteFunc(slices.Clone(other.Doubts), func(d Doubt) bool { return e.clearedSince(other, d.Server) })
}

// dropClearedSuspicions drops suspicions that were cleared where the other evidence is from. It reports whether there were any.
func (e *entry) dropClearedSuspicions(other Evidence) bool {
	before := len(e.suspicions)
	e.suspicions = slices.DeleteFunc(e.suspicions, func(d suspicion) bool { return other.clearedSince(e.Evidence, d.server) })
	return len(e.suspicions) < before
}

// pruneSuspicions drops suspicions that expired or whose crash is known. It reports whether there were any.
func (e *entry) pruneSuspicions(now time.Time) bool {
	before := len(e.suspicions)
	e.suspicions = slices.DeleteFunc(e.suspicions, func(d suspicion) bool { return !now.Before(d.until) || e.settles(d) })
	e.prolongSuspicions()
	return len(e.suspicions) < before
}

// prolongSuspicions makes suspicions lasting whose server is known to have crashed before the run.
func (e *entry) prolongSuspicions() {
	for i, d := range e.suspicions {
		if d.again && !d.lasting && e.knowsCrash(d.server) {
			e.suspicions[i].lasting, e.suspicions[i].until = true, d.since.Add(Lifetime)
		}
	}
}

// settles reports whether a known crash is that of a suspected run. That of a run on a later incarnation has the
// incarnation's ID, and is known by its round.
func (e *entry) settles(d suspicion) bool {
	if !d.again {
		return e.knowsCrash(d.server)
	}
	return slices.ContainsFunc(e.Ends, func(end End) bool { return end.Server != d.server && end.mayBeOf(d.round) })
}

// knowsCrash reports whether a crash of the server is known, cleared or not.
func (e *entry) knowsCrash(server string) bool {
	return slices.ContainsFunc(e.Ends, func(end End) bool { return end.Server == server })
}

// suspectedBySuspicion reports whether the request must run in trials because one server may have
// crashed under it and another one did or may have. Both may be of the same round, since nodes
// learn of a suspicion after the next run begins. Two on the same server are of successive runs,
// the second one on the server's next incarnation.
func (e *entry) suspectedBySuspicion() bool {
	return len(e.suspicions) > 0 && len(e.Servers())+len(e.suspicions) >= minSuspicions
}

// exportSuspicions returns the suspicions in the form that is sent to other nodes.
func (e *entry) exportSuspicions(now time.Time) []Doubt {
	var list []Doubt
	for _, d := range e.suspicions {
		list = append(list, Doubt{d.server, d.round, d.until.Sub(now), d.again, d.lasting})
	}
	return list
}

// hasLastingStanding reports whether lasting suspicions make the request suspected.
func (e *entry) hasLastingStanding() bool {
	return e.suspectedBySuspicion() && slices.ContainsFunc(e.suspicions, func(d suspicion) bool { return d.lasting })
}

// exportLastingSuspicions is exportSuspicions without those that expire after SuspicionTime.
func (e *entry) exportLastingSuspicions(now time.Time) []Doubt {
	return slices.DeleteFunc(e.exportSuspicions(now), func(d Doubt) bool { return !d.Lasting })
}
