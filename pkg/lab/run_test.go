package lab

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func loadScenario(t *testing.T, name string, set ...string) *Scenario {
	t.Helper()
	scenario, err := LoadScenario(name, set)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func mustRun(t *testing.T, options Options) (*Result, *Series) {
	t.Helper()
	result, series, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	return result, series
}

// checkPromises fails if something happened that never must.
func checkPromises(t *testing.T, result *Result) {
	t.Helper()
	requests := result.Requests
	if requests.Sent == 0 || requests.Served == 0 {
		t.Fatalf("nothing was served: %+v", requests)
	}
	if requests.Lost+requests.Duplicated+requests.Mixed+result.Violations.Sum() > 0 {
		t.Errorf("broken promises: %+v %+v", requests, result.Violations)
	}
}

func TestRunIsDetermined(t *testing.T) {
	cases := []Options{
		{Control: ControlCentral, Faults: FaultsNone},
		{Control: ControlDistributed, Faults: FaultsMixed},
	}
	for _, options := range cases {
		t.Run(string(options.Control), func(t *testing.T) {
			options.Scenario = loadScenario(t, "hornada", "duration=6m", "fault_rate=20")
			options.Seed = 3
			var first string
			for range 2 {
				directory := t.TempDir()
				result, series := mustRun(t, options)
				if err := Write(directory, result, series); err != nil {
					t.Fatal(err)
				}
				data, err := os.ReadFile(filepath.Join(directory, resultFile))
				if err != nil {
					t.Fatal(err)
				}
				if first == "" {
					first = string(data)
				}
				if string(data) != first {
					t.Errorf("two runs differ:\n%s\n%s", first, data)
				}
			}
		})
	}
}

// TestFaultsBreakNoPromise has the failures of ten hours within ten minutes.
func TestFaultsBreakNoPromise(t *testing.T) {
	const seed = 5
	for _, faults := range AllFaults() {
		t.Run(string(faults), func(t *testing.T) {
			t.Parallel()
			scenario := loadScenario(t, "hornada", "duration=10m", "fault_rate=60")
			w, err := newWorld(scenario, seed, ControlDistributed, "adaptive")
			if err != nil {
				t.Fatal(err)
			}
			if err := w.scheduleFaults(faults, newRandom(seed, streamFaults)); err != nil {
				t.Fatal(err)
			}
			if !w.run(context.Background(), nil) {
				t.Fatal("did not end")
			}
			result, _ := w.result(Options{Seed: seed}, true)
			checkPromises(t, result)
			for _, kind := range AllFaults()[1:] {
				expected := kind != FaultsMixed && (kind == faults || faults == FaultsMixed && kind != FaultsStoreCopy)
				if happened := w.failures[kind] > 0; happened != expected {
					t.Errorf("%s happened %d times", kind, w.failures[kind])
				}
			}
		})
	}
}

// TestAdaptiveMeetsTargets holds the default policy to the targets over a part
// of a day, on seeds that the policy was not made with.
func TestAdaptiveMeetsTargets(t *testing.T) {
	const seed = 201
	measure := func(name, policy string) *Result {
		scenario := loadScenario(t, name, "duration=6h")
		result, _ := mustRun(t, Options{Scenario: scenario, Seed: seed, Policy: policy})
		checkPromises(t, result)
		return result
	}
	t.Run("delta-piney", func(t *testing.T) {
		t.Parallel()
		fixed, adaptive := measure("delta-piney", "fixed-keepalive"), measure("delta-piney", "adaptive")
		if adaptive.ColdStartSeconds.P99 > fixed.ColdStartSeconds.P99/2 || adaptive.IdleHours > fixed.IdleHours {
			t.Errorf("p99 %v of %v, idle %v of %v", adaptive.ColdStartSeconds.P99, fixed.ColdStartSeconds.P99, adaptive.IdleHours, fixed.IdleHours)
		}
	})
	t.Run("hornada", func(t *testing.T) {
		t.Parallel()
		fixed, adaptive := measure("hornada", "fixed-keepalive"), measure("hornada", "adaptive")
		if adaptive.ColdStartSeconds.P99 > fixed.ColdStartSeconds.P99 || adaptive.IdleHours > fixed.IdleHours/2 {
			t.Errorf("p99 %v of %v, idle %v of %v", adaptive.ColdStartSeconds.P99, fixed.ColdStartSeconds.P99, adaptive.IdleHours, fixed.IdleHours)
		}
	})
}

func TestRunBrokenOffIsPartial(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	scenario := loadScenario(t, "hornada")
	result, _, err := Run(ctx, Options{Scenario: scenario, Seed: 1, Progress: func(elapsed time.Duration) {
		if elapsed > time.Hour {
			cancel()
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Partial {
		t.Error("not marked as partial")
	}
	checkPromises(t, result)
}

func TestRunRefusesUnknownNames(t *testing.T) {
	scenario := loadScenario(t, "hornada", "duration=1m")
	for _, options := range []Options{{Policy: "best"}, {Faults: "fire"}, {Control: "none"}} {
		options.Scenario = scenario
		if _, _, err := Run(context.Background(), options); err == nil || !strings.Contains(err.Error(), "known are") {
			t.Errorf("%+v: error %v", options, err)
		}
	}
}

// resultKeys are the fields of result.json, which other tools read.
const resultKeys = "scenario seed policy requests{sent served refused lost duplicated mixed} " +
	"cold_start_seconds{p50 p95 p99 p999 max count} first_token_seconds{p50 p95 p99} " +
	"idle_accelerator_hours loaded_accelerator_hours loads " +
	"violations{replicas memory at_most_once not_run leaving tree_reverts} " +
	"bounds{cold_start_p99_load_only idle_hours_clairvoyant}"

func TestResultHasTheAgreedFields(t *testing.T) {
	data, err := json.Marshal(Result{})
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(`"`, "", ":0", "", ":", "", ",", " ").Replace(strings.Trim(string(data), "{}"))
	if text != strings.Trim(resultKeys, "}") {
		t.Errorf("fields are\n%s, want\n%s", text, resultKeys)
	}
}

func TestReportReadsWithoutNetwork(t *testing.T) {
	directory := t.TempDir()
	result, series := mustRun(t, Options{Scenario: loadScenario(t, "hornada", "duration=30m"), Seed: 1})
	if err := Write(directory, result, series); err != nil {
		t.Fatal(err)
	}
	if err := WriteReport(directory); err != nil {
		t.Fatal(err)
	}
	if err := WriteComparison(directory, []string{directory, directory}); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(directory, reportFile))
	if err != nil {
		t.Fatal(err)
	}
	if plots := strings.Count(string(page), "<svg"); plots != 3 {
		t.Errorf("%d plots, want 3", plots)
	}
	for _, loaded := range []string{"<script", "<link", "src="} {
		if strings.Contains(string(page), loaded) {
			t.Errorf("the page contains %q", loaded)
		}
	}
}
