package tree

import "martenwheel.dev/pkg/findings"

// checkpointKey is the setting that no node inherits.
const checkpointKey = "checkpoint"

// adapterSources names the keys that an adapter does not inherit from its base
// model, and the key of the base model that it takes instead, if any.
var adapterSources = map[string]string{
	checkpointKey:  "",
	"version":      "",
	"kv_memory":    "",
	"min_replicas": "",
	"memory":       "adapter_memory",
	"load_time":    "adapter_load_time",
}

// forAdapter turns the settings of a base model into those that an adapter
// inherits: all but what describes the base model's own checkpoint.
func forAdapter(base Settings) Settings {
	settings := base
	settings.Checkpoint = ""
	settings.Version = ""
	settings.KVBytes = 0
	settings.MinReplicas = 0
	settings.MemoryBytes = base.AdapterMemoryBytes
	settings.LoadTime = base.AdapterLoadTime
	return settings
}

// checkNode checks the effective settings of a node against each other.
func checkNode(n *node, refused faults, found *findings.List) {
	settings := &n.model.Settings
	if settings.MinReplicas > settings.MaxReplicas && !refused.hide(n.path, "min_replicas", "max_replicas") {
		found.Addf(place(n.path, "min_replicas"), "%d is more than max_replicas, which is %d here",
			settings.MinReplicas, settings.MaxReplicas)
	}
	if n.level == LevelModel && settings.MemoryBytes == 0 && !refused.hide(n.path, "memory") {
		found.Addf(place(n.path, "memory"), "is not set; every model needs the memory of its weights")
	}
}
