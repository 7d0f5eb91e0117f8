package pick

import (
	"math"
	"time"
)

// Parameters of the choice. Costs are in units of the time that an average upstream takes for a request.
const (
	reportDecay   = 400 * time.Millisecond // after this time a load report has decayed to a weight of 1/e
	remoteCost    = 0.08                   // cost of an upstream in another data centre, compared with an equal local one
	coldCost      = 0.8                    // cost of an upstream that has just started and is still slow
	failureCost   = 6.0                    // cost of an upstream that fails every request
	loadCost      = 0.15                   // additional cost of an upstream with all slots in use
	sampleSize    = 3                      // upstreams compared for one choice
	costTolerance = 0.03                   // smaller differences in cost are ignored
)

// Candidate is what an entry host knows about an upstream.
type Candidate struct {
	Number uint32
	Slots  int
	// Own is how many requests this host has at the upstream.
	Own int
	// Others is the number of requests of other hosts at the upstream as reported in its last response. Age is the time since
	// then; it is negative if there was no report.
	Others int
	Age    time.Duration
	// LatencyRatio is the upstream's service time relative to the average of its service.
	LatencyRatio float64
	// FailureRate is the share of recent requests that failed at the upstream, from 0 to 1.
	FailureRate float64
	// Local means that the upstream is in the entry host's data centre.
	Local bool
	// Cold means that the upstream has just started.
	Cold bool
}

// Occupancy estimates the number of requests at the upstream. The older the report, the more the given average of all upstreams
// replaces it.
func (c Candidate) Occupancy(average float64) float64 {
	if c.Age < 0 {
		return float64(c.Own) + average
	}
	fresh := math.Exp(-float64(c.Age) / float64(reportDecay))
	return float64(c.Own) + fresh*float64(c.Others) + (1-fresh)*average
}

// Cost estimates how long one more request would take at the upstream, including queueing.
func (c Candidate) Cost(average float64) float64 {
	slots := float64(max(c.Slots, 1))
	load := c.Occupancy(average)
	waiting := max(0, load+1-slots) / slots
	cost := c.LatencyRatio*(1+waiting) + loadCost*min(load/slots, 1) + failureCost*c.FailureRate
	if !c.Local {
		cost += remoteCost
	}
	if c.Cold {
		cost += coldCost
	}
	return cost
}

// average returns the average number of requests of other hosts at an upstream, from the reports of all upstreams.
func average(list []Candidate) float64 {
	sum, weight := 0.0, 0.0
	for _, c := range list {
		if c.Age >= 0 {
			w := math.Exp(-float64(c.Age) / float64(4*reportDecay))
			sum += w * float64(c.Others)
			weight += w
		}
	}
	return sum / (weight + priorWeight*float64(len(list)))
}

// priorWeight is the weight, relative to a fresh report, with which each upstream counts as idle in the average. It prevents one
// full upstream from making upstreams without reports look full.
const priorWeight = 0.5

// Choose returns the index of the upstream to use, or false if the list is empty. It samples sampleSize upstreams, faster ones
// and those with more slots with a higher probability, and returns the cheapest of them. Because of the sampling, hosts with the
// same information do not all choose the same upstream.
func Choose(list []Candidate, random func() float64) (best int, ok bool) {
	if len(list) == 0 {
		return 0, false
	}
	others := average(list)
	total := 0.0
	for _, c := range list {
		total += weight(c)
	}
	best, lowest := -1, math.Inf(1)
	for range min(sampleSize, len(list)) {
		i := sample(list, random()*total)
		if cost := list[i].Cost(others); cost < lowest-costTolerance {
			best, lowest = i, cost
		}
	}
	return best, true
}

// weight returns the relative probability with which an upstream is sampled.
func weight(c Candidate) float64 {
	w := float64(max(c.Slots, 1)) / max(c.LatencyRatio, 0.1) * (1.02 - min(max(c.FailureRate, 0), 1))
	if c.Local {
		w *= localWeight
	}
	return w
}

// localWeight is the factor by which upstreams in the host's own data centre are sampled more often.
const localWeight = 2.5

// sample returns the index of the candidate at a position of the summed-up weights.
func sample(list []Candidate, at float64) int {
	for i, c := range list {
		if at -= weight(c); at < 0 {
			return i
		}
	}
	return len(list) - 1
}
