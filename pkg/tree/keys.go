package tree

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/settings/units"
)

// textUnit is the unit of settings that are free text.
const textUnit = "text"

// maxValueBytes is the maximum length of the text of a value.
const maxValueBytes = 256

// Key describes one setting of the tree.
type Key struct {
	Name        string
	Unit        string // "duration", "bytes", "text" and so on
	Default     string // in the notation of the tree
	Range       string // allowed values, for documentation; bounds are inclusive
	Levels      []Level
	Description string

	// parse validates text and stores the value, and format is its inverse. copy copies the stored value.
	parse  func(settings *Settings, text string) error
	format func(settings Settings) string
	copy   func(to, from *Settings)
}

// AllowedAt reports whether the key may be set at a node of the level.
func (k Key) AllowedAt(level Level) bool {
	for _, allowed := range k.Levels {
		if allowed == level {
			return true
		}
	}
	return false
}

// Parse validates text and returns it in canonical form: "600s" becomes "10m".
func (k Key) Parse(text string) (string, error) {
	if len(text) > maxValueBytes {
		return "", errors.Errorf("value is longer than %d bytes", maxValueBytes)
	}
	var settings Settings
	if err := k.parse(&settings, text); err != nil {
		return "", err
	}
	return k.format(settings), nil
}

var (
	everyLevel     = []Level{LevelRoot, LevelService, LevelFamily, LevelModel, LevelAdapter}
	downToModel    = []Level{LevelRoot, LevelService, LevelFamily, LevelModel}
	familyAndDown  = []Level{LevelFamily, LevelModel, LevelAdapter}
	modelAndDown   = []Level{LevelModel, LevelAdapter}
	rootAndService = []Level{LevelRoot, LevelService}
	rootOnly       = []Level{LevelRoot}
)

// Bounds of byte sizes and counts.
const (
	mebibyte          = 1 << 20
	gibibyte          = 1 << 30
	tebibyte          = 1 << 40
	maxMemoryBytes    = 16 * tebibyte
	maxReplicaCount   = 1000
	maxQueueRequests  = 1_000_000
	maxTokenCount     = 1_000_000_000
	maxConcurrencyCap = 10_000
	maxRate           = 1_000_000_000
	week              = 7 * 24 * time.Hour
)

