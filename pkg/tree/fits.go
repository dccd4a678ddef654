package tree

import (
	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/settings/units"
)

// ServerMemory is the accelerator memory of one server as listed by the platform.
type ServerMemory struct {
	Service string
	Bytes   uint64
}

// CheckFits reports each model and adapter that fits no server of its service. An adapter needs the memory
// of its base model as well. Services without listed servers are skipped.
func (t *Tree) CheckFits(servers []ServerMemory) error {
	largest := make(map[string]uint64)
	for _, server := range servers {
		largest[server.Service] = max(largest[server.Service], server.Bytes)
	}
	var found findings.List
	for _, model := range t.Models() {
		capacity, listed := largest[model.Service]
		if !listed {
			continue
		}
		if need := t.neededBytes(model); need > capacity {
			found.Addf(findingPlace(model.Path, "memory"), "needs %s with its KV cache and base model, but the largest server of %s has %s",
				units.FormatBytes(need), model.Service, units.FormatBytes(capacity))
		}
	}
	return found.Err()
}

// neededBytes returns the memory that one replica needs. For an adapter, it includes the base model.
func (t *Tree) neededBytes(model Model) uint64 {
	need := model.Settings.MemoryBytes + model.Settings.KVBytes
	if base, found := t.Model(model.Base); found {
		need += t.neededBytes(base)
	}
	return need
}
