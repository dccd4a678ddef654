package coordinator

import (
	"cmp"
	"slices"
)

// index lists the servers of a service, and by model those that hold it or carry out an order about
// it. It is made anew for each plan, so that a plan's work grows with the servers and the replicas and
// not with the servers times the models and adapters that are asked for: with 10,000 servers, 574
// models and 1,072 adapters that were 16 million looks a plan.
type index struct {
	servers []*serverState // by ID
	holders map[string][]*serverState
}

// indexOf returns the index of a service as of the last plan, or of now if there is none.
func (h *Holder) indexOf(service string) *index {
	if known := h.indices[service]; known != nil {
		return known
	}
	x := &index{holders: make(map[string][]*serverState)}
	for s := range h.serversOf(service) {
		x.servers = append(x.servers, s)
	}
	slices.SortFunc(x.servers, func(a, b *serverState) int { return cmp.Compare(a.id, b.id) })
	for _, s := range x.servers {
		for model := range s.holds {
			x.holders[model] = append(x.holders[model], s)
		}
		if s.busy != nil && s.holds[s.busy.need.Model] == nil {
			x.holders[s.busy.need.Model] = append(x.holders[s.busy.need.Model], s)
		}
	}
	if h.indices == nil {
		h.indices = make(map[string]*index)
	}
	h.indices[service] = x
	return x
}

// holdersOf returns the servers of a service that hold a model or carry out an order about it. Those
// that the index of the last plan lacks by now are not among them: what they hold shows with the next.
func (h *Holder) holdersOf(service, model string) []*serverState {
	return h.indexOf(service).holders[model]
}

// about notes that a server carries out an order about a model from now on.
func (h *Holder) about(s *serverState, model string) {
	if s.member == nil {
		return
	}
	if x := h.indices[s.member.Service]; x != nil && !slices.Contains(x.holders[model], s) {
		x.holders[model] = append(x.holders[model], s)
	}
}
