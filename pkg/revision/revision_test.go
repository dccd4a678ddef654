package revision

import (
	"encoding/json"
	"testing"
)

func mustNew(t *testing.T, epoch, number uint64) Revision {
	t.Helper()
	r, err := New(epoch, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestALaterEpochIsNewerWhateverItsNumbers checks that revisions are ordered by epoch, then by number.
func TestALaterEpochIsNewerWhateverItsNumbers(t *testing.T) {
	ordered := []Revision{
		mustNew(t, 0, 0), mustNew(t, 0, 7), mustNew(t, 0, 1<<48-1), mustNew(t, 1, 0), mustNew(t, 1, 3), mustNew(t, 2, 1), mustNew(t, 1<<16-1, 0),
	}
	for i, r := range ordered[1:] {
		if r <= ordered[i] {
			t.Errorf("%v is not newer than %v", r, ordered[i])
		}
	}
	if r := mustNew(t, 3, 44); r.Epoch() != 3 || r.Number() != 44 {
		t.Errorf("%v has epoch %d and number %d, want 3 and 44", r, r.Epoch(), r.Number())
	}
}

// TestEpochZeroIsThePlainNumber checks that builds without epochs read the same revision while the
// store was never restored.
func TestEpochZeroIsThePlainNumber(t *testing.T) {
	if r := mustNew(t, 0, 57); uint64(r) != 57 {
		t.Errorf("the revision of number 57 in epoch 0 is %d", uint64(r))
	}
}

func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	for _, bad := range [][2]uint64{{0, 1 << 48}, {1 << 16, 0}} {
		if r, err := New(bad[0], bad[1]); err == nil {
			t.Errorf("epoch %d and number %d are accepted as %v", bad[0], bad[1], r)
		}
	}
}

func TestMarshalJSON(t *testing.T) {
	text, err := json.Marshal([]Revision{mustNew(t, 0, 5), mustNew(t, 2, 5)})
	if err != nil || string(text) != `[5,"2/5"]` {
		t.Errorf("encoded as %s, error %v", text, err)
	}
}
