// Package page writes a burn report as text, JSON or a self-contained HTML page.
//
// # Usage
//
//	err := page.Write(os.Stdout, report, page.HTML)
package page

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/chivetiller/chivetiller/burn"
)

// Format is the form in which a report is written.
type Format string

// Formats of a report.
const (
	Text Format = "text"
	JSON Format = "json"
	HTML Format = "html"
)

const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 9 * vg.Centimeter
	// maxTrendLines limits the lines of the chart, so that it stays readable. Only the classes with the highest
	// burn rates are drawn.
	maxTrendLines = 8
)

// Write writes the report in a format. It fails on other formats and on write errors.
func Write(w io.Writer, report burn.Report, format Format) error {
	switch format {
	case Text:
		return writeText(w, report)
	case JSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(report), "write burn report")
	case HTML:
		return writeHTML(w, report)
	}
	return eris.Errorf("format %q is none of text, json and html", format)
}

func writeText(w io.Writer, report burn.Report) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "CLASS\tTEAM\tOBJECTIVE\tBUDGET LEFT")
	for _, window := range burn.Windows {
		fmt.Fprintf(table, "\tBURN %s\tMET", window)
	}
	fmt.Fprintln(table)
	for _, row := range report.Rows {
		team := row.Team
		if team == "" {
			team = "(all)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.1f %%", row.Class, team, percent(row.Objective), 100*row.BudgetLeft)
		for _, w := range row.Windows {
			if w.Known == 0 {
				fmt.Fprint(table, "\tunknown\t-")
				continue
			}
			fmt.Fprintf(table, "\t%.2f\t%s", w.BurnRate, percent(w.Attainment))
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return eris.Wrap(err, "write burn report")
	}
	for _, gap := range report.Gaps {
		if _, err := fmt.Fprintf(w, "gap: nothing is known from %s to %s\n", gap.From.Format(time.RFC3339), gap.To.Format(time.RFC3339)); err != nil {
			return eris.Wrap(err, "write burn report")
		}
	}
	return nil
}

func percent(fraction float64) string { return fmt.Sprintf("%.3f %%", 100*fraction) }

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"time":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 MST") },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin-top: 1em; }
th, td { padding: 0.3em 0.8em; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
tr.class td { font-weight: bold; }
td.over { color: #b00020; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Up to {{time .Report.At}}. At a burn rate of 1 the error budget is just used up over {{.Longest}}.</p>
{{.Picture}}
<table>
<tr><th>Class</th><th>Team</th><th>Objective</th><th>Budget left</th>{{range .Windows}}<th>Burn {{.}}</th><th>Met</th>{{end}}</tr>
{{range .Report.Rows}}<tr{{if not .Team}} class="class"{{end}}><td>{{.Class}}</td><td>{{if .Team}}{{.Team}}{{else}}all{{end}}</td><td>{{percent .Objective}}</td><td{{if lt .BudgetLeft 0.0}} class="over"{{end}}>{{percent .BudgetLeft}}</td>{{range .Windows}}{{if eq .Known 0.0}}<td>unknown</td><td></td>{{else}}<td{{if gt .BurnRate 1.0}} class="over"{{end}}>{{printf "%.2f" .BurnRate}}</td><td>{{percent .Attainment}}</td>{{end}}{{end}}</tr>
{{end}}</table>
{{if .Report.Gaps}}<h2>Gaps</h2>
<p>Nothing is known of these times.</p>
<ul>
{{range .Report.Gaps}}<li>{{time .From}} to {{time .To}}</li>
{{end}}</ul>
{{end}}</body>
</html>
`))

func writeHTML(w io.Writer, report burn.Report) error {
	chart, err := drawTrend(report)
	if err != nil {
		return err
	}
	data := struct {
		Report  burn.Report
		Windows []burn.Window
		Longest burn.Window
		Picture template.HTML
	}{
		Report:  report,
		Windows: burn.Windows,
		Longest: burn.Windows[len(burn.Windows)-1],
		// The plotting library escapes the text that it puts into the chart.
		Picture: template.HTML(chart), //nolint:gosec
	}
	return eris.Wrap(pageTemplate.Execute(w, data), "write burn report")
}

// drawTrend draws the burn rate of each class over time as an SVG chart. The lines are interrupted at gaps.
func drawTrend(report burn.Report) (string, error) {
	p := plot.New()
	p.Title.Text = "Burn rate by class"
	p.X.Tick.Marker = plot.TimeTicks{Format: "2 Jan\n15:04"}
	p.Y.Min = 0
	p.Legend.Top = true
	for i, trend := range fastestBurning(report) {
		for j, segment := range splitAtGaps(trend.Points) {
			line, err := plotter.NewLine(segment)
			if err != nil {
				return "", eris.Wrapf(err, "draw class %q", trend.Class)
			}
			line.Color = plotutil.Color(i)
			p.Add(line)
			if j == 0 {
				p.Legend.Add(trend.Class, line)
			}
		}
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", eris.Wrap(err, "draw burn rate")
	}
	// An XML declaration is not allowed inside an HTML page.
	if i := bytes.Index(out.Bytes(), []byte("<svg")); i > 0 {
		return out.String()[i:], nil
	}
	return out.String(), nil
}

// fastestBurning returns the trends of the classes with the highest burn rates over the longest window.
func fastestBurning(report burn.Report) []burn.Trend {
	budgetLeft := make(map[string]float64)
	for _, row := range report.Rows {
		if row.Team == "" {
			budgetLeft[row.Class] = row.BudgetLeft
		}
	}
	trends := append([]burn.Trend(nil), report.Trend...)
	for len(trends) > maxTrendLines {
		slowest := 0
		for i := range trends {
			if budgetLeft[trends[i].Class] > budgetLeft[trends[slowest].Class] {
				slowest = i
			}
		}
		trends = append(trends[:slowest], trends[slowest+1:]...)
	}
	return trends
}

// splitAtGaps splits points into lines wherever a minute is missing.
func splitAtGaps(points []burn.Point) []plotter.XYs {
	var all []plotter.XYs
	for i, point := range points {
		if i == 0 || point.At.Sub(points[i-1].At) > time.Minute {
			all = append(all, nil)
		}
		last := len(all) - 1
		all[last] = append(all[last], plotter.XY{X: float64(point.At.Unix()), Y: point.BurnRate})
	}
	return all
}
