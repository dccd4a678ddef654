package tree

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/settings/document"
)

// MaxTreeBytes is the maximum size of the YAML text of a tree.
const MaxTreeBytes = 32 << 20

// revisionKey is the root key of the YAML text that holds the revision.
const revisionKey = "revision"

// childrenKeys maps each level to the key that holds the nodes one level below.
var childrenKeys = map[Level]string{
	LevelRoot:    "services",
	LevelService: "families",
	LevelFamily:  "models",
	LevelModel:   "adapters",
}

// Parse parses a tree from YAML. The error contains all findings with line, path and key.
func Parse(data []byte) (*Tree, error) {
	return ParseNamed("line", data)
}

// ParseNamed is Parse for a file. Its findings begin with the name of the file.
func ParseNamed(name string, data []byte) (*Tree, error) {
	reader := reader{
		name:    name,
		nodes:   map[Path]overrides{RootPath: {}},
		refused: make(refusedKeys),
		lines:   map[string]int{string(RootPath): 1},
	}
	if len(data) > MaxTreeBytes {
		reader.found.Addf(name, "the tree has %d bytes, more than %d", len(data), MaxTreeBytes)
		return nil, reader.found.Err()
	}
	root, err := document.Read(data)
	if err != nil {
		reader.found.Addf(name, "%v", err)
		return nil, reader.found.Err()
	}
	if root != nil {
		reader.readNode(RootPath, root)
	}
	return reader.finish()
}

// reader converts a YAML document into the nodes of a tree.
type reader struct {
	name     string
	revision Revision
	nodes    map[Path]overrides
	refused  refusedKeys
	lines    map[string]int // by path, and by path and key
	found    findings.List
}

// finish builds the tree and adds line numbers to the findings.
func (r *reader) finish() (*Tree, error) {
	tree, err := build(r.revision, r.nodes, r.refused)
	var reported *findings.Error
	if errors.As(err, &reported) {
		for _, finding := range reported.Findings {
			r.found.Addf(r.locate(finding.Place), "%s", finding.Message)
		}
	}
	if err := r.found.Err(); err != nil {
		return nil, err
	}
	return tree, nil
}

// locate prepends the file and line to the place of a finding.
func (r *reader) locate(place string) string {
	line, known := r.lines[place]
	if !known {
		path, _, _ := bytes.Cut([]byte(place), []byte(" "))
		line = r.lines[string(path)]
	}
	return r.formatPlace(line, place)
}

// formatPlace formats a place in the file.
func (r *reader) formatPlace(line int, place string) string {
	separator := ":"
	if r.name == "line" {
		separator = " "
	}
	return fmt.Sprintf("%s%s%d %s", r.name, separator, line, place)
}

// readNode reads the mapping of the node at path.
func (r *reader) readNode(path Path, node *yaml.Node) {
	r.lines[string(path)] = node.Line
	r.eachEntry(string(path), node, func(key, value *yaml.Node) {
		switch key.Value {
		case childrenKeys[path.Level()]:
			r.readChildren(path, key.Value, value)
		case revisionKey:
			r.readRevision(path, value)
		default:
			r.readSetting(path, key, value)
		}
	})
}

// readChildren reads the nodes one level below path.
func (r *reader) readChildren(path Path, group string, node *yaml.Node) {
	r.eachEntry(findingPlace(path, group), node, func(key, value *yaml.Node) {
		if err := checkName(key.Value); err != nil {
			r.found.Addf(r.formatPlace(key.Line, findingPlace(path, group)), "%v", err)
			return
		}
		child := path.Child(key.Value)
		r.nodes[child] = overrides{}
		r.lines[string(child)] = key.Line
		r.readNode(child, value)
	})
}

// readRevision reads the revision of the tree.
func (r *reader) readRevision(path Path, value *yaml.Node) {
	if path != RootPath {
		r.found.Addf(r.formatPlace(value.Line, findingPlace(path, revisionKey)), "stands only at the root of the file")
		return
	}
	revision, err := strconv.ParseUint(value.Value, 10, 64)
	if err != nil {
		r.found.Addf(r.formatPlace(value.Line, findingPlace(path, revisionKey)), "%q is no revision", value.Value)
		return
	}
	r.revision = Revision(revision)
}

