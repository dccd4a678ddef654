package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// reportTemplate is the HTML page of a report. It loads no external resources.
var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>{{.Title}}</title>
<style>
body { font: 15px sans-serif; margin: 2em auto; max-width: 60em; }
table { border-collapse: collapse; }
th, td { padding: 0.2em 0.8em; text-align: right; border-bottom: 1px solid #ccc; }
th:first-child, td:first-child { text-align: left; }
</style>
<h1>{{.Title}}</h1>
<table>
<tr><th>run</th><th>cold p50 s</th><th>cold p99 s</th><th>wakes</th><th>idle hours</th><th>loaded hours</th><th>loads</th><th>served</th><th>refused</th><th>lost</th><th>violations</th></tr>
{{range .Runs}}<tr><td>{{.Label}}{{if .Result.Partial}} (partial){{end}}</td>
<td>{{printf "%.2f" .Result.ColdStartSeconds.P50}}</td><td>{{printf "%.2f" .Result.ColdStartSeconds.P99}}</td>
<td>{{.Result.ColdStartSeconds.Count}}</td><td>{{printf "%.1f" .Result.IdleHours}}</td>
<td>{{printf "%.1f" .Result.LoadedHours}}</td><td>{{.Result.Loads}}</td><td>{{.Result.Requests.Served}}</td>
<td>{{.Result.Requests.Refused}}</td><td>{{.Result.Requests.Lost}}</td><td>{{.Result.Violations.Sum}}</td></tr>
{{end}}</table>
{{with (index .Runs 0).Result.Bounds}}<p>Bounds of the first run: cold-start p99 {{printf "%.2f" .ColdStartP99LoadOnly}} s (load only), {{printf "%.1f" .IdleHoursClairvoyant}} idle accelerator hours (clairvoyant).</p>{{end}}
{{range .Plots}}<div>{{.}}</div>
{{end}}</html>
`))

// reportPage is the data of reportTemplate.
type reportPage struct {
	Title string
	Runs  []measuredRun
	Plots []template.HTML
}

// WriteReport writes report.html into the directory of a run.
func WriteReport(directory string) error {
	runs, err := readRuns([]string{directory})
	if err != nil {
		return err
	}
	title := fmt.Sprintf("%s, seed %d", runs[0].Result.Scenario, runs[0].Result.Seed)
	return writePage(filepath.Join(directory, reportFile), title, runs)
}

// WriteComparison writes report.html on the runs of several directories into another directory.
func WriteComparison(directory string, directories []string) error {
	runs, err := readRuns(directories)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "make the report directory")
	}
	return writePage(filepath.Join(directory, reportFile), "Comparison", runs)
}

// Compare prints a table of the runs of several directories.
func Compare(out io.Writer, directories []string) error {
	runs, err := readRuns(directories)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tseed\tpolicy\tcold p50\tcold p99\tbound\tidle hours\tbound\tloads\tserved\trefused\tlost\tviolations\t")
	for _, run := range runs {
		r := run.Result
		policy := r.Policy
		if r.Partial {
			policy += " (partial)"
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t\n",
			r.Scenario, r.Seed, policy, r.ColdStartSeconds.P50, r.ColdStartSeconds.P99, r.Bounds.ColdStartP99LoadOnly,
			r.IdleHours, r.Bounds.IdleHoursClairvoyant, r.Loads, r.Requests.Served, r.Requests.Refused,
			r.Requests.Lost, r.Violations.Sum())
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return summarize(out, runs)
}

// summarize prints the median and range over runs that differ only in their seed.
func summarize(out io.Writer, runs []measuredRun) error {
	var names []string
	groups := make(map[string][]*Result)
	for _, run := range runs {
		name := run.Result.Scenario + "\t" + run.Result.Policy
		if groups[name] == nil {
			names = append(names, name)
		}
		groups[name] = append(groups[name], run.Result)
	}
	if len(names) == len(runs) {
		return nil
	}
	fmt.Fprintln(out, "\nMedian (lowest to highest) over the seeds:")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tpolicy\tseeds\tcold p50\tcold p99\tidle hours\tfirst token p99\trefused\t")
	for _, name := range names {
		group := groups[name]
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t\n", name, len(group),
			Summarize(group, func(r *Result) float64 { return r.ColdStartSeconds.P50 }),
			Summarize(group, func(r *Result) float64 { return r.ColdStartSeconds.P99 }),
			Summarize(group, func(r *Result) float64 { return r.IdleHours }),
			Summarize(group, func(r *Result) float64 { return r.FirstTokenSeconds.P99 }),
			Summarize(group, func(r *Result) float64 { return float64(r.Requests.Refused) }))
	}
	return errors.Wrap(table.Flush(), "print")
}

// readRuns reads the runs of several directories.
func readRuns(directories []string) ([]measuredRun, error) {
	var runs []measuredRun
	for _, directory := range directories {
		result, series, err := Read(directory)
		if err != nil {
			return nil, err
		}
		label := fmt.Sprintf("%s, seed %d", result.Policy, result.Seed)
		runs = append(runs, measuredRun{label, result, series})
	}
	return runs, nil
}

// writePage writes the HTML page on runs.
func writePage(path, title string, runs []measuredRun) error {
	page := reportPage{Title: title, Runs: runs}
	for _, draw := range []func([]measuredRun) (template.HTML, error){coldStartPlot, idlePlot, frontierPlot} {
		plot, err := draw(runs)
		if err != nil {
			return err
		}
		page.Plots = append(page.Plots, plot)
	}
	var buffer bytes.Buffer
	if err := reportTemplate.Execute(&buffer, page); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(path, buffer.Bytes(), 0o644), "write report")
}
