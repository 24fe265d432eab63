package stage

import (
	"fmt"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

var (
	blue  = color.RGBA{31, 119, 180, 255}
	red   = color.RGBA{214, 39, 40, 255}
	green = color.RGBA{44, 160, 44, 255}
	grey  = color.RGBA{120, 120, 120, 255}
)

const averagingWindow = 5 // time over which curves are averaged, in seconds

// writeChart writes the report's chart as a PNG file: the new pool's share of the traffic, the service, and the time to
// first token and slot usage of each pool, over time.
func writeChart(r *Report, path string) error {
	share := panel("share of the new pool; evidence against it, of an alarm")
	addLine(share, "share", blue, r.Points, func(p []Point) (float64, bool) { return p[len(p)-1].Share, true })
	addLine(share, "evidence", red, r.Points, func(p []Point) (float64, bool) {
		return min(1, p[len(p)-1].Evidence), true
	})
	share.Y.Max = 1.05
	service := panel("service: worth answered in time")
	addLine(service, "", green, r.Points, func(p []Point) (float64, bool) {
		offered, onTime := 0.0, 0.0
		for _, one := range p {
			offered, onTime = offered+one.OfferedWeight, onTime+one.OnTimeWeight
		}
		return onTime / max(offered, 1e-9), offered > 0
	})
	service.Y.Max = 1.05
	ttft := panel("first token at the boxes, median, seconds")
	mean := func(value func(Point) float64) func([]Point) (float64, bool) {
		return func(p []Point) (float64, bool) {
			sum, n := 0.0, 0.0
			for _, one := range p {
				if v := value(one); v > 0 {
					sum, n = sum+v, n+1
				}
			}
			return sum / max(n, 1), n > 0
		}
	}
	addLine(ttft, "old", grey, r.Points, mean(func(p Point) float64 { return p.OldTTFT }))
	addLine(ttft, "new", blue, r.Points, mean(func(p Point) float64 { return p.NewTTFT }))
	load := panel("slots in use, share")
	addLine(load, "old", grey, r.Points, mean(func(p Point) float64 { return p.OldSlotUsage }))
	addLine(load, "new", blue, r.Points, mean(func(p Point) float64 { return p.NewSlotUsage }))
	load.X.Label.Text = "seconds"
	rows := [][]*plot.Plot{{share}, {service}, {ttft}, {load}}
	for _, row := range rows {
		for i, at := range []float64{r.SlowAt, r.ReturnedAt} {
			if at > 0 {
				addMarker(row[0], at, []color.Color{red, green}[i])
			}
		}
	}
	img := vgimg.New(24*vg.Centimeter, 26*vg.Centimeter)
	canvases := plot.Align(rows, draw.Tiles{Rows: len(rows), Cols: 1, PadY: 4 * vg.Millimeter,
		PadTop: 3 * vg.Millimeter, PadBottom: 3 * vg.Millimeter,
		PadRight: 6 * vg.Millimeter, PadLeft: 3 * vg.Millimeter}, draw.New(img))
	for i, row := range rows {
		row[0].Draw(canvases[i][0])
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("%s: %w", path, err)
	}
	return f.Close()
}

// panel returns an empty plot with a title.
func panel(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = 11
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a curve of a value over time; value takes the points of the last seconds.
func addLine(p *plot.Plot, name string, c color.Color, points []Point, value func([]Point) (float64, bool)) {
	var xy plotter.XYs
	for i := range points {
		if v, ok := value(points[max(0, i-averagingWindow+1) : i+1]); ok {
			xy = append(xy, plotter.XY{X: points[i].At, Y: v})
		}
	}
	if len(xy) == 0 {
		return
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return // there is no point to draw
	}
	line.Color, line.Width = c, vg.Points(1.4)
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
}

// addMarker draws a vertical line at the given time, in seconds.
func addMarker(p *plot.Plot, at float64, c color.Color) {
	top := max(p.Y.Max, 1e-3)
	line, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}})
	if err != nil {
		return
	}
	line.Color, line.Dashes = c, []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(line)
}
