package tree

import (
	"maps"
	"slices"
	"sort"

	"martenwheel.dev/pkg/findings"
)

// maxEdits bounds one change.
const maxEdits = 50_000

// Apply returns the tree with all edits of the change at the next revision, or
// an error that carries all findings; then nothing is changed. It does not look
// at Base, which the Store does.
func (t *Tree) Apply(change Change) (*Tree, error) {
	editor := editor{base: t, touched: make(touched), refused: make(faults)}
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
	tree, err := derive(t, t.revision+1, editor.touched, editor.refused)
	editor.found.Merge("change", err)
	if err := editor.found.Err(); err != nil {
		return nil, err
	}
	return tree, nil
}

// editor collects what edits make of a tree's nodes.
type editor struct {
	base    *Tree
	touched touched
	refused faults
	found   findings.List
}

// own returns the overrides of the node at path after the edits so far, if there
// is one.
func (e *editor) own(path Path) (overrides, bool) {
	if own, isTouched := e.touched[path]; isTouched {
		return own, own != nil
	}
	return e.base.own(path)
}

// branch returns the paths of the node at path and of those below it after the
// edits so far, sorted.
func (e *editor) branch(path Path) []Path {
	var paths []Path
	visitBranch(e.base.nodes, path, func(index int) {
		below := e.base.nodes[index].path
		if _, isTouched := e.touched[below]; !isTouched {
			paths = append(paths, below)
		}
	})
	for below, own := range e.touched {
		if own != nil && path.Contains(below) {
			paths = append(paths, below)
		}
	}
	slices.Sort(paths)
	return paths
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
		own, _ := e.own(ancestors[index])
		value, set := own[editableKey]
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
	for _, below := range e.branch(path) {
		if own, _ := e.own(below); own[editableKey] == "false" {
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
	own, _ := e.own(path)
	own = maps.Clone(own)
	own[key] = canonical
	e.touched[path] = own
}

// unset lets the node at path inherit the key again.
func (e *editor) unset(path Path, key string) {
	own, exists := e.own(path)
	if !exists {
		e.found.Addf(place(path, key), "there is no such node")
		return
	}
	if _, set := own[key]; !set {
		e.found.Addf(place(path, key), "is not set here")
		return
	}
	own = maps.Clone(own)
	delete(own, key)
	e.touched[path] = own
}

// remove takes away the node at path and all below it.
func (e *editor) remove(path Path) {
	if path == RootPath {
		e.found.Addf(string(path), "the root can't be removed")
		return
	}
	if _, exists := e.own(path); !exists {
		e.found.Addf(string(path), "there is no such node")
		return
	}
	for _, below := range e.branch(path) {
		e.touched[below] = nil
	}
}

// create makes sure that the node at path and its ancestors exist.
func (e *editor) create(path Path) {
	for _, ancestor := range path.ancestors() {
		if _, exists := e.own(ancestor); !exists {
			e.touched[ancestor] = overrides{}
		}
	}
}

// Diff returns the edits that make the settings of b out of those of a.
func Diff(a, b *Tree) []Edit {
	edits := make([]Edit, 0)
	for _, before := range a.nodes {
		if b.find(before.path) == nil && b.find(before.path.Parent()) != nil {
			edits = append(edits, Edit{Path: before.path, Remove: true})
		}
	}
	for _, after := range b.nodes {
		edits = append(edits, diffNode(a.find(after.path), after)...)
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

// diffNode returns the edits that make a node, which may not be there before,
// out of the one at its path.
func diffNode(before, after *node) []Edit {
	if before == after {
		return nil
	}
	if before == nil && len(after.own) == 0 {
		return []Edit{{Path: after.path}}
	}
	var edits []Edit
	var own overrides
	if before != nil {
		own = before.own
	}
	for _, key := range sortedKeys(own) {
		if _, stays := after.own[key]; !stays {
			edits = append(edits, Edit{Path: after.path, Key: key, Unset: true})
		}
	}
	for _, key := range sortedKeys(after.own) {
		value := after.own[key]
		if earlier, wasSet := own[key]; !wasSet || earlier != value {
			edits = append(edits, Edit{Path: after.path, Key: key, Value: value})
		}
	}
	return edits
}
