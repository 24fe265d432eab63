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
	plotWide = 18 * vg.Centimeter
	plotHigh = 7 * vg.Centimeter
	smooth   = 5 // seconds
)

// picture is a plot with the name of its file.
type picture struct {
	name, title string
	plot        *plot.Plot
}

func (r *Report) pictures() ([]picture, error) {
	var all []picture
	over := func(name, title, unit string, of func(v *Result, from, to int) float64) error {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
		p.Legend.Top = true
		for i := range r.Variants {
			v := &r.Variants[i]
			var points plotter.XYs
			for at := 0; at+smooth <= len(v.Over); at += smooth {
				points = append(points, plotter.XY{X: float64(at) + smooth/2, Y: of(v, at, at+smooth)})
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
		all = append(all, picture{name, title, p})
		return nil
	}
	runs := func(v *Result) float64 { return float64(max(1, len(v.Runs))) }
	if err := over("service", "Worth answered in time, of the worth asked for", "", func(v *Result, from, to int) float64 {
		asked, good := 0.0, 0.0
		for _, s := range v.Over[from:to] {
			asked, good = asked+s.Asked, good+s.InTime
		}
		return good / max(1e-9, asked)
	}); err != nil {
		return nil, err
	}
	if err := over("first", "First token, worst run's 99th", "seconds", func(v *Result, from, to int) (worst float64) {
		for _, s := range v.Over[from:to] {
			worst = max(worst, s.First99)
		}
		return worst
	}); err != nil {
		return nil, err
	}
	if err := over("refused", "Refusals", "a second, mean of the runs", func(v *Result, from, to int) (n float64) {
		for _, s := range v.Over[from:to] {
			n += float64(s.Down) / float64(to-from) / runs(v)
		}
		return n
	}); err != nil {
		return nil, err
	}
	shares, err := r.shares()
	if err != nil {
		return nil, err
	}
	bars, err := r.bars()
	return append(append(all, shares...), bars...), err
}

// shares are one picture a variant: which part of the attempts each box got over time, one on the other up to 1.
func (r *Report) shares() ([]picture, error) {
	var all []picture
	for i := range r.Variants {
		v := &r.Variants[i]
		if len(v.Over) < smooth || len(v.Over[0].Boxes) == 0 {
			continue
		}
		p := plot.New()
		p.Title.Text = "Share of the attempts by box: " + v.Name
		p.X.Label.Text, p.Y.Min, p.Y.Max = "seconds", 0, 1
		under := make([]float64, len(v.Over)/smooth)
		for box := range v.Over[0].Boxes {
			var lower, upper plotter.XYs
			for k := range under {
				x, whole, own := float64(k*smooth)+smooth/2, 0, 0
				for _, s := range v.Over[k*smooth : (k+1)*smooth] {
					for b, n := range s.Boxes {
						whole += n
						if b == box {
							own += n
						}
					}
				}
				lower = append(plotter.XYs{{X: x, Y: under[k]}}, lower...) // back again, under the box's own part
				under[k] += float64(own) / max(1, float64(whole))
				upper = append(upper, plotter.XY{X: x, Y: under[k]})
			}
			area, err := plotter.NewPolygon(append(upper, lower...))
			if err != nil {
				return nil, err
			}
			area.Color, area.LineStyle.Width = plotutil.Color(box), vg.Points(0.3)
			p.Add(area)
		}
		all = append(all, picture{fmt.Sprintf("share-%d", i+1), p.Title.Text, p})
	}
	return all, nil
}

// bars hold the variants against each other, figure by figure, with the interval of their difference to the first.
func (r *Report) bars() ([]picture, error) {
	var all []picture
	for _, f := range Figures {
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
			for _, d := range v.Against {
				if d.Figure == f.Name {
					bounds.XYs = append(bounds.XYs, plotter.XY{X: float64(i), Y: first + d.Mean})
					bounds.YErrors = append(bounds.YErrors, struct{ Low, High float64 }{d.Mean - d.Low, d.Top - d.Mean})
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
		all = append(all, picture{f.Name, p.Title.Text, p})
	}
	return all, nil
}

type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

func (p picture) svg() (template.HTML, error) {
	c := vgsvg.New(plotWide, plotHigh)
	p.plot.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 { // without the XML head, which a page may not have in its middle
		text = text[i:]
	}
	return template.HTML(text), nil // our own plot, its labels escaped by the library
}

func (p picture) png(path string) error {
	c := vgimg.PngCanvas{Canvas: vgimg.NewWith(vgimg.UseWH(plotWide, plotHigh), vgimg.UseDPI(110))}
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

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Report.File.Name}}</title>
<style>body{font:15px/1.5 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}table{border-collapse:collapse}
td,th{padding:.25em .7em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}
.bad{color:#a00;font-weight:bold}svg{max-width:100%;height:auto}pre{background:#f5f5f5;padding:1em;overflow:auto}</style></head><body>
<h1>{{.Report.File.Name}}</h1>
<p>{{.Seeds}} seeds from {{.Report.File.First}} on, the same for all variants{{if .Report.Cut}}; <span class="bad">cut off before its end</span>{{end}}.
Differences are to the first variant, seed by seed, with 95% intervals (bootstrap over seeds).</p>
<table><tr><th>variant</th>{{range .Figures}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr><td>{{.Name}}</td>{{range .Cells}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{range .Breaches}}<p class="bad">{{.}}</p>{{else}}<p>No rule was broken.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>The experiment</h2><pre>{{.Text}}</pre>
</body></html>
`))

// Save writes report.json, report.html, which needs nothing else, and a PNG a plot into a folder.
func (r *Report) Save(dir string, raw []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), raw, 0o644); err != nil {
		return err
	}
	pictures, err := r.pictures()
	if err != nil {
		return err
	}
	type cells struct {
		Name  string
		Cells []string
	}
	type drawn struct {
		Title string
		SVG   template.HTML
	}
	data := struct {
		Report   *Report
		Seeds    int
		Figures  []string
		Rows     []cells
		Breaches []string
		Plots    []drawn
		Text     string
	}{Report: r, Seeds: len(r.Variants[0].Runs)}
	for _, f := range Figures {
		data.Figures = append(data.Figures, strings.ReplaceAll(f.Name, "_", " "))
	}
	for i := range r.Variants {
		v := &r.Variants[i]
		row := cells{Name: v.Name}
		for _, f := range Figures {
			text := fmt.Sprintf("%.3f", v.mean(f))
			for _, d := range v.Against {
				if d.Figure == f.Name {
					text += fmt.Sprintf(" (%+.3f, %+.3f to %+.3f)", d.Mean, d.Low, d.Top)
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
		data.Plots = append(data.Plots, drawn{p.title, svg})
		if err := p.png(filepath.Join(dir, p.name+".png")); err != nil {
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
