// Package revision defines the order of the states of a store that may be restored from a backup. Such
// a store counts its changes. A restore sets the count back, so that the same numbers are used again.
// Each restore therefore begins a new epoch, which makes all later revisions newer than all earlier ones.
package revision

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision identifies a state of the store by its epoch and the number of its last change. Revisions
// are ordered by their values. A store that was never restored has epoch zero, in which a revision
// equals its number: nodes of older builds without epochs send and read plain numbers.
type Revision uint64

// numberBits is the width of the number; the epoch takes the remaining bits. At a thousand changes per
// second the numbers last for 8,900 years, and the epochs last for 65,535 restores.
const numberBits = 48

// errRange means that a number or an epoch does not fit into its bits.
var errRange = errors.New("revision: out of range")

// New returns the revision with the given epoch and number.
func New(epoch, number uint64) (Revision, error) {
	if number >= 1<<numberBits || epoch >= 1<<(64-numberBits) {
		return 0, errors.Wrapf(errRange, "epoch %d, number %d", epoch, number)
	}
	return Revision(epoch<<numberBits | number), nil
}

// Epoch returns how often the store had been restored from a backup.
func (r Revision) Epoch() uint64 { return uint64(r) >> numberBits }

// Number returns the store's count of changes, which is meaningful only within its epoch.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns EPOCH/NUMBER, or only the number in epoch zero.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(r.Epoch(), 10) + "/" + number
}

// MarshalJSON implements json.Marshaler for log lines. The result is a number in epoch zero, else a
// string.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Epoch() == 0 {
		return []byte(r.String()), nil
	}
	return []byte(strconv.Quote(r.String())), nil
}
