package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// PathFaults takes a map from part to Faults as JSON (POST) and returns the
// present one (GET).
const PathFaults = "/standin/v1/faults"

// Parts that faults are set for.
const (
	PartTable    = "table"    // of the platform
	PartObjects  = "objects"  // of the platform
	PartWeights  = "weights"  // of the platform
	PartMachines = "machines" // of the platform
	PartEngine   = "engine"   // all of an engine; a frozen one computes nothing
	PartOrders   = "orders"   // of an engine: orders and inventories
	PartRequests = "requests" // of an engine: callers' requests
	PartReports  = "reports"  // of an engine: load and cache events
)

// Faults of one part. The zero value has none. Times are wall-clock
// milliseconds.
type Faults struct {
	SlowMilliseconds int  `json:"slow_ms,omitempty"`  // before each request
	Refuse           bool `json:"refuse,omitempty"`   // answer 503 with no effect
	Hang             bool `json:"hang,omitempty"`     // never answer, with no effect
	Freeze           bool `json:"freeze,omitempty"`   // go on when it is cleared
	Throttle         bool `json:"throttle,omitempty"` // refuse by the rate limit
	LoseAnswers      int  `json:"lose_answers,omitempty"`
	LoseRequests     int  `json:"lose_requests,omitempty"`

	// Table only: reads that are not consistent see the state as of now.
	StaleReads bool `json:"stale_reads,omitempty"`

	// Weights only: transfers run that many times slower.
	SlowFactor float64 `json:"slow_factor,omitempty"`

	// Engines, requests only: the next answers are cut half-way, end early
	// as if complete, or go over into another request's answer.
	CutAnswers      int `json:"cut_answers,omitempty"`
	TruncateAnswers int `json:"truncate_answers,omitempty"`
	MixAnswers      int `json:"mix_answers,omitempty"`

	// Engines, orders only: the next loads fail; unloads take longer.
	FailLoads          int `json:"fail_loads,omitempty"`
	UnloadMilliseconds int `json:"unload_ms,omitempty"`
}

// faultSet holds the faults of all parts. Safe for concurrent use.
type faultSet struct {
	mutex   sync.Mutex
	parts   map[string]Faults
	changed chan struct{} // closed on the next change
	onSet   func(part string, faults Faults)
}

func newFaultSet() *faultSet {
	return &faultSet{parts: map[string]Faults{}, changed: make(chan struct{})}
}

// set replaces the faults of a part.
func (f *faultSet) set(part string, faults Faults) {
	f.mutex.Lock()
	f.parts[part] = faults
	close(f.changed)
	f.changed = make(chan struct{})
	notify := f.onSet
	f.mutex.Unlock()
	if notify != nil {
		notify(part, faults)
	}
}

func (f *faultSet) get(part string) (Faults, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.parts[part], f.changed
}

// take counts one of the part's limited faults down. It returns false if none
// is left.
func (f *faultSet) take(part string, counter func(*Faults) *int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	faults := f.parts[part]
	left := counter(&faults)
	if *left <= 0 {
		return false
	}
	*left--
	f.parts[part] = faults
	return true
}

// waitThawed waits while the part is frozen. It returns false when ctx ended.
func (f *faultSet) waitThawed(ctx context.Context, part string) bool {
	for {
		faults, changed := f.get(part)
		if !faults.Freeze {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// wrap puts the part's faults before handler.
func (f *faultSet) wrap(part string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// A frozen part executes what was sent also when the sender left.
		f.waitThawed(context.WithoutCancel(request.Context()), part)
		faults, _ := f.get(part)
		if faults.SlowMilliseconds > 0 {
			time.Sleep(time.Duration(faults.SlowMilliseconds) * time.Millisecond)
		}
		switch {
		case faults.Refuse:
			http.Error(writer, "down", http.StatusServiceUnavailable)
		case faults.Throttle:
			writeThrottled(writer, part)
		case faults.Hang:
			f.hang(request.Context(), part)
			panic(http.ErrAbortHandler)
		case f.take(part, func(faults *Faults) *int { return &faults.LoseRequests }):
			panic(http.ErrAbortHandler)
		case f.take(part, func(faults *Faults) *int { return &faults.LoseAnswers }):
			handler.ServeHTTP(httptest.NewRecorder(), request)
			panic(http.ErrAbortHandler)
		default:
			handler.ServeHTTP(writer, request)
		}
	})
}

// writeThrottled refuses in the protocol of the part.
func writeThrottled(writer http.ResponseWriter, part string) {
	switch part {
	case PartTable:
		writeTableError(writer, codeThrottled, "rate exceeded")
	case PartObjects:
		writeS3Error(writer, http.StatusServiceUnavailable, "SlowDown")
	default:
		http.Error(writer, "rate exceeded", http.StatusTooManyRequests)
	}
}

// hang waits until the fault is cleared or the caller leaves.
func (f *faultSet) hang(ctx context.Context, part string) {
	for {
		faults, changed := f.get(part)
		if !faults.Hang {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serveAdmin reads and sets faults.
func (f *faultSet) serveAdmin(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPost {
		var parts map[string]Faults
		if err := readJSON(request.Body, &parts); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		for part, faults := range parts {
			f.set(part, faults)
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	writeJSON(writer, f.parts)
}
