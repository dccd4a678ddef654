package main

import (
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

// Headers of the platform.
var (
	headerAttempt  = wire("attempt")
	headerSeal     = wire("seal")
	headerNotRun   = wire("not run")
	headerExpect   = wire("expected server")
	headerDeadline = wire("deadline")
	headerInstance = wire("server")
	headerModel    = wire("model")
	headerTokens   = wire("tokens")
	headerParts    = wire("prompt parts")
)

// headerLast names the event after which a stream continues.
const headerLast = "Last-Event-Id"

// Figures of a server, as on the sheet of a small deployment.
const (
	heartbeat   = 1200 * time.Millisecond
	serverMB    = 200_000.0
	eventPause  = 25 * time.Millisecond // between events, of two tokens each
	restartTime = 4 * time.Second       // until the next incarnation of a server that fell
)

// model is a model with its size and its load time from the weight store.
type model struct {
	name string
	mb   float64
	load time.Duration
}

// engine is a stand-in for one incarnation of a model server.
type engine struct {
	id, service, zone, address string
	known                      map[string]model // all models there are, whatever the configuration says
	record                     *record
	store                      *store
	http                       *http.Server
	onFall                     func(e *engine, why string) // called when an order is beyond the memory

	mu       sync.Mutex
	holds    []string
	loading  string
	busy     bool
	sequence uint64
	fence    uint64
	beats    int
	running  int
	fallen   bool
}

// start starts the server on a free loopback port and keeps its row in the store.
func (e *engine) start(holds ...string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.holds = l.Addr().String(), holds
	e.http = &http.Server{Handler: e}
	go func() { _ = e.http.Serve(l) }()
	e.record.line("%s starts at %s and holds %v", e.id, e.address, holds)
	e.writeRow()
	go func() {
		for range time.Tick(heartbeat) {
			e.writeRow()
		}
	}()
	return nil
}

// writeRow writes the server's row, unless it has fallen.
func (e *engine) writeRow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fallen {
		return
	}
	e.beats++
	e.store.putJSON("servers", e.id, map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64,
		"state": "ready", wire("cold"): 0, wire("orders"): e.beats, "stage": "both", "models": e.models(),
		"available": map[string]any{"inMemory": []string{}, "onDisk": e.holds}})
}

// models returns what the server holds, for its row and its reports. The caller holds mu.
func (e *engine) models() []map[string]any {
	list := []map[string]any{}
	for _, name := range e.holds {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

// used returns the memory of what the server holds and loads. The caller holds mu.
func (e *engine) used() float64 {
	total := e.known[e.loading].mb
	for _, name := range e.holds {
		total += e.known[name].mb
	}
	return total
}

// fall ends the server as a crash does: its connections break, and its row lapses after three heartbeats.
func (e *engine) fall() {
	e.mu.Lock()
	e.fallen = true
	e.mu.Unlock()
	_ = e.http.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.remove("servers", e.id) })
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get(headerExpect); expect != "" && expect != e.id {
		w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set(headerInstance, e.id)
	case "/report":
		e.report(w)
	case "/order":
		e.order(w, r)
	default:
		e.run(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": e.models(), "busy": e.busy, wire("orders"): e.sequence,
		"waiting": 0, "running": e.running, wire("running memory"): 1000 * e.running, wire("running capacity"): 129_500, "handles": 0,
		"available": map[string]any{"inMemory": []string{}, "onDisk": e.holds}})
}

// orderBody is an order to load or unload a model.
type orderBody struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Holder    string  `json:"holder"`
	Expected  *uint64 `json:"expectedRev"`
	Fence     uint64  `json:"-"` // see readOrder
}

// readOrder reads an order.
func readOrder(body io.Reader) (orderBody, error) {
	var o orderBody
	text, err := io.ReadAll(body)
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	var fields map[string]json.RawMessage
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if err == nil && fields[wire("fence")] != nil {
		err = json.Unmarshal(fields[wire("fence")], &o.Fence)
	}
	return o, err
}

// order takes an order.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r.Body)
	if err != nil || o.Holder == "" || o.Fence == 0 || e.known[o.Model].name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	held := slices.Contains(e.holds, o.Model)
	status := http.StatusAccepted
	switch {
	case o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.busy || o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	case held == (o.Operation == "load"):
		status = http.StatusOK
	}
	e.fence = max(e.fence, o.Fence)
	e.record.line("%s gets the order to %s %s from %s (fence %d): %d; it holds %v, %.0f of %.0f MB", e.id, o.Operation, o.Model, o.Holder, o.Fence, status,
		e.holds, e.used(), serverMB)
	if status != http.StatusAccepted {
		w.WriteHeader(status)
		return
	}
	if total := e.used() + e.known[o.Model].mb; o.Operation == "load" && total > serverMB {
		go e.onFall(e, fmt.Sprintf("LIMIT: %s, which holds %v, is ordered to load %s: %.0f MB of %.0f", e.id, e.holds, o.Model, total, serverMB))
		return
	}
	e.sequence++
	e.busy = true
	if o.Operation == "load" {
		e.loading = o.Model
		time.AfterFunc(e.known[o.Model].load, e.loaded)
	} else {
		time.AfterFunc(200*time.Millisecond, func() { e.unloaded(o.Model) })
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *engine) loaded() {
	e.mu.Lock()
	e.holds, e.loading, e.busy = append(slices.Clone(e.holds), e.loading), "", false
	e.mu.Unlock()
	e.writeRow()
}

func (e *engine) unloaded(name string) {
	e.mu.Lock()
	e.holds, e.busy = slices.DeleteFunc(slices.Clone(e.holds), func(held string) bool { return held == name }), false
	e.mu.Unlock()
	e.writeRow()
}

// run runs a stream.
func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id, name := r.Header.Get(headerAttempt), r.Header.Get(headerModel)
	w.Header().Set(headerAttempt, id)
	e.mu.Lock()
	held := slices.Contains(e.holds, name)
	if held {
		e.running++
	}
	e.mu.Unlock()
	switch {
	case id == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case !held:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	after, _ := strconv.Atoi(r.Header.Get(headerLast))
	_, most, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(most)
	e.record.line("%s runs %s (%s) after event %d", e.id, id, name, after)
	w.Header().Set(headerSeal, "seal."+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for k := after + 1; k <= tokens/2; k++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", k, id, k); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
