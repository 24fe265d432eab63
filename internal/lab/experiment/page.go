package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth       = 18 * vg.Centimeter
	plotHeight      = 7 * vg.Centimeter
	averagingWindow = 5 // time over which plots are averaged, in seconds
)

// reportPlot is a plot with its title and the name of its file, without the extension.
type reportPlot struct {
	fileName, title string
	plot            *plot.Plot
}

// plots returns all plots of the report.
func (r *Report) plots() ([]reportPlot, error) {
	var all []reportPlot
	addPlot := func(name, title, unit string, value func(v *VariantResult, from, to int) float64) error {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
		p.Legend.Top = true
		for i := range r.Variants {
			v := &r.Variants[i]
			var points plotter.XYs
			for at := 0; at+averagingWindow <= len(v.PerSecond); at += averagingWindow {
				points = append(points, plotter.XY{X: float64(at) + averagingWindow/2,
					Y: value(v, at, at+averagingWindow)})
			}
			if len(points) == 0 {
				continue
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color, line.Width = plotutil.Color(i), vg.Points(1.4)
			line.Dashes = plotutil.Dashes(i / 7)
			p.Add(line)
			p.Legend.Add(v.Name, line)
		}
		p.Y.Min = 0
		all = append(all, reportPlot{name, title, p})
		return nil
	}
	runs := func(v *VariantResult) float64 { return float64(max(1, len(v.Runs))) }
	if err := addPlot("service", "Worth answered in time, of the worth asked for", "",
		func(v *VariantResult, from, to int) float64 {
			offered, onTime := 0.0, 0.0
			for _, s := range v.PerSecond[from:to] {
				offered, onTime = offered+s.OfferedWeight, onTime+s.OnTimeWeight
			}
			return onTime / max(1e-9, offered)
		}); err != nil {
		return nil, err
	}
	if err := addPlot("first", "First token, worst run's 99th", "seconds",
		func(v *VariantResult, from, to int) (worst float64) {
			for _, s := range v.PerSecond[from:to] {
				worst = max(worst, s.TTFT99)
			}
			return worst
		}); err != nil {
		return nil, err
	}
	if err := addPlot("refused", "Refusals", "a second, mean of the runs",
		func(v *VariantResult, from, to int) (n float64) {
			for _, s := range v.PerSecond[from:to] {
				n += float64(s.Rejections) / float64(to-from) / runs(v)
			}
			return n
		}); err != nil {
		return nil, err
	}
	shares, err := r.sharePlots()
	if err != nil {
		return nil, err
	}
	bars, err := r.barPlots()
	return append(append(all, shares...), bars...), err
}

// sharePlots returns one plot per variant: the share of the attempts that each backend got over time, stacked up to 1.
func (r *Report) sharePlots() ([]reportPlot, error) {
	var all []reportPlot
	for i := range r.Variants {
		v := &r.Variants[i]
		if len(v.PerSecond) < averagingWindow || len(v.PerSecond[0].AttemptsByBackend) == 0 {
			continue
		}
		p := plot.New()
		p.Title.Text = "Share of the attempts by box: " + v.Name
		p.X.Label.Text, p.Y.Min, p.Y.Max = "seconds", 0, 1
		base := make([]float64, len(v.PerSecond)/averagingWindow)
		for backend := range v.PerSecond[0].AttemptsByBackend {
			var lower, upper plotter.XYs
			for k := range base {
				x, total, own := float64(k*averagingWindow)+averagingWindow/2, 0, 0
				for _, s := range v.PerSecond[k*averagingWindow : (k+1)*averagingWindow] {
					for b, n := range s.AttemptsByBackend {
						total += n
						if b == backend {
							own += n
						}
					}
				}
				// the lower edge of the area, from right to left
				lower = append(plotter.XYs{{X: x, Y: base[k]}}, lower...)
				base[k] += float64(own) / max(1, float64(total))
				upper = append(upper, plotter.XY{X: x, Y: base[k]})
			}
			area, err := plotter.NewPolygon(append(upper, lower...))
			if err != nil {
				return nil, err
			}
			area.Color, area.LineStyle.Width = plotutil.Color(backend), vg.Points(0.3)
			p.Add(area)
		}
		all = append(all, reportPlot{fmt.Sprintf("share-%d", i+1), p.Title.Text, p})
	}
	return all, nil
}

// barPlots returns one plot per metric: its mean for each variant, with the interval of the difference to the first.
func (r *Report) barPlots() ([]reportPlot, error) {
	var all []reportPlot
	for _, f := range Metrics {
		p := plot.New()
		p.Title.Text = strings.ReplaceAll(f.Name, "_", " ")
		var names []string
		var values plotter.Values
		bounds := &errorBars{}
		for i := range r.Variants {
			v := &r.Variants[i]
			names = append(names, v.Name)
			values = append(values, v.mean(f))
			first := r.Variants[0].mean(f)
			for _, d := range v.AgainstFirst {
				if d.Metric == f.Name {
					bounds.XYs = append(bounds.XYs, plotter.XY{X: float64(i), Y: first + d.Mean})
					bounds.YErrors = append(bounds.YErrors, struct{ Low, High float64 }{d.Mean - d.Low,
						d.High - d.Mean})
				}
			}
		}
		chart, err := plotter.NewBarChart(values, vg.Points(18))
		if err != nil {
			return nil, err
		}
		chart.Color = color.RGBA{R: 90, G: 130, B: 190, A: 255}
		chart.LineStyle.Width = 0
		p.Add(chart)
		if len(bounds.XYs) > 0 {
			lines, err := plotter.NewYErrorBars(bounds)
			if err != nil {
				return nil, err
			}
			p.Add(lines)
		}
		p.NominalX(names...)
		all = append(all, reportPlot{f.Name, p.Title.Text, p})
	}
	return all, nil
}

// errorBars are points with vertical error bars.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// svg renders the plot as an SVG element.
func (p reportPlot) svg() (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.plot.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // an HTML page may not contain the XML declaration
		text = text[i:]
	}
	return template.HTML(text), nil // the plot is made here, and the library escapes its labels
}

