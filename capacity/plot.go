package capacity

import (
	"fmt"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Labels are the texts of a plot.
type Labels struct {
	Title string
	Size  string
	Value string
}

// Plot writes the measurements and their line to a file, whose suffix names the format.
func Plot(path string, labels Labels, points []Point, fit Fit) error {
	p := plot.New()
	p.Title.Text = labels.Title
	p.X.Label.Text = labels.Size
	p.Y.Label.Text = labels.Value
	p.Y.Min = 0
	dots := make(plotter.XYs, 0, len(points))
	for _, point := range points {
		dots = append(dots, plotter.XY{X: point.Size, Y: point.Value})
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return errors.Annotate(err, "plotting the measurements")
	}
	smallest, largest := sizeRange(points)
	line, err := plotter.NewLine(plotter.XYs{{X: smallest, Y: fit.ValueAt(smallest)}, {X: largest, Y: fit.ValueAt(largest)}})
	if err != nil {
		return errors.Annotate(err, "plotting the line")
	}
	p.Add(plotter.NewGrid(), scatter, line)
	p.Legend.Add("measured", scatter)
	p.Legend.Add(fmt.Sprintf("%.4g + %.4g per unit of size", fit.Intercept, fit.Slope), line)
	p.Legend.Top = true
	p.Legend.Left = true
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errors.Annotatef(err, "writing %s", path)
	}
	return nil
}
