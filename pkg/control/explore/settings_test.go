package explore

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/tree"
)

// settings is one revision of a small settings tree.
type settings struct {
	revision tree.Revision
	models   []tree.Model
}

func (s *settings) Revision() tree.Revision { return s.revision }
func (s *settings) Models() []tree.Model    { return s.models }
func (s *settings) Services() []string      { return []string{serviceName} }

func (s *settings) Root() tree.Settings {
	return tree.Settings{WeightFullSpeed: 8, WeightLoadRate: 4}
}

// model returns the model with the given name, or the zero value.
func (s *settings) model(name api.ModelName) tree.Model {
	for _, model := range s.models {
		if model.Name == name {
			return model
		}
	}
	return tree.Model{}
}

// addModel adds a model to the first revision of the tree.
func (w *simulation) addModel(name, base string, gigabytes uint64, maxReplicas int) {
	if len(w.trees) == 0 {
		w.trees = append(w.trees, &settings{revision: 1})
	}
	w.models = append(w.models, api.ModelName(name))
	w.trees[0].models = append(w.trees[0].models, tree.Model{
		Name: api.ModelName(name), Base: api.ModelName(base), Service: serviceName,
		Settings: tree.Settings{
			MemoryBytes: gigabytes, KVBytes: 1, LoadTime: time.Second, MaxReplicas: maxReplicas,
			KeepAlive: 5 * time.Second, DrainTime: 5 * time.Second,
		},
	})
}

// newest returns the newest revision.
func (w *simulation) newest() *settings {
	return w.trees[len(w.trees)-1]
}

// kvBytes returns the size of each replica's KV cache, which is the same in all
// revisions. An adapter shares the cache of its base.
func (w *simulation) kvBytes(name api.ModelName) uint64 {
	model := w.trees[0].model(name)
	if model.Base != "" {
		return 0
	}
	return model.Settings.KVBytes
}

// edit adds a revision that changes max_replicas of a model.
func (w *simulation) edit(name api.ModelName, maxReplicas int) {
	base := w.newest()
	next := &settings{revision: base.revision + 1, models: append([]tree.Model(nil), base.models...)}
	for index := range next.models {
		if next.models[index].Name == name {
			next.models[index].Settings.MaxReplicas = maxReplicas
		}
	}
	w.trees = append(w.trees, next)
	w.tracef("tree revision %d: max_replicas = %d for %s", next.revision, maxReplicas, name)
}
