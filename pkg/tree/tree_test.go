package tree

import (
	"strings"
	"testing"
	"time"

	"martenwheel.dev/pkg/findings/findingstest"
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
	findingstest.Want(t, err,
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
	findingstest.Want(t, err,
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

func TestFrozenBranchesRefuseEdits(t *testing.T) {
	frozen, err := parseSample(t).Apply(Change{Edits: []Edit{{Path: "/assistant/llama", Key: "operators_may_edit", Value: "false"}}})
	if err != nil {
		t.Fatal(err)
	}
	unfreeze := Edit{Path: "/assistant/llama", Key: "operators_may_edit", Unset: true}
	edit := Edit{Path: "/assistant/llama/kiln-7b", Key: "keep_alive", Value: "1m"}
	cases := []struct {
		name  string
		edits []Edit
		want  string // empty: accepted
	}{
		{"below", []Edit{edit}, "/assistant/llama/kiln-7b keep_alive: is frozen by operators_may_edit at /assistant/llama"},
		{"itself", []Edit{{Path: "/assistant/llama", Key: "memory", Value: "8GiB"}}, "/assistant/llama memory: is frozen"},
		{"removal from above", []Edit{{Path: "/assistant", Remove: true}}, "/assistant: is frozen by operators_may_edit at /assistant/llama"},
		{"beside", []Edit{{Path: "/booking", Key: "keep_alive", Value: "1m"}}, ""},
		{"made editable first", []Edit{unfreeze, edit}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := frozen.Apply(Change{Edits: test.edits})
			if test.want == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			findingstest.Want(t, err, test.want)
		})
	}
}

func TestMalformedEditsAreRefused(t *testing.T) {
	cases := map[string]Edit{
		"/a: an edit with a value needs a key":                             {Path: "/a", Value: "1"},
		"/booking keep_alive: an edit that unsets a key has no value":      {Path: "/booking", Key: "keep_alive", Value: "1m", Unset: true},
		"/booking keep_alive: an edit that removes a node has neither":     {Path: "/booking", Key: "keep_alive", Remove: true},
		"/booking keep_alive: is not set here":                             {Path: "/booking", Key: "keep_alive", Unset: true},
		"/nowhere keep_alive: there is no such node":                       {Path: "/nowhere", Key: "keep_alive", Unset: true},
		"/nowhere: there is no such node":                                  {Path: "/nowhere", Remove: true},
		"/: the root can't be removed":                                     {Path: "/", Remove: true},
		"/a/b/c/d/e memory: path \"/a/b/c/d/e\" is deeper":                 {Path: "/a/b/c/d/e", Key: "memory", Value: "1GiB"},
		"/a//b memory: path \"/a//b\": name \"\" must be":                  {Path: "/a//b", Key: "memory", Value: "1GiB"},
		"/booking policy: \"adaptiv\" is not one of adaptive, fixed-":      {Path: "/booking", Key: "policy", Value: "adaptiv"},
		"/booking/s/m version: \"a b\" has characters other than":          {Path: "/booking/s/m", Key: "version", Value: "a b"},
		"/booking version: may not be set at a service, only at: model, a": {Path: "/booking", Key: "version", Value: "1"},
	}
	for want, edit := range cases {
		_, err := parseSample(t).Apply(Change{Edits: []Edit{edit}})
		findingstest.Want(t, err, want)
	}
	_, err := parseSample(t).Apply(Change{})
	findingstest.Want(t, err, "change: has no edits")
}

func TestRefusedValuesCauseNoFurtherFindings(t *testing.T) {
	_, err := Parse([]byte("max_replicas: many\nservices: {a: {families: {b: {models: {c: {memory: 5, min_replicas: 4}}}}}}"))
	findingstest.Want(t, err,
		`line 1 / max_replicas: "many" is no whole number`,
		`line 2 /a/b/c memory: "5" has no unit`)
}

func TestSecondDocumentIsNotIgnored(t *testing.T) {
	_, err := ParseNamed("site.yaml", []byte(sampleTree+"---\nkeep_alive: 1m\n"))
	findingstest.Want(t, err, "site.yaml: a second document begins")
}

func TestModelsThatFitNoServerAreFound(t *testing.T) {
	tree := parseSample(t)
	servers := func(bytes uint64) []ServerMemory {
		return []ServerMemory{{Service: "assistant", Bytes: 1 << 30}, {Service: "assistant", Bytes: bytes}}
	}
	if err := tree.CheckFits(servers(17<<30 + 100<<20)); err != nil {
		t.Errorf("all fit: %v", err)
	}
	findingstest.Want(t, tree.CheckFits(servers(17<<30)),
		"/assistant/llama/glaze-7b/studio-3 memory: needs 17508MiB with its KV cache and base model, but the largest server of assistant has 17GiB",
		"/assistant/llama/glaze-7b/studio-4 memory: needs 17472MiB")
}

func TestEveryDefaultIsCanonicalAndInRange(t *testing.T) {
	defaults := Defaults()
	for _, key := range Keys {
		if got, err := key.Parse(key.Default); err != nil || got != key.Default {
			t.Errorf("%s: default %q is read as %q, %v", key.Name, key.Default, got, err)
		}
		if got := key.format(defaults); got != key.Default {
			t.Errorf("%s: default %q is held as %q; do two keys share a field?", key.Name, key.Default, got)
		}
	}
}
