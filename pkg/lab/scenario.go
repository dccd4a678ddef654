package lab

import (
	"bytes"
	"embed"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"martenwheel.dev/pkg/findings"
)

// Scenario describes a deployment and its load over a period, as read from a YAML file.
type Scenario struct {
	Name          string        `yaml:"name"`
	Region        string        `yaml:"region"`
	Duration      time.Duration `yaml:"duration"`
	Zones         []string      `yaml:"zones"`
	Nodes         int           `yaml:"nodes"` // spread over the zones, each with callers
	Delays        Delays        `yaml:"delays"`
	WeightStore   WeightStore   `yaml:"weight_store"`
	FirstRequests FirstRequests `yaml:"first_requests"`
	Surges        Surges        `yaml:"surges"`
	FaultRate     float64       `yaml:"fault_rate"` // factor by which faults are more frequent
	Services      []Service     `yaml:"services"`
}

// Delays are one-way network delays, and the lag of the list of machines.
type Delays struct {
	WithinZone     time.Duration `yaml:"within_zone"`
	BetweenZones   time.Duration `yaml:"between_zones"`
	ToClients      time.Duration `yaml:"to_clients"`
	MachineListLag time.Duration `yaml:"machine_list_lag"`
}

// WeightStore describes the store that checkpoints are fetched from.
type WeightStore struct {
	LoadsPerSecond     float64       `yaml:"loads_per_second"`
	FullSpeed          int           `yaml:"full_speed"`           // concurrent transfers at full speed
	GigabytesPerSecond float64       `yaml:"gigabytes_per_second"` // speed of one transfer at full speed
	Startup            time.Duration `yaml:"startup"`              // of an engine process, after the transfer
}

// FirstRequests defines the requests that the cold-start time is measured on: those that arrive
// within Window of the first request to a model that had none for Idle.
type FirstRequests struct {
	Idle   time.Duration `yaml:"idle"`
	Window time.Duration `yaml:"window"`
}

// Surges are times at which many idle models receive requests at once.
type Surges struct {
	PerDay   float64       `yaml:"per_day"`
	Models   int           `yaml:"models"`
	Requests int           `yaml:"requests"` // per model
	Window   time.Duration `yaml:"window"`   // period over which a burst is spread
}

// Service is a set of servers and the models on them, which together form one cell.
type Service struct {
	Name                 string    `yaml:"name"`
	Servers              int       `yaml:"servers"`
	Accelerators         int       `yaml:"accelerators"` // per server
	AcceleratorGigabytes float64   `yaml:"accelerator_gigabytes"`
	Caches               Caches    `yaml:"caches"`
	Models               int       `yaml:"models"`
	Adapters             int       `yaml:"adapters"`
	AdapterGigabytes     float64   `yaml:"adapter_gigabytes"`
	Sizes                []Size    `yaml:"sizes"`
	RequestsPerSecond    float64   `yaml:"requests_per_second"` // mean over the day
	PopularityExponent   float64   `yaml:"popularity_exponent"` // exponent of Zipf's law
	Arrivals             []Arrival `yaml:"arrivals"`
	Day                  []float64 `yaml:"day"` // weight of each hour of the day
	PromptTokens         int       `yaml:"prompt_tokens"`
	OutputTokens         int       `yaml:"output_tokens"`
	UnsafeShare          float64   `yaml:"unsafe_share"` // share of models whose requests must not run twice
	Settings             Settings  `yaml:"settings"`
}

// Caches are the checkpoint caches of each server of a service.
type Caches struct {
	MemoryGigabytes          float64 `yaml:"memory_gigabytes"`
	DiskGigabytes            float64 `yaml:"disk_gigabytes"`
	MemoryGigabytesPerSecond float64 `yaml:"memory_gigabytes_per_second"`
	DiskGigabytesPerSecond   float64 `yaml:"disk_gigabytes_per_second"`
	InitiallyInMemory        float64 `yaml:"initially_in_memory"` // share of the checkpoints
	InitiallyOnDisk          float64 `yaml:"initially_on_disk"`
}

// Size is a model size, and the share of models of that size.
type Size struct {
	WeightsGigabytes float64 `yaml:"weights_gigabytes"`
	KVGigabytes      float64 `yaml:"kv_gigabytes"`
	Share            float64 `yaml:"share"`
}

// ArrivalKind is a pattern of arrivals.
type ArrivalKind string

// The patterns of arrivals.
const (
	ArrivalSteady   ArrivalKind = "steady"   // Poisson process that follows the day's curve
	ArrivalPeriodic ArrivalKind = "periodic" // bursts at a fixed period
	ArrivalSessions ArrivalKind = "sessions" // users who send several requests
)

