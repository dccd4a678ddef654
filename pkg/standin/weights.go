package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// transferIdleTimeout is how long a transfer continues without being polled.
const transferIdleTimeout = 15 * time.Second

// transfer is the transfer of a checkpoint from the weight store.
type transfer struct {
	total      float64
	fetched    float64
	lastPolled time.Time
}

// weightStore is the weight store. It limits the rate of starts, and slows all
// transfers down when there are more than it can serve at full speed. It is safe
// for concurrent use.
type weightStore struct {
	config PlatformConfig
	clock  *Clock
	faults *faultSet

	mutex     sync.Mutex
	now       time.Time
	starts    *rate.Limiter
	transfers map[string]*transfer
	started   int
}

func newWeightStore(config PlatformConfig, clock *Clock, faults *faultSet) *weightStore {
	return &weightStore{
		config:    config,
		clock:     clock,
		faults:    faults,
		now:       clock.Now(),
		starts:    rate.NewLimiter(rate.Limit(config.LoadStartsPerSecond), max(int(config.LoadStartsPerSecond), 1)),
		transfers: map[string]*transfer{},
	}
}

// advance advances the transfers to now, in steps within which no transfer ends.
func (w *weightStore) advance(now time.Time) {
	for w.now.Before(now) {
		speed := w.speed()
		step := now.Sub(w.now)
		for _, t := range w.transfers {
			if left := t.total - t.fetched; left > 0 {
				step = min(step, duration(left/speed))
			}
		}
		w.now = w.now.Add(step)
		for id, t := range w.transfers {
			t.fetched = min(t.total, t.fetched+speed*step.Seconds())
			if w.now.Sub(t.lastPolled) > transferIdleTimeout {
				delete(w.transfers, id)
			}
		}
	}
}

// speed returns the rate of each transfer in bytes per second.
func (w *weightStore) speed() float64 {
	active := 0
	for _, t := range w.transfers {
		if t.fetched < t.total {
			active++
		}
	}
	speed := w.config.LoadBytesPerSecond
	if active > w.config.LoadsAtFullSpeed {
		speed *= float64(w.config.LoadsAtFullSpeed) / float64(active)
	}
	if faults, _ := w.faults.get(PartWeights); faults.SlowFactor > 0 {
		speed /= faults.SlowFactor
	}
	return speed
}

// Start implements WeightSource.
func (w *weightStore) Start(_ context.Context, _ string, bytes uint64) (string, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.clock.Now()
	w.advance(now)
	if !w.starts.AllowN(now, 1) {
		return "", ErrStartRefused
	}
	id := uuid.NewString()
	w.transfers[id] = &transfer{total: float64(bytes), lastPolled: now}
	w.started++
	return id, nil
}

// Fetched implements WeightSource.
func (w *weightStore) Fetched(_ context.Context, id string) (uint64, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advance(w.clock.Now())
	t, ok := w.transfers[id]
	if !ok {
		return 0, ErrUnknownTransfer
	}
	t.lastPolled = w.now
	if t.fetched >= t.total {
		delete(w.transfers, id)
	}
	return uint64(t.fetched), nil
}

// Stop implements WeightSource.
func (w *weightStore) Stop(_ context.Context, id string) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.advance(w.clock.Now())
	delete(w.transfers, id)
	return nil
}

// Paths of the weight store's HTTP API.
const (
	pathTransferStart   = "/weights/v1/start"   // POST transferRequest, answers transferState
	pathTransferFetched = "/weights/v1/fetched" // POST transferRequest, answers transferState
	pathTransferStop    = "/weights/v1/stop"    // POST transferRequest, answers transferState
)

type transferRequest struct {
	ID         string `json:"id,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Bytes      uint64 `json:"bytes,omitempty"`
}

type transferState struct {
	ID      string `json:"id"`
	Fetched uint64 `json:"fetched"`
}

func (w *weightStore) register(handle func(pattern, part string, handler http.HandlerFunc)) {
	handle("POST "+pathTransferStart, PartWeights, transferHandler(func(ctx context.Context, request transferRequest) (transferState, error) {
		id, err := w.Start(ctx, request.Checkpoint, request.Bytes)
		return transferState{ID: id}, err
	}))
	handle("POST "+pathTransferFetched, PartWeights, transferHandler(func(ctx context.Context, request transferRequest) (transferState, error) {
		fetched, err := w.Fetched(ctx, request.ID)
		return transferState{ID: request.ID, Fetched: fetched}, err
	}))
	handle("POST "+pathTransferStop, PartWeights, transferHandler(func(ctx context.Context, request transferRequest) (transferState, error) {
		return transferState{ID: request.ID}, w.Stop(ctx, request.ID)
	}))
}

func transferHandler(serve func(context.Context, transferRequest) (transferState, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request transferRequest
		if err := readJSON(httpRequest.Body, &request); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		state, err := serve(httpRequest.Context(), request)
		switch {
		case errors.Is(err, ErrStartRefused):
			http.Error(writer, err.Error(), http.StatusTooManyRequests)
		case err != nil:
			http.Error(writer, err.Error(), http.StatusNotFound)
		default:
			writeJSON(writer, state)
		}
	}
}

// weightClient is a WeightSource that calls the platform at an address.
type weightClient struct {
	address string
	http    *http.Client
}

func newWeightClient(address string) *weightClient {
	return &weightClient{address: address, http: &http.Client{Timeout: 5 * time.Second}}
}

func (c *weightClient) Start(ctx context.Context, checkpoint string, bytes uint64) (string, error) {
	state, err := c.post(ctx, pathTransferStart, transferRequest{Checkpoint: checkpoint, Bytes: bytes})
	return state.ID, err
}

func (c *weightClient) Fetched(ctx context.Context, id string) (uint64, error) {
	state, err := c.post(ctx, pathTransferFetched, transferRequest{ID: id})
	return state.Fetched, err
}

func (c *weightClient) Stop(ctx context.Context, id string) error {
	_, err := c.post(ctx, pathTransferStop, transferRequest{ID: id})
	return err
}

func (c *weightClient) post(ctx context.Context, path string, request transferRequest) (transferState, error) {
	var state transferState
	status, err := postJSON(ctx, c.http, "http://"+c.address+path, request, &state)
	switch status {
	case http.StatusTooManyRequests:
		return state, ErrStartRefused
	case http.StatusNotFound:
		return state, ErrUnknownTransfer
	default:
		return state, err
	}
}
