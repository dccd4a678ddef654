// Command martenwheel-lab runs martenwheel's decisions in virtual time against an emulated
// platform, and compares the results. It also sends load to running nodes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitViolations  = 3   // a violation, or a lost, duplicated or mixed-up answer
	exitInterrupted = 130 // interrupted; partial results are written
)

// command is a subcommand and the function that runs it.
type command struct {
	*flaggy.Subcommand
	run func(context.Context) (exitCode int, err error)
}

const examples = `
  Examples:
    martenwheel-lab run --scenario delta-piney --seed 1 --out out/adaptive
    martenwheel-lab run --scenario delta-piney --seed 1 --policy fixed-keepalive --out out/fixed
    martenwheel-lab run --scenario hornada --seed 7 --faults mixed \
        --set services.assistant.settings.coldStartWeight=0.5 --out out/mixed
    martenwheel-lab compare out/adaptive out/fixed
    martenwheel-lab report out/adaptive
    martenwheel-lab load --node 10.0.1.5:8080 --host site.example --path /draft/ \
        --deadline-header X-Deadline-Ms --resumes-header X-Resumes --rate 50 --for 1m

  Exit codes: 0 done, 1 failed, 2 bad usage, 3 a request was lost or a guarantee
  was violated, 130 interrupted (partial results are written).`

func main() {
	commands := []command{runCommand(), compareCommand(), reportCommand(), loadCommand()}
	parser := flaggy.NewParser("martenwheel-lab")
	parser.Description = "Runs martenwheel's decisions in virtual time against an emulated platform."
	parser.AdditionalHelpAppend = examples
	parser.DisableShowVersionWithVersion()
	for _, c := range commands {
		parser.AttachSubcommand(c.Subcommand, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.Used {
			continue
		}
		code, err := c.run(ctx)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(code)
	}
	parser.ShowHelp()
	os.Exit(exitUsage)
}
