// Command bramley-capacity measures how memory, CPU time and traffic grow with the size of a
// deployment, fits a line to each quantity and plots it.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/capacity"
)

// slope describes the measurement of one quantity at several sizes, to which a line is fitted.
type slope struct {
	name  string
	title string
	// size and unit are the labels of the axes.
	size  string
	unit  string
	sizes []int
	// target is the size to which the line is extrapolated.
	target  int
	measure func(size int) (float64, error)
	// repeats is the number of measurements per size, of which the median is used. Zero means 5.
	repeats int
}

func main() {
	only := flag.String("slope", "", "measure only the slope with this name; empty measures all")
	plots := flag.String("plots", "", "directory to write one PNG file per slope to; empty disables plots")
	list := flag.Bool("list", false, "list the names of the slopes")
	flag.Parse()
	if err := run(*only, *plots, *list); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(only, plots string, list bool) error {
	for _, s := range slices.Concat(stateSlopes(), workSlopes(), relaySlopes(), linkSlopes()) {
		if list {
			fmt.Println(s.name)
			continue
		}
		if only != "" && only != s.name {
			continue
		}
		if err := report(s, plots); err != nil {
			return errors.Annotatef(err, "slope %s", s.name)
		}
	}
	return nil
}

// report measures one slope, prints the measurements and the fitted line as Markdown, and plots them.
func report(s slope, plots string) error {
	points := make([]capacity.Point, 0, len(s.sizes))
	for _, size := range s.sizes {
		value, err := measureMedian(s, size)
		if err != nil {
			return errors.Annotatef(err, "size %d", size)
		}
		points = append(points, capacity.Point{Size: float64(size), Value: value})
	}
	fit, err := capacity.FitLine(points)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Printf("### %s: %s\n\n| %s | %s | residual |\n| ---: | ---: | ---: |\n", s.name, s.title, s.size, s.unit)
	for i, p := range points {
		fmt.Printf("| %.0f | %.6g | %+.3g |\n", p.Size, p.Value, fit.Residuals[i])
	}
	fmt.Printf("\n%s = %.4g + %.4g × %s; R² = %.4f; at %d: %.4g\n\n",
		s.unit, fit.Intercept, fit.Slope, s.size, fit.RSquared, s.target, fit.ValueAt(float64(s.target)))
	if plots == "" {
		return nil
	}
	labels := capacity.Labels{Title: s.title, Size: s.size, Value: s.unit}
	return capacity.Plot(filepath.Join(plots, s.name+".png"), labels, points, fit)
}

func measureMedian(s slope, size int) (float64, error) {
	repeats := s.repeats
	if repeats == 0 {
		repeats = 5
	}
	values := make([]float64, 0, repeats)
	for range repeats {
		value, err := s.measure(size)
		if err != nil {
			return 0, err
		}
		values = append(values, value)
	}
	return median(values), nil
}

// median sorts values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
