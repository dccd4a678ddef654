package tree

import (
	"maps"
	"slices"
	"sort"

	"martenwheel.dev/pkg/findings"
)

// maxEdits is the maximum number of edits of a change.
const maxEdits = 50_000

// Apply returns the tree at the next revision with all edits of the change, or an error that contains all
// findings. It does not check Base, which the Store does.
func (t *Tree) Apply(change Change) (*Tree, error) {
	editor := editor{base: t, touched: make(touched), refused: make(refusedKeys)}
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

// editor collects the changes that edits make to the nodes of a tree.
type editor struct {
	base    *Tree
	touched touched
	refused refusedKeys
	found   findings.List
}

// own returns the overrides of the node at path after the edits so far, and whether the node exists.
func (e *editor) own(path Path) (overrides, bool) {
	if own, isTouched := e.touched[path]; isTouched {
		return own, own != nil
	}
	return e.base.own(path)
}

// branch returns the sorted paths of the node at path and of those below it after the edits so far.
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

// apply applies one edit or records its findings.
func (e *editor) apply(edit Edit) {
	path, err := ParsePath(string(edit.Path))
	if err != nil {
		e.found.Addf(findingPlace(edit.Path, edit.Key), "%v", err)
		return
	}
	here := findingPlace(path, edit.Key)
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

// frozen reports whether path is in a frozen branch, and where the branch is frozen. For a removal it also
// checks the nodes below path.
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

// set overrides a key at path. It creates the node if necessary.
func (e *editor) set(path Path, key, value string) {
	canonical, err := checkSetting(path.Level(), key, value)
	if err != nil {
		e.refused.add(path, key)
		e.found.Addf(findingPlace(path, key), "%v", err)
		return
	}
	e.create(path)
	own, _ := e.own(path)
	own = maps.Clone(own)
	own[key] = canonical
	e.touched[path] = own
}

// unset makes the node at path inherit the key again.
func (e *editor) unset(path Path, key string) {
	own, exists := e.own(path)
	if !exists {
		e.found.Addf(findingPlace(path, key), "there is no such node")
		return
	}
	if _, set := own[key]; !set {
		e.found.Addf(findingPlace(path, key), "is not set here")
		return
	}
	own = maps.Clone(own)
	delete(own, key)
	e.touched[path] = own
}

// remove removes the node at path and all nodes below it.
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

// create creates the node at path and its ancestors if they don't exist.
func (e *editor) create(path Path) {
	for _, ancestor := range path.ancestors() {
		if _, exists := e.own(ancestor); !exists {
			e.touched[ancestor] = overrides{}
		}
	}
}

// Diff returns the edits that turn the settings of a into those of b.
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

// freezeRank orders edits: branches are unfrozen before their other edits and frozen after them.
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

// diffNode returns the edits that turn the node before, nil if it does not exist, into the node after.
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
