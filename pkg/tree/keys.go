package tree

import (
	"cmp"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/settings/units"
)

// textUnit is the unit of settings that hold free text.
const textUnit = "text"

// maxValueBytes bounds the text of one value.
const maxValueBytes = 256

// Key describes one setting of the tree.
type Key struct {
	Name        string
	Unit        string // "duration", "bytes", "text" and so on
	Default     string // as it would be written in the tree
	Range       string // in words, inclusive
	Levels      []Level
	Description string

	// parse checks text and stores it; format is its inverse.
	parse  func(settings *Settings, text string) error
	format func(settings Settings) string
}

// AllowedAt tells whether the key may be set at a node of the level.
func (k Key) AllowedAt(level Level) bool {
	for _, allowed := range k.Levels {
		if allowed == level {
			return true
		}
	}
	return false
}

// Parse checks text and returns it in its canonical form: "600s" becomes "10m".
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
	everyLevel    = []Level{LevelRoot, LevelService, LevelFamily, LevelModel, LevelAdapter}
	downToModel   = []Level{LevelRoot, LevelService, LevelFamily, LevelModel}
	familyAndDown = []Level{LevelFamily, LevelModel, LevelAdapter}
	modelAndDown  = []Level{LevelModel, LevelAdapter}
	rootOnly      = []Level{LevelRoot}
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

// Keys is every setting of the tree, in the order of the documentation.
var Keys = []Key{
	textKey("checkpoint", "", modelAndDown,
		"name of the checkpoint in the weight store; empty: the model's or adapter's name",
		func(s *Settings) *string { return &s.Checkpoint }),
	textKey("version", "", modelAndDown,
		"version of the checkpoint",
		func(s *Settings) *string { return &s.Version }),
	bytesKey("memory", 0, 0, maxMemoryBytes, familyAndDown,
		"accelerator memory of the weights; every model needs it, an adapter without it takes adapter_memory",
		func(s *Settings) *uint64 { return &s.MemoryBytes }),
	bytesKey("adapter_memory", 256*mebibyte, 0, maxMemoryBytes, downToModel,
		"accelerator memory of each adapter below that sets no memory of its own",
		func(s *Settings) *uint64 { return &s.AdapterMemoryBytes }),
	bytesKey("kv_memory", gibibyte, 0, maxMemoryBytes, downToModel,
		"accelerator memory kept for the KV cache of each replica of a model; adapters use their base model's",
		func(s *Settings) *uint64 { return &s.KVBytes }),
	durationKey("load_time", 10*time.Second, time.Millisecond, time.Hour, everyLevel,
		"expected time of a load from the weight store; an adapter without it takes adapter_load_time",
		func(s *Settings) *time.Duration { return &s.LoadTime }),
	durationKey("adapter_load_time", time.Second, time.Millisecond, time.Hour, downToModel,
		"expected load time of each adapter below that sets no load_time of its own",
		func(s *Settings) *time.Duration { return &s.AdapterLoadTime }),
	countKey("min_replicas", "replicas", 0, 0, maxReplicaCount, everyLevel,
		"replicas per region that are kept loaded; adapters don't inherit it from their base model",
		func(s *Settings) *int { return &s.MinReplicas }),
	countKey("max_replicas", "replicas", 1, 0, maxReplicaCount, everyLevel,
		"replicas per region that are never exceeded; 0 switches a model off",
		func(s *Settings) *int { return &s.MaxReplicas }),
	durationKey("keep_alive", 10*time.Minute, 0, week, everyLevel,
		"longest idle time of a replica before it is unloaded",
		func(s *Settings) *time.Duration { return &s.KeepAlive }),
	numberKey("cold_start_weight", "fraction", 0.5, 0, 1, everyLevel,
		"0: only idle accelerator hours matter, 1: only the wait of cold starts",
		func(s *Settings) *float64 { return &s.ColdStartWeight }),
	textKey("policy", "adaptive", everyLevel,
		"name of the keep-alive and prewarming policy",
		func(s *Settings) *string { return &s.Policy }),
	boolKey("prewarm", true, everyLevel,
		"whether the policy may load a model before a request asks for it",
		func(s *Settings) *bool { return &s.Prewarm }),

	countKey("priority", "rank", 0, -100, 100, everyLevel,
		"priority of requests that name none; larger is more urgent",
		func(s *Settings) *int { return &s.Priority }),
	durationKey("deadline", 30*time.Second, time.Millisecond, time.Hour, everyLevel,
		"time to the first token for requests that name none",
		func(s *Settings) *time.Duration { return &s.Deadline }),
	boolKey("unsafe_to_repeat", false, everyLevel,
		"whether requests that don't say so run at most once",
		func(s *Settings) *bool { return &s.UnsafeToRepeat }),
	durationKey("repeat_retention", 10*time.Minute, time.Second, week, everyLevel,
		"how long the key of a request that is unsafe to repeat is remembered",
		func(s *Settings) *time.Duration { return &s.RepeatRetention }),
	countKey("queue_requests", "requests", 1000, 0, maxQueueRequests, everyLevel,
		"most requests that wait per node and model",
		func(s *Settings) *int { return &s.QueueRequests }),
	countKey("queue_tokens", "tokens", 4_000_000, 0, maxTokenCount, everyLevel,
		"most prompt tokens that wait per node and model",
		func(s *Settings) *int { return &s.QueueTokens }),
	countKey("max_concurrency", "requests", 32, 1, maxConcurrencyCap, everyLevel,
		"most requests that run on one replica",
		func(s *Settings) *int { return &s.MaxConcurrency }),
	countKey("max_tokens", "tokens", 131_072, 1, maxTokenCount, everyLevel,
		"most tokens of the requests that run on one replica",
		func(s *Settings) *int { return &s.MaxTokens }),
	numberKey("caller_rate", "requests/s", 0, 0, maxRate, everyLevel,
		"requests per caller and node; 0: no limit",
		func(s *Settings) *float64 { return &s.CallerRate }),
	numberKey("caller_token_rate", "tokens/s", 0, 0, maxRate, everyLevel,
		"tokens per caller and node; 0: no limit",
		func(s *Settings) *float64 { return &s.CallerTokenRate }),
	numberKey("fair_share", "weight", 1, 0.001, 1000, everyLevel,
		"share of this branch when a queue is contended, against those of others",
		func(s *Settings) *float64 { return &s.FairShare }),
	numberKey("retry_budget", "retries per request", 0.2, 0, 1, everyLevel,
		"most retries per first attempt",
		func(s *Settings) *float64 { return &s.RetryBudget }),
	durationKey("drain_time", time.Minute, 0, time.Hour, everyLevel,
		"longest planned stop of a replica: time for its requests in flight",
		func(s *Settings) *time.Duration { return &s.DrainTime }),

	numberKey("weight_load_rate", "loads/s", 2, 0.001, 10_000, rootOnly,
		"loads that the weight store starts in a second",
		func(s *Settings) *float64 { return &s.WeightLoadRate }),
	countKey("weight_full_speed", "loads", 8, 1, 10_000, rootOnly,
		"loads at once that the weight store serves at full speed",
		func(s *Settings) *int { return &s.WeightFullSpeed }),
	intBytesKey("max_body", 4*mebibyte, 1024, 256*mebibyte, rootOnly,
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

// FindKey returns the key of that name.
func FindKey(name string) (Key, bool) {
	key, found := keysByName[name]
	return key, found
}

// Defaults returns the settings of a tree in which nothing is set.
func Defaults() Settings {
	var settings Settings
	for _, key := range Keys {
		if err := key.parse(&settings, key.Default); err != nil {
			panic(fmt.Sprintf("default of %s: %v", key.Name, err))
		}
	}
	return settings
}

// textPattern allows names and versions as they appear in weight stores.
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
	}
}

