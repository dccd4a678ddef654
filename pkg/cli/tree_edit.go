package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/tree"
)

// maxEditAttempts is how often a change is sent whose answer got lost. All attempts have the same ID, so
// the change applies once.
const maxEditAttempts = 3

// changeFlags holds the flags of all commands that edit the tree.
type changeFlags struct {
	node connection
	id   string
	base uint64
}

// bind adds the flags to a subcommand.
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

// send sends edits as one change, and retries if the answer gets lost.
func (f *changeFlags) send(ctx context.Context, streams Streams, client *operator.Client, base tree.Revision, edits []tree.Edit) error {
	request := operator.EditRequest{ID: f.id, Base: base, Edits: edits}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	var (
		answer operator.EditAnswer
		err    error
	)
	for range maxEditAttempts {
		answer, err = client.Edit(ctx, request)
		if err == nil {
			fmt.Fprintf(streams.Out, "accepted as revision %d\n", answer.Revision)
			return nil
		}
		if !outcomeUnknown(err) {
			return err
		}
	}
	fmt.Fprintf(streams.Err, "the outcome is unknown; to settle it, repeat the command with --id %s\n", request.ID)
	return err
}

// outcomeUnknown reports whether the change may have been accepted despite err.
func outcomeUnknown(err error) bool {
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
	addPath(parser, &path)
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
	addPath(parser, &path)
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
	addPath(parser, &path)
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
