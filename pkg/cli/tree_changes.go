package cli

import (
	"context"
	"fmt"
	"time"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/tree"
)

func newTreeDiff() command {
	var (
		node     connection
		file     string
		from, to uint64
	)
	parser := newSubcommand("diff", "print the edits that a file makes to the tree, or those between two revisions",
		"martenwheel tree diff tree.yaml",
		"martenwheel tree diff --from 41 --to 44")
	parser.AddPositionalValue(&file, "file", 1, false, "tree as YAML")
	parser.UInt64(&from, "", "from", "older revision")
	parser.UInt64(&to, "", "to", "newer revision; none: the one in force")
	node.bind(parser)
	run := func(streams Streams) int {
		var wanted *tree.Tree
		if file != "" {
			read, code := readTreeFile(streams, file)
			if code != ExitOK {
				return code
			}
			wanted = read
		}
		return node.call(streams, func(ctx context.Context, client *operator.Client) error {
			edits, err := diffEdits(ctx, client, wanted, tree.Revision(from), tree.Revision(to))
			if err != nil {
				return err
			}
			for _, edit := range edits {
				fmt.Fprintln(streams.Out, describeEdit(edit))
			}
			return nil
		})
	}
	return command{parser: parser, run: run}
}

// diffEdits returns the edits that lead to wanted or, if it is nil, from one revision to another.
func diffEdits(ctx context.Context, client *operator.Client, wanted *tree.Tree, from, to tree.Revision) ([]tree.Edit, error) {
	if wanted != nil {
		_, edits, err := editsToward(ctx, client, wanted)
		return edits, err
	}
	answer, err := client.Diff(ctx, from, to)
	return answer.Edits, err
}

func newTreeHistory() command {
	var node connection
	count := 20
	parser := newSubcommand("history", "print the last accepted changes, the newest first",
		"martenwheel tree history --count 5")
	parser.Int(&count, "n", "count", "number of changes")
	node.bind(parser)
	run := func(streams Streams) int {
		return node.call(streams, func(ctx context.Context, client *operator.Client) error {
			answer, err := client.History(ctx, count)
			if err != nil {
				return err
			}
			for _, change := range answer.Changes {
				fmt.Fprintf(streams.Out, "revision %d by %s at %s (%s)\n", change.Revision, change.Author, change.At.UTC().Format(time.RFC3339), change.ID)
				for _, edit := range change.Edits {
					fmt.Fprintln(streams.Out, "  "+describeEdit(edit))
				}
			}
			return nil
		})
	}
	return command{parser: parser, run: run}
}

// describeEdit formats an edit as one line.
func describeEdit(edit tree.Edit) string {
	switch {
	case edit.Remove:
		return "remove " + string(edit.Path)
	case edit.Unset:
		return fmt.Sprintf("unset  %s %s", edit.Path, edit.Key)
	case edit.Key == "":
		return "create " + string(edit.Path)
	default:
		return fmt.Sprintf("set    %s %s=%s", edit.Path, edit.Key, edit.Value)
	}
}

// editsToward returns the edits that lead from the revision given in a tree file to the file's
// content, and that revision. Without a revision in the file, the current tree is the starting
// point.
func editsToward(ctx context.Context, client *operator.Client, wanted *tree.Tree) (tree.Revision, []tree.Edit, error) {
	read := client.Tree
	if wanted.Revision() > 0 {
		read = func(ctx context.Context) (*tree.Tree, error) { return client.TreeAt(ctx, wanted.Revision()) }
	}
	before, err := read(ctx)
	if err != nil {
		return 0, nil, err
	}
	return before.Revision(), tree.Diff(before, wanted), nil
}
