package lab

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.2 * vg.Inch
)

// measuredRun is a run in the plots and tables of a report.
type measuredRun struct {
	Label  string
	Result *Result
	Series *Series
}

// coldStartPlot plots the cold-start time over the percentile of the wakes.
func coldStartPlot(runs []measuredRun) (template.HTML, error) {
	p := newPlot("Cold-start time", "percentile of the wakes", "seconds")
	for i, run := range runs {
		points := make(plotter.XYs, 0, len(run.Series.ColdStarts))
		for _, quantile := range run.Series.ColdStarts {
			points = append(points, plotter.XY{X: quantile.Share, Y: quantile.Seconds})
		}
		if err := addLine(p, i, run.Label, points); err != nil {
			return "", err
		}
	}
	bound := runs[0].Result.Bounds.ColdStartP99LoadOnly
	if err := addBound(p, "p99 load only", plotter.XYs{{X: 0, Y: bound}, {X: 100, Y: bound}}); err != nil {
		return "", err
	}
	return render(p)
}

// idlePlot plots the idle accelerator hours in each hour of the run.
func idlePlot(runs []measuredRun) (template.HTML, error) {
	p := newPlot("Idle accelerator hours over the day", "hour", "accelerator hours")
	for i, run := range runs {
		points := make(plotter.XYs, 0, len(run.Series.IdleByHour))
		for hour, idle := range run.Series.IdleByHour {
			points = append(points, plotter.XY{X: float64(hour), Y: idle})
		}
		if err := addLine(p, i, run.Label, points); err != nil {
			return "", err
		}
	}
	p.Y.Min = 0
	return render(p)
}

// frontierPlot plots cold-start time against idle hours, with a point for each run.
func frontierPlot(runs []measuredRun) (template.HTML, error) {
	p := newPlot("Frontier: lower left is better", "idle accelerator hours", "cold-start p99, seconds")
	for i, run := range runs {
		point := plotter.XYs{{X: run.Result.IdleHours, Y: run.Result.ColdStartSeconds.P99}}
		scatter, err := plotter.NewScatter(point)
		if err != nil {
			return "", errors.Wrap(err, "frontier")
		}
		scatter.Color = plotutil.Color(i)
		scatter.Shape = draw.CircleGlyph{}
		scatter.Radius = vg.Points(4)
		p.Add(scatter)
		p.Legend.Add(run.Label, scatter)
	}
	bounds := runs[0].Result.Bounds
	corner := plotter.XYs{
		{X: bounds.IdleHoursClairvoyant, Y: 0},
		{X: bounds.IdleHoursClairvoyant, Y: bounds.ColdStartP99LoadOnly},
		{X: 0, Y: bounds.ColdStartP99LoadOnly},
	}
	if err := addBound(p, "bounds", corner); err != nil {
		return "", err
	}
	p.X.Min, p.Y.Min = 0, 0
	return render(p)
}

// newPlot returns an empty plot with title, axis labels and legend.
func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Legend.Top = true
	return p
}

// addLine adds the line of a run, with its label in the legend.
func addLine(p *plot.Plot, number int, label string, points plotter.XYs) error {
	p.Legend.Left = true
	style := draw.LineStyle{Color: plotutil.Color(number), Width: vg.Points(1.5)}
	return addStyled(p, label, points, style)
}

// addBound adds a bound as a dashed grey line.
func addBound(p *plot.Plot, label string, points plotter.XYs) error {
	style := plotter.DefaultLineStyle
	style.Color = color.Gray{Y: 120}
	style.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	return addStyled(p, label, points, style)
}

func addStyled(p *plot.Plot, label string, points plotter.XYs, style draw.LineStyle) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, label)
	}
	line.LineStyle = style
	p.Add(line)
	p.Legend.Add(label, line)
	return nil
}

// render returns a plot as an SVG element without external resources.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var buffer bytes.Buffer
	if _, err := canvas.WriteTo(&buffer); err != nil {
		return "", errors.Wrap(err, "draw")
	}
	_, element, _ := strings.Cut(buffer.String(), "?>")
	return template.HTML(element), nil
}
