package capacity_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/bramleyrack/bramleyrack/capacity"
)

func ExampleFitLine() {
	points := []capacity.Point{{Size: 100, Value: 15}, {Size: 200, Value: 25}, {Size: 300, Value: 35}, {Size: 400, Value: 45}}
	fit, err := capacity.FitLine(points)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%.1f at 1000\n", fit.ValueAt(1000))
	// Output: 105.0 at 1000
}

func TestLineNeedsFourSizes(t *testing.T) {
	points := []capacity.Point{{Size: 1}, {Size: 2}, {Size: 2}, {Size: 3}}
	if _, err := capacity.FitLine(points); err == nil {
		t.Fatal("fitted to three sizes")
	}
}

func TestResidualsAreMeasuredLessLine(t *testing.T) {
	points := []capacity.Point{{Size: 0, Value: 1}, {Size: 1, Value: 0}, {Size: 2, Value: 0}, {Size: 3, Value: 1}}
	fit, err := capacity.FitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(fit.LargestResidual()-0.5) > 1e-9 {
		t.Fatalf("got %v", fit.Residuals)
	}
	if _, ok := fit.SizeAt(10); ok && fit.Slope <= 0 {
		t.Fatal("a flat line reaches no limit")
	}
}
