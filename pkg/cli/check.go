package cli

import (
	"fmt"
	"os"
	"strings"

	"gopkg.in/yaml.v3"

	"martenwheel.dev/pkg/settings"
	"martenwheel.dev/pkg/settings/document"
	"martenwheel.dev/pkg/tree"
)

func newCheckCommand() command {
	var file string
	parser := newSubcommand("check", "check a settings file or a tree and report all findings; changes nothing",
		"martenwheel check node.yaml",
		"martenwheel check tree.yaml")
	parser.AddPositionalValue(&file, "file", 1, true, "settings of a process, or a tree, as YAML")
	run := func(streams Streams) int {
		data, err := os.ReadFile(file)
		if err != nil {
			fmt.Fprintln(streams.Err, err)
			return ExitUsage
		}
		kind, err := "tree", error(nil)
		if isSettings(data) {
			kind = "settings file"
			_, err = settings.Load(file, nil)
		} else {
			_, err = tree.ParseNamed(file, data)
		}
		if code := report(streams, err); code != ExitOK {
			return code
		}
		fmt.Fprintf(streams.Out, "%s: a valid %s\n", file, kind)
		return ExitOK
	}
	return command{parser: parser, run: run}
}

// isSettings reports whether a file has an entry that only the settings of a process have. All
// other files are treated as trees.
func isSettings(data []byte) bool {
	root, err := document.Read(data)
	if err != nil || root == nil || root.Kind != yaml.MappingNode {
		return false
	}
	for index := 0; index+1 < len(root.Content); index += 2 {
		if onlyInSettings(root.Content[index].Value) {
			return true
		}
	}
	return false
}

// onlyInSettings reports whether name is a top-level entry of the settings of a process and not a
// key of the tree.
func onlyInSettings(name string) bool {
	if _, inTree := tree.FindKey(name); inTree {
		return false
	}
	for _, field := range settings.Fields {
		group, _, _ := strings.Cut(field.Name, ".")
		if group == name {
			return true
		}
	}
	return false
}
