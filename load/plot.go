package load

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"papayastair.dev/papayastair/wire"
)

const (
	_plotWidth  = 24 * vg.Centimeter
	_plotHeight = 12 * vg.Centimeter
	// _smoothing is how many seconds one point of a curve sums up.
	_smoothing = 3
)

// Plot writes attainment and fairness over time as a PNG file. Vertical lines
// are the faults.
func (r *Result) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Experiment + ": attainment and fairness"
	p.X.Label.Text = "time of arrival, s"
	p.Y.Label.Text = "part of requests, index"
	p.Y.Min = 0
	p.Y.Max = 1.05
	p.Legend.Left = true
	p.Legend.YOffs = _plotHeight / 12
	curves := []struct {
		name  string
		color color.Color
		value func(points []Point) float64
	}{
		{
			name:  "attainment",
			color: color.RGBA{B: 200, A: 255},
			value: attainmentOf,
		},
		{
			name:  "worst-served workspace",
			color: color.RGBA{R: 200, A: 255},
			value: func(points []Point) float64 { return mean(points, func(p *Point) float64 { return p.Worst }) },
		},
		{
			name:  "Jain's index over workspaces",
			color: color.RGBA{G: 140, A: 255},
			value: func(points []Point) float64 { return mean(points, func(p *Point) float64 { return p.Jain }) },
		},
	}
	for _, c := range curves {
		line, err := plotter.NewLine(r.curve(c.value))
		if err != nil {
			return eris.Wrapf(err, "load: plot %s", c.name)
		}
		line.Color = c.color
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	for i := range r.Faults {
		if err := addFault(p, &r.Faults[i]); err != nil {
			return err
		}
	}

	return eris.Wrapf(p.Save(_plotWidth, _plotHeight, file), "load: write plot %s", file)
}

// curve has a point for each few seconds.
func (r *Result) curve(value func(points []Point) float64) plotter.XYs {
	var curve plotter.XYs
	for from := 0; from < len(r.Timeline); from += _smoothing {
		points := r.Timeline[from:min(from+_smoothing, len(r.Timeline))]
		curve = append(curve, plotter.XY{
			X: float64(from) + float64(len(points))/2,
			Y: value(points),
		})
	}

	return curve
}

func attainmentOf(points []Point) float64 {
	attained, counted := 0, 0
	for i := range points {
		attained += points[i].Attained
		counted += points[i].Counted
	}

	return ratio(attained, counted)
}

func mean(points []Point, value func(p *Point) float64) float64 {
	sum := 0.0
	for i := range points {
		sum += value(&points[i])
	}

	return sum / float64(len(points))
}

// addFault draws a vertical line with the fault's kind.
func addFault(p *plot.Plot, fault *wire.ExperimentFault) error {
	x := float64(fault.AtSeconds)
	line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: 1}})
	if err != nil {
		return eris.Wrap(err, "load: plot fault")
	}
	line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
	label, err := plotter.NewLabels(plotter.XYLabels{
		XYs:    plotter.XYs{{X: x, Y: 0.01}},
		Labels: []string{string(fault.Kind)},
	})
	if err != nil {
		return eris.Wrap(err, "load: plot fault")
	}
	p.Add(line, label)

	return nil
}
