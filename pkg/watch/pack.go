package watch

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// maxUnpacked limits the size of the unpacked records of a message.
const maxUnpacked = 32 << 20

// packers reuses flate writers, each of which takes over a megabyte: a relay packs some dozens of times a
// second.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // only fails for an unknown level
	return w
}}

// pack encodes and compresses records. Rows are similar texts and compress well.
func pack(records []Record) ([]byte, error) {
	if len(records) == 0 {
		return nil, nil
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	if err := gob.NewEncoder(w).Encode(records); err != nil {
		return nil, errors.Wrap(err, "watch: pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "watch: pack")
	}
	return b.Bytes(), nil
}

// unpack is the inverse of pack for all packs of a message.
func unpack(packs ...[]byte) ([]Record, error) {
	unpacked := &io.LimitedReader{N: maxUnpacked}
	var all []Record
	for _, packed := range packs {
		if len(packed) == 0 {
			continue
		}
		unpacked.R = flate.NewReader(bytes.NewReader(packed))
		var records []Record
		if err := gob.NewDecoder(unpacked).Decode(&records); err != nil {
			return nil, errors.Wrap(err, "watch: unpack")
		}
		all = append(all, records...)
	}
	return all, nil
}
