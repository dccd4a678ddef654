package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// PathFaults is the path at which faults are set (POST of a JSON map from part
// to Faults) and read (GET).
const PathFaults = "/standin/v1/faults"

// Parts for which faults can be set.
const (
	PartTable    = "table"    // of the platform
	PartObjects  = "objects"  // of the platform
	PartWeights  = "weights"  // of the platform
	PartMachines = "machines" // of the platform
	PartEngine   = "engine"   // a whole engine; a frozen one computes nothing
	PartOrders   = "orders"   // of an engine: orders and inventories
	PartRequests = "requests" // of an engine: callers' requests
	PartReports  = "reports"  // of an engine: load and cache events
)

// Faults are the faults of one part. The zero value has none. Times are
// wall-clock milliseconds.
type Faults struct {
	SlowMilliseconds int  `json:"slow_ms,omitempty"`  // delay before each request
	Refuse           bool `json:"refuse,omitempty"`   // answer 503 without effect
	Hang             bool `json:"hang,omitempty"`     // never answer, without effect
	Freeze           bool `json:"freeze,omitempty"`   // hold requests and execute them when the fault is cleared
	Throttle         bool `json:"throttle,omitempty"` // refuse as if the rate limit were exceeded
	LoseAnswers      int  `json:"lose_answers,omitempty"`
	LoseRequests     int  `json:"lose_requests,omitempty"`

	// Table only: reads that are not consistent see the state at the time when
	// the fault was set.
	StaleReads bool `json:"stale_reads,omitempty"`

	// Weights only: factor by which transfers are slower.
	SlowFactor float64 `json:"slow_factor,omitempty"`

	// Requests to engines only: how many of the next answers are cut half-way,
	// end early as if complete, or continue with another request's answer.
	CutAnswers      int `json:"cut_answers,omitempty"`
	TruncateAnswers int `json:"truncate_answers,omitempty"`
	MixAnswers      int `json:"mix_answers,omitempty"`

	// Requests to engines only: how long, from when the fault is set, nothing of
	// an answer is sent. Then the answers go on; none is broken off.
	SilentMilliseconds int `json:"silent_ms,omitempty"`

	// Orders to engines only: how many of the next loads fail, and how much
	// longer unloads take.
	FailLoads          int `json:"fail_loads,omitempty"`
	UnloadMilliseconds int `json:"unload_ms,omitempty"`
}

// faultSet holds the faults of all parts. Safe for concurrent use.
type faultSet struct {
	mutex   sync.Mutex
	parts   map[string]Faults
	setAt   map[string]time.Time
	changed chan struct{} // closed on the next change
	onSet   func(part string, faults Faults)
}

func newFaultSet() *faultSet {
	return &faultSet{parts: map[string]Faults{}, setAt: map[string]time.Time{}, changed: make(chan struct{})}
}

// set replaces the faults of a part.
func (f *faultSet) set(part string, faults Faults) {
	f.mutex.Lock()
	f.parts[part], f.setAt[part] = faults, time.Now()
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

// take decrements one of the part's counted faults. It returns false if the
// counter is zero.
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

// waitThawed waits while the part is frozen. It returns false if ctx ends.
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

// waitSound waits while the part is silent. It returns false if ctx ends.
func (f *faultSet) waitSound(ctx context.Context, part string) bool {
	for {
		left, changed := f.silentFor(part)
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// silentFor returns how long the part is silent from now on.
func (f *faultSet) silentFor(part string) (time.Duration, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	silence := time.Duration(f.parts[part].SilentMilliseconds) * time.Millisecond
	return time.Until(f.setAt[part].Add(silence)), f.changed
}

// wrap returns a handler that applies the part's faults before it calls handler.
func (f *faultSet) wrap(part string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		// A frozen part later executes requests even if their senders left.
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

// writeThrottled writes a throttling error in the protocol of the part.
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

// serveAdmin handles requests to read and set faults.
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
