package lab

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/settings/units"
	"martenwheel.dev/pkg/tree"
)

// makeTree writes the scenario's settings as the text of a tree, as an operator would, and parses
// it with the real parser.
func makeTree(scenario *Scenario, models []*model, policyName string) (*tree.Tree, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "revision: 1\npolicy: %s\n", policyName)
	fmt.Fprintf(&text, "weight_load_rate: %v\nweight_full_speed: %d\nservices:\n",
		scenario.WeightStore.LoadsPerSecond, scenario.WeightStore.FullSpeed)
	for i := range scenario.Services {
		writeService(&text, &scenario.Services[i], i, models)
	}
	settings, err := tree.Parse([]byte(text.String()))
	return settings, errors.Wrap(err, "the scenario's settings")
}

// writeService writes the subtree of a service.
func writeService(text *strings.Builder, service *Service, index int, models []*model) {
	s := &service.Settings
	fmt.Fprintf(text, "  %s:\n", service.Name)
	fmt.Fprintf(text, "    min_replicas: %d\n    max_replicas: %d\n    keep_alive: %s\n    cold_start_weight: %v\n",
		s.MinReplicas, s.MaxReplicas, s.KeepAlive, s.ColdStartWeight)
	fmt.Fprintf(text, "    prewarm: %t\n    priority: %d\n    deadline: %s\n    max_concurrency: %d\n",
		s.Prewarm == nil || *s.Prewarm, s.Priority, s.Deadline, s.MaxConcurrency)
	fmt.Fprintf(text, "    families:\n      all:\n        models:\n")
	for _, m := range models {
		if m.service == index && m.base < 0 {
			writeModel(text, m, models)
		}
	}
}

// writeModel writes the subtree of a model.
func writeModel(text *strings.Builder, m *model, models []*model) {
	fmt.Fprintf(text, "          %s:\n            memory: %s\n            kv_memory: %s\n            load_time: %s\n",
		m.name, units.FormatBytes(m.settings.MemoryBytes), units.FormatBytes(m.settings.KVBytes), m.settings.LoadTime)
	if len(m.adapters) == 0 {
		return
	}
	fmt.Fprintf(text, "            adapters:\n")
	for _, index := range m.adapters {
		adapter := models[index]
		_, name, _ := strings.Cut(string(adapter.name), ":")
		fmt.Fprintf(text, "              %s:\n                memory: %s\n                load_time: %s\n",
			name, units.FormatBytes(adapter.settings.MemoryBytes), adapter.settings.LoadTime)
	}
}
