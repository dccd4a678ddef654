// Package document parses the single YAML document of a settings file, with the line numbers of its
// entries.
package document

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Read returns the root of the only document in data, or nil if data is empty.
func Read(data []byte) (*yaml.Node, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var first, second yaml.Node
	err := decoder.Decode(&first)
	if err == io.EOF {
		return nil, nil
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := decoder.Decode(&second); err != io.EOF {
		return nil, errors.New("a second document begins after ---; one file holds one document")
	}
	return first.Content[0], nil
}
