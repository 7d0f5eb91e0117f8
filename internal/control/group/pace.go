package group

import (
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// Tuning of how fast upstreams are taken to be.
const (
	paceAnswers  = 30.0 // answers after which a new one counts for little
	fastestPace  = 0.4
	slowestPace  = 4.0
	paceNewShare = 0.15 // weight of a report once many answers were seen
)

// paces learns how long upstreams take for a request, against the mean of their service.
type paces struct {
	took map[uint32]*meanTime
}

// meanTime is a mean that forgets, in seconds.
type meanTime struct {
	seconds float64
	seen    float64
}

func newPaces() paces { return paces{took: map[uint32]*meanTime{}} }

// add takes in what an entry host saw.
func (p paces) add(v table.UpstreamStats) {
	if v.Answered == 0 || v.TotalTime <= 0 {
		return
	}
	m := p.took[v.Number]
	if m == nil {
		m = &meanTime{}
		p.took[v.Number] = m
	}
	n := float64(v.Answered)
	m.seen = min(m.seen+n, paceAnswers)
	weight := max(n/m.seen, paceNewShare*min(n/paceAnswers, 1))
	m.seconds += min(weight, 1) * (v.TotalTime.Seconds()/n - m.seconds)
}

// pace returns an upstream's time for a request against the mean of its service; little seen counts for little.
func (l *lead) pace(u table.Upstream) float64 {
	own := l.paces.took[u.Number]
	if own == nil {
		return 1
	}
	sum, n := 0.0, 0.0
	for number, m := range l.paces.took {
		note := l.upstreams[number]
		if note == nil {
			delete(l.paces.took, number)
			continue
		}
		if note.service == u.Service {
			sum += m.seconds
			n++
		}
	}
	if sum == 0 {
		return 1
	}
	trust := own.seen / (own.seen + paceAnswers/4)
	ratio := own.seconds / (sum / n)
	return min(max(1+trust*(ratio-1), fastestPace), slowestPace)
}
