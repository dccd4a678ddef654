package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// ErrNoSuchNode means that the tree has no node at the given path.
var ErrNoSuchNode = errors.New("tree: no such node")

// maxNodes is the maximum number of nodes of a tree.
const maxNodes = 100_000

// Tree is one immutable revision of the settings tree. Safe for concurrent use.
type Tree struct {
	revision   Revision
	nodes      []*node               // sorted by path; the first is the root
	modelNodes []*node               // nodes of models and adapters, sorted by name
	modelIndex map[api.ModelName]int // indexes into modelNodes
	services   []string              // sorted

	// Computed on first use.
	models func() []Model
	digest func() string
	packed func() ([]byte, error)
}

// Empty returns the tree without any overrides, at revision 0.
func Empty() *Tree {
	tree, err := build(0, map[Path]overrides{RootPath: {}}, nil)
	if err != nil {
		panic(err)
	}
	return tree
}

// Revision returns the revision of the tree.
func (t *Tree) Revision() Revision {
	return t.revision
}

// WithRevision returns a tree with the same settings and another revision.
func (t *Tree) WithRevision(revision Revision) *Tree {
	changed := *t
	changed.revision = revision
	changed.packed = sync.OnceValues(changed.pack) // contains the revision
	return &changed
}

// Model returns the model or adapter with the given name.
func (t *Tree) Model(name api.ModelName) (Model, bool) {
	index, found := t.modelIndex[name]
	if !found {
		return Model{}, false
	}
	return t.modelNodes[index].model, true
}

// Models returns all models and adapters sorted by name. The caller must not
// change the slice.
func (t *Tree) Models() []Model {
	return t.models()
}

// Services returns the names of all services, sorted. The caller must not
// change the slice.
func (t *Tree) Services() []string {
	return t.services
}

// Root returns the effective settings of the root.
func (t *Tree) Root() Settings {
	return t.nodes[0].settings()
}

// Paths returns the paths of all nodes, sorted.
func (t *Tree) Paths() []Path {
	paths := make([]Path, len(t.nodes))
	for index, n := range t.nodes {
		paths[index] = n.path
	}
	return paths
}

// Resolve returns the effective settings of the node at path.
func (t *Tree) Resolve(path Path) (Settings, error) {
	n := t.find(path)
	if n == nil {
		return Settings{}, errors.WithMessage(ErrNoSuchNode, string(path))
	}
	return n.settings(), nil
}

// Explain returns for each key, in the order of Keys, its effective value at path and where the value is
// set.
func (t *Tree) Explain(path Path) ([]Origin, error) {
	settings, err := t.Resolve(path)
	if err != nil {
		return nil, err
	}
	origins := make([]Origin, 0, len(Keys))
	for _, key := range Keys {
		origins = append(origins, Origin{Key: key.Name, Value: key.format(settings), From: t.origin(path, key.Name)})
	}
	return origins, nil
}

// origin returns the path at which the effective value of key at path is set, or "" if the value is the
// built-in default.
func (t *Tree) origin(path Path, key string) Path {
	if path.Level() == LevelAdapter {
		if _, set := t.find(path).own[key]; set {
			return path
		}
		if source, redirected := adapterSources[key]; redirected {
			if source == "" {
				return ""
			}
			return t.origin(path.Parent(), source)
		}
	}
	ancestors := path.ancestors()
	for index := len(ancestors) - 1; index >= 0; index-- {
		if _, set := t.find(ancestors[index]).own[key]; set {
			return ancestors[index]
		}
	}
	return ""
}

// Digest returns a hash of the settings. Trees with equal settings have the same digest whatever their
// revision.
func (t *Tree) Digest() string {
	return t.digest()
}

// own returns the overrides of the node at path, and whether the node exists.
func (t *Tree) own(path Path) (overrides, bool) {
	if n := t.find(path); n != nil {
		return n.own, true
	}
	return nil, false
}

// find returns the node at path, or nil if there is none.
func (t *Tree) find(path Path) *node {
	if index, found := search(t.nodes, path); found {
		return t.nodes[index]
	}
	return nil
}

// listModels returns all models and adapters sorted by name, in a new slice.
func (t *Tree) listModels() []Model {
	models := make([]Model, len(t.modelNodes))
	for index, n := range t.modelNodes {
		models[index] = n.model
	}
	return models
}

// computeDigest hashes the overrides of all nodes.
func (t *Tree) computeDigest() string {
	hash := sha256.New()
	for _, n := range t.nodes {
		hash.Write(n.digestInput)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// findingPlace returns the place of a finding: a node, or a key of a node if key is not empty.
func findingPlace(path Path, key string) string {
	if key == "" {
		return string(path)
	}
	return string(path) + " " + key
}

// sortedKeys returns the keys of a map, sorted.
func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
