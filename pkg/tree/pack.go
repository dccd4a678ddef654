package tree

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// Pack returns the tree as compressed YAML, for snapshots and peers.
func (t *Tree) Pack() ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(t.Marshal()); err != nil {
		return nil, errors.Wrap(err, "pack tree")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack tree")
	}
	return buffer.Bytes(), nil
}

// Unpack reads what Pack wrote. It reads no more than MaxTreeBytes, whatever
// the packed bytes claim.
func Unpack(packed []byte) (*Tree, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack tree")
	}
	data, err := io.ReadAll(io.LimitReader(reader, MaxTreeBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack tree")
	}
	return Parse(data)
}
