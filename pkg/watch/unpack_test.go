package watch

import (
	"fmt"
	"testing"
)

// Guards against an answer whose packs are each within the limit and together take many times as much.
func TestFAULTOfPacksThatTakeMuchTogether(t *testing.T) {
	const size = 8 << 20
	for _, packs := range []int{2, 8} {
		var a PullAnswer
		for i := range packs {
			packed, err := pack([]Record{{Key: fmt.Sprint(i), Value: make([]byte, size)}})
			if err != nil {
				t.Fatal(err)
			}
			a.Packs = append(a.Packs, packed)
		}
		page, err := a.page()
		held := 0
		for _, r := range page.Records {
			held += len(r.Value)
		}
		if fits := packs*size < maxUnpacked; fits != (err == nil) {
			t.Errorf("FAULT: %d packs of %d bytes: %d bytes are held, %v", packs, len(a.Packs[0]), held, err)
		}
	}
}
