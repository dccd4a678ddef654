// Package revision orders what a store tells that may come back from a copy. Such a store counts its
// changes, and its count goes back with the copy: the same numbers are given out again. It begins a new
// epoch each time, so that whatever it tells then is newer than all that it told before.
package revision

import (
	"strconv"

	"github.com/pkg/errors"
)

// Revision is a state of the store: its epoch, and the number of its last change in it. The order of
// revisions is that of their values. A store that never came back has the epoch zero, in which a
// revision has the value of its number: nodes of builds that know no epochs tell and read it so.
type Revision uint64

// numberBits is the width of the number; the epoch has the rest. A store that makes a thousand changes
// a second takes 8,900 years to use it up, and 65,535 returns the other.
const numberBits = 48

// errRange means that a number or an epoch can't be told from another one.
var errRange = errors.New("revision: out of range")

// New returns the revision of a number in an epoch.
func New(epoch, number uint64) (Revision, error) {
	if number >= 1<<numberBits || epoch >= 1<<(64-numberBits) {
		return 0, errors.Wrapf(errRange, "epoch %d, number %d", epoch, number)
	}
	return Revision(epoch<<numberBits | number), nil
}

// Epoch returns how often the store had come back from a copy.
func (r Revision) Epoch() uint64 { return uint64(r) >> numberBits }

// Number returns the store's own count, which means something in its epoch only.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// String returns EPOCH/NUMBER, or the number alone before the store came back for the first time.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(r.Epoch(), 10) + "/" + number
}

// MarshalJSON implements json.Marshaler, for lines of the log: a number as long as there is no epoch.
func (r Revision) MarshalJSON() ([]byte, error) {
	if r.Epoch() == 0 {
		return []byte(r.String()), nil
	}
	return []byte(strconv.Quote(r.String())), nil
}
