package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/settings/units"
)

func newStatusCommand() command {
	var node connection
	output := "table"
	parser := newSubcommand("status", "show nodes, cells, servers, replicas and queues as one node knows them",
		"martenwheel status",
		"martenwheel status --address http://10.0.0.5:8081 --output json")
	parser.String(&output, "o", "output", "table or json")
	node.bind(parser)
	run := func(streams Streams) int {
		if output != "table" && output != "json" {
			fmt.Fprintf(streams.Err, "--output %q is neither table nor json\n", output)
			return ExitUsage
		}
		return node.call(streams, func(ctx context.Context, client *operator.Client) error {
			status, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if output == "json" {
				encoder := json.NewEncoder(streams.Out)
				encoder.SetIndent("", "  ")
				return errors.Wrap(encoder.Encode(status), "print status")
			}
			return printStatus(streams.Out, status)
		})
	}
	return command{parser: parser, run: run}
}

// printStatus prints the state of the system as tables.
func printStatus(out io.Writer, status operator.Status) error {
	fmt.Fprintf(out, "as known to %s in %s at %s, tree revision %d\n\n",
		status.Node, status.Region, status.At.UTC().Format(time.RFC3339), status.TreeRevision)
	tables := []func(io.Writer, operator.Status) error{printNodes, printCells, printServers, printReplicas, printQueues}
	for index, print := range tables {
		if index > 0 {
			fmt.Fprintln(out)
		}
		if err := print(out, status); err != nil {
			return err
		}
	}
	return nil
}

func printNodes(out io.Writer, status operator.Status) error {
	return printTable(out, "NODE\tSTATE\tZONE\tREGION\tADDRESS\tTREE", status.Nodes, func(node operator.NodeStatus) string {
		revision := "-" // unknown to the answering node
		if node.TreeRevision > 0 {
			revision = fmt.Sprint(node.TreeRevision)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", node.ID, node.State, node.Zone, node.Region, node.Address, revision)
	})
}

func printCells(out io.Writer, status operator.Status) error {
	return printTable(out, "CELL\tOWNER\tTERM\tVERSION\tMEMBERS", status.Cells, func(cell operator.CellStatus) string {
		return fmt.Sprintf("%s\t%s\t%d\t%d\t%v", cell.Name, cell.Owner, cell.Term, cell.Version, cell.Members)
	})
}

func printServers(out io.Writer, status operator.Status) error {
	return printTable(out, "SERVER\tCELL\tZONE\tADDRESS\tRESERVED\tCAPACITY\tNOTE", status.Servers, func(server operator.ServerStatus) string {
		note := ""
		if server.Leaving {
			note += "leaving "
		}
		if !server.Reachable {
			note += "unreachable"
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s", server.ID, server.Cell, server.Zone, server.Address,
			units.FormatBytes(server.ReservedBytes), units.FormatBytes(server.CapacityBytes), note)
	})
}

func printReplicas(out io.Writer, status operator.Status) error {
	return printTable(out, "MODEL\tSERVER\tCELL\tSTATE\tREADY BY", status.Replicas, func(replica operator.ReplicaStatus) string {
		readyBy := ""
		if replica.ReadyBy != nil {
			readyBy = replica.ReadyBy.UTC().Format(time.RFC3339)
		}
		return fmt.Sprintf("%s\t%s\t%s\t%s\t%s", replica.Model, replica.Server, replica.Cell, replica.State, readyBy)
	})
}

func printQueues(out io.Writer, status operator.Status) error {
	return printTable(out, "MODEL\tWAITING\tIN FLIGHT", status.Queues, func(queue operator.QueueStatus) string {
		return fmt.Sprintf("%s\t%d\t%d", queue.Model, queue.Waiting, queue.InFlight)
	})
}
