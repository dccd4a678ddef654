package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// The script of case 4: a server loses the answer of a stream that may run only once and works on. Its queue is long, so that
// it resets further connections; the node then takes the call that is to stop the run for one that was not sent, and lets the
// stream go on at the server that has its copy.

const (
	continuedRounds = 5 // each with a site of its own
	roundTime       = 10 * time.Second
	lossTime        = 4 * time.Second // of answer_lost in a round
	lossShare       = 0.3             // of the requests that the server ran
	stillWorking    = 400 * time.Millisecond
)

// Requests of a round. Streams of m0 may run only once; h0 is held by one server alone.
const (
	firstStreams  = 8
	laterStreams  = 6
	burstStreams  = 18
	laterStart    = 2000 * time.Millisecond
	burstStart    = 2400 * time.Millisecond
	requestGap    = 44 * time.Millisecond // the site has 22.7 requests of its commonest kind a second
	streamTokens  = "1400,300"
	burstTokens   = "600,120"
	streamTimeout = 15 * time.Second
)

func continuedConfiguration() map[string]any {
	var models []map[string]any
	for _, name := range []string{"m0", "h0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"} {
		models = append(models, map[string]any{"name": name, wire("memory"): 70000, "loadS": 6, "adapters": 0, "adapterMb": 0, wire("load from memory"): 1, wire("load from disk"): 2})
	}
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "host": host, wire("prefix"): "/" + name + "/", "kind": "streaming", "service": "llm", "timeoutMs": 25000,
			wire("target"): 2500, "priority": 1, wire("attempts"): 1, "sticky": true, "resumable": false, wire("gap target"): 300}
	}
	return map[string]any{
		"version": 1,
		"routes":  []map[string]any{route("once"), route("hot")},
		"services": []map[string]any{{"name": "llm", "healthPath": "/health", "maxConnections": maxConnections, "engine": map[string]any{
			"slots": engineSlots, wire("cache"): 130000, wire("memory"): 200000, wire("adapter places"): 8, wire("loads"): 3.1, wire("token bytes"): 163840,
			"linkMbps": 550000, "migrations": true, "kvBackups": true, "stride": tokensPerEvent, "handle_s": 5.0, "models": models}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// continued runs the script. It returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
func continued(rec *record, folder string, trouble bool) int {
	lost, broken := 0, 0
	for round := range continuedRounds {
		es := &engines{store: newStore(), rec: rec, byAddress: make(map[string]*engine)}
		if err := playSite(rec, es, filepath.Join(folder, strconv.Itoa(round)), round, trouble); err != nil {
			rec.add("not run: %v", err)
			return 2
		}
		l, b := judgeContinued(rec, es)
		lost, broken = lost+l, broken+b
	}
	rec.add("result    %d answers of copied runs lost, %d requests continued at another server beside a run", lost, broken)
	switch {
	case broken > 0:
		return 1
	case trouble && lost == 0:
		return 2
	}
	return 0
}

// playSite plays a round with new servers and nodes.
func playSite(rec *record, es *engines, folder string, round int, trouble bool) error {
	if err := os.Mkdir(folder, 0o700); err != nil {
		return err
	}
	es.store.put("op", "config", continuedConfiguration())
	var first *engine
	defer es.stop()
	for i, models := range [][]string{{"m0", "h0"}, {"m0", "m1"}, {"m2", "m3"}, {"m4", "m5"}, {"m6", "m7"}} {
		e, err := es.startEngine(fmt.Sprintf("i-%d-%d", round, i), zones[i%len(zones)], models...)
		if err != nil {
			return err
		}
		if i == 0 {
			first = e
		}
	}
	s := &site{store: es.store.listen(), folder: folder, fencing: false}
	defer s.stop()
	if err := s.start(3); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // longer than contactMs
	end := time.Now().Add(roundTime)
	playRound(rec, s, first, round, trouble)
	time.Sleep(time.Until(end))
	for _, p := range s.nodes {
		if p.ended() {
			return fmt.Errorf("%s has ended", p.name)
		}
	}
	return nil
}

// playRound sends the requests of a round.
func playRound(rec *record, s *site, first *engine, round int, trouble bool) {
	var callers sync.WaitGroup
	defer callers.Wait()
	if trouble {
		now := time.Now()
		first.mu.Lock()
		first.loss = &loss{share: lossShare, from: now, until: now.Add(lossTime)}
		first.mu.Unlock()
		rec.add("trouble   %s loses the answers of %.0f%% of what it runs for %v", first.id, 100*lossShare, lossTime)
	}
	began := time.Now()
	send := func(p *node, kind string, i int, route, model, tokens string) {
		id := fmt.Sprintf("%s-%d-%d", kind, round, i)
		callers.Go(func() {
			ask(rec, p, request{id: id, path: "/" + route + "/x", model: model, tokens: tokens, parts: fmt.Sprintf("%08x:400,%08x:200", round*1000+i, len(kind)*100000+round*1000+i),
				body: id, deadline: streamTimeout})
		})
	}
	for i := range firstStreams {
		send(s.nodes[0], "first", i, "once", "m0", streamTokens)
		time.Sleep(requestGap)
	}
	time.Sleep(time.Until(began.Add(laterStart)))
	for i := range laterStreams {
		send(s.nodes[0], "later", i, "once", "m0", streamTokens)
		time.Sleep(requestGap)
	}
	time.Sleep(time.Until(began.Add(burstStart)))
	rec.add("burst     of %d requests for h0, one each 44 ms", burstStreams)
	for i := range burstStreams {
		send(s.nodes[1+i%2], "burst", i, "hot", "h0", burstTokens)
		time.Sleep(requestGap)
	}
}

// judgeContinued checks that no request continued at another server while the one before was still working on it. It returns how
// many answers of copied runs were lost, and how many requests broke the rule.
func judgeContinued(rec *record, es *engines) (lost, broken int) {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, before := range es.spans {
		if !before.lost.IsZero() && before.backup != "" {
			lost++
		}
		for _, next := range es.spans {
			if next.id != before.id || next.server == before.server || next.origin == "" || !next.began.After(before.began) {
				continue
			}
			over := before.ended
			if over.IsZero() {
				over = time.Now()
			}
			if still := over.Sub(next.began); still > stillWorking {
				broken++
				rec.add("TWICE     %s continued at %s at %s, and %s worked on it for %d ms more", before.id, next.server, rec.at(next.began), before.server, still.Milliseconds())
			}
		}
	}
	return lost, broken
}
