package traffic

import (
	"maps"
	"sort"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// counters counts the grants, retries, ejections and refusals of a model on this node.
type counters struct {
	granted   uint64
	retries   uint64
	ejections uint64
	refusals  map[RefusalReason]uint64
}

func (c *counters) refuse(reason RefusalReason) {
	if c.refusals == nil {
		c.refusals = make(map[RefusalReason]uint64)
	}
	c.refusals[reason]++
}

// ModelStats is a snapshot of a model's traffic through this node.
type ModelStats struct {
	Model     api.ModelName            `json:"model"`
	Waiting   int                      `json:"waiting"`
	Running   int                      `json:"running"`
	Granted   uint64                   `json:"granted"`   // slots granted, including retries
	Retries   uint64                   `json:"retries"`   // attempts after the first
	Ejections uint64                   `json:"ejections"` // ejections of servers caused by requests of the model
	Refusals  map[RefusalReason]uint64 `json:"refusals"`
}

// Stats is a snapshot of the traffic through this node.
type Stats struct {
	Models       []ModelStats `json:"models"` // sorted by name
	Waiting      int          `json:"waiting"`
	Running      int          `json:"running"`
	UnknownModel uint64       `json:"unknown_model"` // refusals because the model does not exist
}

// Stats returns a snapshot. It is not atomic: the pools are read one after the other.
func (r *Router) Stats() Stats {
	stats := Stats{
		Waiting:      int(r.waiting.Load()),
		Running:      int(r.running.Load()),
		UnknownModel: r.unknownModels.Load(),
	}
	r.eachPool(func(p *pool) { stats.Models = append(stats.Models, p.stats()...) })
	sort.Slice(stats.Models, func(i, j int) bool { return stats.Models[i].Model < stats.Models[j].Model })
	return stats
}

func (p *pool) stats() []ModelStats {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	all := make([]ModelStats, 0, len(p.models))
	for _, state := range p.models {
		all = append(all, ModelStats{
			Model:     state.name,
			Waiting:   p.waitingCount(state),
			Running:   state.throughput.running,
			Granted:   state.counters.granted,
			Retries:   state.counters.retries,
			Ejections: state.counters.ejections,
			Refusals:  maps.Clone(state.counters.refusals),
		})
	}
	return all
}

// serviceShare returns the FairShare of a service in the settings; 1 if there is none.
func (r *Router) serviceShare(service string) float64 {
	settings, _ := r.config.Control.Tree()
	resolved, err := settings.Resolve(tree.Path("/" + service))
	if err != nil || resolved.FairShare <= 0 {
		return 1
	}
	return resolved.FairShare
}