// scalar is how values of one type are read and written.
type scalar[T cmp.Ordered] struct {
	parse  func(text string) (T, error)
	format func(value T) string
}

// rangedKey describes a setting whose values lie between lowest and highest.
func rangedKey[T cmp.Ordered](key Key, kind scalar[T], initial, lowest, highest T, field func(*Settings) *T) Key {
	key.Default = kind.format(initial)
	key.Range = kind.format(lowest) + " to " + kind.format(highest)
	key.parse = func(settings *Settings, text string) error {
		value, err := kind.parse(text)
		if err != nil {
			return err
		}
		if value < lowest || value > highest {
			return errors.Errorf("%s is out of range, it must be from %s", text, key.Range)
		}
		*field(settings) = value
		return nil
	}
	key.format = func(settings Settings) string { return kind.format(*field(&settings)) }
	return key
}

func bytesKey(name string, initial, lowest, highest uint64, levels []Level, description string, field func(*Settings) *uint64) Key {
	key := Key{Name: name, Unit: "bytes", Levels: levels, Description: description}
	kind := scalar[uint64]{parse: units.ParseBytes, format: units.FormatBytes}
	return rangedKey(key, kind, initial, lowest, highest, field)
}

func intBytesKey(name string, initial, lowest, highest int, levels []Level, description string, field func(*Settings) *int) Key {
	key := Key{Name: name, Unit: "bytes", Levels: levels, Description: description}
	kind := scalar[int]{
		parse: func(text string) (int, error) {
			bytes, err := units.ParseBytes(text)
			return int(min(bytes, math.MaxInt)), err
		},
		format: func(bytes int) string { return units.FormatBytes(uint64(bytes)) },
	}
	return rangedKey(key, kind, initial, lowest, highest, field)
}

func durationKey(name string, initial, lowest, highest time.Duration, levels []Level, description string, field func(*Settings) *time.Duration) Key {
	key := Key{Name: name, Unit: "duration", Levels: levels, Description: description}
	kind := scalar[time.Duration]{parse: units.ParseDuration, format: units.FormatDuration}
	return rangedKey(key, kind, initial, lowest, highest, field)
}

func countKey(name, unit string, initial, lowest, highest int, levels []Level, description string, field func(*Settings) *int) Key {
	key := Key{Name: name, Unit: unit, Levels: levels, Description: description}
	return rangedKey(key, scalar[int]{parse: parseCount, format: strconv.Itoa}, initial, lowest, highest, field)
}

func numberKey(name, unit string, initial, lowest, highest float64, levels []Level, description string, field func(*Settings) *float64) Key {
	key := Key{Name: name, Unit: unit, Levels: levels, Description: description}
	return rangedKey(key, scalar[float64]{parse: parseNumber, format: formatNumber}, initial, lowest, highest, field)
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
	}
}

func parseCount(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, errors.Errorf("%q is no whole number", text)
	}
	return value, nil
}

func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) {
		return 0, errors.Errorf("%q is no number", text)
	}
	return value + 0, nil // "-0" becomes "0"
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}