// png writes the plot to a PNG file.
func (p reportPlot) png(path string) error {
	c := vgimg.PngCanvas{Canvas: vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(110))}
	p.plot.Draw(draw.New(c))
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := c.WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// page is the template of report.html.
var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.File.Name}}</title>
<style>body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse}
td,th{padding:.25em .7em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}
.bad{color:#a00;font-weight:bold}svg{max-width:100%;height:auto}pre{background:#f5f5f5;padding:1em;overflow:auto}</style></head><body>
<h1>{{.Report.File.Name}}</h1>
<p>{{.Seeds}} seeds from {{.Report.File.FirstSeed}} on, the same for all variants{{if .Report.Incomplete}}; <span class="bad">cut off before its end</span>{{end}}.
Differences are to the first variant, seed by seed, with 95% intervals (bootstrap over seeds).</p>
<table><tr><th>variant</th>{{range .Metrics}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Breaches}}<p class="bad">{{.}}</p>{{else}}<p>No rule was broken.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>The experiment</h2><pre>{{.Text}}</pre>
</body></html>
`))

// Save writes report.json with the given bytes, report.html, which needs no other file, and one PNG per plot into a
// directory.
func (r *Report) Save(dir string, raw []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), raw, 0o644); err != nil {
		return err
	}
	pictures, err := r.plots()
	if err != nil {
		return err
	}
	type tableRow struct {
		Name  string
		Cells []string
	}
	type chartSection struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Report   *Report
		Seeds    int
		Metrics  []string
		Rows     []tableRow
		Breaches []string
		Plots    []chartSection
		Text     string
	}{Report: r, Seeds: len(r.Variants[0].Runs)}
	for _, f := range Metrics {
		data.Metrics = append(data.Metrics, strings.ReplaceAll(f.Name, "_", " "))
	}
	for i := range r.Variants {
		v := &r.Variants[i]
		row := tableRow{Name: v.Name}
		for _, f := range Metrics {
			text := fmt.Sprintf("%.3f", v.mean(f))
			for _, d := range v.AgainstFirst {
				if d.Metric == f.Name {
					text += fmt.Sprintf(" (%+.3f, %+.3f to %+.3f)", d.Mean, d.Low, d.High)
				}
			}
			row.Cells = append(row.Cells, text)
		}
		data.Rows = append(data.Rows, row)
		for _, name := range sortedKeys(v.Breaches) {
			data.Breaches = append(data.Breaches, fmt.Sprintf("%s: %s: %d", v.Name, name, v.Breaches[name]))
		}
	}
	for _, p := range pictures {
		svg, err := p.svg()
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, chartSection{p.title, svg})
		if err := p.png(filepath.Join(dir, p.fileName+".png")); err != nil {
			return err
		}
	}
	text, err := r.fileText()
	if err != nil {
		return err
	}
	data.Text = text
	var b bytes.Buffer
	if err := page.Execute(&b, data); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.html"), b.Bytes(), 0o644)
}
