package tree

import (
	"maps"
	"slices"
	"sync"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/findings"
)

// touched are the overrides of nodes that a change creates or edits, by path;
// nil overrides mark a node that it removes.
type touched map[Path]overrides

// derivation makes a tree out of an older one. It resolves and checks only the
// nodes at and below those that changed; the older tree's others are valid, and
// both trees share them.
type derivation struct {
	base    *Tree
	touched touched
	refused faults
	found   findings.List

	next    *Tree
	created []*node
	removed int
	parents [LevelAdapter + 1]*node // the last node of each level that was resolved
	scratch Settings                // saves one allocation per affected node
}

// build makes a tree out of the overrides of all its nodes, among them the
// root. The error carries all findings but those that refused values explain.
func build(revision Revision, nodes map[Path]overrides, refused faults) (*Tree, error) {
	return derive(new(Tree), revision, nodes, refused)
}

// derive returns base with the touched nodes, which it takes over, under another
// revision. The findings are those of a tree that is built anew.
func derive(base *Tree, revision Revision, changed touched, refused faults) (*Tree, error) {
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

// arrange lists the nodes of the next tree, those that are the same as before
// and those that are yet to be resolved. It forgets edits without effect.
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

// restructured tells whether nodes come or go.
func (d *derivation) restructured() bool {
	return d.removed > 0 || len(d.created) > 0
}

// isRemoved tells whether the change removes a node of the base.
func (d *derivation) isRemoved(n *node) bool {
	if d.removed == 0 {
		return false
	}
	own, isTouched := d.touched[n.path]
	return isTouched && own == nil
}

// affected returns the places of the nodes whose settings may have changed, in
// order.
func (d *derivation) affected() []int {
	var places []int
	for path, own := range d.touched {
		if own != nil {
			visitBranch(d.next.nodes, path, func(index int) { places = append(places, index) })
		}
	}
	slices.Sort(places)
	return slices.Compact(places)
}

// resolve gives the affected nodes their effective settings and checks them. It
// returns the models among those that changed, without the created ones.
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

// resolveNode returns a node with its effective settings; its parent has been
// resolved before. A created node is resolved in place, since no other tree has
// it.
func (d *derivation) resolveNode(before *node) *node {
	inherited := d.inherited(before)
	own, isTouched := d.touched[before.path]
	if !isTouched {
		return d.inherit(before, inherited)
	}
	after := before
	if _, existed := search(d.base.nodes, before.path); existed {
		after = before.withOwn(own)
	}
	after.model.Settings = after.parseOwn(inherited, &d.found)
	after.nameCheckpoint(&after.model.Settings)
	return after
}

// inherit returns a node over other inherited settings: the node itself if its
// effective settings stay the same. Its overrides are not parsed again.
func (d *derivation) inherit(n *node, inherited Settings) *node {
	d.scratch = inherited
	for name := range n.own {
		keysByName[name].copy(&d.scratch, &n.model.Settings)
	}
	n.nameCheckpoint(&d.scratch)
	if d.scratch == n.model.Settings {
		return n
	}
	changed := *n
	changed.model.Settings = d.scratch
	return &changed
}

// inherited returns what a node takes from above.
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

// parent returns the node above n, most often one of those resolved last.
func (d *derivation) parent(n *node) *node {
	path := n.path.Parent()
	if last := d.parents[n.level-1]; last != nil && last.path == path {
		return last
	}
	return d.next.find(path)
}

// index brings the next tree's names up to date. It reports names that stand
// twice.
func (d *derivation) index(changedModels []*node) {
	if d.restructured() {
		d.reindex()
	} else {
		d.next.services = d.base.services
		d.next.named = slices.Clone(d.base.named)
		d.next.byName = d.base.byName
	}
	for _, model := range changedModels {
		d.next.named[d.next.byName[model.model.Name]] = model
	}
}

// reindex lists services and models anew.
func (d *derivation) reindex() {
	for _, n := range d.next.nodes {
		if n.level == LevelService {
			d.next.services = append(d.next.services, n.path.Name())
		}
	}
	created := slices.DeleteFunc(slices.Clone(d.created), func(n *node) bool { return !n.isModel() })
	slices.SortFunc(created, compareNames)
	d.next.named = merge(d.base.named, created, d.isRemoved, compareNames)
	d.next.byName = make(map[api.ModelName]int, len(d.next.named))
	for place, n := range d.next.named {
		if first, twice := d.next.byName[n.model.Name]; twice {
			d.found.Addf(string(n.path), "the name %s is taken by %s; names are unique over the whole tree",
				n.model.Name, d.next.named[first].path)
			continue
		}
		d.next.byName[n.model.Name] = place
	}
}
