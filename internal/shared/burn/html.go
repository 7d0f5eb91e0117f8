package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"strings"

	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// Size of a plot in SVG units, and the number of one-minute steps that it shows.
const (
	plotWidth  = 640
	plotHeight = 160
	plotSteps  = 120
)

// plot is one service's section of the page.
type plot struct {
	Service string
	Alert   string
	Lines   []Line
	Bars    []bar
	Peak    string
	Left    string
}

// bar is a rectangle of a plot: the bad requests of one kind in one step.
type bar struct {
	X      string
	Width  string
	Y      string
	Height string
	Class  string
}

var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1">
<title>Service-level burn</title>
<style>
body{font:16px/1.5 system-ui,sans-serif;margin:0 auto;max-width:46rem;padding:1rem;color:#1c2430;background:#fff}
h1{font-size:1.4rem}h2{font-size:1.15rem;margin:2rem 0 .3rem}
svg{width:100%;height:auto;background:#f4f6f8;border-radius:6px}
.unavailable{fill:#b3261e}.slow{fill:#c77700}.shed{fill:#5b4fc7}.moved{fill:#2f7d8c}
.axis{display:flex;justify-content:space-between;margin:.1rem 0 .6rem;font-size:.8rem}
.scroll{overflow-x:auto}table{border-collapse:collapse;font-size:.85rem;white-space:nowrap}
th,td{padding:.3rem .6rem;text-align:right;border-bottom:1px solid #dfe4ea}th:first-child,td:first-child{text-align:left}
.tag{border-radius:4px;padding:.1rem .5rem;font-size:.85rem;background:#e3f1e5;color:#1d5b2a}
.tag.fast{background:#b3261e;color:#fff}.tag.slow{background:#ffe3b3;color:#6b4300}
.key span{margin-right:1rem;font-size:.85rem}.key i{display:inline-block;width:.8rem;height:.8rem;border-radius:2px;margin-right:.3rem}
@media (prefers-color-scheme:dark){body{background:#14181d;color:#e6e9ee}svg{background:#1f252c}th,td{border-color:#333b45}}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At}}; counted by {{.Hosts}}.{{if .Missing}} Not counted: {{.Missing}}.{{end}}</p>
<p class="key"><span><i style="background:#b3261e"></i>unavailable</span><span><i style="background:#c77700"></i>slow</span>
<span><i style="background:#5b4fc7"></i>shed</span><span><i style="background:#2f7d8c"></i>moved</span></p>
{{range .Plots}}<h2>{{.Service}} <span class="tag {{.Alert}}">alert: {{.Alert}}</span></h2>
<p>Budget left over 72 h: {{.Left}}. Bad requests a minute over the last 2 h, peak {{.Peak}}:</p>
<svg viewBox="0 0 640 160" role="img" aria-label="bad requests a minute">
{{range .Bars}}<rect class="{{.Class}}" x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}"/>{{end}}</svg>
<p class="axis"><span>2 h ago</span><span>now</span></p>
<div class="scroll"><table><tr><th>window</th><th>requests</th><th>good</th><th>objective</th><th>burn rate</th><th>budget left</th><th>unavailable</th><th>slow</th><th>shed</th><th>moved</th></tr>
{{range .Lines}}<tr><td>{{.Window}}</td><td>{{.Requests}}</td><td>{{printf "%.3f" .GoodPercent}}%</td><td>{{printf "%.3f" .ObjectivePercent}}%</td><td>{{printf "%.2f" .BurnRate}}</td><td>{{printf "%.1f" .BudgetLeftPercent}}%</td><td>{{.Unavailable}}</td><td>{{.Slow}}</td><td>{{.Shed}}</td><td>{{.Moved}}</td></tr>
{{end}}</table></div>{{else}}<p>No requests were counted yet.</p>{{end}}
</body></html>
`))

// HTML returns the report as one self-contained page.
func (r *Report) HTML() (out []byte, err error) {
	defer func() { err = errors.WithMessage(err, "write page") }()
	var plots []plot
	view := r.View()
	for _, s := range r.services {
		p := plot{Service: s.Service}
		for _, l := range view.Lines {
			if l.Service == s.Service {
				p.Lines, p.Alert = append(p.Lines, l), l.Alert
				p.Left = fmt.Sprintf("%.1f%%", l.BudgetLeftPercent)
			}
		}
		p.draw(s)
		plots = append(plots, p)
	}
	var b bytes.Buffer
	err = page.Execute(&b, struct {
		At      string
		Hosts   string
		Missing string
		Plots   []plot
	}{r.at.UTC().Format("2006-01-02 15:04 UTC"), strings.Join(r.hosts, ", "), strings.Join(r.missing, ", "), plots})
	return b.Bytes(), err
}

// draw adds the bars of the last plotSteps minutes, those of each minute stacked by kind.
func (p *plot) draw(s oper.BurnSeries) {
	steps := s.Steps[max(0, len(s.Steps)-plotSteps):]
	peak := int64(1)
	for _, c := range steps {
		peak = max(peak, bad(c))
	}
	p.Peak = fmt.Sprint(peak)
	if peak == 1 {
		p.Peak = "at most 1"
	}
	width := float64(plotWidth) / plotSteps
	for i, c := range steps {
		top := float64(plotHeight)
		for _, part := range []struct {
			class string
			count int64
		}{{"unavailable", c.Unavailable}, {"slow", c.Slow}, {"shed", c.Shed}, {"moved", c.Moved}} {
			if part.count == 0 {
				continue
			}
			height := float64(plotHeight) * float64(part.count) / float64(peak)
			top -= height
			p.Bars = append(p.Bars, bar{X: fmt.Sprintf("%.1f", float64(i)*width), Width: fmt.Sprintf("%.1f", width-0.5),
				Y: fmt.Sprintf("%.1f", top), Height: fmt.Sprintf("%.1f", height), Class: part.class})
		}
	}
}
