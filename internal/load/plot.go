package load

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is a named curve.
type Series struct {
	Name string
	X, Y []float64
}

// colours are the colours of the curves, in order.
var colours = []color.RGBA{{31, 119, 180, 255}, {214, 39, 40, 255}, {44, 160, 44, 255}, {148, 103, 189, 255}}

// Plot draws curves into a PNG file.
func Plot(path, title, x, y string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, curve := range series {
		xy := make(plotter.XYs, len(curve.X))
		for k := range curve.X {
			xy[k].X, xy[k].Y = curve.X[k], curve.Y[k]
		}
		line, points, err := plotter.NewLinePoints(xy)
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		line.Color, points.Color = colours[i%len(colours)], colours[i%len(colours)]
		line.Width, points.Radius = vg.Points(1.5), vg.Points(2)
		p.Add(line, points)
		p.Legend.Add(curve.Name, line)
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// LatencyCurve returns the latency (ms) over the share of requests, as the number of nines: 1 is 90%, 2 is 99%.
func (r *Result) LatencyCurve(name string) Series {
	series := Series{Name: name}
	for _, b := range r.histogram.CumulativeDistribution() {
		if b.Quantile >= 100 {
			break
		}
		series.X = append(series.X, nines(b.Quantile/100))
		series.Y = append(series.Y, float64(b.ValueAt)/1000)
	}
	return series
}
