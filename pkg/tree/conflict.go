package tree

import "fmt"

// ConflictError means that another operator changed the same setting after the
// revision that the author of a change saw. Nothing was changed.
type ConflictError struct {
	Path     Path     `json:"path"`
	Key      string   `json:"key,omitempty"` // empty when a whole node is concerned
	Yours    string   `json:"yours"`
	Theirs   string   `json:"theirs"`
	Author   string   `json:"author"`   // of the other change
	Revision Revision `json:"revision"` // of the other change
}

// Error tells what stands against what.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: you ask for %s, but %s made it %s at revision %d",
		place(e.Path, e.Key), e.Yours, e.Author, e.Theirs, e.Revision)
}

// findConflict returns the conflict of the change with one of the later ones, or
// nil. The newest of several is returned.
func findConflict(change Change, later []Change) *ConflictError {
	for index := len(later) - 1; index >= 0; index-- {
		for _, theirs := range later[index].Edits {
			for _, yours := range change.Edits {
				if !clash(yours, theirs) {
					continue
				}
				return &ConflictError{
					Path:     yours.Path,
					Key:      yours.Key,
					Yours:    describe(yours),
					Theirs:   describe(theirs),
					Author:   later[index].Author,
					Revision: later[index].Revision,
				}
			}
		}
	}
	return nil
}

// clash tells whether two edits want different things of the same setting.
func clash(a, b Edit) bool {
	switch {
	case a.Remove && b.Remove:
		return false
	case a.Remove:
		return a.Path.Contains(b.Path)
	case b.Remove:
		return b.Path.Contains(a.Path)
	default:
		return a.Path == b.Path && a.Key == b.Key && wanted(a) != wanted(b)
	}
}

// wanted is what an edit wants of its key, with values in canonical form.
func wanted(edit Edit) Edit {
	if key, known := keysByName[edit.Key]; known && !edit.Unset {
		if canonical, err := key.Parse(edit.Value); err == nil {
			edit.Value = canonical
		}
	}
	return edit
}

// describe tells what an edit does to its key or node.
func describe(edit Edit) string {
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
