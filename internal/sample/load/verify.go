package load

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
)

// Execution is one request that a sample upstream ran: one line of its journal. Times are in Unix nanoseconds.
type Execution struct {
	Started  int64
	Ended    int64
	Upstream string
	Method   string
	Key      string
	Fence    uint64
	ID       string
	Service  string
}

// Report is the statistics of a load and the violations of guarantees that the journals show. TwoOwners counts keys;
// Conflict describes one of them.
type Report struct {
	Requests       int            `json:"requests"`
	Outcomes       map[string]int `json:"outcomes"`
	P50            time.Duration  `json:"p50"`
	P99            time.Duration  `json:"p99"`
	MaxOverMean    float64        `json:"maxOverMean"`
	Unavailable    time.Duration  `json:"longestUnavailable"`
	RunTwice       int            `json:"runTwice"`
	TwoOwners      int            `json:"twoOwners"`
	Conflict       string         `json:"clash,omitempty"`
	FalseNotRun    int            `json:"falseNotRun"`
	WrongResponses int            `json:"notOwnAnswer"`
	LostWrites     int            `json:"doneButNotRun"`
}

// Violated reports whether a guarantee was violated.
func (r Report) Violated() bool {
	return r.RunTwice+r.TwoOwners+r.FalseNotRun+r.WrongResponses+r.LostWrites > 0
}

// ReadJournals reads the journals of sample upstreams. It skips lines that are incomplete, as the last line may be after
// the upstream was killed.
func ReadJournals(names []string) (executions []Execution, err error) {
	defer func() { err = errors.WithMessage(err, "read journals") }()
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			var e Execution
			n, _ := fmt.Sscanf(lines.Text(), "%d %d %s %s %s %d %s", &e.Started, &e.Ended, &e.Upstream, &e.Method, &e.Key, &e.Fence, &e.ID)
			if n >= 6 {
				e.Service = strings.TrimRight(e.Upstream, "0123456789")
				executions = append(executions, e)
			}
		}
		_ = f.Close()
	}
	return executions, nil
}

// Verify checks the outcomes that callers received against the requests that upstreams ran.
func Verify(r Result, executions []Execution) (report Report) {
	report = Report{Outcomes: map[string]int{}}
	runs := map[string]int{}
	for _, e := range executions {
		if e.ID != "" {
			runs[e.ID]++
		}
	}
	for _, n := range runs {
		if n > 1 {
			report.RunTwice++
		}
	}
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, req := range r.Sent {
		report.countViolations(req, runs)
		if req.Probe {
			continue
		}
		report.Requests++
		report.Outcomes[outcomeLabel(req)]++
		_ = histogram.RecordValue(max(1, req.Took.Microseconds()))
	}
	report.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	report.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	report.TwoOwners, report.Conflict = twoOwners(executions)
	report.MaxOverMean = maxOverMean(executions)
	report.Unavailable = longestUnavailable(r)
	return report
}

// outcomeLabel returns the name under which a request is counted: the outcome, with the reason if it was not served.
func outcomeLabel(req Request) string {
	if req.served() {
		return req.Outcome
	}
	return strings.TrimRight(req.Outcome+" "+req.Reason, " ")
}

func (r *Report) countViolations(req Request, runs map[string]int) {
	if !req.Matches && req.Outcome != outcomeNoResponse {
		r.WrongResponses++
	}
	if !req.Write {
		return
	}
	if req.Outcome == string(relay.NotRun) && runs[req.ID] > 0 {
		r.FalseNotRun++
	}
	if req.Outcome == string(relay.Done) && req.Status < 300 && runs[req.ID] == 0 {
		r.LostWrites++
	}
}

// twoOwners counts the keys that two upstreams served at the same time, or that an upstream served with a fencing token
// no greater than that of the upstream before it. example describes one such case.
func twoOwners(executions []Execution) (count int, example string) {
	byKey := map[string][]Execution{}
	for _, e := range executions {
		name := e.Service + "/" + e.Key
		byKey[name] = append(byKey[name], e)
	}
	for name, list := range byKey {
		slices.SortFunc(list, func(a, b Execution) int { return cmp.Compare(a.Started, b.Started) })
		if first, second, found := conflict(list); found {
			count++
			example = fmt.Sprintf("%s: %+v, then %+v", name, first, second)
		}
	}
	return count, example
}

// conflict returns two executions of one key that cannot both be by its owner. list is sorted by start.
func conflict(list []Execution) (first, second Execution, found bool) {
	last := list[0]
	for _, e := range list[1:] {
		if e.Upstream != last.Upstream && (e.Started < last.Ended || e.Fence <= last.Fence) {
			return last, e, true
		}
		if e.Upstream != last.Upstream || e.Ended > last.Ended {
			last = e
		}
	}
	return first, second, false
}

// maxOverMean returns the highest load of an upstream over the mean load of its service, for the least balanced service.
func maxOverMean(executions []Execution) float64 {
	counts := map[string]map[string]int{}
	for _, e := range executions {
		if counts[e.Service] == nil {
			counts[e.Service] = map[string]int{}
		}
		counts[e.Service][e.Upstream]++
	}
	worst := 1.0
	for _, upstreams := range counts {
		sum, most := 0, 0
		for _, n := range upstreams {
			sum, most = sum+n, max(most, n)
		}
		worst = max(worst, float64(most)*float64(len(upstreams))/float64(sum))
	}
	return worst
}

// longestUnavailable returns the longest time that a key was not served: from the first request after the key was last
// served to the end of the next request that is served. A request that waits and is then served counts with its duration.
// Probes count as requests.
func longestUnavailable(r Result) (longest time.Duration) {
	byKey := map[string][]Request{}
	for _, req := range r.Sent {
		byKey[req.Key] = append(byKey[req.Key], req)
	}
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
		since := int64(0)
		for _, req := range list {
			if since == 0 {
				since = req.At
			}
			if req.served() {
				longest = max(longest, time.Duration(req.At-since)+req.Took)
				since = 0
			}
		}
	}
	return longest
}

// Print writes the report as a table. movedShare is the share of key space moved, as counted by the control leader.
func (r Report) Print(out io.Writer, movedShare float64) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("requests", r.Requests)
	names := make([]string, 0, len(r.Outcomes))
	for name := range r.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		row("  "+name, r.Outcomes[name])
	}
	row("p50", r.P50)
	row("p99", r.P99)
	row("max/mean load", fmt.Sprintf("%.2f", r.MaxOverMean))
	row("share of key space moved", fmt.Sprintf("%.3f", movedShare))
	row("longest unavailable time of a key", r.Unavailable)
	row("requests run twice", r.RunTwice)
	row("keys seen with two owners", r.TwoOwners)
	row("said notRun but ran", r.FalseNotRun)
	row("said done but did not run", r.LostWrites)
	row("answers cut or not the caller's own", r.WrongResponses)
	_ = w.Flush()
}
