package tree

import (
	"slices"
	"strings"

	"martenwheel.dev/pkg/findings"
)

// overrides are the settings of one node, by key, in canonical form. They are
// shared between revisions and never changed.
type overrides map[string]string

// node is one immutable node of a tree. Revisions share the nodes that are the
// same in both.
type node struct {
	path  Path
	level Level
	own   overrides
	text  []byte // path and overrides, as they go into the digest
	// model holds the effective settings, and for models and adapters how
	// callers know them. A model's checkpoint is its name if none is set.
	model Model
}

// newNode returns a node whose settings are not resolved yet.
func newNode(path Path, own overrides) *node {
	created := &node{path: path, level: path.Level(), own: own, text: digestText(path, own)}
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

// isModel tells whether callers may ask for the node by name.
func (n *node) isModel() bool {
	return n.level >= LevelModel
}

// settings returns the effective settings of the node, in which a model has a
// checkpoint only if it is set.
func (n *node) settings() Settings {
	settings := n.model.Settings
	settings.Checkpoint = n.own[checkpointKey] // never inherited
	return settings
}

// nameCheckpoint gives the settings of the node its name as the checkpoint if
// none is set.
func (n *node) nameCheckpoint(settings *Settings) {
	if n.isModel() && settings.Checkpoint == "" {
		settings.Checkpoint = string(n.model.Name)
	}
}

// withOwn returns the node with other overrides, its settings not resolved yet.
func (n *node) withOwn(own overrides) *node {
	changed := *n
	changed.own = own
	changed.text = digestText(n.path, own)
	return &changed
}

// parseOwn puts the node's overrides over what it inherits.
func (n *node) parseOwn(inherited Settings, found *findings.List) Settings {
	settings := inherited
	for _, name := range sortedKeys(n.own) {
		if err := keysByName[name].parse(&settings, n.own[name]); err != nil {
			found.Addf(place(n.path, name), "%v", err)
		}
	}
	return settings
}

// digestText returns what a node adds to the digest of its tree.
func digestText(path Path, own overrides) []byte {
	text := append([]byte(path), '\n')
	for _, key := range sortedKeys(own) {
		text = append(text, key+"="+own[key]+"\n"...)
	}
	return text
}

// search returns where path stands, or would stand, in nodes sorted by path.
func search(nodes []*node, path Path) (int, bool) {
	return slices.BinarySearchFunc(nodes, path, func(n *node, path Path) int {
		return strings.Compare(string(n.path), string(path))
	})
}

// visitBranch visits the place of the node at path and those of all nodes below
// it. Names may hold characters that sort before "/", so a node and those below
// it need not stand together; those below it do.
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

// compareNames orders models by name, and those of the same name by path.
func compareNames(a, b *node) int {
	if order := strings.Compare(string(a.model.Name), string(b.model.Name)); order != 0 {
		return order
	}
	return comparePaths(a, b)
}

// merge returns the sorted nodes without those that are dropped and with the
// added ones, which are sorted, too.
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
