package burn

import (
	"slices"
	"strings"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// window is a span of time that burn is reported for.
type window struct {
	name    string
	minutes int
}

// windows of the report, the shortest first.
var windows = []window{{"5m", 5}, {"30m", 30}, {"1h", 60}, {"6h", 360}, {"24h", 1440}, {"72h", 4320}}

// Alert rules: a burn rate above the limit in both the long and the short window.
const (
	fastBurn = 14.4
	slowBurn = 6
)

// Line is one service in one window.
type Line struct {
	Service           string  `json:"service"`
	Window            string  `json:"window"`
	Requests          int64   `json:"requests"`
	GoodPercent       float64 `json:"goodPercent"`
	ObjectivePercent  float64 `json:"objectivePercent"`
	LatencyMillis     float64 `json:"latencyMillis"`
	BurnRate          float64 `json:"burnRate"`
	BudgetLeftPercent float64 `json:"budgetLeftPercent"`
	Unavailable       int64   `json:"unavailable"`
	Slow              int64   `json:"slow"`
	Shed              int64   `json:"shed"`
	Moved             int64   `json:"moved"`
	Alert             string  `json:"alert"`
}

// View is the report as JSON shows it.
type View struct {
	At      time.Time `json:"at"`
	Hosts   []string  `json:"hosts"`
	Missing []string  `json:"missing"`
	Lines   []Line    `json:"lines"`
}

// Report holds the counts of all entry hosts added up.
type Report struct {
	at       time.Time
	hosts    []string
	missing  []string
	services []oper.BurnSeries
}

// NewReport adds the answers of entry hosts up; missing names those that did not answer.
func NewReport(at time.Time, answers []oper.BurnResponse, missing []string) *Report {
	r := &Report{at: at, missing: missing}
	for _, a := range answers {
		r.hosts = append(r.hosts, a.Host)
		for _, s := range a.Services {
			r.add(s)
		}
	}
	slices.SortFunc(r.services, func(a, b oper.BurnSeries) int { return strings.Compare(a.Service, b.Service) })
	return r
}

// add puts one host's series into the last minutes before the report.
func (r *Report) add(s oper.BurnSeries) {
	i := slices.IndexFunc(r.services, func(o oper.BurnSeries) bool { return o.Service == s.Service })
	if i < 0 {
		first := r.at.Unix()/60 - keptMinutes + 1
		r.services = append(r.services, oper.BurnSeries{Service: s.Service, GoodShare: s.GoodShare,
			LatencyMillis: s.LatencyMillis, Minute: first, Steps: make([]oper.BurnCount, keptMinutes)})
		i = len(r.services) - 1
	}
	sum := &r.services[i]
	for k, c := range s.Steps {
		if at := s.Minute + int64(k) - sum.Minute; at >= 0 && at < keptMinutes {
			sum.Steps[at] = plus(sum.Steps[at], c)
		}
	}
}

func plus(a, b oper.BurnCount) oper.BurnCount {
	return oper.BurnCount{Good: a.Good + b.Good, Unavailable: a.Unavailable + b.Unavailable, Slow: a.Slow + b.Slow,
		Shed: a.Shed + b.Shed, Moved: a.Moved + b.Moved}
}

func bad(c oper.BurnCount) int64 { return c.Unavailable + c.Slow + c.Shed + c.Moved }

// View returns the report's lines: for each service one a window.
func (r *Report) View() View {
	v := View{At: r.at, Hosts: r.hosts, Missing: r.missing}
	for _, s := range r.services {
		alert := alertOf(s)
		for _, w := range windows {
			v.Lines = append(v.Lines, line(s, w, alert))
		}
	}
	return v
}

func line(s oper.BurnSeries, w window, alert string) Line {
	c := sumOf(s, w.minutes)
	total := c.Good + bad(c)
	l := Line{Service: s.Service, Window: w.name, Requests: total, GoodPercent: 100, ObjectivePercent: 100 * s.GoodShare,
		LatencyMillis: s.LatencyMillis, BurnRate: rate(s, w.minutes), Unavailable: c.Unavailable, Slow: c.Slow, Shed: c.Shed,
		Moved: c.Moved, Alert: alert}
	if total > 0 {
		l.GoodPercent = 100 * float64(c.Good) / float64(total)
	}
	l.BudgetLeftPercent = 100 * (1 - l.BurnRate)
	return l
}

func sumOf(s oper.BurnSeries, minutes int) (c oper.BurnCount) {
	for _, step := range s.Steps[max(0, len(s.Steps)-minutes):] {
		c = plus(c, step)
	}
	return c
}

// rate returns the share of bad requests over the share that the objective allows.
func rate(s oper.BurnSeries, minutes int) float64 {
	c := sumOf(s, minutes)
	total := c.Good + bad(c)
	if total == 0 {
		return 0
	}
	return float64(bad(c)) / float64(total) / max(1-s.GoodShare, 1e-9)
}

// alertOf applies the two rules: fast burn over 1 hour and 5 minutes, slow burn over 6 hours and 30 minutes.
func alertOf(s oper.BurnSeries) string {
	switch {
	case rate(s, 60) > fastBurn && rate(s, 5) > fastBurn:
		return "fast"
	case rate(s, 360) > slowBurn && rate(s, 30) > slowBurn:
		return "slow"
	}
	return "none"
}
