package pick

import (
	"math"
	"time"
)

// Tuning of the choice. Scores count in the time that an average upstream takes for a request.
const (
	readingLife  = 400 * time.Millisecond // after this a reading of others' load counts for 1/e of itself
	farCost      = 0.08                   // cost of an upstream in another data centre, where equal ones stand near
	coldCost     = 0.8                    // cost of an upstream that has just started and is slow
	doubtCost    = 6.0                    // cost of an upstream that fails every request
	fullSlowdown = 0.15                   // how much slower an upstream gets as its last slots fill
	tries        = 3                      // upstreams compared for one choice
	sameCost     = 0.03                   // costs that differ by less count as equal
)

// Candidate is what one entry host knows of an upstream.
type Candidate struct {
	Number uint32
	Slots  int
	// Own is how many requests this host has at the upstream.
	Own int
	// Others is how many requests of other hosts the last answer told of, and Age how long ago that was; a negative age means
	// that no answer told.
	Others int
	Age    time.Duration
	// Pace is how long the upstream takes for a request against the average of its service.
	LatencyRatio float64
	// Doubt is the share of recent requests that the upstream failed, between 0 and 1.
	FailureRate float64
	Local       bool
	Cold        bool
}

// Occupancy estimates how many requests are at the upstream; old readings give way to the average of all.
func (c Candidate) Occupancy(average float64) float64 {
	if c.Age < 0 {
		return float64(c.Own) + average
	}
	fresh := math.Exp(-float64(c.Age) / float64(readingLife))
	return float64(c.Own) + fresh*float64(c.Others) + (1-fresh)*average
}

// Cost estimates how long one more request takes at the upstream, waiting included.
func (c Candidate) Cost(average float64) float64 {
	slots := float64(max(c.Slots, 1))
	load := c.Occupancy(average)
	waiting := max(0, load+1-slots) / slots
	cost := c.LatencyRatio*(1+waiting) + fullSlowdown*min(load/slots, 1) + doubtCost*c.FailureRate
	if !c.Local {
		cost += farCost
	}
	if c.Cold {
		cost += coldCost
	}
	return cost
}

// average returns what the others have at an upstream by the readings of all.
func average(list []Candidate) float64 {
	sum, weight := 0.0, 0.0
	for _, c := range list {
		if c.Age >= 0 {
			w := math.Exp(-float64(c.Age) / float64(4*readingLife))
			sum += w * float64(c.Others)
			weight += w
		}
	}
	return sum / (weight + priorWeight*float64(len(list)))
}

// priorWeight is how much each upstream counts as idle when the average is taken, in fresh readings, so that one full upstream
// does not make those that nobody asked yet look full.
const priorWeight = 0.5

// Choose returns the position of the upstream to use, or false where there is none. A few are drawn, faster ones with more
// slots more often, and the cheapest of them is taken: hosts that know the same do not all turn to the same upstream.
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
	for range min(tries, len(list)) {
		i := draw(list, random()*total)
		if cost := list[i].Cost(others); cost < lowest-sameCost {
			best, lowest = i, cost
		}
	}
	return best, true
}

// weight is how often an upstream is drawn.
func weight(c Candidate) float64 {
	w := float64(max(c.Slots, 1)) / max(c.LatencyRatio, 0.1) * (1.02 - min(max(c.FailureRate, 0), 1))
	if c.Local {
		w *= nearWeight
	}
	return w
}

// nearWeight is how much more often upstreams of the host's own data centre are drawn.
const nearWeight = 2.5

func draw(list []Candidate, at float64) int {
	for i, c := range list {
		if at -= weight(c); at < 0 {
			return i
		}
	}
	return len(list) - 1
}