// Keys lists all settings of the tree in the order of the documentation.
var Keys = []Key{
	textKey(checkpointKey, "", modelAndDown,
		"name of the checkpoint in the weight store; empty: the model's or adapter's name",
		func(s *Settings) *string { return &s.Checkpoint }),
	textKey("version", "", modelAndDown,
		"version of the checkpoint",
		func(s *Settings) *string { return &s.Version }),
	rangedKey("memory", "bytes", 0, units.Sizes(0, maxMemoryBytes), familyAndDown,
		"accelerator memory of the weights; every model needs it, an adapter without it takes adapter_memory",
		func(s *Settings) *uint64 { return &s.MemoryBytes }),
	rangedKey("adapter_memory", "bytes", 256*mebibyte, units.Sizes(0, maxMemoryBytes), downToModel,
		"accelerator memory of each adapter below that sets no memory of its own",
		func(s *Settings) *uint64 { return &s.AdapterMemoryBytes }),
	rangedKey("kv_memory", "bytes", gibibyte, units.Sizes(0, maxMemoryBytes), downToModel,
		"accelerator memory kept for the KV cache of each replica of a model; adapters use their base model's",
		func(s *Settings) *uint64 { return &s.KVBytes }),
	rangedKey("load_time", "duration", 10*time.Second, units.Durations(time.Millisecond, time.Hour), everyLevel,
		"expected time of a load from the weight store; an adapter without it takes adapter_load_time",
		func(s *Settings) *time.Duration { return &s.LoadTime }),
	rangedKey("adapter_load_time", "duration", time.Second, units.Durations(time.Millisecond, time.Hour), downToModel,
		"expected load time of each adapter below that sets no load_time of its own",
		func(s *Settings) *time.Duration { return &s.AdapterLoadTime }),
	rangedKey("min_replicas", "replicas", 0, units.Counts(0, maxReplicaCount), everyLevel,
		"replicas per region that are kept loaded; adapters don't inherit it from their base model",
		func(s *Settings) *int { return &s.MinReplicas }),
	rangedKey("max_replicas", "replicas", 1, units.Counts(0, maxReplicaCount), everyLevel,
		"replicas per region that are never exceeded; 0 switches a model off",
		func(s *Settings) *int { return &s.MaxReplicas }),
	rangedKey("keep_alive", "duration", 10*time.Minute, units.Durations(0, week), everyLevel,
		"longest idle time of a replica before it is unloaded",
		func(s *Settings) *time.Duration { return &s.KeepAlive }),
	rangedKey("cold_start_weight", "fraction", 0.5, units.Numbers(0, 1), everyLevel,
		"0: only idle accelerator hours matter, 1: only the wait of cold starts",
		func(s *Settings) *float64 { return &s.ColdStartWeight }),
	choiceKey("policy", Policies, everyLevel,
		"name of the keep-alive and prewarming policy",
		func(s *Settings) *string { return &s.Policy }),
	boolKey("prewarm", true, everyLevel,
		"whether the policy may load a model before a request asks for it",
		func(s *Settings) *bool { return &s.Prewarm }),

	rangedKey("priority", "rank", 0, units.Counts(-100, 100), everyLevel,
		"priority of requests that name none; larger is more urgent",
		func(s *Settings) *int { return &s.Priority }),
	rangedKey("deadline", "duration", 30*time.Second, units.Durations(time.Millisecond, time.Hour), everyLevel,
		"time to the first token for requests that name none",
		func(s *Settings) *time.Duration { return &s.Deadline }),
	boolKey("unsafe_to_repeat", false, everyLevel,
		"whether requests that don't say so run at most once",
		func(s *Settings) *bool { return &s.UnsafeToRepeat }),
	rangedKey("repeat_retention", "duration", 10*time.Minute, units.Durations(time.Second, week), everyLevel,
		"how long the key of a request that is unsafe to repeat is remembered",
		func(s *Settings) *time.Duration { return &s.RepeatRetention }),
	rangedKey("queue_requests", "requests", 1000, units.Counts(0, maxQueueRequests), everyLevel,
		"most requests that wait per node and model",
		func(s *Settings) *int { return &s.QueueRequests }),
	rangedKey("queue_tokens", "tokens", 4_000_000, units.Counts(0, maxTokenCount), everyLevel,
		"most prompt tokens that wait per node and model",
		func(s *Settings) *int { return &s.QueueTokens }),
	rangedKey("max_concurrency", "requests", 32, units.Counts(1, maxConcurrencyCap), everyLevel,
		"most requests that run on one replica",
		func(s *Settings) *int { return &s.MaxConcurrency }),
	rangedKey("max_tokens", "tokens", 131_072, units.Counts(1, maxTokenCount), everyLevel,
		"most tokens of the requests that run on one replica",
		func(s *Settings) *int { return &s.MaxTokens }),
	rangedKey("caller_rate", "requests/s", 0, units.Numbers(0, maxRate), everyLevel,
		"requests per caller and node; 0: no limit",
		func(s *Settings) *float64 { return &s.CallerRate }),
	rangedKey("caller_token_rate", "tokens/s", 0, units.Numbers(0, maxRate), everyLevel,
		"tokens per caller and node; 0: no limit",
		func(s *Settings) *float64 { return &s.CallerTokenRate }),
	rangedKey("model_rate", "requests/s", 0, units.Numbers(0, maxRate), everyLevel,
		"requests of all callers per model and node; 0: no limit",
		func(s *Settings) *float64 { return &s.ModelRate }),
	rangedKey("model_token_rate", "tokens/s", 0, units.Numbers(0, maxRate), everyLevel,
		"tokens of all callers per model and node; 0: no limit",
		func(s *Settings) *float64 { return &s.ModelTokenRate }),
	rangedKey("service_rate", "requests/s", 0, units.Numbers(0, maxRate), rootAndService,
		"requests of all callers per service and node; 0: no limit",
		func(s *Settings) *float64 { return &s.ServiceRate }),
	rangedKey("service_token_rate", "tokens/s", 0, units.Numbers(0, maxRate), rootAndService,
		"tokens of all callers per service and node; 0: no limit",
		func(s *Settings) *float64 { return &s.ServiceTokenRate }),
	rangedKey("fair_share", "weight", 1, units.Numbers(0.001, 1000), everyLevel,
		"share of this branch when a queue is contended, against those of others",
		func(s *Settings) *float64 { return &s.FairShare }),
	rangedKey("retry_budget", "retries per request", 0.2, units.Numbers(0, 1), everyLevel,
		"most retries per first attempt",
		func(s *Settings) *float64 { return &s.RetryBudget }),
	rangedKey("drain_time", "duration", time.Minute, units.Durations(0, time.Hour), everyLevel,
		"longest planned stop of a replica: time for its requests in flight",
		func(s *Settings) *time.Duration { return &s.DrainTime }),

	rangedKey("weight_load_rate", "loads/s", 2, units.Numbers(0.001, 10_000), rootOnly,
		"loads that the weight store starts in a second",
		func(s *Settings) *float64 { return &s.WeightLoadRate }),
	rangedKey("weight_full_speed", "loads", 8, units.Counts(1, 10_000), rootOnly,
		"loads at once that the weight store serves at full speed",
		func(s *Settings) *int { return &s.WeightFullSpeed }),
	rangedKey("max_body", "bytes", 4*mebibyte, units.IntSizes(1024, 256*mebibyte), rootOnly,
		"largest body of a caller's request",
		func(s *Settings) *int { return &s.MaxBodyBytes }),
	boolKey("operators_may_edit", true, everyLevel,
		"false freezes this branch: every edit below is refused, save of this key",
		func(s *Settings) *bool { return &s.OperatorsMayEdit }),
}

