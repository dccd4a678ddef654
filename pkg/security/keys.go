package security

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
)

const (
	// MaxKeys is the most keys in a file, which an operator maintains by hand.
	MaxKeys = 1024
	// MaxKeyBytes is the longest presented key. A longer one is refused
	// without being hashed.
	MaxKeyBytes = 512

	maxKeyFileBytes    = 1 << 20
	maxKeyNameBytes    = 128
	generatedKeyBytes  = 32
	generatedKeyPrefix = "mw_"
)

// Keys authenticates callers or operators by the API keys of one file. It is safe
// for concurrent use.
type Keys struct {
	path      string
	mutex     sync.Mutex // serialises reloads
	lastStamp fileStamp  // state of the file when it was last read
	names     atomic.Pointer[KeySet[string]]
}

// keyEntry is one line of a key file.
type keyEntry struct {
	name   string
	digest digest
}

// OpenKeys reads the key file at path. Each line has the form "name: digest", where
// digest is the SHA-256 of the key in hexadecimal. Empty lines and lines that begin
// with "#" are skipped. The error for an invalid file is a *findings.Error with all
// its faults.
func OpenKeys(path string) (*Keys, error) {
	keys := &Keys{path: path}
	if err := keys.Reload(); err != nil {
		return nil, err
	}
	return keys, nil
}

// Reload reads the file again. After an error the previous keys stay in force.
func (k *Keys) Reload() error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.reload()
}

// ReloadIfChanged reads the file again if it changed since it was last read.
func (k *Keys) ReloadIfChanged() (changed bool, err error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if stampFiles(k.path) == k.lastStamp {
		return false, nil
	}
	return true, k.reload()
}

func (k *Keys) reload() error {
	k.lastStamp = stampFiles(k.path)
	content, err := os.ReadFile(k.path)
	if err != nil {
		return keyFileError(k.path, err)
	}
	names, err := parseKeys(k.path, content)
	if err != nil {
		return err
	}
	k.names.Store(names)
	return nil
}

func keyFileError(path string, err error) error {
	var faults findings.List
	faults.Addf(path, "cannot be read: %v", errors.Cause(err))
	return faults.Err()
}

// Authenticate returns the name of the presented key. Its running time does not
// depend on how much of a key matches. It keeps no reference to key.
func (k *Keys) Authenticate(key []byte) (name string, ok bool) {
	return k.names.Load().Find(key)
}

// Len returns the number of keys in force.
func (k *Keys) Len() int {
	return k.names.Load().Len()
}

// GenerateKey returns a new random key, which only its owner should know, and the
// line for the key file that admits the key under name.
func GenerateKey(name string) (key, line string, err error) {
	if fault := checkKeyName(name); fault != "" {
		return "", "", errors.New(fault)
	}
	random := make([]byte, generatedKeyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", "", errors.Wrap(err, "generate key")
	}
	key = generatedKeyPrefix + base64.RawURLEncoding.EncodeToString(random)
	digest := sha256.Sum256([]byte(key))
	return key, name + ": " + hex.EncodeToString(digest[:]), nil
}

// parseKeys parses the content of a key file. Its findings never contain the content
// of a line other than its name, since an operator may have pasted the key itself.
func parseKeys(path string, content []byte) (*KeySet[string], error) {
	var faults findings.List
	if len(content) > maxKeyFileBytes {
		faults.Addf(path, "is larger than %d bytes", maxKeyFileBytes)
		return nil, faults.Err()
	}
	set := NewKeySet[string](0)
	lines := map[string]int{} // line numbers by name
	for i, line := range strings.Split(string(bytes.TrimPrefix(content, []byte("\ufeff"))), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		number := i + 1
		place := fmt.Sprintf("%s:%d", path, number)
		entry, fault := parseKeyLine(line)
		if fault != "" {
			faults.Addf(place, "%s", fault)
			continue
		}
		if first, exists := lines[entry.name]; exists {
			faults.Addf(place, "name %q already stands in line %d", entry.name, first)
		}
		if other, duplicate := set.addDigest(entry.digest, entry.name); duplicate {
			faults.Addf(place, "the same digest already stands in line %d", lines[other])
		}
		lines[entry.name] = number
	}
	if set.Len() > MaxKeys {
		faults.Addf(path, "holds %d keys, at most %d are allowed", set.Len(), MaxKeys)
	}
	if set.Len() == 0 && faults.Len() == 0 {
		faults.Addf(path, "holds no key, so that nobody could get in")
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return set, nil
}

// parseKeyLine parses one line of a key file. It returns the fault if the line is
// invalid, and "" otherwise.
func parseKeyLine(line string) (keyEntry, string) {
	name, digestText, separated := strings.Cut(line, ":")
	if !separated {
		return keyEntry{}, `is not of the form "name: digest"`
	}
	name = strings.TrimSpace(name)
	if fault := checkKeyName(name); fault != "" {
		return keyEntry{}, fault
	}
	sum, err := hex.DecodeString(strings.TrimSpace(digestText))
	if err != nil || len(sum) != sha256.Size {
		return keyEntry{}, fmt.Sprintf("the digest is not %d hexadecimal digits (the SHA-256 of the key, not the key)", hex.EncodedLen(sha256.Size))
	}
	return keyEntry{name: name, digest: [sha256.Size]byte(sum)}, ""
}

// checkKeyName returns what is wrong with the name of a key, or "".
func checkKeyName(name string) string {
	if name == "" {
		return "the name is empty"
	}
	if len(name) > maxKeyNameBytes {
		return fmt.Sprintf("the name is longer than %d bytes", maxKeyNameBytes)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == ':' || r == '#' || r == 0x7f }) {
		return "the name holds a space, a control character, ':' or '#'"
	}
	return ""
}
