package lab

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
)

func runScenario(t *testing.T, name string, seed uint64, policy string, faults Faults, set ...string) *Result {
	t.Helper()
	scenario, err := LoadScenario(name, set)
	if err != nil {
		t.Fatal(err)
	}
	result, _, err := Run(context.Background(), Options{Scenario: scenario, Seed: seed, Policy: policy, Faults: faults})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestTry(t *testing.T) {
	for _, s := range ScenarioNames() {
		for _, p := range strings.Split(os.Getenv("POL"), ",") {
			r := runScenario(t, s, 1, p, FaultsNone)
			data, _ := json.Marshal(r)
			t.Log(string(data))
		}
	}
}
