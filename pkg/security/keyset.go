package security

import (
	"crypto/rand"
	"crypto/sha256"
)

// digest is the SHA-256 of a key.
type digest = [sha256.Size]byte

// KeySet finds whose key was presented, among any number of keys. It keeps hashes that
// are keyed by a secret of its own: neither what it holds nor the time of a look-up tells
// of the bytes of a key. A look-up takes 0.2 microseconds (BenchmarkAuthenticate). Once it
// is filled it is safe for concurrent use.
type KeySet[Owner any] struct {
	secret digest
	owners map[digest]Owner
}

// NewKeySet returns an empty set with room for n keys.
func NewKeySet[Owner any](n int) *KeySet[Owner] {
	s := &KeySet[Owner]{owners: make(map[digest]Owner, n)}
	_, _ = rand.Read(s.secret[:]) // never fails
	return s
}

// Add lets a key in for its owner. It tells the owner that has the key already, and then
// adds nothing.
func (s *KeySet[Owner]) Add(key []byte, owner Owner) (other Owner, doubled bool) {
	return s.addDigest(sha256.Sum256(key), owner)
}

// addDigest is Add by the SHA-256 of the key.
func (s *KeySet[Owner]) addDigest(of digest, owner Owner) (other Owner, doubled bool) {
	keyed := s.hash(of)
	if other, doubled = s.owners[keyed]; !doubled {
		s.owners[keyed] = owner
	}
	return other, doubled
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

// hash returns the keyed hash of a key's digest. Both inputs are of fixed length, so that
// the plain construction is as good as an HMAC, at half its cost.
func (s *KeySet[Owner]) hash(of digest) digest {
	var b [2 * sha256.Size]byte
	copy(b[:], s.secret[:])
	copy(b[sha256.Size:], of[:])
	return sha256.Sum256(b[:])
}
