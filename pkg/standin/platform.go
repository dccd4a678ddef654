package standin

import (
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"martenwheel.dev/pkg/platform"
)

// PlatformConfig describes a platform. Start from DefaultPlatformConfig: zeros
// are taken as they are, but for a Speed of zero, which counts as one.
type PlatformConfig struct {
	Speed float64 // simulated seconds per second

	LoadStartsPerSecond float64
	LoadsAtFullSpeed    int
	LoadBytesPerSecond  float64 // of one transfer at full speed

	TableRequestsPerSecond  float64 // zero for no limit
	ObjectRequestsPerSecond float64 // zero for no limit
	MachineListLag          time.Duration
}

// DefaultPlatformConfig returns a platform of the smaller deployment's size.
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

// Platform is a stand-in for the platform. Safe for concurrent use.
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

// newLimiter allows a burst of one second's requests.
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

// Handler returns the platform's HTTP API: the table service at "/", the
// object store at the buckets' paths, the weight store and the machines.
func (p *Platform) Handler() http.Handler {
	return p.handler
}

// Weights returns the weight store for engines in the same process.
func (p *Platform) Weights() WeightSource {
	return p.weights
}

// SetFaults replaces the faults of a part.
func (p *Platform) SetFaults(part string, faults Faults) {
	p.faults.set(part, faults)
}

// PutMachine adds a machine to the list or replaces the one with its ID.
// Readers see it after the lag.
func (p *Platform) PutMachine(machine platform.Machine) {
	p.machines.put(machine)
}
