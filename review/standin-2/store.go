package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeCallTime is how long the store takes for a call.
const storeCallTime = 4 * time.Millisecond

// maxPageRows is the most rows of one answer to a read.
const maxPageRows = 500

// row is a row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// rowID names a row.
type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store: linearizable, and it loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	log     []row // all changes
	ver     uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: make(map[rowID]row), changed: make(chan struct{}), started: time.Now()}
}

// put writes a row for its owner.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // an error in the script
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: text})
}

// apply makes a change at the current version. The caller holds mu.
func (s *store) apply(r row) {
	r.Ver = s.ver
	id := rowID{r.Table, r.Part, r.Key}
	if r.Gone {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store at a loopback address and returns it.
func (s *store) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

// page is an answer about rows.
type page struct {
	Rows []row
	More bool
}

// reply writes an answer. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, p page) {
	if p.Rows == nil {
		p.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": p.Rows, "more": p.More, "ver": s.ver, wire("store time"): time.Since(s.started).Milliseconds()})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeCallTime)
	switch r.URL.Path {
	case wire("get"):
		s.get(w, r)
	case wire("feed"):
		s.feed(w, r)
	case wire("transaction"):
		s.tx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var p page
	for id, known := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			p.Rows = append(p.Rows, known)
		}
	}
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	if len(p.Rows) > limit {
		p.Rows, p.More = p.Rows[:limit], true
	}
	s.reply(w, http.StatusOK, p)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get(wire("wait")))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		var p page
		for _, change := range s.log {
			if change.Ver > after && change.Table == q.Get("table") {
				p.Rows = append(p.Rows, change)
			}
		}
		if len(p.Rows) > 0 || over {
			s.reply(w, http.StatusOK, p)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Expected []row `json:"expectedRev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, e := range change.Expected {
		known, there := s.rows[rowID{e.Table, e.Part, e.Key}]
		if there {
			current = append(current, known)
		}
		holds = holds && known.Ver == e.Ver
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, page{Rows: current})
		return
	}
	s.ver++ // all rows of a change get the same version
	for _, put := range change.Put {
		s.apply(put)
	}
	for _, removed := range change.Remove {
		removed.Gone = true
		s.apply(removed)
	}
	s.reply(w, http.StatusOK, page{})
}
