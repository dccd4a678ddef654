package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Properties of the stand-in model servers.
const (
	engineSlots     = 8
	maxConnections  = 360                   // as the configuration tells
	longQueue       = 4                     // requests that wait for a slot in a long queue
	lowerLimit      = 12                    // of connections, while the queue is long
	eventGap        = 25 * time.Millisecond // between two events of a stream
	backupInterval  = 8                     // events between two sends of a run's memory to its backup
	tokensPerEvent  = 2
	lossEvent       = 50 // event before which an answer is lost
	serverHeartbeat = 1200 * time.Millisecond
	idleSeconds     = 2 // after which a connection without a request is closed, as Keep-Alive tells
)

// span is one run of a request at a server.
type span struct {
	id, server string
	first      int    // event that it began with
	origin     string // of the memory that it continued from; empty: it began anew
	backup     string
	began      time.Time
	ended      time.Time // zero: it still runs
	lost       time.Time // when its answer was lost; zero: it was not
}

// loss is a disruption in which servers run requests and lose the answers of some of them.
type loss struct {
	share       float64 // of the runs that begin in the window
	from, until time.Time
	runs        int
}

// engine is a stand-in for one model server.
type engine struct {
	id, zone, address string
	site              *engines

	mu      sync.Mutex
	models  []string
	orders  uint64
	busy    bool
	open    int // connections
	waiting int
	resets  int
	running map[string]bool
	copies  map[string]bool // of runs elsewhere, by IP:port/id
	loss    *loss           // nil: none
	slots   chan struct{}
}

// engines are the model servers of a script.
type engines struct {
	store *store
	rec   *record

	mu        sync.Mutex
	byAddress map[string]*engine
	spans     []*span
	listeners []net.Listener
	stopped   bool
}

// stop makes the servers accept no more connections and write no more entries.
func (es *engines) stop() {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.stopped = true
	for _, l := range es.listeners {
		_ = l.Close()
	}
}

func (es *engines) isStopped() bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.stopped
}

// startEngine starts a server that holds some models.
func (es *engines) startEngine(id, zone string, models ...string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, zone: zone, address: l.Addr().String(), site: es, models: models, running: make(map[string]bool),
		copies: make(map[string]bool), slots: make(chan struct{}, engineSlots)}
	es.mu.Lock()
	es.byAddress[e.address] = e
	es.listeners = append(es.listeners, l)
	es.mu.Unlock()
	e.writeRow()
	go func() {
		for !es.isStopped() {
			time.Sleep(serverHeartbeat)
			e.writeRow()
		}
	}()
	for range 4 {
		go e.accept(l)
	}
	return e, nil
}

// accept serves connections, and resets those beyond the limit.
func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		limit := maxConnections
		if e.waiting >= longQueue {
			limit = lowerLimit
		}
		beyond := e.open >= limit
		if beyond {
			e.resets++
		} else {
			e.open++
		}
		open, waiting := e.open, e.waiting
		e.mu.Unlock()
		if beyond {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			e.site.rec.add("reset     a new connection at %s, which has %d open and %d requests waiting", e.id, open, waiting)
			continue
		}
		go e.serve(conn)
	}
}

func (e *engine) holdings() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// writeRow writes the server's entry.
func (e *engine) writeRow() {
	e.mu.Lock()
	value := map[string]any{"service": "llm", "address": e.address, "zone": e.zone, "version": "1", "slots": engineSlots, "state": "ready",
		wire("cold"): 0, wire("orders"): e.orders, "stage": "both", "models": e.holdings()}
	e.mu.Unlock()
	e.site.store.put("servers", e.id, value)
}

func (e *engine) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		e.open--
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleSeconds * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get(wire("expected server")); expected != "" && expected != e.id {
			answer(conn, r, http.StatusMisdirectedRequest, true, "")
			continue
		}
		switch {
		case r.URL.Path == "/report":
			answer(conn, r, http.StatusOK, false, e.report())
		case r.URL.Path == "/order":
			answer(conn, r, e.order(body), false, "")
		case r.URL.Path == "/kv-move":
			status, text := e.move(body)
			answer(conn, r, status, false, text)
		case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
			answer(conn, r, http.StatusOK, false, "")
		default:
			if !e.stream(conn, r) {
				return
			}
		}
	}
}

// answer writes an answer that is no stream.
func answer(w io.Writer, r *http.Request, status int, notExecuted bool, text string) {
	head := ""
	if id := r.Header.Get(wire("attempt")); id != "" {
		head = wire("attempt") + ": " + id + "\r\n"
	}
	if notExecuted {
		head += wire("not run") + ": 1\r\n"
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%sKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, idleSeconds, len(text), text)
}

func (e *engine) report() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"stage": "both", "models": e.holdings(), "busy": e.busy, wire("orders"): e.orders, "waiting": e.waiting,
		"running": len(e.running), "kvUsed": 0, "kvTotal": 130000, "handles": 0})
	return string(text)
}

// Times of orders.
const (
	loadTime   = 6 * time.Second
	unloadTime = 100 * time.Millisecond
)

