package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// ErrNoSuchNode means that the tree has no node at a path.
var ErrNoSuchNode = errors.New("tree: no such node")

// maxNodes bounds the size of a tree.
const maxNodes = 100_000

// Tree is one immutable revision of the settings. Safe for concurrent use.
type Tree struct {
	revision Revision
	nodes    []*node               // sorted by path; the root is the first
	named    []*node               // the models and adapters, sorted by name
	byName   map[api.ModelName]int // places in named
	services []string              // sorted

	// Worked out when first asked for.
	models func() []Model
	digest func() string
	packed func() ([]byte, error)
}

// Empty returns the tree in which nothing is set, at revision 0.
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

// WithRevision returns the same settings under another revision.
func (t *Tree) WithRevision(revision Revision) *Tree {
	changed := *t
	changed.revision = revision
	changed.packed = sync.OnceValues(changed.pack) // it tells the revision
	return &changed
}

// Model returns the model or adapter that callers know by name.
func (t *Tree) Model(name api.ModelName) (Model, bool) {
	place, found := t.byName[name]
	if !found {
		return Model{}, false
	}
	return t.named[place].model, true
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
	for place, n := range t.nodes {
		paths[place] = n.path
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

// Explain tells for each key that may be set at path or above where its
// effective value comes from, in the order of Keys.
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

// origin returns the path at which the effective value of key at path is set,
// or "" if it is the built-in default.
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

// Digest returns a hash of the settings, the same for equal trees whatever
// their revision.
func (t *Tree) Digest() string {
	return t.digest()
}

// own returns the overrides of the node at path, if there is one.
func (t *Tree) own(path Path) (overrides, bool) {
	if n := t.find(path); n != nil {
		return n.own, true
	}
	return nil, false
}

// find returns the node at path, or nil.
func (t *Tree) find(path Path) *node {
	if place, found := search(t.nodes, path); found {
		return t.nodes[place]
	}
	return nil
}

// listModels returns a new list of all models and adapters sorted by name.
func (t *Tree) listModels() []Model {
	models := make([]Model, len(t.named))
	for place, n := range t.named {
		models[place] = n.model
	}
	return models
}

// computeDigest hashes the overrides of all nodes.
func (t *Tree) computeDigest() string {
	hash := sha256.New()
	for _, n := range t.nodes {
		hash.Write(n.text)
	}
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// place names a key of a node in a finding; without a key it names the node.
func place(path Path, key string) string {
	if key == "" {
		return string(path)
	}
	return string(path) + " " + key
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