// keysByName indexes Keys.
var keysByName = indexKeys()

func indexKeys() map[string]Key {
	index := make(map[string]Key, len(Keys))
	for _, key := range Keys {
		index[key.Name] = key
	}
	return index
}

// FindKey returns the key with the given name.
func FindKey(name string) (Key, bool) {
	key, found := keysByName[name]
	return key, found
}

// defaults are the settings of a tree without overrides.
var defaults = parseDefaults()

// Defaults returns the settings of a tree without overrides.
func Defaults() Settings {
	return defaults
}

// parseDefaults parses the default of each key.
func parseDefaults() Settings {
	var settings Settings
	for _, key := range Keys {
		if err := key.parse(&settings, key.Default); err != nil {
			panic(fmt.Sprintf("default of %s: %v", key.Name, err))
		}
	}
	return settings
}

// Policies are the names of the keep-alive and prewarming policies that package policy implements. The
// first one is the default.
var Policies = []string{"adaptive", "fixed-keepalive", "fixed-keepalive-near", "never-unload", "unload-at-once", "demand-first"}

// textPattern matches names and versions that are valid in weight stores.
var textPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/@+-]*$`)

func textKey(name, initial string, levels []Level, description string, field func(*Settings) *string) Key {
	return Key{
		Name: name, Unit: textUnit, Default: initial, Range: "letters, digits and ._:/@+-", Levels: levels, Description: description,
		parse: func(settings *Settings, text string) error {
			if text != "" && !textPattern.MatchString(text) {
				return errors.Errorf("%q has characters other than letters, digits and ._:/@+-", text)
			}
			*field(settings) = text
			return nil
		},
		format: func(settings Settings) string { return *field(&settings) },
		copy:   func(to, from *Settings) { *field(to) = *field(from) },
	}
}

// choiceKey returns a key whose value is one of choices. The first one is the default.
func choiceKey(name string, choices []string, levels []Level, description string, field func(*Settings) *string) Key {
	allowed := strings.Join(choices, ", ")
	key := textKey(name, choices[0], levels, description, field)
	key.Range = allowed
	key.parse = func(settings *Settings, text string) error {
		if !slices.Contains(choices, text) {
			return errors.Errorf("%q is not one of %s", text, allowed)
		}
		*field(settings) = text
		return nil
	}
	return key
}

// rangedKey returns a key whose values lie in a range.
func rangedKey[T cmp.Ordered](name, unit string, initial T, allowed units.Range[T], levels []Level, description string, field func(*Settings) *T) Key {
	return Key{
		Name:        name,
		Unit:        unit,
		Default:     allowed.Format(initial),
		Range:       allowed.String(),
		Levels:      levels,
		Description: description,
		parse: func(settings *Settings, text string) error {
			value, err := allowed.Parse(text)
			if err != nil {
				return err
			}
			*field(settings) = value
			return nil
		},
		format: func(settings Settings) string { return allowed.Format(*field(&settings)) },
		copy:   func(to, from *Settings) { *field(to) = *field(from) },
	}
}

func boolKey(name string, initial bool, levels []Level, description string, field func(*Settings) *bool) Key {
	return Key{
		Name: name, Unit: "true or false", Default: strconv.FormatBool(initial), Range: "true or false", Levels: levels, Description: description,
		parse: func(settings *Settings, text string) error {
			if text != "true" && text != "false" {
				return errors.Errorf("%q is neither true nor false", text)
			}
			*field(settings) = text == "true"
			return nil
		},
		format: func(settings Settings) string { return strconv.FormatBool(*field(&settings)) },
		copy:   func(to, from *Settings) { *field(to) = *field(from) },
	}
}
