package group

import (
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Parameters of the latency estimates, by which placement adjusts the capacity of upstreams.
const (
	maxLatencyAnswers = 30.0 // number of answers at which the weight of older ones is capped
	minLatencyRatio   = 0.4
	maxLatencyRatio   = 4.0
	minReportWeight   = 0.15 // lower bound of the weight of a report of maxLatencyAnswers or more
)

// latencies holds the mean time per request of each upstream, by number.
type latencies struct {
	means map[uint32]*meanLatency
}

// meanLatency is a mean time per request in which recent requests weigh more. answers is the number of answers that it is
// based on, up to maxLatencyAnswers.
type meanLatency struct {
	seconds float64
	answers float64
}

func newLatencies() latencies { return latencies{means: map[uint32]*meanLatency{}} }

// add updates an upstream's mean with an entry host's report.
func (l latencies) add(v table.UpstreamStats) {
	if v.Answered == 0 || v.TotalTime <= 0 {
		return
	}
	m := l.means[v.Number]
	if m == nil {
		m = &meanLatency{}
		l.means[v.Number] = m
	}
	n := float64(v.Answered)
	m.answers = min(m.answers+n, maxLatencyAnswers)
	weight := max(n/m.answers, minReportWeight*min(n/maxLatencyAnswers, 1))
	m.seconds += min(weight, 1) * (v.TotalTime.Seconds()/n - m.seconds)
}

// latencyRatio returns an upstream's mean time per request divided by the mean of its service's upstreams. The fewer
// answers it is based on, the closer it is to 1; without answers it is 1.
func (l *leaderState) latencyRatio(u table.Upstream) float64 {
	own := l.latencies.means[u.Number]
	if own == nil {
		return 1
	}
	sum, n := 0.0, 0.0
	for number, m := range l.latencies.means {
		info := l.upstreams[number]
		if info == nil {
			delete(l.latencies.means, number)
			continue
		}
		if info.service == u.Service {
			sum += m.seconds
			n++
		}
	}
	if sum == 0 {
		return 1
	}
	confidence := own.answers / (own.answers + maxLatencyAnswers/4)
	ratio := own.seconds / (sum / n)
	return min(max(1+confidence*(ratio-1), minLatencyRatio), maxLatencyRatio)
}
