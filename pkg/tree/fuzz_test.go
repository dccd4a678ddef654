package tree

import (
	"bytes"
	"testing"
)

// FuzzParse parses arbitrary files. The parser must not panic, and a tree that it accepts must be the same
// after it is written and parsed again.
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

// FuzzUnpack unpacks arbitrary data, as a peer may send it.
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
