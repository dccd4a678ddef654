package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/pkg/errors"
)

// Fingerprint identifies a subject of evidence: a request, or a part of the prompts of many.
//
// A request is identified when it comes again, at any node and with any request ID, by its method,
// host, target and body. Headers don't count because retries change some of them. The caller
// doesn't count because a request crashes servers whoever sends it, and callers come back from
// other addresses. A part of prompts is identified by its ID alone, for the same reasons.
//
// It is a digest of 128 bits without a key, which all nodes would have to share. Nobody can find
// another request with the same fingerprint.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	return digest([]byte(method), []byte(host), []byte(target), body)
}

// FingerprintOfPart returns the fingerprint of a part of prompts.
func FingerprintOfPart(id string) Fingerprint { return digest([]byte(id)) }

// digest returns the digest of a list of fields. Different lists never have the same encoding.
func digest(fields ...[]byte) Fingerprint {
	sum := sha256.New()
	for _, field := range fields {
		writeField(sum, field)
	}
	var f Fingerprint
	copy(f[:], sum.Sum(nil))
	return f
}

// writeField writes a field after its length.
func writeField(sum hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = sum.Write(length[:]) // never fails
	_, _ = sum.Write(field)
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
