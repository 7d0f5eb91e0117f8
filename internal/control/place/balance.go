package place

import (
	"cmp"
	"slices"

	"ebonyrill.dev/ebonyrill/internal/control/state"
)

// excess returns how far above its share an upstream may be before moves start; a service that minds churn more than
// imbalance waits longer.
func (p *plan) excess() float64 {
	w := p.view.weights
	ratio := (w.Churn() + 0.01) / (w.Imbalance() + 0.01)
	start := p.policy.tuning.StartExcess
	return min(max(maxExcess, start), max(start, start*ratio/2))
}

// rebalance moves slices off the heaviest upstreams until none is far above its share or the budget is spent. Once it
// has started it goes on below the point where it starts, so that it does not start again at once.
func (p *plan) rebalance() {
	limit := 1 + p.excess()
	if p.policy.active {
		limit = 1 + p.policy.tuning.StopExcess
	}
	stuck := map[*bearer]bool{}
	splits := 0
	for range maxMovesPerPlan {
		from := p.heaviest(stuck)
		if from == nil || from.relative() <= limit {
			break
		}
		limit = 1 + p.policy.tuning.StopExcess
		if p.moveOne(from) {
			continue
		}
		stuck[from] = true
		if splits < maxSplitsPerPlan && p.splitHottest(from) {
			splits++
		}
	}
	heaviest := p.heaviest(nil)
	p.policy.active = heaviest != nil && heaviest.relative() > 1+p.policy.tuning.StopExcess && limit == 1+p.policy.tuning.StopExcess
}

func (p *plan) heaviest(except map[*bearer]bool) (found *bearer) {
	for _, b := range p.ready {
		if !except[b] && (found == nil || b.relative() > found.relative()) {
			found = b
		}
	}
	return found
}

// moveOne moves the slice whose benefit per cost is best from an upstream to the lightest one.
func (p *plan) moveOne(from *bearer) bool {
	to := p.lightest()
	if to == from {
		return false
	}
	best, bestScore := -1, 0.0
	for _, i := range from.owned {
		if score := p.score(i, from, to); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return false
	}
	p.policy.budget -= p.view.set.Share(best)
	p.give(best, to)
	return true
}

// score returns a move's benefit for its cost, or zero for a move that may not be made.
func (p *plan) score(i int, from, to *bearer) float64 {
	e, load, share := p.view.set.At(i), p.loads[i], p.view.set.Share(i)
	if p.taken[i] || e.Moving() || share > p.policy.budget || load <= 0 {
		return 0
	}
	if _, held := p.policy.moved[e.Start]; held {
		return 0
	}
	after := max((from.load-load)/from.target, (to.load+load)/to.target)
	benefit := from.relative() - after
	if benefit <= 0 {
		return 0
	}
	w := p.view.weights
	cost := share*(w.Churn()+0.01) + load*moveTimeShare*(w.Unavailable()+0.01) + smallestMoveShare
	return min(benefit*from.target, load) / cost
}

// splitHottest cuts the hottest slice of an upstream in halves when it is too hot to be moved whole.
func (p *plan) splitHottest(from *bearer) bool {
	best := -1
	for _, i := range from.owned {
		e := p.view.set.At(i)
		if p.taken[i] || e.Moving() || p.view.set.Last(i) == p.view.last(e.Start) {
			continue
		}
		if best < 0 || p.loads[i] > p.loads[best] {
			best = i
		}
	}
	crowded := p.view.set.Len() > 4*slicesPerMember*len(p.ready)
	if best < 0 || crowded || p.loads[best] < p.policy.tuning.SplitShare*from.target {
		return false
	}
	e := p.view.set.At(best)
	p.splitAt(e, max(p.view.floor(e.Start+(p.view.set.Last(best)-e.Start)/2+1), e.Start+p.view.unit))
	p.taken[best] = true
	return true
}

// merge joins neighbours that have cooled once there are more slices than placement needs.
func (p *plan) merge() {
	if p.view.set.Len() <= slicesPerMember*len(p.ready) {
		return
	}
	cold := mergeShare * p.mean()
	merges := 0
	for i := 0; i+1 < len(p.loads) && merges < maxMergesPerPlan; i++ {
		e, behind := p.view.set.At(i), p.view.set.At(i+1)
		apart := e.Owner != behind.Owner || e.Owner == 0 || e.Moving() || behind.Moving() || p.taken[i] || p.taken[i+1]
		if apart || p.loads[i]+p.loads[i+1] > cold || p.recentlySplit(e.Start, behind.Start) {
			continue
		}
		p.operations = append(p.operations, p.view.operation(state.Merge, e, 0))
		merges++
		i++
	}
}

func (p *plan) recentlySplit(starts ...uint64) bool {
	return slices.ContainsFunc(starts, func(s uint64) bool {
		_, split := p.policy.split[s]
		return split
	})
}

// Imbalance returns the largest load of a ready upstream over the mean of all of them.
func Imbalance(v View) float64 {
	var loads []float64
	for _, m := range v.members {
		if m.state != Ready {
			continue
		}
		load := 0.0
		for i := range v.set.Len() {
			if planned(v.set.At(i)) == m.number {
				load += v.rates[i]
			}
		}
		loads = append(loads, load)
	}
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	if sum == 0 {
		return 1
	}
	return slices.MaxFunc(loads, cmp.Compare[float64]) * float64(len(loads)) / sum
}
