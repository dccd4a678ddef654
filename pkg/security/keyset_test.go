package security

import (
	"fmt"
	"strings"
	"testing"
)

func TestKeySetFindsOwnersAndRefusesDoubles(t *testing.T) {
	set := NewKeySet[string](0)
	for i := range 300 {
		set.Add([]byte(fmt.Sprint("key-", i)), fmt.Sprint("owner-", i))
	}
	if other, doubled := set.Add([]byte("key-7"), "thief"); !doubled || other != "owner-7" {
		t.Errorf("adding a key that another owner has: got %q, %t", other, doubled)
	}
	if owner, found := set.Find([]byte("key-7")); !found || owner != "owner-7" {
		t.Errorf("Find returned %q, %t", owner, found)
	}
	for _, wrong := range []string{"", "key", "key-300", "key-7 ", strings.Repeat("x", MaxKeyBytes+1)} {
		if owner, found := set.Find([]byte(wrong)); found {
			t.Errorf("a wrong key of %d bytes was found with owner %q", len(wrong), owner)
		}
	}
	if set.Len() != 300 {
		t.Errorf("the set has %d keys, want 300", set.Len())
	}
}

// TestKeySetsHoldDifferentHashes checks that each set has its own secret, so that the
// hashes of one process are useless in another.
func TestKeySetsHoldDifferentHashes(t *testing.T) {
	a, b := NewKeySet[int](0), NewKeySet[int](0)
	a.Add([]byte("key"), 1)
	b.Add([]byte("key"), 1)
	for hash := range a.owners {
		if _, same := b.owners[hash]; same {
			t.Error("two sets contain the same hash of a key")
		}
	}
}
