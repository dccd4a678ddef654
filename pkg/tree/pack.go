package tree

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

// Pack returns the tree as compressed YAML, for snapshots and peers. It packs the tree only once, since
// many peers that start at the same time ask for it. The caller must not change the bytes.
func (t *Tree) Pack() ([]byte, error) {
	return t.packed()
}

// pack is Pack without caching.
func (t *Tree) pack() ([]byte, error) {
	packed, err := compress(t.Marshal())
	return packed, errors.WithMessage(err, "pack tree")
}

// Unpack reads the output of Pack. It decompresses no more than about MaxTreeBytes, so that a small input
// can't exhaust the memory.
func Unpack(packed []byte) (*Tree, error) {
	data, err := decompress(packed)
	if err != nil {
		return nil, errors.WithMessage(err, "unpack tree")
	}
	return Parse(data)
}

// compress returns data in gzip format.
func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return buffer.Bytes(), nil
}

// decompress reads the output of compress, up to MaxTreeBytes plus one byte.
func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	data, err := io.ReadAll(io.LimitReader(reader, MaxTreeBytes+1))
	return data, errors.Wrap(err, "decompress")
}
