package tree

import (
	"slices"
	"strings"

	"martenwheel.dev/pkg/findings"
)

// overrides are the settings of one node, by key, in canonical form. Revisions share them, so they are
// never modified.
type overrides map[string]string

// node is an immutable node of a tree. Revisions share unchanged nodes.
type node struct {
	path        Path
	level       Level
	own         overrides
	digestInput []byte // path and overrides as hashed into the tree's digest
	// model holds the effective settings and, for models and adapters, their names. A model without a
	// checkpoint setting has its own name as the checkpoint.
	model Model
}

// newNode returns a node whose settings are not resolved yet.
func newNode(path Path, own overrides) *node {
	created := &node{path: path, level: path.Level(), own: own, digestInput: digestText(path, own)}
	if !created.isModel() {
		return created
	}
	names := path.names()
	created.model = Model{Name: path.modelName(), Path: path, Service: names[0], Family: names[1]}
	if created.level == LevelAdapter {
		created.model.Base = path.Parent().modelName()
	}
	return created
}

// isModel reports whether the node is a model or adapter, which callers can request by name.
func (n *node) isModel() bool {
	return n.level >= LevelModel
}

// settings returns the effective settings of the node. The checkpoint is empty unless the node itself sets
// it.
func (n *node) settings() Settings {
	settings := n.model.Settings
	settings.Checkpoint = n.own[checkpointKey] // never inherited
	return settings
}

// defaultCheckpoint sets the checkpoint of a model or adapter to its name if it is not set.
func (n *node) defaultCheckpoint(settings *Settings) {
	if n.isModel() && settings.Checkpoint == "" {
		settings.Checkpoint = string(n.model.Name)
	}
}

// withOverrides returns a copy of the node with other overrides, whose settings are not resolved yet.
func (n *node) withOverrides(own overrides) *node {
	changed := *n
	changed.own = own
	changed.digestInput = digestText(n.path, own)
	return &changed
}

// applyOverrides applies the node's overrides to the settings that it inherits.
func (n *node) applyOverrides(inherited Settings, found *findings.List) Settings {
	settings := inherited
	for _, name := range sortedKeys(n.own) {
		if err := keysByName[name].parse(&settings, n.own[name]); err != nil {
			found.Addf(findingPlace(n.path, name), "%v", err)
		}
	}
	return settings
}

// digestText returns what a node contributes to the digest of its tree.
func digestText(path Path, own overrides) []byte {
	text := append([]byte(path), '\n')
	for _, key := range sortedKeys(own) {
		text = append(text, key+"="+own[key]+"\n"...)
	}
	return text
}

// search returns the index of path in nodes, which are sorted by path, or the index at which to insert it.
func search(nodes []*node, path Path) (int, bool) {
	return slices.BinarySearchFunc(nodes, path, func(n *node, path Path) int {
		return strings.Compare(string(n.path), string(path))
	})
}

// visitBranch calls visit with the index of the node at path and those of all nodes below it. The nodes
// below it are adjacent, but the node itself may be apart from them, since names may contain characters
// that sort before "/".
func visitBranch(nodes []*node, path Path, visit func(index int)) {
	if index, found := search(nodes, path); found {
		visit(index)
	}
	below := path.Child("")
	first, _ := search(nodes, below)
	for index := first; index < len(nodes) && strings.HasPrefix(string(nodes[index].path), string(below)); index++ {
		if nodes[index].path != path {
			visit(index)
		}
	}
}

// comparePaths orders nodes by path.
func comparePaths(a, b *node) int {
	return strings.Compare(string(a.path), string(b.path))
}

// compareNames orders models by name, then by path.
func compareNames(a, b *node) int {
	if order := strings.Compare(string(a.model.Name), string(b.model.Name)); order != 0 {
		return order
	}
	return comparePaths(a, b)
}

// merge returns the sorted nodes without the dropped ones and with the added ones, which must be sorted as
// well.
func merge(nodes, added []*node, dropped func(*node) bool, compare func(a, b *node) int) []*node {
	merged := make([]*node, 0, len(nodes)+len(added))
	for _, kept := range nodes {
		if dropped(kept) {
			continue
		}
		for len(added) > 0 && compare(added[0], kept) < 0 {
			merged = append(merged, added[0])
			added = added[1:]
		}
		merged = append(merged, kept)
	}
	return append(merged, added...)
}
