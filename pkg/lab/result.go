package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Result holds what a run measured; it is written as result.json.
type Result struct {
	Scenario          string      `json:"scenario"`
	Seed              uint64      `json:"seed"`
	Policy            string      `json:"policy"`
	Partial           bool        `json:"partial,omitempty"` // the run was interrupted
	Requests          Requests    `json:"requests"`
	ColdStartSeconds  ColdStart   `json:"cold_start_seconds"`
	FirstTokenSeconds Percentiles `json:"first_token_seconds"`
	IdleHours         float64     `json:"idle_accelerator_hours"`
	LoadedHours       float64     `json:"loaded_accelerator_hours"`
	Loads             int         `json:"loads"`
	Violations        Violations  `json:"violations"`
	Bounds            Bounds      `json:"bounds"`
}

// Requests counts the callers' requests by outcome. Lost requests got no answer, duplicated ones
// more than one, and mixed ones the answer of another request.
type Requests struct {
	Sent       int `json:"sent"`
	Served     int `json:"served"`
	Refused    int `json:"refused"`
	Lost       int `json:"lost"`
	Duplicated int `json:"duplicated"`
	Mixed      int `json:"mixed"`
}

// ColdStart is the distribution of cold-start times. The cold-start time of a wake is how long the
// slowest of its first requests waited until it ran.
type ColdStart struct {
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
	Count int     `json:"count"`
}

// Percentiles are the percentiles of a distribution that the results report.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Violations counts events that must never happen.
type Violations struct {
	Replicas    int `json:"replicas"`     // more replicas than allowed
	Memory      int `json:"memory"`       // an order that would overcommit an engine's memory
	AtMostOnce  int `json:"at_most_once"` // an unsafe request that ran again
	NotRun      int `json:"not_run"`      // a refusal as not run, of a request that ran
	Leaving     int `json:"leaving"`      // a new request to an engine long after its leaving notice
	TreeReverts int `json:"tree_reverts"` // a node went back to an older revision of its settings
	// Versions counts streams with tokens of engines of two software versions.
	Versions int `json:"versions,omitempty"`
	// BadParts counts requests with a part that crashes engines, beyond those that may reach engines after
	// its first crashes.
	BadParts int `json:"bad_parts,omitempty"`
	// Held counts pieces of answers that a node read although it held more than it may.
	Held int `json:"held,omitempty"`
	// Twice counts streams that went on at an engine while another one worked on them.
	Twice int `json:"twice,omitempty"`
	// Parts counts parts of answers that callers got as whole ones.
	Parts int `json:"parts,omitempty"`
}

// Sum returns the number of all violations.
func (v Violations) Sum() int {
	return v.Replicas + v.Memory + v.AtMostOnce + v.NotRun + v.Leaving + v.TreeReverts + v.Versions + v.BadParts + v.Held + v.Twice + v.Parts
}

// Bounds are reference values that no policy is expected to beat; bounds.go explains them.
type Bounds struct {
	ColdStartP99LoadOnly float64 `json:"cold_start_p99_load_only"`
	IdleHoursClairvoyant float64 `json:"idle_hours_clairvoyant"`
}

// Series holds the additional data that the report plots; it is written as series.json.
type Series struct {
	ColdStarts   []Quantile `json:"cold_start_quantiles"`
	IdleByHour   []float64  `json:"idle_accelerator_hours_by_hour"`
	LoadedByHour []float64  `json:"loaded_accelerator_hours_by_hour"`
}

// Quantile is a point of a distribution.
type Quantile struct {
	Share   float64 `json:"share"`
	Seconds float64 `json:"seconds"`
}

// Range and precision of the histograms.
const (
	histogramMicroseconds = 3600 * 1000 * 1000
	histogramDigits       = 3
)

// newHistogram returns a histogram of durations.
func newHistogram(durations []time.Duration) *hdrhistogram.Histogram {
	histogram := hdrhistogram.New(1, histogramMicroseconds, histogramDigits)
	for _, d := range durations {
		micros := min(max(d.Microseconds(), 1), histogramMicroseconds)
		if err := histogram.RecordValue(micros); err != nil {
			panic(err) // can't happen: the value is within the range
		}
	}
	return histogram
}

