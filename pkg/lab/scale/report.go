package scale

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Report is what one run measured. Times are the worst of their kind.
type Report struct {
	Nodes    int `json:"nodes"`
	Servers  int `json:"servers"`
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	Regions  int `json:"regions"`
	Zones    int `json:"zones"`
	Cells    int `json:"cells"`
	Loaded   int `json:"loaded"` // replicas that stay loaded

	// Failure says in which phase the run ended early and why; the figures of
	// that phase and those after it are missing then.
	Failure string `json:"failure,omitempty"`

	MemoryBytes uint64  `json:"memory_bytes"` // heap and stacks per node
	Connections float64 `json:"connections"`  // to other nodes, per node, in the quiet phase
	Quiet       Usage   `json:"quiet"`
	Wakes       Usage   `json:"wakes"`
	Edits       Usage   `json:"edits"`
	WakeCount   int     `json:"wake_count"`
	EditCount   int     `json:"edit_count"`

	FormSeconds          float64 `json:"form_seconds"`
	WakeSeconds          float64 `json:"wake_seconds"` // until ready, of which the load takes 0.3
	EditSeconds          float64 `json:"edit_seconds"` // from acceptance until in force on the last node
	NoticeSeconds        float64 `json:"notice_seconds"`
	TakeoverSeconds      float64 `json:"takeover_seconds"`
	TakeoverKnownSeconds float64 `json:"takeover_known_seconds"` // to all routers of the region
}

func newReport(c Config) Report {
	return Report{
		Nodes: c.Nodes, Servers: c.Servers, Models: c.Models, Adapters: c.Adapters,
		Regions: c.Regions, Zones: c.Zones, Cells: c.Services * c.Regions,
		WakeCount: c.Wakes, EditCount: c.Edits,
	}
}

// Costs are the costs per node of an event anywhere.
type Costs struct {
	Bytes     float64 `json:"bytes"`
	Processor float64 `json:"processor_seconds"`
}

// perEvent returns what an event costs each node beyond a quiet time.
func (r Report) perEvent(phase Usage, count int) Costs {
	if count == 0 {
		return Costs{}
	}
	extra := phase.Seconds / float64(count)
	return Costs{
		Bytes:     (phase.BytesPerSecond - r.Quiet.BytesPerSecond) * extra,
		Processor: (phase.ProcessorShare - r.Quiet.ProcessorShare) * extra,
	}
}

// PerWake returns what a model that wakes and falls idle costs each node.
func (r Report) PerWake() Costs {
	return r.perEvent(r.Wakes, r.WakeCount)
}

// PerEdit returns what a change of the tree costs each node.
func (r Report) PerEdit() Costs {
	return r.perEvent(r.Edits, r.EditCount)
}

// Daily returns the bytes a second and the processor share per node at the
// rates of wakes and edits that go with the run's size.
func (r Report) Daily() (bytesPerSecond, processorShare float64) {
	models := float64(r.Models+r.Adapters) / (targetModels + targetAdapters)
	wakes := models * targetWakesPerHour / 3600
	const edits = targetEditsPerDay / 86400.0
	perWake, perEdit := r.PerWake(), r.PerEdit()
	return r.Quiet.BytesPerSecond + wakes*perWake.Bytes + edits*perEdit.Bytes,
		r.Quiet.ProcessorShare + wakes*perWake.Processor + edits*perEdit.Processor
}

// WriteJSON writes the reports as JSON.
func WriteJSON(out io.Writer, reports []Report) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.WithStack(encoder.Encode(reports))
}

// WriteTable writes the reports as tables to read.
func WriteTable(out io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "nodes\tservers\tmodels\tcells\tCPU quiet\tCPU daily\tMB\tconns\tB/s quiet\tB/s daily\tmsg/s\tengine B/s\tB/wake\tB/edit\twake s\tedit s\tnotice s\ttakeover s\tknown s\t")
	for _, r := range reports {
		bytes, processor := r.Daily()
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.2f%%\t%.2f%%\t%.1f\t%.0f\t%.0f\t%.0f\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n",
			r.Nodes, r.Servers, r.Models+r.Adapters, r.Cells, 100*r.Quiet.ProcessorShare, 100*processor,
			float64(r.MemoryBytes)/1e6, r.Connections, r.Quiet.BytesPerSecond, bytes, r.Quiet.MessagesPerSecond, r.Quiet.EngineBytesPerSecond,
			r.PerWake().Bytes, r.PerEdit().Bytes,
			r.WakeSeconds, r.EditSeconds, r.NoticeSeconds, r.TakeoverSeconds, r.TakeoverKnownSeconds)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for _, r := range reports {
		if r.Failure != "" {
			fmt.Fprintf(out, "\npartial: %s\n", r.Failure)
		}
	}
	return writeTypes(out, reports[len(reports)-1])
}

// writeTypes writes the shares of the message types in the largest run.
func writeTypes(out io.Writer, r Report) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nBytes a second per node by message type, %d nodes\nquiet\twakes\tedits\ttype\n", r.Nodes)
	names := make(map[string]float64)
	for _, phase := range []Usage{r.Quiet, r.Wakes, r.Edits} {
		for name, typed := range phase.ByType {
			names[name] = max(names[name], typed.BytesPerSecond)
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(names[b], names[a]), cmp.Compare(a, b))
	})
	for _, name := range sorted {
		fmt.Fprintf(table, "%.0f\t%.0f\t%.0f\t%s\n", r.Quiet.ByType[name].BytesPerSecond,
			r.Wakes.ByType[name].BytesPerSecond, r.Edits.ByType[name].BytesPerSecond, name)
	}
	return errors.WithStack(table.Flush())
}
