package tree

import "martenwheel.dev/pkg/findings"

// checkpointKey is the setting that no node inherits.
const checkpointKey = "checkpoint"

// adapterSources lists the keys that an adapter does not inherit from its base model, each with the key of
// the base model from which it takes the value instead; empty: none.
var adapterSources = map[string]string{
	checkpointKey:  "",
	"version":      "",
	"kv_memory":    "",
	"min_replicas": "",
	"memory":       "adapter_memory",
	"load_time":    "adapter_load_time",
}

// forAdapter returns the settings that an adapter inherits from its base model: all but those that describe
// the base model's own checkpoint.
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

// checkNode checks the effective settings of a node for consistency.
func checkNode(n *node, refused refusedKeys, found *findings.List) {
	settings := &n.model.Settings
	if settings.MinReplicas > settings.MaxReplicas && !refused.mayExplain(n.path, "min_replicas", "max_replicas") {
		found.Addf(findingPlace(n.path, "min_replicas"), "%d is more than max_replicas, which is %d here",
			settings.MinReplicas, settings.MaxReplicas)
	}
	if n.level == LevelModel && settings.MemoryBytes == 0 && !refused.mayExplain(n.path, "memory") {
		found.Addf(findingPlace(n.path, "memory"), "is not set; every model needs the memory of its weights")
	}
}
