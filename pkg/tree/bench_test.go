package tree

import (
	"fmt"
	"testing"
)

// largeTree has 1,400 models and 3,500 adapters.
func largeTree(b *testing.B) *Tree {
	b.Helper()
	var edits []Edit
	for model := range 1400 {
		path := Path(fmt.Sprintf("/service%d/family%d/model%d", model%10, model%70, model))
		edits = append(edits, Edit{Path: path, Key: "memory", Value: "16GiB"}, Edit{Path: path, Key: "keep_alive", Value: "7m"})
		for adapter := range 2 + (model*9/14)%2 {
			edits = append(edits, Edit{Path: path.Child(fmt.Sprintf("adapter%d", adapter)), Key: "memory", Value: "100MiB"})
		}
	}
	tree, err := Empty().Apply(Change{Edits: edits})
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

func BenchmarkApplyToLargeTree(b *testing.B) {
	tree := largeTree(b)
	change := keepAlive("a", "service3", "9m", 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := tree.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkModelLookup(b *testing.B) {
	tree := largeTree(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, found := tree.Model("model700"); !found {
			b.Fatal("not found")
		}
	}
}

func BenchmarkDigestOfLargeTree(b *testing.B) {
	tree := largeTree(b)
	for b.Loop() {
		tree.computeDigest()
	}
}

func BenchmarkPackLargeTree(b *testing.B) {
	tree := largeTree(b)
	for b.Loop() {
		packed, err := tree.pack()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(packed)), "bytes")
	}
}

// BenchmarkReceiveChange measures all that a process does with the tree for one change from a peer: it
// applies the change, checks the digest and lists the models.
func BenchmarkReceiveChange(b *testing.B) {
	edits := map[string]Edit{
		"service":    {Path: "/service3", Key: "keep_alive", Value: "9m"}, // its models override it
		"branch":     {Path: "/service3", Key: "deadline", Value: "9s"},
		"model":      {Path: "/service3/family3/model3", Key: "keep_alive", Value: "9m"},
		"root":       {Path: "/", Key: "deadline", Value: "9s"},
		"newAdapter": {Path: "/service3/family3/model3/new"},
	}
	tree := largeTree(b)
	for name, edit := range edits {
		b.Run(name, func(b *testing.B) {
			change := Change{Revision: tree.Revision() + 1, Edits: []Edit{edit}}
			next, err := tree.Apply(change)
			if err != nil {
				b.Fatal(err)
			}
			answer := FetchAnswer{Revision: change.Revision, Digest: next.Digest(), Changes: []Change{change}}
			b.ReportAllocs()
			for b.Loop() {
				received, err := ApplyAnswer(tree, answer)
				if err != nil || len(received.Models()) == 0 {
					b.Fatal(err)
				}
			}
		})
	}
}
