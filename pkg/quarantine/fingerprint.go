package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/pkg/errors"
)

// Fingerprint identifies a request when it comes again, at any node and with any request ID, by its
// method, host, target and body. Headers don't count because retries change some of them. The
// caller doesn't count because a request crashes servers whoever sends it, and callers come back
// from other addresses.
//
// It is a digest of 128 bits without a key, which all nodes would have to share. Nobody can find
// another request with the same fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	sum := sha256.New()
	for _, part := range []string{method, host, target} {
		writePart(sum, []byte(part))
	}
	writePart(sum, body)
	var f Fingerprint
	copy(f[:], sum.Sum(nil))
	return f
}

// writePart writes a part after its length, so that different lists of parts never have the same
// encoding.
func writePart(sum hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = sum.Write(length[:]) // never fails
	_, _ = sum.Write(part)
}

// ErrFingerprint is returned for a text that is not a fingerprint.
var ErrFingerprint = errors.New("quarantine: not a fingerprint of 32 hexadecimal digits")

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(f) {
		return f, ErrFingerprint
	}
	copy(f[:], raw)
	return f, nil
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler, for records in the platform's store.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := ParseFingerprint(string(text))
	if err == nil {
		*f = parsed
	}
	return err
}
