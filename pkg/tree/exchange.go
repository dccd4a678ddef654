package tree

import (
	"slices"

	"github.com/pkg/errors"
)

// Bounds of one answer, below the bound of a message between nodes.
const (
	maxAnswerChanges = 1000
	maxAnswerBytes   = 3 << 20
	// changeBytes and editBytes estimate the encoded size of a change
	// without its texts.
	changeBytes = 64
	editBytes   = 16
)

// ErrAnswerRefused means that a peer's answer does not fit the tree in force.
// The receiver asks for the whole tree or another peer.
var ErrAnswerRefused = errors.New("tree: answer refused")

// FetchRequest asks a peer for what it has after a revision.
type FetchRequest struct {
	After Revision
	Whole bool // the whole tree, not its changes
}

// FetchAnswer brings a peer to Revision: by the changes after the request's
// revision or, if those are not at hand, by the whole tree, compressed. It is
// empty when the asked node has nothing newer, or when the tree is too large for
// a message; then the snapshot in the object store serves.
type FetchAnswer struct {
	Revision Revision // of the answering node, even if nothing is newer
	Digest   string   // of the tree at Revision
	Changes  []Change
	Whole    []byte // a packed tree, see Pack
}

// Answer answers a peer's request from the current tree and the changes that
// lead to it without a gap. It is pure.
func Answer(current *Tree, recent []Change, request FetchRequest) FetchAnswer {
	answer := FetchAnswer{Revision: current.Revision(), Digest: current.Digest()}
	if request.After >= current.Revision() {
		return answer
	}
	later := after(recent, request.After)
	if !request.Whole && joins(request.After, current.Revision(), later) && estimateBytes(later) <= maxAnswerBytes {
		answer.Changes = slices.Clip(later) // the holder appends to recent
		return answer
	}
	packed, err := current.Pack()
	if err == nil && len(packed) <= maxAnswerBytes {
		answer.Whole = packed
	}
	return answer
}

// ApplyAnswer returns the tree that a peer's answer leads to. If the answer has
// nothing newer, that is current itself. The error wraps ErrAnswerRefused; then
// the caller asks for the whole tree. It is pure.
func ApplyAnswer(current *Tree, answer FetchAnswer) (*Tree, error) {
	if answer.Revision <= current.Revision() {
		return current, nil
	}
	tree, err := unfoldAnswer(current, answer)
	if err != nil {
		return nil, errors.WithMessage(ErrAnswerRefused, err.Error())
	}
	if tree.Revision() != answer.Revision || tree.Digest() != answer.Digest {
		return nil, errors.WithMessagef(ErrAnswerRefused, "it leads to revision %d with digest %s, not to %d with %s",
			tree.Revision(), tree.Digest(), answer.Revision, answer.Digest)
	}
	return tree, nil
}

// unfoldAnswer builds the tree of an answer that is newer than current.
func unfoldAnswer(current *Tree, answer FetchAnswer) (*Tree, error) {
	if len(answer.Whole) > maxAnswerBytes || len(answer.Changes) > maxAnswerChanges {
		return nil, errors.New("it is too large")
	}
	if len(answer.Whole) > 0 {
		return Unpack(answer.Whole)
	}
	return replay(current, after(answer.Changes, current.Revision()))
}

// replay applies accepted changes, which must follow the tree without a gap.
func replay(tree *Tree, changes []Change) (*Tree, error) {
	for _, change := range changes {
		if change.Revision != tree.Revision()+1 {
			return nil, errors.Errorf("change %d does not follow revision %d", change.Revision, tree.Revision())
		}
		next, err := tree.Apply(change)
		if err != nil {
			return nil, errors.WithMessagef(err, "change %d", change.Revision)
		}
		tree = next
	}
	return tree, nil
}

// after returns the changes later than revision; changes are in order.
func after(changes []Change, revision Revision) []Change {
	for len(changes) > 0 && changes[0].Revision <= revision {
		changes = changes[1:]
	}
	return changes
}

// joins tells whether the changes lead from one revision to another without a
// gap.
func joins(from, to Revision, changes []Change) bool {
	for _, change := range changes {
		if change.Revision != from+1 {
			return false
		}
		from = change.Revision
	}
	return from == to
}

// estimateBytes estimates the encoded size of changes.
func estimateBytes(changes []Change) int {
	bytes := 0
	for _, change := range changes {
		bytes += changeBytes + len(change.ID) + len(change.Author)
		for _, edit := range change.Edits {
			bytes += editBytes + len(edit.Path) + len(edit.Key) + len(edit.Value)
		}
	}
	return bytes
}
