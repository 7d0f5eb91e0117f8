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

// Execution is one line of a sample upstream's journal.
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

// Report is what callers and journals together show.
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

// Violated reports whether a promise was broken.
func (v Report) Violated() bool {
	return v.RunTwice+v.TwoOwners+v.FalseNotRun+v.WrongResponses+v.LostWrites > 0
}

// ReadJournals reads the journals of sample upstreams; a last line cut short by a kill is passed over.
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

// Verify holds what callers were told against what upstreams ran.
func Verify(r Result, executions []Execution) (v Report) {
	v = Report{Outcomes: map[string]int{}}
	runs := map[string]int{}
	for _, e := range executions {
		if e.ID != "" {
			runs[e.ID]++
		}
	}
	for _, n := range runs {
		if n > 1 {
			v.RunTwice++
		}
	}
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, s := range r.Sent {
		v.countPromises(s, runs)
		if s.Probe {
			continue
		}
		v.Requests++
		v.Outcomes[label(s)]++
		_ = histogram.RecordValue(max(1, s.Took.Microseconds()))
	}
	v.P50 = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	v.P99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	v.TwoOwners, v.Conflict = twoOwners(executions)
	v.MaxOverMean = maxOverMean(executions)
	v.Unavailable = longestUnavailable(r)
	return v
}

func label(s Request) string {
	if s.good() {
		return s.Outcome
	}
	return strings.TrimRight(s.Outcome+" "+s.Reason, " ")
}

func (v *Report) countPromises(s Request, runs map[string]int) {
	if !s.Matches && s.Outcome != outcomeNoAnswer {
		v.WrongResponses++
	}
	if !s.Write {
		return
	}
	if s.Outcome == string(relay.NotRun) && runs[s.ID] > 0 {
		v.FalseNotRun++
	}
	if s.Outcome == string(relay.Done) && s.Status < 300 && runs[s.ID] == 0 {
		v.LostWrites++
	}
}

// twoOwners counts the keys that two upstreams ran at once, or that an older fence touched after a newer one had, and
// tells of one such case.
func twoOwners(executions []Execution) (count int, example string) {
	byKey := map[string][]Execution{}
	for _, e := range executions {
		name := e.Service + "/" + e.Key
		byKey[name] = append(byKey[name], e)
	}
	for name, list := range byKey {
		slices.SortFunc(list, func(a, b Execution) int { return cmp.Compare(a.Started, b.Started) })
		if first, second, found := clash(list); found {
			count++
			example = fmt.Sprintf("%s: %+v, then %+v", name, first, second)
		}
	}
	return count, example
}

// clash returns two executions that cannot both be by the owner.
func clash(list []Execution) (first, second Execution, found bool) {
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

// longestUnavailable returns the longest time from the arrival of a request for a key that got no good answer, or that
// waited, to the next good answer for that key; probes count.
func longestUnavailable(r Result) (longest time.Duration) {
	byKey := map[string][]Request{}
	for _, s := range r.Sent {
		byKey[s.Key] = append(byKey[s.Key], s)
	}
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
		since := int64(0)
		for _, s := range list {
			if since == 0 {
				since = s.At
			}
			if s.good() {
				longest = max(longest, time.Duration(s.At-since)+s.Took)
				since = 0
			}
		}
	}
	return longest
}

// Print writes the verdict as a table; movedShare is the leader's count of key space moved.
func (v Report) Print(out io.Writer, movedShare float64) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("requests", v.Requests)
	names := make([]string, 0, len(v.Outcomes))
	for name := range v.Outcomes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		row("  "+name, v.Outcomes[name])
	}
	row("p50", v.P50)
	row("p99", v.P99)
	row("max/mean load", fmt.Sprintf("%.2f", v.MaxOverMean))
	row("share of key space moved", fmt.Sprintf("%.3f", movedShare))
	row("longest unavailable time of a key", v.Unavailable)
	row("requests run twice", v.RunTwice)
	row("keys seen with two owners", v.TwoOwners)
	row("said notRun but ran", v.FalseNotRun)
	row("said done but did not run", v.LostWrites)
	row("answers cut or not the caller's own", v.WrongResponses)
	_ = w.Flush()
}
