// Package capacity works out, from costs measured at several sizes, what each
// part of the system costs at the size to design for. The measurements are in
// points.json, each with the command that gives it again; Table is the table
// of docs/CAPACITY.md.
package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"

	"papayastair.dev/papayastair/wire"
)

// MinPoints is the least number of sizes that a slope is drawn from.
const MinPoints = 4

//go:embed points.json
var _points []byte

// Estimate is a series with what follows from it.
type Estimate struct {
	// Series is what was measured.
	Series wire.CapacitySeries
	// Slope is the cost of one more, and Base that of none, by least squares.
	Slope float64
	Base  float64
	// AtTarget is the cost at the target size: the line, but not less than
	// the largest value measured.
	AtTarget float64
}

// Series are the committed measurements.
func Series() ([]wire.CapacitySeries, error) {
	var series []wire.CapacitySeries
	if err := json.Unmarshal(_points, &series); err != nil {
		return nil, eris.Wrap(err, "capacity: points.json")
	}

	return series, nil
}

// Extrapolate draws a line through the points of a series. It fails with too
// few points.
func Extrapolate(series wire.CapacitySeries) (Estimate, error) {
	if len(series.Points) < MinPoints {
		return Estimate{}, eris.Errorf("capacity: %s, %s: %d points", series.Role, series.Cost, len(series.Points))
	}
	var sizes, values []float64
	largest := math.Inf(-1)
	for _, point := range series.Points {
		sizes = append(sizes, point.Size)
		values = append(values, point.Value)
		largest = max(largest, point.Value)
	}
	base, slope := stat.LinearRegression(sizes, values, nil, false)

	return Estimate{
		Series:   series,
		Slope:    slope,
		Base:     base,
		AtTarget: max(base+slope*series.Target, largest),
	}, nil
}

// Verdict compares the estimate with its budget.
func (e Estimate) Verdict() string {
	switch {
	case e.Series.Budget == 0:
		return "no budget stated"
	case e.AtTarget > e.Series.Budget:
		return fmt.Sprintf("**over** %s", number(e.Series.Budget))
	default:
		return fmt.Sprintf("within %s", number(e.Series.Budget))
	}
}

// Table is all estimates as a table in Markdown.
func Table(all []wire.CapacitySeries) (string, error) {
	var b strings.Builder
	b.WriteString("| Role | Cost | Points (size: value) | Slope | At target | Budget | Mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, series := range all {
		e, err := Extrapolate(series)
		if err != nil {
			return "", err
		}
		points := make([]string, 0, len(series.Points))
		for _, point := range series.Points {
			points = append(points, number(point.Size)+": "+number(point.Value))
		}
		_, _ = fmt.Fprintf(&b, "| %s | %s, %s | %s | %s a %s | %s at %s | %s | %s |\n",
			series.Role, series.Cost, series.Unit, strings.Join(points, "; "), number(e.Slope),
			strings.TrimSuffix(series.Axis, "s"), number(e.AtTarget), number(series.Target), e.Verdict(), series.Mechanism)
	}

	return b.String(), nil
}

func number(v float64) string {
	return fmt.Sprintf("%.4g", v)
}