// readSetting reads one setting of the node at path.
func (r *reader) readSetting(path Path, key, value *yaml.Node) {
	here := findingPlace(path, key.Value)
	r.lines[here] = value.Line
	if value.Kind != yaml.ScalarNode || value.Tag == "!!null" {
		r.refused.add(path, key.Value)
		if _, known := keysByName[key.Value]; !known {
			r.found.Addf(r.formatPlace(key.Line, here), "%s", unknownKey(path.Level(), key.Value))
			return
		}
		r.found.Addf(r.formatPlace(value.Line, here), "must be a single value")
		return
	}
	canonical, err := checkSetting(path.Level(), key.Value, value.Value)
	if err != nil {
		r.refused.add(path, key.Value)
		r.found.Addf(r.formatPlace(value.Line, here), "%v", err)
		return
	}
	r.nodes[path][key.Value] = canonical
}

// eachEntry calls visit for each entry of a mapping and reports duplicate keys. It treats an empty node as
// an empty mapping.
func (r *reader) eachEntry(here string, node *yaml.Node, visit func(key, value *yaml.Node)) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.MappingNode {
		r.found.Addf(r.formatPlace(node.Line, here), "must be a mapping, without aliases")
		return
	}
	seen := make(map[string]bool, len(node.Content)/2)
	for index := 0; index+1 < len(node.Content); index += 2 {
		key, value := node.Content[index], node.Content[index+1]
		if key.Kind != yaml.ScalarNode {
			r.found.Addf(r.formatPlace(key.Line, here), "keys must be plain text")
			continue
		}
		if seen[key.Value] {
			r.found.Addf(r.formatPlace(key.Line, here), "%q stands twice", key.Value)
			continue
		}
		seen[key.Value] = true
		visit(key, value)
	}
}

// checkSetting checks that the key may be set to text at the level, and returns the canonical text.
func checkSetting(level Level, name, text string) (string, error) {
	key, known := keysByName[name]
	if !known {
		return "", errors.New(unknownKey(level, name))
	}
	if !key.AllowedAt(level) {
		return "", errors.Errorf("may not be set at a %s, only at: %s", level, joinLevels(key.Levels))
	}
	return key.Parse(text)
}

// unknownKey returns the message for an unknown key, with the key that holds child nodes at the level.
func unknownKey(level Level, name string) string {
	if children, nested := childrenKeys[level]; nested {
		return fmt.Sprintf("unknown key %q; nodes below a %s stand under %q", name, level, children)
	}
	return fmt.Sprintf("unknown key %q", name)
}

// joinLevels returns the names of levels, separated by commas.
func joinLevels(levels []Level) string {
	text := ""
	for index, level := range levels {
		if index > 0 {
			text += ", "
		}
		text += level.String()
	}
	return text
}

// Marshal returns the tree with its revision as YAML that Parse can read.
func (t *Tree) Marshal() []byte {
	children := make(map[Path][]Path)
	for _, path := range t.Paths() {
		if path != RootPath {
			children[path.Parent()] = append(children[path.Parent()], path)
		}
	}
	root := t.yamlNode(RootPath, children)
	if t.revision > 0 {
		revision := []*yaml.Node{scalarNode(revisionKey), {Kind: yaml.ScalarNode, Value: strconv.FormatUint(uint64(t.revision), 10)}}
		root.Content = append(revision, root.Content...)
	}
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(2)
	if err := encoder.Encode(root); err != nil {
		panic(errors.WithMessage(err, "encode a validated tree"))
	}
	return buffer.Bytes()
}

// yamlNode returns the mapping of the node at path.
func (t *Tree) yamlNode(path Path, children map[Path][]Path) *yaml.Node {
	own, _ := t.own(path)
	node := &yaml.Node{Kind: yaml.MappingNode}
	for _, key := range Keys {
		if value, set := own[key.Name]; set {
			node.Content = append(node.Content, scalarNode(key.Name), valueNode(key, value))
		}
	}
	if len(children[path]) == 0 {
		return node
	}
	group := &yaml.Node{Kind: yaml.MappingNode}
	for _, child := range children[path] {
		group.Content = append(group.Content, scalarNode(child.Name()), t.yamlNode(child, children))
	}
	node.Content = append(node.Content, scalarNode(childrenKeys[path.Level()]), group)
	return node
}

// scalarNode returns text as a YAML string.
func scalarNode(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: text}
}

// valueNode returns the value of a key as a YAML node: free text as a string, others as plain scalars.
func valueNode(key Key, value string) *yaml.Node {
	if key.Unit == textUnit {
		return scalarNode(value)
	}
	return &yaml.Node{Kind: yaml.ScalarNode, Value: value}
}
