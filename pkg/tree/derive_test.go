package tree

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"martenwheel.dev/pkg/findings"
)

// applyFromScratch is Apply without an older tree to share with: every node is resolved and checked again.
func applyFromScratch(tree *Tree, change Change) (*Tree, error) {
	editor := editor{base: new(Tree), touched: make(touched), refused: make(refusedKeys)}
	for _, path := range tree.Paths() {
		editor.touched[path], _ = tree.own(path)
	}
	for _, edit := range change.Edits {
		editor.apply(edit)
	}
	built, err := build(tree.revision+1, editor.existing(), editor.refused)
	editor.found.Merge("change", err)
	return built, editor.found.Err()
}

// existing returns the overrides of all nodes that remain after the edits.
func (e *editor) existing() map[Path]overrides {
	nodes := make(map[Path]overrides)
	for path, own := range e.touched {
		if own != nil {
			nodes[path] = own
		}
	}
	return nodes
}

// content is everything that can be read from a tree.
type content struct {
	Revision Revision
	Digest   string
	Models   []Model
	Services []string
	Effect   map[Path]Settings
	ByName   []Model
}

// contentOf reads a tree. It computes the digest again.
func contentOf(tree *Tree) content {
	read := content{
		Revision: tree.Revision(),
		Digest:   tree.computeDigest(),
		Models:   tree.listModels(),
		Services: append([]string{}, tree.Services()...),
		Effect:   make(map[Path]Settings),
	}
	for _, path := range tree.Paths() {
		read.Effect[path], _ = tree.Resolve(path)
	}
	for _, model := range read.Models {
		found, _ := tree.Model(model.Name)
		read.ByName = append(read.ByName, found)
	}
	return read
}

// randomEdit returns a random edit of any form, often an invalid one. Some names sort before the path
// separator, and the small set of names makes conflicts likely.
func randomEdit(random *rand.Rand) Edit {
	pick := func(texts ...string) string { return texts[random.IntN(len(texts))] }
	path := RootPath
	for level := range random.IntN(5) {
		path = path.Child(pick([][]string{
			{"s", "s-b", "s.c"}, {"f", "f-g"}, {"m", "m-1", "m.2", "n"}, {"a", "a-b", "b"},
		}[level]...))
	}
	switch random.IntN(13) {
	case 0:
		return Edit{Path: path, Remove: true}
	case 1, 2:
		return Edit{Path: path}
	case 3, 4:
		return Edit{Path: path, Key: pick("memory", "keep_alive", "checkpoint", "max_replicas", "min_replicas", editableKey), Unset: true}
	case 5:
		return Edit{Path: path, Key: pick("keep_alife", "memory", "max_replicas", "version"), Value: "a b"}
	case 6:
		return Edit{Path: path, Key: editableKey, Value: pick("true", "true", "true", "false")}
	case 7, 8:
		return Edit{Path: path, Key: pick("memory", "adapter_memory"), Value: pick("1GiB", "16GiB", "0B")}
	case 9:
		return Edit{Path: path, Key: pick("checkpoint", "version"), Value: pick("", "w1", "w2")}
	case 10:
		return Edit{Path: path, Key: pick("min_replicas", "max_replicas"), Value: pick("0", "1", "2")}
	default:
		return Edit{Path: path, Key: pick("keep_alive", "deadline", "load_time"), Value: pick("1m", "60s", "2m")}
	}
}

// findingsOf returns the findings of err. It panics if err is another kind of error.
func findingsOf(err error) []findings.Finding {
	if err == nil {
		return nil
	}
	return err.(*findings.Error).Findings
}

func TestPropertySharedTreesEqualThoseBuiltAnew(t *testing.T) {
	accepted, refused := 0, 0
	checkProperty(t, "Apply equals a whole rebuild and leaves older trees alone", func(random *rand.Rand) bool {
		tree := Empty()
		trees, contents := []*Tree{tree}, []content{contentOf(tree)}
		for range 60 {
			change := Change{}
			for range 1 + random.IntN(4) {
				change.Edits = append(change.Edits, randomEdit(random))
			}
			next, err := tree.Apply(change)
			whole, wholeErr := applyFromScratch(tree, change)
			if !reflect.DeepEqual(findingsOf(err), findingsOf(wholeErr)) {
				t.Logf("%+v\ngot  %v\nwant %v", change.Edits, err, wholeErr)
				return false
			}
			if err != nil {
				refused++
				continue
			}
			accepted++
			if got, want := contentOf(next), contentOf(whole); !reflect.DeepEqual(got, want) || next.Digest() != want.Digest || !reflect.DeepEqual(next.Models(), want.Models) {
				t.Logf("%+v\ngot  %+v\nwant %+v", change.Edits, got, want)
				return false
			}
			tree = next
			trees, contents = append(trees, tree), append(contents, contentOf(tree))
		}
		for index := range trees {
			if !reflect.DeepEqual(contentOf(trees[index]), contents[index]) {
				t.Logf("revision %d was modified by a later change", index)
				return false
			}
		}
		return true
	})
	if accepted < 1000 || refused < 1000 {
		t.Errorf("%d changes accepted and %d refused; the property needs many of both", accepted, refused)
	}
}

func TestOnlyTheEditedBranchIsNew(t *testing.T) {
	before := parseSample(t)
	cases := []struct {
		edit Edit
		want []Path // the new nodes
	}{
		{Edit{Path: "/booking", Key: "keep_alive", Value: "1m"}, []Path{"/booking", "/booking/slots", "/booking/slots/slots-3b"}},
		{Edit{Path: "/assistant/llama/kiln-7b", Key: "prewarm", Value: "false"}, []Path{"/assistant/llama/kiln-7b"}},
		{Edit{Path: "/assistant/llama/kiln-7b/new"}, []Path{"/assistant/llama/kiln-7b/new"}},
		{Edit{Path: "/assistant/llama/glaze-7b/studio-4", Remove: true}, nil},
		{Edit{Path: "/assistant", Key: "keep_alive", Value: "300s"}, nil},
		{Edit{Path: "/booking/slots/slots-3b", Key: "memory", Value: "6144MiB"}, nil},
		{Edit{Path: "/", Key: "keep_alive", Value: "1m"}, []Path{"/", "/booking", "/booking/slots", "/booking/slots/slots-3b"}},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.edit), func(t *testing.T) {
			after, err := before.Apply(Change{Edits: []Edit{test.edit}})
			if err != nil {
				t.Fatal(err)
			}
			var fresh []Path
			for _, n := range after.nodes {
				if before.find(n.path) != n {
					fresh = append(fresh, n.path)
				}
			}
			if !reflect.DeepEqual(fresh, test.want) {
				t.Errorf("new nodes: %v, want %v", fresh, test.want)
			}
		})
	}
}

// TestDigestsStayTheSame pins the digests that nodes of earlier versions compute. A node refuses changes
// that lead to a digest other than its own.
func TestDigestsStayTheSame(t *testing.T) {
	cases := map[string]string{
		sampleTree: "b6e77e8ebca7f614d16f56f94157e595",
		"services: {a: {families: {b: {memory: 1GiB, models: {c: {}}}}}, a-b: {prewarm: false}, a.b: {}}": "ca3f76f2a17303f72ba42ed629e46278",
	}
	for text, want := range cases {
		tree, err := Parse([]byte(text))
		if err != nil || tree.Digest() != want {
			t.Errorf("got %v, %v, want %s", tree, err, want)
		}
	}
}
