package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the models of the case, as on the sheet of a small deployment.
const (
	modelMB   = 72_700.0
	modelLoad = 4300 * time.Millisecond
	// configApply is the time within which a configuration is in force.
	configApply = 2 * time.Second
)

// retiredModels: all models that servers hold are in use. The operator replaces some of them by another model: clients ask
// for that instead, and the next configuration does not list the retired ones, which servers still hold.
func retiredModels(s *site) (int, error) {
	const (
		service  = "drafting-desk"
		steady   = 6 * time.Second // of requests before and after the change
		deadline = 15 * time.Second
	)
	busy, retired, rare := []string{"m1", "m3", "m5"}, []string{"m2", "m4", "m6"}, "m7" // rare: in place of the retired ones
	all := slices.Concat(busy, retired, []string{rare})
	known := make(map[string]model)
	for _, name := range all {
		known[name] = model{name, modelMB, modelLoad}
	}
	s.configure(7, service, all, known)
	var mu sync.Mutex
	var faults []string
	fall := func(e *engine, why string) {
		mu.Lock()
		faults = append(faults, why)
		mu.Unlock()
		s.record.line("%s", why)
		s.record.line("%s falls with %d requests", e.id, e.running)
		e.fall()
		time.Sleep(restartTime)
		next := &engine{id: e.id + "n", service: e.service, zone: e.zone, known: known, record: s.record, store: s.store, onFall: e.onFall}
		if err := next.start(); err != nil {
			s.record.line("%s does not start: %v", next.id, err)
		}
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: service, zone: zone, known: known, record: s.record, store: s.store, onFall: fall}
		if err := e.start(busy[i], retired[i]); err != nil {
			return couldNot, err
		}
	}
	if err := s.startNodes(true, "zone-a", "zone-b", "zone-c"); err != nil {
		return couldNot, err
	}
	c := &streamClients{site: s, outcomes: make(map[string]int)}
	stop, stopRetired := make(chan struct{}), make(chan struct{})
	var tasks sync.WaitGroup
	for i, name := range slices.Concat(busy, retired) {
		over := stop
		if slices.Contains(retired, name) {
			over = stopRetired
		}
		tasks.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-over:
					return
				case <-time.After(250 * time.Millisecond):
					tasks.Go(func() { c.stream(s.nodes[(i+k)%len(s.nodes)], fmt.Sprintf("%s-%d", name, k), name, deadline) })
				}
			}
		})
	}
	time.Sleep(steady)
	close(stopRetired)
	time.Sleep(time.Second) // the last stream of a retired model still runs
	if s.trouble {
		s.configure(9, service, slices.Concat(busy, []string{rare}), known)
	}
	time.Sleep(configApply) // from here on, the change is in force
	var rareServed string
	for k := range 4 { // a client that comes back when it is told to
		if rareServed = c.stream(s.nodes[0], fmt.Sprintf("%s-%d", rare, k), rare, deadline); rareServed == "200 complete" {
			break
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(steady)
	close(stop)
	tasks.Wait()
	s.record.line("answers: %v; the rare model: %s; orders beyond the memory: %d", c.outcomes, rareServed, len(faults))
	if c.outcomes["200 complete"] == 0 {
		return couldNot, fmt.Errorf("no request was served")
	}
	if len(faults) > 0 {
		return broken, nil
	}
	return held, nil
}

// configure writes a configuration that lists some models.
func (s *site) configure(version int, service string, names []string, known map[string]model) {
	var models []any
	for _, name := range names {
		m := known[name]
		models = append(models, map[string]any{"name": name, wire("memory"): m.mb, "loadS": m.load.Seconds(), "adapters": 0, "adapterMb": 0,
			wire("load from memory"): 1.3, wire("load from disk"): 1.7})
	}
	s.store.putJSON("op", "config", map[string]any{
		"version": version, "limits": limits,
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConnections": 370, "engine": map[string]any{
			"slots": 64, wire("cache"): 129_500, wire("memory"): serverMB, wire("adapter places"): 8, wire("loads"): 3, "stride": 2, "models": models}}},
		"routes": []any{map[string]any{"name": "brief", "host": "site.example", wire("prefix"): "/brief/", "kind": "streaming", "service": service,
			"timeoutMs": 25_000, wire("target"): 6000, wire("gap target"): 300, "priority": 1, wire("attempts"): 1, "sticky": true}},
	})
	s.record.line("the store acknowledges configuration %d with the models %v", version, names)
}

// streamClients sends streams and counts how they end.
type streamClients struct {
	site *site

	mu       sync.Mutex
	outcomes map[string]int
}

// stream sends a request for a stream and returns how it ended.
func (c *streamClients) stream(n *node, id, name string, deadline time.Duration) string {
	outcome := c.send(n, id, name, deadline)
	c.site.record.line("the client of %s gets for %s: %s", n.name, id, outcome)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
	return outcome
}

func (c *streamClients) send(n *node, id, name string, deadline time.Duration) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+n.front()+"/brief/x", strings.NewReader("a prompt"))
	if err != nil {
		return err.Error()
	}
	r.Host = "site.example"
	r.Header.Set(headerAttempt, id)
	r.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set(headerModel, name)
	r.Header.Set(headerTokens, "1110,86")
	r.Header.Set(headerParts, fmt.Sprintf("a1:210,b2:140,%x:760", id))
	client := &http.Client{Timeout: deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer a.Body.Close()
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
	}
	if lines.Err() != nil {
		return fmt.Sprintf("%d broken off", a.StatusCode)
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Sprint(a.StatusCode)
	}
	return "200 complete"
}
