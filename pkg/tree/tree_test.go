package tree

import (
	"errors"
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/findings"
)

// sampleTree has settings at every level.
const sampleTree = `keep_alive: 10m
weight_load_rate: 2
services:
  assistant:
    keep_alive: 5m
    families:
      llama:
        memory: 16GiB
        adapter_memory: 100MiB
        models:
          glaze-7b:
            max_replicas: 2
            min_replicas: 1
            adapters:
              studio-3: {}
              studio-4:
                memory: 64MiB
          kiln-7b: {}
  booking:
    unsafe_to_repeat: true
    families:
      slots:
        models:
          slots-3b:
            memory: 6GiB
`

func parseSample(t *testing.T) *Tree {
	t.Helper()
	tree, err := Parse([]byte(sampleTree))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// wantFindings checks the findings that err carries, as "place: message begins".
func wantFindings(t *testing.T, err error, want ...string) {
	t.Helper()
	var reported *findings.Error
	if !errors.As(err, &reported) {
		t.Fatalf("got %v, want findings", err)
	}
	if len(reported.Findings) != len(want) {
		t.Fatalf("got %d findings, want %d:\n%v", len(reported.Findings), len(want), err)
	}
	for index, finding := range reported.Findings {
		if !strings.HasPrefix(finding.String(), want[index]) {
			t.Errorf("finding %d: got %q, want %q", index, finding, want[index])
		}
	}
}

func TestEffectiveSettingsAreInherited(t *testing.T) {
	tree := parseSample(t)
	model, found := tree.Model("glaze-7b")
	if !found {
		t.Fatal("glaze-7b not found")
	}
	if model.Settings.KeepAlive != 5*time.Minute || model.Settings.MemoryBytes != 16<<30 || model.Settings.Checkpoint != "glaze-7b" {
		t.Errorf("glaze-7b: %+v", model.Settings)
	}
	slots, _ := tree.Model("slots-3b")
	if !slots.Settings.UnsafeToRepeat || slots.Settings.KeepAlive != 10*time.Minute {
		t.Errorf("slots-3b: %+v", slots.Settings)
	}
	names := make([]string, 0)
	for _, model := range tree.Models() {
		names = append(names, string(model.Name))
	}
	if got := strings.Join(names, " "); got != "glaze-7b glaze-7b:studio-3 glaze-7b:studio-4 kiln-7b slots-3b" {
		t.Errorf("models: %s", got)
	}
	if got := strings.Join(tree.Services(), " "); got != "assistant booking" {
		t.Errorf("services: %s", got)
	}
}

func TestAdaptersDoNotInheritTheirBaseModelsCheckpoint(t *testing.T) {
	tree := parseSample(t)
	inherited, _ := tree.Model("glaze-7b:studio-3")
	own, _ := tree.Model("glaze-7b:studio-4")
	if inherited.Base != "glaze-7b" || inherited.Settings.MemoryBytes != 100<<20 || inherited.Settings.MinReplicas != 0 || inherited.Settings.KVBytes != 0 {
		t.Errorf("studio-3: %+v", inherited)
	}
	if own.Settings.MemoryBytes != 64<<20 || own.Settings.MaxReplicas != 2 {
		t.Errorf("studio-4: %+v", own)
	}
	origins, err := tree.Explain("/assistant/llama/glaze-7b/studio-3")
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]Path{"memory": "/assistant/llama", "keep_alive": "/assistant", "min_replicas": "", "max_replicas": "/assistant/llama/glaze-7b"}
	for _, origin := range origins {
		if from, checked := want[origin.Key]; checked && origin.From != from {
			t.Errorf("%s comes from %q, want %q", origin.Key, origin.From, from)
		}
	}
}

func TestMarshalIsReadBack(t *testing.T) {
	tree := parseSample(t).WithRevision(7)
	again, err := Parse(tree.Marshal())
	if err != nil {
		t.Fatal(err)
	}
	if again.Revision() != 7 || again.Digest() != tree.Digest() {
		t.Fatalf("got revision %d:\n%s", again.Revision(), again.Marshal())
	}
}

func TestParseReportsAllFaultsTogether(t *testing.T) {
	_, err := ParseNamed("site.yaml", []byte(`keep_alive: 10
services:
  assistant:
    keep_alife: 5m
    weight_load_rate: 3
    families:
      llama:
        models:
          glaze-7b:
            memory: 16
            max_replicas: -1
          kiln-7b: {}
          "bad name": {}
`))
	wantFindings(t, err,
		`site.yaml:1 / keep_alive: "10" has no unit`,
		`site.yaml:4 /assistant keep_alife: unknown key "keep_alife"`,
		`site.yaml:5 /assistant weight_load_rate: may not be set at a service, only at: root`,
		`site.yaml:10 /assistant/llama/glaze-7b memory: "16" has no unit`,
		`site.yaml:11 /assistant/llama/glaze-7b max_replicas: -1 is out of range`,
		`site.yaml:13 /assistant/llama models: name "bad name"`,
		`site.yaml:12 /assistant/llama/kiln-7b memory: is not set`,
	)
}

func TestEditWithFiveFaultsReportsFiveAndChangesNothing(t *testing.T) {
	tree := parseSample(t)
	before := tree.Digest()
	_, err := tree.Apply(Change{Edits: []Edit{
		{Path: "/assistant", Key: "keep_alive", Value: "10"},
		{Path: "/assistant", Key: "keep_alife", Value: "10m"},
		{Path: "assistant", Key: "keep_alive", Value: "10m"},
		{Path: "/booking/slots/slots-3b", Key: "min_replicas", Value: "2"},
		{Path: "/booking/slots/glaze-7b", Key: "memory", Value: "1GiB"},
		{Path: "/booking", Key: "keep_alive", Value: "1m"},
	}})
	wantFindings(t, err,
		`/assistant keep_alive: "10" has no unit`,
		`/assistant keep_alife: unknown key`,
		`assistant keep_alive: path "assistant" does not begin with /`,
		`/booking/slots/slots-3b min_replicas: 2 is more than max_replicas, which is 1 here`,
		`/booking/slots/glaze-7b: the name glaze-7b is taken by /assistant/llama/glaze-7b`,
	)
	if tree.Digest() != before || tree.Revision() != 0 {
		t.Error("a refused change changed the tree")
	}
}
