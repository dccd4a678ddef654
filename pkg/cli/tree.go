package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/tree"
)

// newTreeCommand returns the "tree" command with its subcommands.
func newTreeCommand() command {
	parent := newSubcommand("tree", "read and edit the tree of settings")
	children := []command{
		newTreeGet(), newTreeSet(), newTreeUnset(), newTreeRemove(), newTreeApply(),
		newTreeDiff(), newTreeHistory(), newTreeExplain(),
	}
	for _, child := range children {
		parent.AttachSubcommand(child.parser, 1)
	}
	run := func(streams Streams) int {
		for _, child := range children {
			if child.parser.Used {
				return child.run(streams)
			}
		}
		fmt.Fprintln(streams.Err, "tree needs one of: get, set, unset, remove, apply, diff, history, explain (see martenwheel tree --help)")
		return ExitUsage
	}
	return command{parser: parent, run: run}
}

// addPath adds the argument for the path of a node in the tree.
func addPath(parser *flaggy.Subcommand, path *string) {
	parser.AddPositionalValue(path, "path", 1, true, "node of the tree")
}

func newTreeGet() command {
	var (
		node connection
		path string
	)
	parser := newSubcommand("get", "print the tree in force as YAML, or the effective settings of one node of it",
		"martenwheel tree get > tree.yaml",
		"martenwheel tree get /assistant/llama/glaze-7b")
	parser.AddPositionalValue(&path, "path", 1, false, "node of the tree; none: the whole tree")
	node.bind(parser)
	run := func(streams Streams) int {
		return node.call(streams, func(ctx context.Context, client *operator.Client) error {
			if path == "" {
				return printTree(ctx, streams.Out, client)
			}
			answer, err := client.Explain(ctx, tree.Path(path))
			if err != nil {
				return err
			}
			for _, origin := range answer.Origins {
				fmt.Fprintf(streams.Out, "%s: %s\n", origin.Key, origin.Value)
			}
			return nil
		})
	}
	return command{parser: parser, run: run}
}

// printTree prints the current tree.
func printTree(ctx context.Context, out io.Writer, client *operator.Client) error {
	current, err := client.Tree(ctx)
	if err != nil {
		return err
	}
	_, err = out.Write(current.Marshal())
	return errors.Wrap(err, "print the tree")
}

func newTreeExplain() command {
	var (
		node connection
		path string
	)
	parser := newSubcommand("explain", "tell where each effective setting of a node of the tree comes from",
		"martenwheel tree explain /assistant/llama/glaze-7b")
	addPath(parser, &path)
	node.bind(parser)
	run := func(streams Streams) int {
		return node.call(streams, func(ctx context.Context, client *operator.Client) error {
			answer, err := client.Explain(ctx, tree.Path(path))
			if err != nil {
				return err
			}
			return printTable(streams.Out, "KEY\tVALUE\tFROM", answer.Origins, func(origin tree.Origin) string {
				from := string(origin.From)
				if from == "" {
					from = "(default)"
				}
				return fmt.Sprintf("%s\t%s\t%s", origin.Key, origin.Value, from)
			})
		})
	}
	return command{parser: parser, run: run}
}

// readTreeFile parses a tree file, prints its findings and returns the exit code.
func readTreeFile(streams Streams, file string) (*tree.Tree, int) {
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return nil, ExitUsage
	}
	wanted, err := tree.ParseNamed(file, data)
	return wanted, report(streams, err)
}

// printTable prints rows under a header, with cells separated by tabs.
func printTable[Row any](out io.Writer, header string, rows []Row, format func(Row) string) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	for _, row := range rows {
		fmt.Fprintln(writer, format(row))
	}
	return errors.Wrap(writer.Flush(), "print table")
}
