package explore

import (
	"fmt"
	"strings"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// check verifies the memory and replica limits on the engines' actual state.
func (w *simulation) check() {
	for _, e := range w.servers {
		var held uint64
		for _, item := range e.items {
			if item.State != engine.ItemFailed {
				held += item.held
			}
		}
		if held > e.capacity {
			w.violate("memory of %s overcommitted: %d of %d", e.id, held, e.capacity)
		}
	}
	for _, model := range w.models {
		w.checkReplicas(model)
	}
}

// checkLoad verifies, if one owner ordered all loaded replicas of a model, that
// it did not exceed the limit that it knew when it sent the last of these orders.
// This covers lowered limits.
func (w *simulation) checkLoad(model api.ModelName) {
	count := 0
	var last *simItem
	for _, e := range w.servers {
		if !e.holds(model) {
			continue
		}
		item := e.items[model]
		if last != nil && item.term != last.term {
			return
		}
		if last == nil || item.step > last.step {
			last = item
		}
		count++
	}
	if count > last.limit {
		w.violate("%d replicas of %s after a load, limit %d (term %x)", count, model, last.limit, last.term)
	}
}

// checkReplicas verifies that the replicas of a model do not exceed the largest
// limit that was in force at one of the nodes that ordered them.
func (w *simulation) checkReplicas(model api.ModelName) {
	count, limit := 0, 0
	var where []string
	for _, e := range w.servers {
		if e.holds(model) {
			count++
			limit = max(limit, e.items[model].limit)
			where = append(where, fmt.Sprintf("%s (term %x)", e.id, e.items[model].term))
		}
	}
	if count > limit {
		w.violate("%d replicas of %s, limit %d: %s", count, model, limit, strings.Join(where, ", "))
	}
}
