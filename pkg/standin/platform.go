package standin

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"martenwheel.dev/pkg/platform"
)

// PlatformConfig configures a platform. Start from DefaultPlatformConfig: zero
// fields are not replaced by defaults, except that a Speed of zero means one.
type PlatformConfig struct {
	Speed float64 // simulated seconds per second

	LoadStartsPerSecond float64
	LoadsAtFullSpeed    int
	LoadBytesPerSecond  float64 // rate of one transfer at full speed

	TableRequestsPerSecond  float64 // zero: no limit
	ObjectRequestsPerSecond float64 // zero: no limit
	MachineListLag          time.Duration
}

// DefaultPlatformConfig returns the configuration of a platform for a small
// deployment.
func DefaultPlatformConfig() PlatformConfig {
	return PlatformConfig{
		Speed:                   1,
		LoadStartsPerSecond:     2,
		LoadsAtFullSpeed:        8,
		LoadBytesPerSecond:      2 * gibibyte,
		TableRequestsPerSecond:  200,
		ObjectRequestsPerSecond: 100,
		MachineListLag:          2 * time.Second,
	}
}

// Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	faults   *faultSet
	weights  *weightStore
	table    *table
	objects  *objectStore
	machines *machineList
	handler  http.Handler
}

// NewPlatform returns an empty platform.
func NewPlatform(config PlatformConfig) *Platform {
	clock := NewClock(config.Speed)
	faults := newFaultSet()
	p := &Platform{
		faults:   faults,
		weights:  newWeightStore(config, clock, faults),
		table:    newTable(clock, newLimiter(config.TableRequestsPerSecond)),
		objects:  newObjectStore(clock, newLimiter(config.ObjectRequestsPerSecond)),
		machines: newMachineList(clock, config.MachineListLag),
	}
	faults.onSet = p.noteFaults
	p.handler = p.newHandler()
	return p
}

// newLimiter returns a limiter with a burst of one second's requests.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

func (p *Platform) noteFaults(part string, faults Faults) {
	if part == PartTable {
		p.table.setStaleReads(faults.StaleReads)
	}
}

func (p *Platform) newHandler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, part string, handler http.HandlerFunc) {
		mux.Handle(pattern, p.faults.wrap(part, handler))
	}
	p.weights.register(handle)
	p.machines.register(handle, mux)
	handle("POST /{$}", PartTable, p.table.serve)
	handle("/{bucket}/{name...}", PartObjects, p.objects.serve)
	mux.HandleFunc("GET "+PathFaults, p.faults.serveAdmin)
	mux.HandleFunc("POST "+PathFaults, p.faults.serveAdmin)
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// Handler returns the platform's HTTP API: the table service at "/", the object
// store at the paths of its buckets, the weight store and the list of machines.
func (p *Platform) Handler() http.Handler {
	return p.handler
}

// Weights returns the weight store for engines in the same process.
func (p *Platform) Weights() WeightSource {
	return p.weights
}

// SetFaults replaces the faults of a part of the platform.
func (p *Platform) SetFaults(part string, faults Faults) {
	p.faults.set(part, faults)
}

// PutMachine adds a machine to the list or replaces the one with the same ID.
// Readers see the change after MachineListLag.
func (p *Platform) PutMachine(machine platform.Machine) {
	p.machines.put(machine)
}