// order carries out an order for a model; there are no adapters.
func (e *engine) order(body []byte) int {
	var o struct {
		Operation string  `json:"operation"`
		Model     string  `json:"model"`
		Expected  *uint64 `json:"expectedRev"`
		Holder    string  `json:"holder"`
	}
	var fields map[string]any
	if json.Unmarshal(body, &o) != nil || json.Unmarshal(body, &fields) != nil {
		return http.StatusBadRequest
	}
	fence, _ := fields[wire("fence")].(float64)
	if o.Holder == "" || fence == 0 {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	load := o.Operation == "load"
	switch {
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		return http.StatusConflict
	case slices.Contains(e.models, o.Model) == load:
		return http.StatusOK
	}
	e.orders++
	e.busy = true
	took := unloadTime
	if load {
		took = loadTime
	}
	e.site.rec.add("order     at %s: %s %s by %s, fence %.0f", e.id, o.Operation, o.Model, o.Holder, fence)
	time.AfterFunc(took, func() {
		e.mu.Lock()
		e.busy = false
		if load {
			e.models = append(e.models, o.Model)
		} else {
			e.models = slices.DeleteFunc(slices.Clone(e.models), func(m string) bool { return m == o.Model })
		}
		e.mu.Unlock()
		e.writeRow()
	})
	return http.StatusAccepted
}

// move copies a run's memory to another server; with latest, the run stops first.
func (e *engine) move(body []byte) (int, string) {
	var m struct {
		ID     string `json:"id"`
		To     string `json:"targetVersion"`
		Latest bool   `json:"latest"`
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return http.StatusBadRequest, ""
	}
	e.mu.Lock()
	runs := e.running[m.ID]
	if m.Latest {
		delete(e.running, m.ID)
	}
	e.mu.Unlock()
	e.site.rec.add("kv-move   of %s at %s, which runs it: %t, latest %t", m.ID, e.id, runs, m.Latest)
	target := e.site.at(m.To)
	if !runs || target == nil {
		return http.StatusNotFound, ""
	}
	target.takeCopy(e.address + "/" + m.ID)
	return http.StatusOK, fmt.Sprintf(`{"handle":%q,"createdAt":0}`, m.ID)
}

// at returns the server at an address; nil: there is none.
func (es *engines) at(address string) *engine {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.byAddress[address]
}

func (e *engine) takeCopy(origin string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[origin] = true
}

// useCopy removes a copy and reports whether there was one.
func (e *engine) useCopy(origin string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	had := e.copies[origin]
	delete(e.copies, origin)
	return had
}

// losesAnswer decides whether the answer of a run that begins now will be lost.
func (e *engine) losesAnswer(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.loss
	if l == nil || now.Before(l.from) || now.After(l.until) {
		return false
	}
	before := int(l.share * float64(l.runs))
	l.runs++
	return int(l.share*float64(l.runs)) > before
}

// losesNow reports whether the disruption still lasts.
func (e *engine) losesNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loss != nil && time.Now().Before(e.loss.until)
}

func (e *engine) isRunning(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[id]
}

// stream runs a streaming request. It reports whether the connection can be used on.
func (e *engine) stream(conn net.Conn, r *http.Request) bool {
	h := r.Header
	s := &span{id: h.Get(wire("attempt")), server: e.id, origin: h.Get("Kv-From"), backup: h.Get(wire("backup"))}
	e.mu.Lock()
	holds := slices.Contains(e.models, h.Get(wire("model")))
	e.mu.Unlock()
	if !holds {
		answer(conn, r, http.StatusMisdirectedRequest, true, "")
		return true
	}
	if s.origin != "" && !e.useCopy(s.origin) {
		answer(conn, r, http.StatusServiceUnavailable, true, "")
		return true
	}
	if s.origin == "" { // what continues from a copy is let in first
		e.mu.Lock()
		e.waiting++
		e.mu.Unlock()
		e.slots <- struct{}{}
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
		defer func() { <-e.slots }()
	}
	last, _ := strconv.Atoi(h.Get("Last-Event-Id"))
	_, out, _ := strings.Cut(h.Get(wire("tokens")), ",")
	tokens, _ := strconv.Atoi(out)
	s.first, s.began = last+1, time.Now()
	loses := s.origin == "" && e.losesAnswer(s.began)
	e.site.mu.Lock()
	e.site.spans = append(e.site.spans, s)
	e.site.mu.Unlock()
	e.mu.Lock()
	e.running[s.id] = true
	e.mu.Unlock()
	e.site.rec.add("run       of %s begins at %s with event %d, continued from %q, copied to %q", s.id, e.id, s.first, s.origin, s.backup)
	usable := e.sendEvents(conn, s, tokens/tokensPerEvent, loses)
	e.site.mu.Lock()
	s.ended = time.Now()
	e.site.mu.Unlock()
	e.mu.Lock()
	delete(e.running, s.id)
	e.mu.Unlock()
	e.site.rec.add("run       of %s ends at %s", s.id, e.id)
	return usable
}

// sendEvents makes the events of a run and sends them, unless the answer is lost.
func (e *engine) sendEvents(conn net.Conn, s *span, events int, loses bool) bool {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s.%d\r\nKeep-Alive: timeout=%d\r\nTransfer-Encoding: chunked\r\n\r\n",
		wire("attempt"), s.id, wire("seal"), e.id, s.first, idleSeconds)
	lost := false
	for i := s.first; i <= events; i++ {
		if !e.isRunning(s.id) {
			return false // a move has stopped it
		}
		if loses && i == lossEvent && e.losesNow() {
			lost = true
			e.site.mu.Lock()
			s.lost = time.Now()
			e.site.mu.Unlock()
			_ = conn.Close()
			e.site.rec.add("lost      the answer of %s at %s, which works on", s.id, e.id)
		}
		if !lost {
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, s.id)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false // it drops a request whose connection was closed
			}
		}
		if backup := e.site.at(s.backup); backup != nil && i%backupInterval == 0 {
			backup.takeCopy(e.address + "/" + s.id)
		}
		time.Sleep(eventGap)
	}
	if lost {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
