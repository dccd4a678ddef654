package explore

import (
	"fmt"
	"strings"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
)

// check verifies the promises on the engines' true state.
func (w *world) check() {
	for _, e := range w.servers {
		var held uint64
		for _, item := range e.items {
			if item.State != engine.ItemFailed {
				held += item.held
			}
		}
		if held > e.capacity {
			w.fail("memory of %s overcommitted: %d of %d", e.id, held, e.capacity)
		}
	}
	for _, model := range w.models {
		w.checkReplicas(model)
	}
}

// checkLoad verifies that an owner that ordered all replicas of a model itself
// did not go beyond the limit that it knew when it gave the last of the orders.
// It covers lowered limits.
func (w *world) checkLoad(model api.ModelName) {
	count := 0
	var last *modelItem
	for _, e := range w.servers {
		if !e.holds(model) {
			continue
		}
		item := e.items[model]
		if last != nil && item.term != last.term {
			return
		}
		if last == nil || item.issued > last.issued {
			last = item
		}
		count++
	}
	if count > last.limit {
		w.fail("%d replicas of %s after a load, at most %d decided (term %x)", count, model, last.limit, last.term)
	}
}

// checkReplicas compares the replicas of a model with the largest limit that
// was in force where one of them was ordered.
func (w *world) checkReplicas(model api.ModelName) {
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
		w.fail("%d replicas of %s, at most %d decided: %s", count, model, limit, strings.Join(where, ", "))
	}
}
