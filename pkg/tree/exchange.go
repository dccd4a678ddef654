package tree

import (
	"slices"

	"github.com/pkg/errors"
)

// Bounds of one answer, which are below the maximum size of a message between nodes.
const (
	maxAnswerChanges = 1000
	maxAnswerBytes   = 3 << 20
	// changeOverhead and editOverhead estimate the encoded size of a change and an edit without their
	// texts.
	changeOverhead = 64
	editOverhead   = 16
)

// ErrAnswerRefused means that a peer's answer is inconsistent with the active tree. The receiver should ask
// for the whole tree, or ask another peer.
var ErrAnswerRefused = errors.New("tree: answer refused")

// FetchRequest asks a peer for its changes after a revision.
type FetchRequest struct {
	After Revision
	Whole bool // asks for the whole tree instead of changes
}

// FetchAnswer contains what the receiver needs to reach Revision: the changes after the request's revision
// or, if those are not available, the whole tree. It contains neither if the answering node has nothing
// newer, or if the tree is too large for a message. In the latter case, the snapshot in the object store is
// used.
type FetchAnswer struct {
	Revision Revision // revision of the answering node, even if it is not newer
	Digest   string   // digest of the tree at Revision
	Changes  []Change
	Whole    []byte // packed tree, see Pack
}

// Answer returns the answer to a peer's request. recent are the changes that lead to the current tree
// without a gap. Answer is a pure function.
func Answer(current *Tree, recent []Change, request FetchRequest) FetchAnswer {
	answer := FetchAnswer{Revision: current.Revision(), Digest: current.Digest()}
	if request.After >= current.Revision() {
		return answer
	}
	later := changesAfter(recent, request.After)
	if !request.Whole && isContiguous(request.After, current.Revision(), later) && estimateBytes(later) <= maxAnswerBytes {
		answer.Changes = slices.Clip(later) // Holder appends to recent
		return answer
	}
	packed, err := current.Pack()
	if err == nil && len(packed) <= maxAnswerBytes {
		answer.Whole = packed
	}
	return answer
}

// ApplyAnswer returns the tree to which a peer's answer leads, or current itself if the answer has nothing
// newer. If the error wraps ErrAnswerRefused, the caller should ask for the whole tree. ApplyAnswer is a
// pure function.
func ApplyAnswer(current *Tree, answer FetchAnswer) (*Tree, error) {
	if answer.Revision <= current.Revision() {
		return current, nil
	}
	tree, err := treeFromAnswer(current, answer)
	if err != nil {
		return nil, errors.WithMessage(ErrAnswerRefused, err.Error())
	}
	if tree.Revision() != answer.Revision || tree.Digest() != answer.Digest {
		return nil, errors.WithMessagef(ErrAnswerRefused, "it leads to revision %d with digest %s, not to %d with %s",
			tree.Revision(), tree.Digest(), answer.Revision, answer.Digest)
	}
	return tree, nil
}

// treeFromAnswer builds the tree of an answer that is newer than current.
func treeFromAnswer(current *Tree, answer FetchAnswer) (*Tree, error) {
	if len(answer.Whole) > maxAnswerBytes || len(answer.Changes) > maxAnswerChanges {
		return nil, errors.New("it is too large")
	}
	if len(answer.Whole) > 0 {
		return Unpack(answer.Whole)
	}
	return replay(current, changesAfter(answer.Changes, current.Revision()))
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

// changesAfter returns the changes later than revision. The changes must be sorted.
func changesAfter(changes []Change, revision Revision) []Change {
	for len(changes) > 0 && changes[0].Revision <= revision {
		changes = changes[1:]
	}
	return changes
}

// isContiguous reports whether the changes lead from one revision to another without a gap.
func isContiguous(from, to Revision, changes []Change) bool {
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
		bytes += changeOverhead + len(change.ID) + len(change.Author)
		for _, edit := range change.Edits {
			bytes += editOverhead + len(edit.Path) + len(edit.Key) + len(edit.Value)
		}
	}
	return bytes
}