// secondsAt returns a percentile of a histogram, in seconds.
func secondsAt(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return round(float64(histogram.ValueAtPercentile(percentile)) / 1e6)
}

// round rounds to 6 decimals, so that the results stay readable.
func round(value float64) float64 { return math.Round(value*1e6) / 1e6 }

// coldStarts returns the waiting time of the slowest first request of each wake.
func (sim *simulation) coldStarts() []time.Duration {
	var slowest []time.Duration
	for i := range sim.checker.wakes {
		if sim.checker.wakes[i].requests > 0 {
			slowest = append(slowest, sim.checker.wakes[i].slowest)
		}
	}
	return slowest
}

// result returns the results of a run.
func (sim *simulation) result(options Options, complete bool) (*Result, *Series) {
	cold := newHistogram(sim.coldStarts())
	first := newHistogram(sim.checker.firstToken)
	result := &Result{
		Scenario: sim.scenario.Name, Seed: options.Seed, Policy: options.Policy, Partial: !complete,
		Requests: sim.checker.requests,
		ColdStartSeconds: ColdStart{
			P50: secondsAt(cold, 50), P95: secondsAt(cold, 95), P99: secondsAt(cold, 99),
			P999: secondsAt(cold, 99.9), Max: secondsAt(cold, 100), Count: int(cold.TotalCount()),
		},
		FirstTokenSeconds: Percentiles{secondsAt(first, 50), secondsAt(first, 95), secondsAt(first, 99)},
		IdleHours:         round(sim.meter.idle / time.Hour.Seconds()),
		LoadedHours:       round(sim.meter.loaded / time.Hour.Seconds()),
		Loads:             sim.checker.loads,
		Violations:        sim.checker.violations,
		Bounds:            sim.bounds(),
	}
	series := &Series{IdleByHour: hours(sim.meter.idleByHour), LoadedByHour: hours(sim.meter.loadedByHour)}
	for _, share := range []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92, 94, 95, 96, 97, 98, 99, 99.5, 99.9, 100} {
		series.ColdStarts = append(series.ColdStarts, Quantile{share, secondsAt(cold, share)})
	}
	return result, series
}

// hours converts seconds to hours.
func hours(seconds []float64) []float64 {
	converted := make([]float64, len(seconds))
	for i := range seconds {
		converted[i] = round(seconds[i] / time.Hour.Seconds())
	}
	return converted
}

// Files of a result directory.
const (
	resultFile = "result.json"
	seriesFile = "series.json"
	reportFile = "report.html"
)

// Write writes the files of a run into a directory and creates the directory if needed.
func Write(directory string, result *Result, series *Series) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "make the result directory")
	}
	if err := writeJSON(filepath.Join(directory, resultFile), result); err != nil {
		return err
	}
	return writeJSON(filepath.Join(directory, seriesFile), series)
}

// writeJSON writes a value as indented JSON.
func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrap(err, path)
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write results")
}

// Read reads the files of a run from a directory.
func Read(directory string) (*Result, *Series, error) {
	var result Result
	if err := readJSON(filepath.Join(directory, resultFile), &result); err != nil {
		return nil, nil, err
	}
	var series Series
	if err := readJSON(filepath.Join(directory, seriesFile), &series); err != nil {
		return nil, nil, err
	}
	return &result, &series, nil
}

// readJSON reads a value from a file.
func readJSON(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read results")
	}
	return errors.Wrap(json.Unmarshal(data, value), path)
}

// Summary is the median and range over several runs.
type Summary struct {
	Median, Lowest, Highest float64
}

// String formats the summary as "median (lowest to highest)".
func (s Summary) String() string {
	return fmt.Sprintf("%.2f (%.2f to %.2f)", s.Median, s.Lowest, s.Highest)
}

// Summarize returns the median and range of a field over several results.
func Summarize(results []*Result, field func(*Result) float64) Summary {
	values := make([]float64, 0, len(results))
	for _, result := range results {
		values = append(values, field(result))
	}
	slices.SortFunc(values, cmp.Compare)
	middle := len(values) / 2
	median := values[middle]
	if len(values)%2 == 0 {
		median = (values[middle-1] + values[middle]) / 2
	}
	return Summary{median, values[0], values[len(values)-1]}
}
