package place

import (
	"cmp"
	"slices"

	"ebonyrill.dev/ebonyrill/internal/control/state"
)

// excess returns how far above its target load an upstream may be before moves start, as a fraction of the target. It is
// larger for services that weight churn more than imbalance.
func (p *plan) excess() float64 {
	w := p.view.weights
	ratio := (w.Churn() + 0.01) / (w.Imbalance() + 0.01)
	start := p.policy.tuning.StartExcess
	return min(max(maxExcess, start), max(start, start*ratio/2))
}

// rebalance moves slices off the most loaded upstreams until none is far above its target load or the churn budget is
// spent. Moves start at the excess and stop at the lower StopExcess, so that they do not start again soon after.
func (p *plan) rebalance() {
	limit := 1 + p.excess()
	if p.policy.active {
		limit = 1 + p.policy.tuning.StopExcess
	}
	stuck := map[*memberLoad]bool{}
	splits := 0
	for range maxMovesPerPlan {
		from := p.mostLoaded(stuck)
		if from == nil || from.relative() <= limit {
			break
		}
		limit = 1 + p.policy.tuning.StopExcess
		if p.moveBest(from) {
			continue
		}
		stuck[from] = true
		if splits < maxSplitsPerPlan && p.splitHottest(from) {
			splits++
		}
	}
	heaviest := p.mostLoaded(nil)
	p.policy.active = heaviest != nil && heaviest.relative() > 1+p.policy.tuning.StopExcess && limit == 1+p.policy.tuning.StopExcess
}

// mostLoaded returns the ready upstream with the highest load relative to its target, or nil if all are in except.
func (p *plan) mostLoaded(except map[*memberLoad]bool) (found *memberLoad) {
	for _, u := range p.ready {
		if !except[u] && (found == nil || u.relative() > found.relative()) {
			found = u
		}
	}
	return found
}

// moveBest moves the slice with the highest score from an upstream to the least loaded one, and reports whether it moved one.
func (p *plan) moveBest(from *memberLoad) bool {
	to := p.byLoad.first()
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
	p.move(best, to)
	return true
}

// score returns the benefit of a move divided by its cost, or zero if the move is not allowed or has no benefit.
func (p *plan) score(i int, from, to *memberLoad) float64 {
	e, load, share := p.view.set.At(i), p.loads[i], p.view.set.Share(i)
	if p.changed[i] || e.Moving() || share > p.policy.budget || load <= 0 {
		return 0
	}
	if !to.allows(p.rangesGained(i, to)) || !from.allows(p.rangesLost(i)) {
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
	cost := share*(w.Churn()+0.01) + load*moveTimeShare*(w.Unavailable()+0.01) + minMoveCost
	return min(benefit*from.target, load) / cost
}

// splitHottest splits the slice with the highest load of an upstream in half if its load is too high for one move. It
// reports whether it split one.
func (p *plan) splitHottest(from *memberLoad) bool {
	best := -1
	for _, i := range from.owned {
		e := p.view.set.At(i)
		if p.changed[i] || e.Moving() || p.view.set.Last(i) == p.view.unitEnd(e.Start) {
			continue
		}
		if best < 0 || p.loads[i] > p.loads[best] {
			best = i
		}
	}
	tooMany := p.view.set.Len() > 4*slicesPerUpstream*len(p.ready)
	if best < 0 || tooMany || p.loads[best] < p.policy.tuning.SplitShare*from.target {
		return false
	}
	e := p.view.set.At(best)
	p.splitAt(e, max(p.view.unitStart(e.Start+(p.view.set.Last(best)-e.Start)/2+1), e.Start+p.view.unit))
	p.changed[best] = true
	return true
}

// merge merges adjacent slices of one owner that have little load, if there are more slices than balancing needs.
func (p *plan) merge() {
	if p.view.set.Len() <= slicesPerUpstream*len(p.ready) {
		return
	}
	maxLoad := mergeShare * p.mean()
	merges := 0
	for i := 0; i+1 < len(p.loads) && merges < maxMergesPerPlan; i++ {
		e, next := p.view.set.At(i), p.view.set.At(i+1)
		unmergeable := e.Owner != next.Owner || e.Owner == 0 || e.Moving() || next.Moving() || p.changed[i] || p.changed[i+1]
		if unmergeable || p.loads[i]+p.loads[i+1] > maxLoad || p.recentlySplit(e.Start, next.Start) {
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

// Imbalance returns the highest load of a ready upstream divided by the mean load of all ready upstreams, or 1 without load.
func Imbalance(v View) float64 {
	var loads []float64
	for _, m := range v.members {
		if m.state != Ready {
			continue
		}
		load := 0.0
		for i := range v.set.Len() {
			if plannedOwner(v.set.At(i)) == m.number {
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
