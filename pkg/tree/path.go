package tree

import (
	"regexp"
	"strings"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
)

// maxNameBytes is the maximum length of one segment of a path.
const maxNameBytes = 64

// namePattern matches a valid segment of a path.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// RootPath is the path of the root.
const RootPath Path = "/"

// String returns the name of the level.
func (l Level) String() string {
	switch l {
	case LevelRoot:
		return "root"
	case LevelService:
		return "service"
	case LevelFamily:
		return "family"
	case LevelModel:
		return "model"
	case LevelAdapter:
		return "adapter"
	default:
		return "below an adapter"
	}
}

// ParsePath validates text and returns it as a path.
func ParsePath(text string) (Path, error) {
	path := Path(text)
	if path == RootPath {
		return path, nil
	}
	if !strings.HasPrefix(text, "/") {
		return "", errors.Errorf("path %q does not begin with /", text)
	}
	names := path.names()
	if Level(len(names)) > LevelAdapter {
		return "", errors.Errorf("path %q is deeper than service, family, model and adapter", text)
	}
	for _, name := range names {
		if err := checkName(name); err != nil {
			return "", errors.WithMessagef(err, "path %q", text)
		}
	}
	return path, nil
}

// checkName validates one segment of a path.
func checkName(name string) error {
	if len(name) > maxNameBytes {
		return errors.Errorf("name %.20q... is longer than %d bytes", name, maxNameBytes)
	}
	if !namePattern.MatchString(name) {
		return errors.Errorf("name %q must be letters, digits and ._- and begin with a letter or digit", name)
	}
	return nil
}

// Level returns the depth of the path.
func (p Path) Level() Level {
	return Level(len(p.names()))
}

// Parent returns the parent of p. The root is its own parent.
func (p Path) Parent() Path {
	cut := strings.LastIndexByte(string(p), '/')
	if cut <= 0 {
		return RootPath
	}
	return p[:cut]
}

// Name returns the last segment of the path, or "" for the root.
func (p Path) Name() string {
	return string(p[strings.LastIndexByte(string(p), '/')+1:])
}

// Child returns the path of the child of p with the given name.
func (p Path) Child(name string) Path {
	if p == RootPath {
		return Path("/" + name)
	}
	return p + "/" + Path(name)
}

// Contains reports whether other is p or below it.
func (p Path) Contains(other Path) bool {
	return p == RootPath || p == other || strings.HasPrefix(string(other), string(p)+"/")
}

// ancestors returns p and all paths above it, the root first.
func (p Path) ancestors() []Path {
	paths := []Path{RootPath}
	for _, name := range p.names() {
		paths = append(paths, paths[len(paths)-1].Child(name))
	}
	return paths
}

// names returns the segments of the path.
func (p Path) names() []string {
	if p == RootPath || p == "" {
		return nil
	}
	return strings.Split(string(p[1:]), "/")
}

// modelName returns the name that callers use for the model or adapter.
func (p Path) modelName() api.ModelName {
	if p.Level() == LevelAdapter {
		return api.ModelName(p.Parent().Name() + ":" + p.Name())
	}
	return api.ModelName(p.Name())
}
