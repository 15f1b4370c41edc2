package lavload

import (
	"os"
	"path/filepath"

	"lavenderrack.example/lavenderrack/lavrequest"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// Registers the SVG format with package plot.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlots writes the plots of the report as SVG files into a folder.
func (r *Report) WritePlots(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if err := r.plotService(filepath.Join(folder, "service.svg")); err != nil {
		return err
	}
	return r.plotFirstToken(filepath.Join(folder, "first-token.svg"))
}

// plotService plots the number of requests sent, answered and refused for each
// second of arrivals.
func (r *Report) plotService(name string) error {
	p := plot.New()
	p.Title.Text = "Requests by the second of their arrival"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	p.Legend.Top = true
	var sent, answered, refused plotter.XYs
	for i, s := range r.Seconds {
		at := float64(i)
		sent = append(sent, plotter.XY{X: at, Y: float64(s.Sent)})
		answered = append(answered, plotter.XY{X: at, Y: float64(s.Answered)})
		refused = append(refused, plotter.XY{X: at, Y: float64(s.Refused)})
	}
	if err := plotutil.AddLines(p, "sent", sent, "answered", answered, "refused", refused); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, name)
}

// plotFirstToken plots the quantiles of the time to the first token for each
// length class.
func (r *Report) plotFirstToken(name string) error {
	p := plot.New()
	p.Title.Text = "Time to first token"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.NominalX("p50", "p95", "p99", "longest")
	var lines []any
	for _, class := range lavrequest.Classes() {
		q := r.FirstToken[class.String()]
		if q.Count == 0 {
			continue
		}
		lines = append(lines, class.String(), plotter.XYs{{X: 0, Y: q.P50}, {X: 1, Y: q.P95}, {X: 2, Y: q.P99}, {X: 3, Y: q.Max}})
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, name)
}
