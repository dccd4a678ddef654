package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/platform"
)

// Keys of the table service and names of the object store.
const (
	headKey        = "tree/head"
	changePrefix   = "tree/change/"
	idPrefix       = "tree/id/"
	snapshotPrefix = "tree/snapshot/"
)

// head is the record that all commits are conditional on.
type head struct {
	Revision Revision `json:"revision"`
	ChangeID string   `json:"change_id"`

	version uint64 // of the record; zero if there is none yet
}

// checkChange checks what identifies a change.
func checkChange(change Change) error {
	var found findings.List
	if change.ID == "" || len(change.ID) > maxIDBytes {
		found.Addf("change id", "must have 1 to %d bytes", maxIDBytes)
	}
	if len(change.Author) > maxAuthorBytes {
		found.Addf("change author", "must have at most %d bytes", maxAuthorBytes)
	}
	return found.Err()
}

// makeTransaction returns the conditional write of a change. Its token is
// shorter than what table services allow, and another one at another revision.
func makeTransaction(change Change, before head) (platform.Transaction, error) {
	record, err := json.Marshal(change)
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode change")
	}
	newest, err := json.Marshal(head{Revision: change.Revision, ChangeID: change.ID})
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode the tree's revision")
	}
	token := sha256.Sum256(record)
	return platform.Transaction{
		Token: hex.EncodeToString(token[:16]),
		Conditions: []platform.Condition{
			{Key: headKey, Version: before.version},
			{Key: changeKey(change.Revision)},
			{Key: idPrefix + change.ID},
		},
		Writes: []platform.Write{
			{Key: headKey, Value: newest},
			{Key: changeKey(change.Revision), Value: record},
			{Key: idPrefix + change.ID, Value: record},
		},
	}, nil
}

// changeKey is the key of the change that led to revision; keys sort by it.
func changeKey(revision Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// snapshotName is the name of the snapshot at revision; names sort by it.
func snapshotName(revision Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}
