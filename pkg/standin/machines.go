package standin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

// Paths of the list of machines.
const (
	PathMachines       = "/machines"            // GET ?region=R, answers platform.MachineList
	PathMachineChanges = "/standin/v1/machines" // POST platform.Machine
)

// machineList is the list of machines. Readers see it with a lag. It is safe for
// concurrent use.
type machineList struct {
	clock *Clock
	lag   time.Duration

	mutex    sync.Mutex
	versions []platform.MachineList // oldest first; never empty
}

func newMachineList(clock *Clock, lag time.Duration) *machineList {
	return &machineList{clock: clock, lag: lag, versions: []platform.MachineList{{AsOf: clock.Now()}}}
}

// put adds a machine or replaces the one with its ID.
func (m *machineList) put(machine platform.Machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := m.versions[len(m.versions)-1]
	next := platform.MachineList{
		Version:  last.Version + 1,
		AsOf:     m.clock.Now(),
		Machines: slices.Clone(last.Machines),
	}
	index := slices.IndexFunc(next.Machines, func(other platform.Machine) bool { return other.ID == machine.ID })
	if index >= 0 {
		next.Machines[index] = machine
	} else {
		next.Machines = append(next.Machines, machine)
	}
	m.versions = append(m.versions, next)
}

// list returns the machines of a region, or of all regions if region is empty,
// as they were one lag ago.
func (m *machineList) list(region string) platform.MachineList {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	seen := m.clock.Now().Add(-m.lag)
	for len(m.versions) > 1 && !m.versions[1].AsOf.After(seen) {
		m.versions = m.versions[1:]
	}
	list := m.versions[0]
	list.AsOf = m.clock.WallTime(seen)
	list.Machines = []platform.Machine{}
	for _, machine := range m.versions[0].Machines {
		if region == "" || machine.Region == region {
			list.Machines = append(list.Machines, machine)
		}
	}
	return list
}

func (m *machineList) register(handle func(pattern, part string, handler http.HandlerFunc), mux *http.ServeMux) {
	handle("GET "+PathMachines, PartMachines, func(writer http.ResponseWriter, request *http.Request) {
		writeJSON(writer, m.list(request.URL.Query().Get("region")))
	})
	mux.HandleFunc("POST "+PathMachineChanges, answer(func(machine platform.Machine) (struct{}, error) {
		if machine.ID == "" {
			return struct{}{}, errors.New("id missing")
		}
		m.put(machine)
		return struct{}{}, nil
	}))
}

// registerMachine puts the machine on the list of the platform at address.
func registerMachine(ctx context.Context, address string, machine platform.Machine) error {
	client := &http.Client{Timeout: 5 * time.Second}
	_, err := postJSON(ctx, client, "http://"+address+PathMachineChanges, machine, nil)
	return err
}
