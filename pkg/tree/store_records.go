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

// Keys of the table service and names of the object store. All but headKey are prefixes.
const (
	headKey        = "tree/head"
	changePrefix   = "tree/change/"
	idPrefix       = "tree/id/"
	snapshotPrefix = "tree/snapshot/"
)

// head is the record with the newest revision. Every commit is conditional on its version.
type head struct {
	Revision Revision `json:"revision"`
	ChangeID string   `json:"change_id"`

	version uint64 // of the record; zero: no record yet
}

// checkChange validates the ID and the author of a change.
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

// receipt is the record, stored under the ID of a change, that the change was accepted.
type receipt struct {
	Revision Revision `json:"revision"`
	Edits    string   `json:"edits"` // digest of the edits
}

// makeTransaction returns the conditional write of a change. Its token fits the limit of table services and
// differs between revisions.
func makeTransaction(change Change, before head) (platform.Transaction, error) {
	record, err := encodeChange(change)
	if err != nil {
		return platform.Transaction{}, err
	}
	newest, err := json.Marshal(head{Revision: change.Revision, ChangeID: change.ID})
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode the tree's revision")
	}
	accepted, err := json.Marshal(receipt{Revision: change.Revision, Edits: digestEdits(change.Edits)})
	if err != nil {
		return platform.Transaction{}, errors.Wrap(err, "encode receipt")
	}
	return platform.Transaction{
		Token: digestBytes(record),
		Conditions: []platform.Condition{
			{Key: headKey, Version: before.version},
			{Key: changeKey(change.Revision)},
			{Key: idPrefix + change.ID},
		},
		Writes: []platform.Write{
			{Key: headKey, Value: newest},
			{Key: changeKey(change.Revision), Value: record},
			{Key: idPrefix + change.ID, Value: accepted},
		},
	}, nil
}

// encodeChange returns the compressed record of an accepted change. The error contains a finding if the
// record is too large.
func encodeChange(change Change) ([]byte, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return nil, errors.Wrap(err, "encode change")
	}
	record, err := compress(data)
	if err != nil {
		return nil, errors.WithMessage(err, "encode change")
	}
	if len(record) > maxRecordBytes {
		var found findings.List
		found.Addf("change "+change.ID, "has %d bytes compressed, more than %d; split it", len(record), maxRecordBytes)
		return nil, found.Err()
	}
	return record, nil
}

// decodeChange reads the output of encodeChange.
func decodeChange(record []byte) (Change, error) {
	data, err := decompress(record)
	if err != nil {
		return Change{}, err
	}
	var change Change
	return change, errors.Wrap(json.Unmarshal(data, &change), "decode change")
}

// digestEdits returns a hash that identifies the edits of a change.
func digestEdits(edits []Edit) string {
	data, err := json.Marshal(edits)
	if err != nil {
		panic(errors.WithMessage(err, "encode edits"))
	}
	return digestBytes(data)
}

// digestBytes returns a hash of data as 32 hexadecimal digits.
func digestBytes(data []byte) string {
	hash := sha256.Sum256(data)
	return hex.EncodeToString(hash[:16])
}

// changeKey returns the key of the change that led to revision. Keys sort by revision.
func changeKey(revision Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// snapshotName returns the name of the snapshot at revision. Names sort by revision.
func snapshotName(revision Revision) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, revision)
}
