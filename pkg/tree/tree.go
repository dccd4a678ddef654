package tree

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/findings"
)

// ErrNoSuchNode means that the tree has no node at a path.
var ErrNoSuchNode = errors.New("tree: no such node")

// maxNodes bounds the size of a tree.
const maxNodes = 100_000

// overrides are the settings of one node, by key, in canonical form.
type overrides map[string]string

// Tree is one immutable revision of the settings. Safe for concurrent use.
type Tree struct {
	revision  Revision
	nodes     map[Path]overrides // the root is always present
	effective map[Path]Settings
	models    []Model // sorted by name
	byName    map[api.ModelName]int
	services  []string // sorted
	digest    func() string
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
	return &changed
}

// Model returns the model or adapter that callers know by name.
func (t *Tree) Model(name api.ModelName) (Model, bool) {
	index, found := t.byName[name]
	if !found {
		return Model{}, false
	}
	return t.models[index], true
}

// Models returns all models and adapters sorted by name. The caller must not
// change the slice.
func (t *Tree) Models() []Model {
	return t.models
}

// Services returns the names of all services, sorted. The caller must not
// change the slice.
func (t *Tree) Services() []string {
	return t.services
}

// Root returns the effective settings of the root.
func (t *Tree) Root() Settings {
	return t.effective[RootPath]
}

// Paths returns the paths of all nodes, sorted.
func (t *Tree) Paths() []Path {
	return sortedKeys(t.nodes)
}

// Resolve returns the effective settings of the node at path.
func (t *Tree) Resolve(path Path) (Settings, error) {
	settings, found := t.effective[path]
	if !found {
		return Settings{}, errors.WithMessage(ErrNoSuchNode, string(path))
	}
	return settings, nil
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
		if _, set := t.nodes[path][key]; set {
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
		if _, set := t.nodes[ancestors[index]][key]; set {
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

// build derives everything from the overrides. It takes over nodes. The error
// carries all findings but those that refused values explain.
func build(revision Revision, nodes map[Path]overrides, refused faults) (*Tree, error) {
	var found findings.List
	tree := &Tree{
		revision:  revision,
		nodes:     nodes,
		effective: make(map[Path]Settings, len(nodes)),
		byName:    make(map[api.ModelName]int),
	}
	if len(nodes) > maxNodes {
		found.Addf("/", "the tree has %d nodes, more than %d", len(nodes), maxNodes)
		return nil, found.Err()
	}
	for _, path := range tree.Paths() {
		tree.add(path, refused, &found)
	}
	tree.indexModels(&found)
	if err := found.Err(); err != nil {
		return nil, err
	}
	tree.digest = sync.OnceValue(tree.computeDigest)
	return tree, nil
}

// add resolves the node at path, whose parent has been added before.
func (t *Tree) add(path Path, refused faults, found *findings.List) {
	settings := defaults
	if path != RootPath {
		settings = t.effective[path.Parent()]
	}
	level := path.Level()
	if level == LevelAdapter {
		settings = forAdapter(settings)
	}
	for _, name := range sortedKeys(t.nodes[path]) {
		if err := keysByName[name].parse(&settings, t.nodes[path][name]); err != nil {
			found.Addf(place(path, name), "%v", err)
		}
	}
	t.effective[path] = settings
	checkNode(path, settings, refused, found)
	switch level {
	case LevelService:
		t.services = append(t.services, path.Name())
	case LevelModel, LevelAdapter:
		t.models = append(t.models, makeModel(path, settings))
	}
}

// adapterSources names the keys that an adapter does not inherit from its base
// model, and the key of the base model that it takes instead, if any.
var adapterSources = map[string]string{
	"checkpoint":   "",
	"version":      "",
	"kv_memory":    "",
	"min_replicas": "",
	"memory":       "adapter_memory",
	"load_time":    "adapter_load_time",
}

// forAdapter turns the settings of a base model into those that an adapter
// inherits: all but what describes the base model's own checkpoint.
func forAdapter(base Settings) Settings {
	settings := base
	settings.Checkpoint = ""
	settings.Version = ""
	settings.KVBytes = 0
	settings.MinReplicas = 0
	settings.MemoryBytes = base.AdapterMemoryBytes
	settings.LoadTime = base.AdapterLoadTime
	return settings
}

// checkNode checks the effective settings of a node against each other.
func checkNode(path Path, settings Settings, refused faults, found *findings.List) {
	if settings.MinReplicas > settings.MaxReplicas && !refused.hide(path, "min_replicas", "max_replicas") {
		found.Addf(place(path, "min_replicas"), "%d is more than max_replicas, which is %d here",
			settings.MinReplicas, settings.MaxReplicas)
	}
	if path.Level() == LevelModel && settings.MemoryBytes == 0 && !refused.hide(path, "memory") {
		found.Addf(place(path, "memory"), "is not set; every model needs the memory of its weights")
	}
}

// makeModel describes the model or adapter at path.
func makeModel(path Path, settings Settings) Model {
	names := path.names()
	model := Model{
		Name:     path.modelName(),
		Path:     path,
		Service:  names[0],
		Family:   names[1],
		Settings: settings,
	}
	if path.Level() == LevelAdapter {
		model.Base = path.Parent().modelName()
	}
	if model.Settings.Checkpoint == "" {
		model.Settings.Checkpoint = string(model.Name)
	}
	return model
}

// indexModels sorts the models and reports names that stand twice.
func (t *Tree) indexModels(found *findings.List) {
	sort.Slice(t.models, func(i, j int) bool {
		if t.models[i].Name != t.models[j].Name {
			return t.models[i].Name < t.models[j].Name
		}
		return t.models[i].Path < t.models[j].Path
	})
	for index, model := range t.models {
		if first, twice := t.byName[model.Name]; twice {
			found.Addf(string(model.Path), "the name %s is taken by %s; names are unique over the whole tree",
				model.Name, t.models[first].Path)
			continue
		}
		t.byName[model.Name] = index
	}
}

// computeDigest hashes the overrides of all nodes.
func (t *Tree) computeDigest() string {
	hash := sha256.New()
	for _, path := range t.Paths() {
		hash.Write([]byte(path + "\n"))
		for _, key := range sortedKeys(t.nodes[path]) {
			hash.Write([]byte(key + "=" + t.nodes[path][key] + "\n"))
		}
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
