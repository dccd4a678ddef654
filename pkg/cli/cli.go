// Package cli implements the command line of martenwheel: it reads and edits the tree through a
// node's operator API, checks files and shows the state of the system. The program adds the
// commands that run processes.
package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"
)

// Exit codes of all commands.
const (
	ExitOK          = 0 // done
	ExitRefused     = 1 // findings, or the node refused the request
	ExitUsage       = 2 // invalid command line
	ExitUnreachable = 3 // the node or its table service is unreachable
	ExitConflict    = 4 // another operator changed the same setting
)

// exitCodesHelp is the text at the end of the program's help.
const exitCodesHelp = `Exit codes: 0 done, 1 findings or refused, 2 wrong command line,
3 node or table service out of reach, 4 conflict with another operator's change.`

// Streams holds the standard streams of the program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Extra is a command that the program adds. Its flags are bound to variables that Run reads.
type Extra struct {
	Command *flaggy.Subcommand
	Run     func(streams Streams) int
}

// command is a subcommand and the function that runs it.
type command struct {
	parser *flaggy.Subcommand
	run    func(streams Streams) int
}

// Run runs the command named by args, which exclude the program's name, and returns the exit code.
// On --help and on an invalid command line, flaggy itself prints the help and exits the process,
// with 0 and ExitUsage respectively.
func Run(args []string, streams Streams, extras ...Extra) int {
	parser := flaggy.NewParser("martenwheel")
	parser.Description = "serves many rarely used models on few accelerators, steered by a tree of settings"
	parser.AdditionalHelpAppend = exitCodesHelp
	parser.Version = Version()
	parser.ShowVersionWithVersionFlag = false // the command "version" prints it instead
	parser.ShowHelpOnUnexpected = true

	commands := newCommands()
	for _, extra := range extras {
		commands = append(commands, command{parser: extra.Command, run: extra.Run})
	}
	for _, command := range commands {
		parser.AttachSubcommand(command.parser, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(streams.Err, err)
		return ExitUsage
	}
	for _, command := range commands {
		if command.parser.Used {
			return command.run(streams)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

// newCommands returns the commands of this package.
func newCommands() []command {
	return []command{newTreeCommand(), newCheckCommand(), newStatusCommand(), newVersionCommand()}
}

// newSubcommand returns a subcommand with a description and examples.
func newSubcommand(name, description string, examples ...string) *flaggy.Subcommand {
	subcommand := flaggy.NewSubcommand(name)
	subcommand.Description = description
	if len(examples) > 0 {
		subcommand.AdditionalHelpAppend = "Examples:\n  " + strings.Join(examples, "\n  ")
	}
	return subcommand
}
