package security

import (
	"crypto/rand"
	"crypto/sha256"
)

// digest is the SHA-256 of a key.
type digest = [sha256.Size]byte

// KeySet finds the owner of a presented key. It stores hashes that are keyed by a random
// secret, so that neither its contents nor the time of a lookup reveals the bytes of a
// key. A lookup takes about 0.2 microseconds, see BenchmarkAuthenticate, whatever the
// number of keys. Once it is filled it is safe for concurrent use.
type KeySet[Owner any] struct {
	secret digest
	owners map[digest]Owner
}

// NewKeySet returns an empty set with capacity for n keys.
func NewKeySet[Owner any](n int) *KeySet[Owner] {
	s := &KeySet[Owner]{owners: make(map[digest]Owner, n)}
	_, _ = rand.Read(s.secret[:]) // never fails
	return s
}

// Add adds a key with its owner. If the set has the key already, it adds nothing and
// returns the owner that has it.
func (s *KeySet[Owner]) Add(key []byte, owner Owner) (other Owner, exists bool) {
	return s.addDigest(sha256.Sum256(key), owner)
}

// addDigest is like Add, but takes the SHA-256 of the key.
func (s *KeySet[Owner]) addDigest(keyDigest digest, owner Owner) (other Owner, exists bool) {
	keyed := s.hash(keyDigest)
	if other, exists = s.owners[keyed]; !exists {
		s.owners[keyed] = owner
	}
	return other, exists
}

// Find returns the owner of a presented key. It keeps no reference to the key.
func (s *KeySet[Owner]) Find(key []byte) (owner Owner, found bool) {
	if len(key) == 0 || len(key) > MaxKeyBytes {
		return owner, false
	}
	owner, found = s.owners[s.hash(sha256.Sum256(key))]
	return owner, found
}

// Len returns the number of keys.
func (s *KeySet[Owner]) Len() int { return len(s.owners) }

// hash returns the keyed hash of a key's digest. Both inputs have a fixed length, so
// hashing their concatenation is as secure as an HMAC, at half the cost.
func (s *KeySet[Owner]) hash(keyDigest digest) digest {
	var b [2 * sha256.Size]byte
	copy(b[:], s.secret[:])
	copy(b[sha256.Size:], keyDigest[:])
	return sha256.Sum256(b[:])
}
