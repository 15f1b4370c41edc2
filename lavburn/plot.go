package lavburn

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of a plot.
const (
	plotWidth  = 19 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
	// yAxisHeadroom is the ratio of the upper end of the y-axis to the highest value.
	yAxisHeadroom = 1.1
)

// Colors of the lines in a plot.
var (
	burnColor  = color.RGBA{R: 0x5b, G: 0x3f, B: 0x9b, A: 0xff}
	limitColor = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
)

// svg returns a plot of the burn rate over the time span of o.Series as an svg element.
// A dashed line marks a burn rate of 1, at which the budget is consumed exactly as
// fast as it accrues.
func (o *ObjectiveReport) svg() (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Ticker: plot.TickerFunc(hourTicks), Format: "15:04", Time: plot.UTCUnixTime}
	p.Add(plotter.NewGrid())
	points := make(plotter.XYs, 0, len(o.Series))
	for _, s := range o.Series {
		if s.Count.Total > 0 {
			points = append(points, plotter.XY{X: float64(s.From.Unix()), Y: s.Burn})
		}
	}
	if err := addLines(p, points, o.Series); err != nil {
		return "", err
	}
	p.Y.Max = max(yAxisHeadroom*p.Y.Max, 2)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return stripProlog(out.String()), nil
}

// addLines adds the dashed line at a burn rate of 1 and the line through the points.
// The x-axis covers the whole series, also where points are missing.
func addLines(p *plot.Plot, points plotter.XYs, series []Point) error {
	if len(series) > 0 {
		first, last := series[0].From, series[len(series)-1].From
		p.X.Min, p.X.Max = unixSeconds(first), unixSeconds(last)
		limit, err := plotter.NewLine(plotter.XYs{{X: unixSeconds(first), Y: 1}, {X: unixSeconds(last), Y: 1}})
		if err != nil {
			return err
		}
		limit.Color = limitColor
		limit.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(limit)
	}
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = burnColor
	line.Width = vg.Points(1.5)
	p.Add(line)
	return nil
}

// hourTicks returns a tick at each full hour; from and to are Unix times in seconds.
func hourTicks(from, to float64) []plot.Tick {
	const hour = 3600
	var ticks []plot.Tick
	for seconds := math.Ceil(from/hour) * hour; seconds <= to; seconds += hour {
		ticks = append(ticks, plot.Tick{Value: seconds, Label: "hour"})
	}
	return ticks
}

func unixSeconds(t time.Time) float64 { return float64(t.Unix()) }

// stripProlog removes the XML declaration before the svg element, because it isn't
// allowed inside an HTML document.
func stripProlog(svg string) template.HTML {
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:]
	}
	return template.HTML(svg)
}
