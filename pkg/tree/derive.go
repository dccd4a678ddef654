package tree

import (
	"maps"
	"slices"
	"sync"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/findings"
)

// touched holds the overrides of the nodes that a change creates or edits, by path. Nil marks a removed
// node.
type touched map[Path]overrides

// derivation builds a tree from an older one. It resolves and checks only the changed nodes and those below
// them. The other nodes of the older tree are valid, and both trees share them.
type derivation struct {
	base    *Tree
	touched touched
	refused refusedKeys
	found   findings.List

	next    *Tree
	created []*node
	removed int
	parents [LevelAdapter + 1]*node // last resolved node of each level
	scratch Settings                // reused to save one allocation per affected node
}

// build makes a tree from the overrides of all its nodes, including the root. The error contains all
// findings except consequences of refused values.
func build(revision Revision, nodes map[Path]overrides, refused refusedKeys) (*Tree, error) {
	return derive(new(Tree), revision, nodes, refused)
}

// derive returns base with the changes applied, under another revision. It takes ownership of changed. The
// findings are the same as if the tree were built from scratch.
func derive(base *Tree, revision Revision, changed touched, refused refusedKeys) (*Tree, error) {
	d := &derivation{base: base, touched: changed, refused: refused, next: &Tree{revision: revision}}
	d.arrange()
	if count := len(d.next.nodes); count > maxNodes {
		d.found.Addf("/", "the tree has %d nodes, more than %d", count, maxNodes)
		return nil, d.found.Err()
	}
	changedModels := d.resolve()
	d.index(changedModels)
	if err := d.found.Err(); err != nil {
		return nil, err
	}
	d.next.packed = sync.OnceValues(d.next.pack)
	d.next.models = sync.OnceValue(d.next.listModels)
	d.next.digest = sync.OnceValue(d.next.computeDigest)
	return d.next, nil
}

// arrange lists the nodes of the next tree, both unchanged ones and those still to be resolved, and drops
// edits without effect.
func (d *derivation) arrange() {
	for _, path := range sortedKeys(d.touched) {
		before, existed := d.base.own(path)
		switch own := d.touched[path]; {
		case own == nil && existed:
			d.removed++
		case own != nil && !existed:
			d.created = append(d.created, newNode(path, own))
		case maps.Equal(before, own):
			delete(d.touched, path)
		}
	}
	if d.restructured() {
		d.next.nodes = merge(d.base.nodes, d.created, d.isRemoved, comparePaths)
		return
	}
	d.next.nodes = slices.Clone(d.base.nodes)
}

// restructured reports whether nodes are created or removed.
func (d *derivation) restructured() bool {
	return d.removed > 0 || len(d.created) > 0
}

// isRemoved reports whether the change removes a node of the base.
func (d *derivation) isRemoved(n *node) bool {
	if d.removed == 0 {
		return false
	}
	own, isTouched := d.touched[n.path]
	return isTouched && own == nil
}

// affected returns the sorted indexes of the nodes whose settings may have changed.
func (d *derivation) affected() []int {
	var indexes []int
	for path, own := range d.touched {
		if own != nil {
			visitBranch(d.next.nodes, path, func(index int) { indexes = append(indexes, index) })
		}
	}
	slices.Sort(indexes)
	return slices.Compact(indexes)
}

// resolve computes the effective settings of the affected nodes and checks them. It returns the changed
// models, except created ones.
func (d *derivation) resolve() []*node {
	var changedModels []*node
	for _, index := range d.affected() {
		before := d.next.nodes[index]
		after := d.resolveNode(before)
		d.next.nodes[index] = after
		d.parents[after.level] = after
		checkNode(after, d.refused, &d.found)
		if after != before && after.isModel() {
			changedModels = append(changedModels, after)
		}
	}
	return changedModels
}

// resolveNode returns a node with its effective settings. Its parent must have been resolved. A created
// node is resolved in place, since no other tree shares it.
func (d *derivation) resolveNode(before *node) *node {
	inherited := d.inherited(before)
	own, isTouched := d.touched[before.path]
	if !isTouched {
		return d.inherit(before, inherited)
	}
	after := before
	if _, existed := search(d.base.nodes, before.path); existed {
		after = before.withOverrides(own)
	}
	after.model.Settings = after.applyOverrides(inherited, &d.found)
	after.defaultCheckpoint(&after.model.Settings)
	return after
}

// inherit returns the node with other inherited settings, or the node itself if its effective settings stay
// the same. It does not parse the overrides again.
func (d *derivation) inherit(n *node, inherited Settings) *node {
	d.scratch = inherited
	for name := range n.own {
		keysByName[name].copy(&d.scratch, &n.model.Settings)
	}
	n.defaultCheckpoint(&d.scratch)
	if d.scratch == n.model.Settings {
		return n
	}
	changed := *n
	changed.model.Settings = d.scratch
	return &changed
}

// inherited returns the settings that a node inherits.
func (d *derivation) inherited(n *node) Settings {
	switch n.level {
	case LevelRoot:
		return defaults
	case LevelAdapter:
		return forAdapter(d.parent(n).model.Settings)
	default:
		return d.parent(n).model.Settings
	}
}

// parent returns the parent of n, which usually is among the last resolved nodes.
func (d *derivation) parent(n *node) *node {
	path := n.path.Parent()
	if last := d.parents[n.level-1]; last != nil && last.path == path {
		return last
	}
	return d.next.find(path)
}

// index updates the lists of services and models of the next tree. It reports duplicate names.
func (d *derivation) index(changedModels []*node) {
	if d.restructured() {
		d.reindex()
	} else {
		d.next.services = d.base.services
		d.next.modelNodes = slices.Clone(d.base.modelNodes)
		d.next.modelIndex = d.base.modelIndex
	}
	for _, model := range changedModels {
		d.next.modelNodes[d.next.modelIndex[model.model.Name]] = model
	}
}

// reindex rebuilds the lists of services and models.
func (d *derivation) reindex() {
	for _, n := range d.next.nodes {
		if n.level == LevelService {
			d.next.services = append(d.next.services, n.path.Name())
		}
	}
	created := slices.DeleteFunc(slices.Clone(d.created), func(n *node) bool { return !n.isModel() })
	slices.SortFunc(created, compareNames)
	d.next.modelNodes = merge(d.base.modelNodes, created, d.isRemoved, compareNames)
	d.next.modelIndex = make(map[api.ModelName]int, len(d.next.modelNodes))
	for index, n := range d.next.modelNodes {
		if first, twice := d.next.modelIndex[n.model.Name]; twice {
			d.found.Addf(string(n.path), "the name %s is taken by %s; names are unique over the whole tree",
				n.model.Name, d.next.modelNodes[first].path)
			continue
		}
		d.next.modelIndex[n.model.Name] = index
	}
}
