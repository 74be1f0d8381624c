// Package capacity extrapolates the cost of each part of the system, measured
// at several sizes, to the size that the system is designed for. The
// measurements are in points.json, each with the command that reproduces it.
// MarkdownTable generates the table of docs/CAPACITY.md.
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

// MinPoints is the minimum number of measured sizes for a linear fit.
const MinPoints = 4

//go:embed points.json
var _points []byte

// Estimate is the result of a linear fit to a series.
type Estimate struct {
	// Series is the series of measurements.
	Series wire.CapacitySeries
	// Slope is the cost per unit of size, and Intercept the cost at size zero,
	// both by least squares.
	Slope     float64
	Intercept float64
	// AtTarget is the extrapolated cost at the target size, but at least the
	// largest measured value.
	AtTarget float64
}

// Series returns the embedded measurements.
func Series() ([]wire.CapacitySeries, error) {
	var series []wire.CapacitySeries
	if err := json.Unmarshal(_points, &series); err != nil {
		return nil, eris.Wrap(err, "capacity: points.json")
	}

	return series, nil
}

// Extrapolate fits a line through the points of a series. It fails if there
// are fewer than MinPoints.
func Extrapolate(series wire.CapacitySeries) (Estimate, error) {
	if len(series.Points) < MinPoints {
		return Estimate{}, eris.Errorf("capacity: %s, %s: %d points, need at least %d",
			series.Role, series.Cost, len(series.Points), MinPoints)
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
		Series:    series,
		Slope:     slope,
		Intercept: base,
		AtTarget:  max(base+slope*series.Target, largest),
	}, nil
}

// BudgetStatus describes whether the estimate is within the budget of its
// series.
func (e Estimate) BudgetStatus() string {
	switch {
	case e.Series.Budget == 0:
		return "no budget stated"
	case e.AtTarget > e.Series.Budget:
		return fmt.Sprintf("**over** %s", formatNumber(e.Series.Budget))
	default:
		return fmt.Sprintf("within %s", formatNumber(e.Series.Budget))
	}
}

// MarkdownTable returns the estimates of all series as a Markdown table.
func MarkdownTable(all []wire.CapacitySeries) (string, error) {
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
			points = append(points, formatNumber(point.Size)+": "+formatNumber(point.Value))
		}
		_, _ = fmt.Fprintf(&b, "| %s | %s, %s | %s | %s a %s | %s at %s | %s | %s |\n",
			series.Role, series.Cost, series.Unit, strings.Join(points, "; "), formatNumber(e.Slope),
			strings.TrimSuffix(series.Axis, "s"), formatNumber(e.AtTarget), formatNumber(series.Target), e.BudgetStatus(), series.Mechanism)
	}

	return b.String(), nil
}

func formatNumber(v float64) string {
	return fmt.Sprintf("%.4g", v)
}
