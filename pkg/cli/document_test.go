package cli

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"martenwheel.dev/pkg/policy"
	"martenwheel.dev/pkg/settings"
	"martenwheel.dev/pkg/tree"
)

// settingsPage is the documentation page with the tables of all settings.
const settingsPage = "../../docs/operations/settings.md"

// update makes the test rewrite the tables: go test -run Page -update
var update = flag.Bool("update", false, "rewrite the tables of "+settingsPage)

// processTable returns the table of the settings of a process.
func processTable() string {
	var table strings.Builder
	table.WriteString("| Setting | Flag | Unit | Default | Range | Meaning |\n|---|---|---|---|---|---|\n")
	for _, field := range settings.Fields {
		defaultValue := cell(field.Default)
		if field.Required {
			defaultValue = "required"
		}
		fmt.Fprintf(&table, "| `%s` | `--%s` | %s | %s | %s | %s |\n",
			field.Name, field.Flag(), field.Unit, defaultValue, field.Range, field.Description)
	}
	return table.String()
}

// treeTable returns the table of the settings in the tree.
func treeTable() string {
	var table strings.Builder
	table.WriteString("| Setting | Unit | Default | Range | Where | Meaning |\n|---|---|---|---|---|---|\n")
	for _, key := range tree.Keys {
		levels := make([]string, 0, len(key.Levels))
		for _, level := range key.Levels {
			levels = append(levels, level.String())
		}
		fmt.Fprintf(&table, "| `%s` | %s | %s | %s | %s | %s |\n",
			key.Name, key.Unit, cell(key.Default), key.Range, strings.Join(levels, ", "), key.Description)
	}
	return table.String()
}

// cell formats a default as code.
func cell(text string) string {
	if text == "" {
		return "empty"
	}
	return "`" + text + "`"
}

// replaceSection replaces the content between the markers of a section of a page.
func replaceSection(t *testing.T, page, name, content string) string {
	t.Helper()
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, found := strings.Cut(page, begin)
	_, after, foundEnd := strings.Cut(rest, end)
	if !found || !foundEnd {
		t.Fatalf("%s has no section %s", settingsPage, name)
	}
	return before + begin + content + end + after
}

func TestSettingsPageAgreesWithTheCode(t *testing.T) {
	data, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	want := replaceSection(t, string(data), "process", processTable())
	want = replaceSection(t, want, "tree", treeTable())
	if *update {
		if err := os.WriteFile(settingsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want != string(data) {
		t.Errorf("the tables of %s do not match the code; run: go test -run Page -update ./pkg/cli", settingsPage)
	}
}

func TestExamplesOfTheSettingsPageAreValid(t *testing.T) {
	data, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	blocks := strings.Split(string(data), "```yaml\n")[1:]
	if len(blocks) != 2 {
		t.Fatalf("got %d examples, want one settings file of a process and one tree", len(blocks))
	}
	for index, check := range []func(example []byte) error{
		func(example []byte) error { _, err := settings.Parse("example", example, nil); return err },
		func(example []byte) error { _, err := tree.Parse(example); return err },
	} {
		example, _, _ := strings.Cut(blocks[index], "```")
		if err := check([]byte(example)); err != nil {
			t.Errorf("example %d: %v", index+1, err)
		}
	}
}

func TestPoliciesOfTheTreeAreThoseThatExist(t *testing.T) {
	if !slices.Equal(tree.Policies, policy.Names()) {
		t.Errorf("the tree allows the policies %v, but %v exist", tree.Policies, policy.Names())
	}
}