// Arrival describes a pattern of arrivals, and the share of models that have it.
type Arrival struct {
	Kind           ArrivalKind   `yaml:"kind"`
	Share          float64       `yaml:"share"`
	ShortestPeriod time.Duration `yaml:"shortest_period"` // periodic
	LongestPeriod  time.Duration `yaml:"longest_period"`  // periodic
	Jitter         float64       `yaml:"jitter"`          // periodic: as a share of the period
	Burst          int           `yaml:"burst"`           // periodic, sessions: requests at once
	Requests       int           `yaml:"requests"`        // sessions: mean number of requests
	Pause          time.Duration `yaml:"pause"`           // sessions: median pause between requests
}

// Settings are the tree settings of a service's models.
type Settings struct {
	MinReplicas     int           `yaml:"minReplicas"`
	MaxReplicas     int           `yaml:"maxReplicas"`
	KeepAlive       time.Duration `yaml:"keepAlive"`
	ColdStartWeight float64       `yaml:"coldStartWeight"`
	Prewarm         *bool         `yaml:"prewarm"` // default true
	Priority        int           `yaml:"priority"`
	Deadline        time.Duration `yaml:"deadline"`
	MaxConcurrency  int           `yaml:"maxConcurrency"`
}

//go:embed scenarios/*.yaml
var builtIn embed.FS

// ScenarioNames returns the names of the built-in scenarios.
func ScenarioNames() []string {
	entries, err := builtIn.ReadDir("scenarios")
	if err != nil {
		panic(err) // can't happen: the directory is embedded
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".yaml"))
	}
	return names
}

// LoadScenario reads a built-in scenario by its name, or a file by its path, and applies the
// assignments, each of the form "path=value", such as
// "services.assistant.settings.coldStartWeight=0.5". Invalid assignments and values are returned
// together in a *findings.Error.
func LoadScenario(nameOrPath string, assignments []string) (*Scenario, error) {
	data, err := builtIn.ReadFile("scenarios/" + nameOrPath + ".yaml")
	if err != nil {
		data, err = os.ReadFile(nameOrPath)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "scenario %q is neither a file nor one of %s",
			nameOrPath, strings.Join(ScenarioNames(), ", "))
	}
	return ParseScenario(nameOrPath, data, assignments)
}

// ParseScenario is LoadScenario for the contents of a file; place names the file in findings.
func ParseScenario(place string, data []byte, assignments []string) (*Scenario, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, errors.Wrap(err, place)
	}
	var found findings.List
	for _, assignment := range assignments {
		if err := assign(&document, assignment); err != nil {
			found.Addf("--set "+assignment, "%v", err)
		}
	}
	if err := found.Err(); err != nil {
		return nil, err
	}
	changed, err := yaml.Marshal(&document)
	if err != nil {
		return nil, errors.Wrap(err, place)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(changed))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil {
		return nil, errors.Wrap(err, place)
	}
	scenario.check(place, &found)
	if err := found.Err(); err != nil {
		return nil, err
	}
	return &scenario, nil
}

// assign sets one value of the document. The steps of the path are keys of mappings, and names or
// indexes of sequence items.
func assign(document *yaml.Node, assignment string) error {
	path, value, ok := strings.Cut(assignment, "=")
	if !ok {
		return errors.New("is not of the form path=value")
	}
	node := document.Content[0]
	for step := range strings.SplitSeq(path, ".") {
		next := child(node, step)
		if next == nil {
			return errors.Errorf("there is no %q in the scenario", step)
		}
		node = next
	}
	if node.Kind != yaml.ScalarNode {
		return errors.New("the path does not lead to a single value")
	}
	node.Value, node.Tag, node.Style = value, "", 0
	return nil
}

// child returns the child of node that step selects, nil if there is none. A key that a mapping
// lacks is added: the decoder rejects it if it is unknown.
func child(node *yaml.Node, step string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1]
			}
		}
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: step}
		value := &yaml.Node{Kind: yaml.ScalarNode}
		node.Content = append(node.Content, key, value)
		return value
	case yaml.SequenceNode:
		for i, item := range node.Content {
			if step == fmt.Sprint(i) || nameOf(item) == step {
				return item
			}
		}
	}
	return nil
}

// nameOf returns the value of a mapping's key "name" or "kind".
func nameOf(node *yaml.Node) string {
	for i := 0; node.Kind == yaml.MappingNode && i+1 < len(node.Content); i += 2 {
		if key := node.Content[i].Value; key == "name" || key == "kind" {
			return node.Content[i+1].Value
		}
	}
	return ""
}
