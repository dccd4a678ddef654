package tree

import (
	"bytes"
	"testing"
)

// FuzzParse feeds files of operators to the parser: it must not panic, and what
// it accepts must be read back the same.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleTree))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(tree.Marshal())
		if err != nil || again.Digest() != tree.Digest() || !bytes.Equal(again.Marshal(), tree.Marshal()) {
			t.Fatalf("read back: %v\n%s", err, tree.Marshal())
		}
	})
}

// FuzzUnpack feeds what a peer may send to the unpacker.
func FuzzUnpack(f *testing.F) {
	packed, err := Empty().WithRevision(3).Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, data []byte) {
		if tree, err := Unpack(data); err == nil {
			tree.Digest()
		}
	})
}
