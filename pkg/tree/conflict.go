package tree

import "fmt"

// ConflictError means that another operator changed the same setting after the revision on which a change
// was based. Nothing was changed.
type ConflictError struct {
	Path     Path     `json:"path"`
	Key      string   `json:"key,omitempty"` // empty if the conflict is about a whole node
	Yours    string   `json:"yours"`
	Theirs   string   `json:"theirs"`
	Author   string   `json:"author"`   // of the other change
	Revision Revision `json:"revision"` // of the other change
}

// Error describes both edits.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: you ask for %s, but %s made it %s at revision %d",
		findingPlace(e.Path, e.Key), e.Yours, e.Author, e.Theirs, e.Revision)
}

// findConflict returns the newest conflict of the change with any of the later changes, or nil if there is
// none.
func findConflict(change Change, later []Change) *ConflictError {
	for index := len(later) - 1; index >= 0; index-- {
		for _, theirs := range later[index].Edits {
			for _, yours := range change.Edits {
				if !conflicts(yours, theirs) {
					continue
				}
				return &ConflictError{
					Path:     yours.Path,
					Key:      yours.Key,
					Yours:    describeEdit(yours),
					Theirs:   describeEdit(theirs),
					Author:   later[index].Author,
					Revision: later[index].Revision,
				}
			}
		}
	}
	return nil
}

// conflicts reports whether two edits want different values or states of the same setting or node.
func conflicts(a, b Edit) bool {
	switch {
	case a.Remove && b.Remove:
		return false
	case a.Remove:
		return a.Path.Contains(b.Path)
	case b.Remove:
		return b.Path.Contains(a.Path)
	default:
		return a.Path == b.Path && a.Key == b.Key && canonicalEdit(a) != canonicalEdit(b)
	}
}

// canonicalEdit returns the edit with its value in canonical form.
func canonicalEdit(edit Edit) Edit {
	if key, known := keysByName[edit.Key]; known && !edit.Unset {
		if canonical, err := key.Parse(edit.Value); err == nil {
			edit.Value = canonical
		}
	}
	return edit
}

// describeEdit describes the effect of an edit on its key or node.
func describeEdit(edit Edit) string {
	switch {
	case edit.Remove:
		return "removed"
	case edit.Unset:
		return "unset"
	case edit.Key == "":
		return "created"
	default:
		return fmt.Sprintf("%q", edit.Value)
	}
}
