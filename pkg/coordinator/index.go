package coordinator

import (
	"cmp"
	"slices"
)

// index lists the servers of a service and, by model, those that hold it or carry out an order about it. It is rebuilt
// for each plan, so that a plan's work grows with the servers and replicas, not with servers times models and adapters:
// with 10,000 servers, 574 models and 1,072 adapters, that would be 16 million lookups per plan.
type index struct {
	servers []*serverState // sorted by ID
	byModel map[string][]*serverState
}

// indexOf returns the index of a service as of the last plan, built now if there is none.
func (h *Holder) indexOf(service string) *index {
	if known := h.indices[service]; known != nil {
		return known
	}
	idx := &index{byModel: make(map[string][]*serverState)}
	for s := range h.serversOf(service) {
		idx.servers = append(idx.servers, s)
	}
	slices.SortFunc(idx.servers, func(a, b *serverState) int { return cmp.Compare(a.id, b.id) })
	for _, s := range idx.servers {
		for model := range s.holds {
			idx.byModel[model] = append(idx.byModel[model], s)
		}
		if s.busy != nil && s.holds[s.busy.need.Model] == nil {
			idx.byModel[s.busy.need.Model] = append(idx.byModel[s.busy.need.Model], s)
		}
	}
	if h.indices == nil {
		h.indices = make(map[string]*index)
	}
	h.indices[service] = idx
	return idx
}

// serversWith returns the servers of a service that hold a model or carry out an order about it, as of the last plan.
// Other servers that hold the model now are included after the next plan.
func (h *Holder) serversWith(service, model string) []*serverState {
	return h.indexOf(service).byModel[model]
}

// indexOrder adds a server that carries out an order about a model to the index.
func (h *Holder) indexOrder(s *serverState, model string) {
	if s.member == nil {
		return
	}
	if idx := h.indices[s.member.Service]; idx != nil && !slices.Contains(idx.byModel[model], s) {
		idx.byModel[model] = append(idx.byModel[model], s)
	}
}
