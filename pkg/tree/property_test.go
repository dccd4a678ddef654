package tree

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// propertySeed is fixed so that each run has the same result. gopter prints it with a failure.
const propertySeed = 20260730

// checkProperty checks that a property holds for 200 seeds. holds builds its random trees with random.
func checkProperty(t *testing.T, name string, holds func(random *rand.Rand) bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAll(func(seed uint64) bool {
		return holds(rand.New(rand.NewPCG(seed, 0)))
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// randomSettings are the keys that random trees set, with possible values.
var randomSettings = map[string][]string{
	"keep_alive":        {"1m", "10m", "2h"},
	"cold_start_weight": {"0", "0.25", "1"},
	"max_replicas":      {"1", "4"},
	"memory":            {"1GiB", "16GiB"},
	"adapter_memory":    {"10MiB", "1GiB"},
	"unsafe_to_repeat":  {"true", "false"},
	"version":           {"1", "true", "v2"},
	"checkpoint":        {"", "w1"}, // an empty value is an override as well
}

// randomTree returns a random tree with services, families, models and adapters.
func randomTree(random *rand.Rand) *Tree {
	edits := []Edit{{Path: "/", Key: "keep_alive", Value: "3m"}}
	for service := range 1 + random.IntN(3) {
		family := Path(fmt.Sprintf("/s%d/f%d", service, random.IntN(2)))
		edits = append(edits, Edit{Path: family, Key: "memory", Value: "4GiB"})
		for model := range random.IntN(4) {
			path := family.Child(fmt.Sprintf("m%d-%d", service, model))
			edits = append(edits, Edit{Path: path})
			for adapter := range random.IntN(3) {
				edits = append(edits, Edit{Path: path.Child(fmt.Sprintf("a%d", adapter))})
			}
		}
	}
	tree, err := Empty().Apply(Change{Edits: edits})
	if err != nil {
		panic(err)
	}
	return overrideRandomly(random, tree)
}

// overrideRandomly sets random keys at levels where they are allowed.
func overrideRandomly(random *rand.Rand, tree *Tree) *Tree {
	for _, path := range tree.Paths() {
		for _, name := range sortedKeys(randomSettings) {
			if key, _ := FindKey(name); random.IntN(4) > 0 || !key.AllowedAt(path.Level()) {
				continue
			}
			values := randomSettings[name]
			next, err := tree.Apply(Change{Edits: []Edit{{Path: path, Key: name, Value: values[random.IntN(len(values))]}}})
			if err != nil {
				panic(err)
			}
			tree = next
		}
	}
	return tree
}

func TestPropertyDiffLeadsFromOneTreeToAnother(t *testing.T) {
	checkProperty(t, "a with Diff(a, b) applied equals b", func(random *rand.Rand) bool {
		a, b := randomTree(random), randomTree(random)
		edits := Diff(a, b)
		if len(edits) == 0 {
			return a.Digest() == b.Digest()
		}
		changed, err := a.Apply(Change{Edits: edits})
		return err == nil && changed.Digest() == b.Digest() && len(Diff(changed, b)) == 0
	})
}

func TestPropertyMarshalIsReadBack(t *testing.T) {
	checkProperty(t, "Parse(Marshal(a)) equals a", func(random *rand.Rand) bool {
		tree := randomTree(random)
		again, err := Parse(tree.Marshal())
		return err == nil && again.Digest() == tree.Digest() && again.Revision() == tree.Revision()
	})
}

func TestPropertyUnsetUndoesSet(t *testing.T) {
	checkProperty(t, "set and unset restore the tree", func(random *rand.Rand) bool {
		tree := randomTree(random)
		paths := tree.Paths()
		path := paths[random.IntN(len(paths))]
		set, err := tree.Apply(Change{Edits: []Edit{{Path: path, Key: "deadline", Value: "7s"}}})
		if err != nil || set.Digest() == tree.Digest() {
			return false
		}
		unset, err := set.Apply(Change{Edits: []Edit{{Path: path, Key: "deadline", Unset: true}}})
		return err == nil && unset.Digest() == tree.Digest() && unset.Revision() == tree.Revision()+2
	})
}

func TestPropertyEffectiveValueIsTheNearestOverride(t *testing.T) {
	checkProperty(t, "Explain names the nearest node that sets a key, with its value", func(random *rand.Rand) bool {
		tree := randomTree(random)
		for _, path := range tree.Paths() {
			origins, err := tree.Explain(path)
			if err != nil || len(origins) != len(Keys) {
				return false
			}
			for _, origin := range origins {
				if !explained(tree, path, origin) {
					return false
				}
			}
		}
		return true
	})
}

// explained reports whether an origin agrees with the overrides of the tree.
func explained(tree *Tree, path Path, origin Origin) bool {
	key, _ := FindKey(origin.Key)
	if path.Level() == LevelAdapter && origin.From != path {
		if source, redirected := adapterSources[origin.Key]; redirected {
			return source != "" || origin.Value == adapterDefault(key)
		}
	}
	if origin.From == "" {
		return origin.Value == key.Default
	}
	for _, between := range tree.Paths() {
		_, set := tree.find(between).own[origin.Key]
		if set && origin.From.Contains(between) && between != origin.From && between.Contains(path) {
			return false // a nearer override
		}
	}
	return tree.find(origin.From).own[origin.Key] == origin.Value
}

// adapterDefault returns the value of a key that an adapter neither sets nor inherits.
func adapterDefault(key Key) string {
	if key.Name == "kv_memory" {
		return "0B" // adapters use the cache of their base model
	}
	return key.Default
}

func TestPropertyHolderNeverGoesBack(t *testing.T) {
	checkProperty(t, "the current revision is the highest that was offered", func(random *rand.Rand) bool {
		holder, highest := NewHolder(Empty()), Revision(0)
		for range 100 {
			revision := Revision(random.IntN(50))
			took := holder.Offer(Empty().WithRevision(revision))
			if took != (revision > highest) {
				return false
			}
			highest = max(highest, revision)
			if holder.Current().Revision() != highest {
				return false
			}
		}
		return true
	})
}
