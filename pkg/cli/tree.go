package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/tree"
)

// editTries bounds how often a change whose answer was lost is sent. It is sent
// under the same ID, so it applies once.
const editTries = 3

// newTreeCommand returns the command "tree" with its subcommands.
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

// printTree prints the tree in force.
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
	parser.AddPositionalValue(&path, "path", 1, true, "node of the tree")
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

// changeFlags are the flags of all commands that edit the tree.
type changeFlags struct {
	node connection
	id   string
	base uint64
}

// bind adds the flags to a command.
func (f *changeFlags) bind(parser *flaggy.Subcommand) {
	f.node.bind(parser)
	parser.String(&f.id, "", "id", "ID of the change, to repeat one whose outcome is unknown")
	parser.UInt64(&f.base, "", "base", "revision that you saw; a later change of the same setting is a conflict")
}

// commit sends edits as one change.
func (f *changeFlags) commit(streams Streams, edits ...tree.Edit) int {
	return f.node.call(streams, func(ctx context.Context, client *operator.Client) error {
		return f.send(ctx, streams, client, tree.Revision(f.base), edits)
	})
}

// send sends edits as one change, again if its answer is lost.
func (f *changeFlags) send(ctx context.Context, streams Streams, client *operator.Client, base tree.Revision, edits []tree.Edit) error {
	request := operator.EditRequest{ID: f.id, Base: base, Edits: edits}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var (
		answer operator.EditAnswer
		err    error
	)
	for range editTries {
		answer, err = client.Edit(ctx, request)
		if err == nil {
			fmt.Fprintf(streams.Out, "accepted as revision %d\n", answer.Revision)
			return nil
		}
		if !inDoubt(err) {
			return err
		}
	}
	fmt.Fprintf(streams.Err, "the outcome is unknown; to settle it, repeat the command with --id %s\n", request.ID)
	return err
}

// inDoubt tells whether a change may have been accepted although err came.
func inDoubt(err error) bool {
	var refused *operator.RequestError
	if errors.As(err, &refused) {
		return refused.Detail.Code == operator.CodeOutcomeUnknown
	}
	return errors.Is(err, operator.ErrNoAnswer)
}

func newTreeSet() command {
	var (
		flags            changeFlags
		path, assignment string
	)
	parser := newSubcommand("set", "set one key at a node of the tree, and create the node if needed",
		"martenwheel tree set /assistant keep_alive=5m",
		"martenwheel tree set /assistant/llama/glaze-7b max_replicas=3 --base 41")
	parser.AddPositionalValue(&path, "path", 1, true, "node of the tree")
	parser.AddPositionalValue(&assignment, "key=value", 2, true, "setting and its new value with unit")
	flags.bind(parser)
	run := func(streams Streams) int {
		key, value, assigned := strings.Cut(assignment, "=")
		if !assigned || key == "" {
			fmt.Fprintf(streams.Err, "%q is not KEY=VALUE\n", assignment)
			return ExitUsage
		}
		return flags.commit(streams, tree.Edit{Path: tree.Path(path), Key: key, Value: value})
	}
	return command{parser: parser, run: run}
}

func newTreeUnset() command {
	var (
		flags     changeFlags
		path, key string
	)
	parser := newSubcommand("unset", "let a node of the tree inherit one key again",
		"martenwheel tree unset /assistant keep_alive")
	parser.AddPositionalValue(&path, "path", 1, true, "node of the tree")
	parser.AddPositionalValue(&key, "key", 2, true, "setting")
	flags.bind(parser)
	run := func(streams Streams) int {
		return flags.commit(streams, tree.Edit{Path: tree.Path(path), Key: key, Unset: true})
	}
	return command{parser: parser, run: run}
}

func newTreeRemove() command {
	var (
		flags changeFlags
		path  string
	)
	parser := newSubcommand("remove", "remove a node of the tree with all below it",
		"martenwheel tree remove /assistant/llama/glaze-7b/studio-3")
	parser.AddPositionalValue(&path, "path", 1, true, "node of the tree")
	flags.bind(parser)
	run := func(streams Streams) int {
		return flags.commit(streams, tree.Edit{Path: tree.Path(path), Remove: true})
	}
	return command{parser: parser, run: run}
}

func newTreeApply() command {
	var (
		flags changeFlags
		file  string
	)
	parser := newSubcommand("apply", "make the tree like a file",
		"martenwheel tree get > tree.yaml; $EDITOR tree.yaml; martenwheel tree apply tree.yaml")
	parser.AddPositionalValue(&file, "file", 1, true, "tree as YAML; its revision, if given, is the one that you edited")
	flags.bind(parser)
	run := func(streams Streams) int {
		wanted, code := readTreeFile(streams, file)
		if code != ExitOK {
			return code
		}
		return flags.node.call(streams, func(ctx context.Context, client *operator.Client) error {
			base, edits, err := editsToward(ctx, client, wanted)
			if err != nil {
				return err
			}
			if len(edits) == 0 {
				fmt.Fprintln(streams.Out, "nothing to change")
				return nil
			}
			return flags.send(ctx, streams, client, base, edits)
		})
	}
	return command{parser: parser, run: run}
}

// editsToward returns the edits that were made to the tree in a file, and the
// revision that they were made to. Without a revision in the file, that is the
// tree in force.
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

// readTreeFile reads a tree and reports its findings.
func readTreeFile(streams Streams, file string) (*tree.Tree, int) {
	data, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return nil, ExitUsage
	}
	wanted, err := tree.ParseNamed(file, data)
	return wanted, report(streams, err)
}

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

// diffEdits returns the edits toward wanted or, if it is nil, between revisions.
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

// describeEdit writes an edit in one line.
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

// printTable prints rows under a header; cells are separated by tabs.
func printTable[Row any](out io.Writer, header string, rows []Row, format func(Row) string) error {
	writer := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, header)
	for _, row := range rows {
		fmt.Fprintln(writer, format(row))
	}
	return errors.Wrap(writer.Flush(), "print table")
}
