package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowKey struct{ table, key string }

// storeAnswerTime is the time of an answer of a sound store.
const storeAnswerTime = 4 * time.Millisecond

// store is a stand-in for the platform's store: rows, transactions and feeds.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	log     []row
	ver     uint64
	changed chan struct{}
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[rowKey]row), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// putJSON writes a row on behalf of the operator or a server.
func (s *store) putJSON(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: text})
}

// remove removes a row on behalf of its owner.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Gone: true})
}

// apply applies a change at the current version. The caller holds mu.
func (s *store) apply(r row) {
	r.Ver = s.ver
	if r.Gone {
		delete(s.rows, rowKey{r.Table, r.Key})
	} else {
		s.rows[rowKey{r.Table, r.Key}] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeAnswer is an answer about rows.
type storeAnswer struct {
	rows []row
	more bool
}

// reply answers with rows. The caller holds mu.
func (s *store) reply(w http.ResponseWriter, status int, a storeAnswer) {
	if a.rows == nil {
		a.rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": a.rows, "more": a.more, "ver": s.ver, wire("store time"): time.Since(s.started).Milliseconds()})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
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
	var a storeAnswer
	for k, one := range s.rows {
		if k.table == q.Get("table") && one.Part == q.Get("part") && k.key >= q.Get("from") {
			a.rows = append(a.rows, one)
		}
	}
	slices.SortFunc(a.rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	if len(a.rows) > limit {
		a.rows, a.more = a.rows[:limit], true
	}
	s.reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get(wire("wait")))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		var a storeAnswer
		for _, one := range s.log {
			if one.Ver > after && one.Table == q.Get("table") {
				a.rows = append(a.rows, one)
			}
		}
		if len(a.rows) > 0 || over {
			s.reply(w, http.StatusOK, a)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var change struct {
		Conditions []row `json:"expectedRev"`
		Put        []row `json:"put"`
		Remove     []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&change); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	var current []row
	for _, c := range change.Conditions {
		one, has := s.rows[rowKey{c.Table, c.Key}]
		holds = holds && one.Ver == c.Ver
		if has {
			current = append(current, one)
		}
	}
	if !holds {
		s.reply(w, http.StatusPreconditionFailed, storeAnswer{rows: current})
		return
	}
	s.ver++
	for _, one := range change.Put {
		s.apply(one)
	}
	for _, one := range change.Remove {
		one.Gone = true
		s.apply(one)
	}
	s.reply(w, http.StatusOK, storeAnswer{})
}
