package tree

import (
	"maps"
	"sort"

	"martenwheel.dev/pkg/findings"
)

// maxEdits bounds one change.
const maxEdits = 50_000

// Apply returns the tree with all edits of the change at the next revision, or
// an error that carries all findings; then nothing is changed. It does not look
// at Base, which the Store does.
func (t *Tree) Apply(change Change) (*Tree, error) {
	editor := editor{nodes: maps.Clone(t.nodes), refused: make(faults)}
	switch {
	case len(change.Edits) == 0:
		editor.found.Addf("change", "has no edits")
	case len(change.Edits) > maxEdits:
		editor.found.Addf("change", "has %d edits, more than %d", len(change.Edits), maxEdits)
		return nil, editor.found.Err()
	}
	for _, edit := range change.Edits {
		editor.apply(edit)
	}
	tree, err := build(t.revision+1, editor.nodes, editor.refused)
	editor.found.Merge("change", err)
	if err := editor.found.Err(); err != nil {
		return nil, err
	}
	return tree, nil
}

// editor applies edits to a copy of a tree's nodes. The copy shares the
// overrides of each node with the tree until the node is edited.
type editor struct {
	nodes   map[Path]overrides
	refused faults
	found   findings.List
}

// apply applies one edit or records what is wrong with it.
func (e *editor) apply(edit Edit) {
	path, err := ParsePath(string(edit.Path))
	if err != nil {
		e.found.Addf(place(edit.Path, edit.Key), "%v", err)
		return
	}
	here := place(path, edit.Key)
	if frozen, at := e.frozen(path, edit.Remove); frozen && edit.Key != editableKey {
		e.found.Addf(here, "is frozen by %s at %s", editableKey, at)
		return
	}
	switch {
	case edit.Remove && (edit.Key != "" || edit.Value != "" || edit.Unset):
		e.found.Addf(here, "an edit that removes a node has neither key, value nor unset")
	case edit.Remove:
		e.remove(path)
	case edit.Unset && edit.Value != "":
		e.found.Addf(here, "an edit that unsets a key has no value")
	case edit.Unset:
		e.unset(path, edit.Key)
	case edit.Key == "" && edit.Value != "":
		e.found.Addf(here, "an edit with a value needs a key")
	case edit.Key == "":
		e.create(path)
	default:
		e.set(path, edit.Key, edit.Value)
	}
}

// editableKey is the setting that freezes a branch.
const editableKey = "operators_may_edit"

// frozen tells whether path or, for a removal, anything below it is in a frozen
// branch, and where that is set.
func (e *editor) frozen(path Path, withBelow bool) (bool, Path) {
	ancestors := path.ancestors()
	for index := len(ancestors) - 1; index >= 0; index-- {
		value, set := e.nodes[ancestors[index]][editableKey]
		if set && value == "false" {
			return true, ancestors[index]
		}
		if set {
			break
		}
	}
	if !withBelow {
		return false, ""
	}
	for _, below := range sortedKeys(e.nodes) {
		if path.Contains(below) && e.nodes[below][editableKey] == "false" {
			return true, below
		}
	}
	return false, ""
}

// set overrides a key at path and creates the node if needed.
func (e *editor) set(path Path, key, value string) {
	canonical, err := checkSetting(path.Level(), key, value)
	if err != nil {
		e.refused.note(path, key)
		e.found.Addf(place(path, key), "%v", err)
		return
	}
	e.create(path)
	node := maps.Clone(e.nodes[path])
	node[key] = canonical
	e.nodes[path] = node
}

// unset lets the node at path inherit the key again.
func (e *editor) unset(path Path, key string) {
	node, exists := e.nodes[path]
	if !exists {
		e.found.Addf(place(path, key), "there is no such node")
		return
	}
	if _, set := node[key]; !set {
		e.found.Addf(place(path, key), "is not set here")
		return
	}
	node = maps.Clone(node)
	delete(node, key)
	e.nodes[path] = node
}

// remove takes away the node at path and all below it.
func (e *editor) remove(path Path) {
	if path == RootPath {
		e.found.Addf(string(path), "the root can't be removed")
		return
	}
	if _, exists := e.nodes[path]; !exists {
		e.found.Addf(string(path), "there is no such node")
		return
	}
	for below := range e.nodes {
		if path.Contains(below) {
			delete(e.nodes, below)
		}
	}
}

// create makes sure that the node at path and its ancestors exist.
func (e *editor) create(path Path) {
	for _, ancestor := range path.ancestors() {
		if _, exists := e.nodes[ancestor]; !exists {
			e.nodes[ancestor] = overrides{}
		}
	}
}

// Diff returns the edits that make the settings of b out of those of a.
func Diff(a, b *Tree) []Edit {
	edits := make([]Edit, 0)
	for _, path := range a.Paths() {
		_, stays := b.nodes[path]
		_, parentStays := b.nodes[path.Parent()]
		if !stays && parentStays {
			edits = append(edits, Edit{Path: path, Remove: true})
		}
	}
	for _, path := range b.Paths() {
		edits = append(edits, diffNode(path, a, b)...)
	}
	sort.SliceStable(edits, func(i, j int) bool { return freezeRank(edits[i]) < freezeRank(edits[j]) })
	return edits
}

// freezeRank orders edits so that branches are made editable before their other
// edits and frozen after them.
func freezeRank(edit Edit) int {
	switch {
	case edit.Key != editableKey:
		return 1
	case edit.Unset || edit.Value == "true":
		return 0
	default:
		return 2
	}
}

// diffNode returns the edits of one node of b.
func diffNode(path Path, a, b *Tree) []Edit {
	var edits []Edit
	before, existed := a.nodes[path]
	if !existed && len(b.nodes[path]) == 0 {
		return []Edit{{Path: path}}
	}
	for _, key := range sortedKeys(before) {
		if _, stays := b.nodes[path][key]; !stays {
			edits = append(edits, Edit{Path: path, Key: key, Unset: true})
		}
	}
	for _, key := range sortedKeys(b.nodes[path]) {
		if value := b.nodes[path][key]; !existed || before[key] != value {
			edits = append(edits, Edit{Path: path, Key: key, Value: value})
		}
	}
	return edits
}
