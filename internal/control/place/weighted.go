package place

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Constants of the weighted policy. Loads are shares of a service's load, so that they add up to one.
const (
	// hashSpaceWeight is the weight of a slice's share of the hash space in its load; the rest is its share of requests.
	hashSpaceWeight = 0.03
	startExcess     = 0.10
	stopExcess      = 0.04
	maxExcess       = 0.14
	// isolateShare is the part of the mean load of an upstream above which a hot key gets a slice of its own.
	isolateShare = 0.2
	splitShare   = 0.35
	// mergeShare is the part of the mean load of an upstream below which two adjacent slices are merged.
	mergeShare        = 0.02
	maxMovesPerPlan   = 48
	maxSplitsPerPlan  = 8
	maxMergesPerPlan  = 16
	slicesPerUpstream = 64
	churnPerMinute    = 0.25
	// moveTimeShare is the cost of a move in unavailability, as a part of the slice's load.
	moveTimeShare = 0.02
	// mergeDelay is how long after a split the resulting slices are not merged.
	mergeDelay = 60 * time.Second
	rampTime   = 20 * time.Second
	// rampStartShare is the part of its capacity that a new upstream is used with at first. It is lower, and the ramp is
	// longer, for an upstream that was lost recently, up to maxFlaps times.
	rampStartShare = 0.3
	maxFlaps       = 4
	// minMoveCost is added to the cost of a move, which may be zero.
	minMoveCost = 1e-12
)

// Weighted is the policy that balances load at a limited cost. It moves the slices with the highest benefit for their cost
// within a churn budget, splits slices with too much load for one move, gives hot keys a slice of their own, and merges
// slices with little load. It keeps state between plans and is not safe for concurrent use.
type Weighted struct {
	// moved and split hold, by first hash, when a slice was moved or split.
	moved map[uint64]time.Duration
	split map[uint64]time.Duration
	// budget is the share of the hash space that may be moved for balance now, as of budgetAt.
	budget   float64
	budgetAt time.Duration
	// active is set while rebalancing has started and not yet reached StopExcess.
	active bool
	tuning Tuning
}

// Tuning holds the parameters that control how readily a Weighted policy moves and splits slices.
type Tuning struct {
	// ChurnPerMinute is the share of the hash space that may be moved for balance per minute.
	ChurnPerMinute float64
	// Hold is how long after a move a slice is not moved again for balance.
	Hold time.Duration
	// Ramp is how long a new upstream is given less load than its capacity allows.
	Ramp time.Duration
	// SplitShare is the part of an upstream's target load above which a slice is split.
	SplitShare float64
	// StartExcess and StopExcess are how far the load of an upstream must be above its target for moves to start, and how far
	// it may be when they stop, as fractions of the target.
	StartExcess, StopExcess float64
}

// DefaultTuning returns the tuning for services whose keys are costly to move.
func DefaultTuning() Tuning {
	return Tuning{ChurnPerMinute: churnPerMinute, Hold: HoldTime, Ramp: rampTime, SplitShare: splitShare, StartExcess: startExcess, StopExcess: stopExcess}
}

// HandoverTuning returns the tuning for services whose upstreams hand over the state of their keys. A move makes its keys
// unavailable for about one heartbeat only, and the busiest keys change within seconds.
func HandoverTuning() Tuning {
	return Tuning{ChurnPerMinute: 4, Hold: 3 * time.Second, Ramp: 4 * time.Second, SplitShare: 0.3, StartExcess: 0.15, StopExcess: 0.08}
}

// NewWeighted returns a policy for one service with the default tuning.
func NewWeighted() *Weighted { return NewTuned(DefaultTuning()) }

// NewTuned returns a policy for one service with the given tuning.
func NewTuned(t Tuning) *Weighted {
	return &Weighted{moved: map[uint64]time.Duration{}, split: map[uint64]time.Duration{}, budget: t.ChurnPerMinute, tuning: t}
}

// HoldTime is the Hold of the default tuning.
const HoldTime = 20 * time.Second

// memberLoad is an upstream with the load it has once all moves are completed.
type memberLoad struct {
	member *Member
	// target is the load that is proportional to the upstream's capacity.
	target float64
	load   float64
	// owned holds the positions of the upstream's slices at the start of the plan.
	owned []int
	// ranges is the number of separate ranges of hashes that the upstream owns once all moves are completed.
	ranges    int
	heapIndex int
}

// relative returns the load as a multiple of the target.
func (u *memberLoad) relative() float64 { return u.load / u.target }

// plan is the state of one call of Weighted.Plan.
type plan struct {
	view  View
	now   time.Duration
	loads []float64
	// owners holds the owner of each slice once all moves are completed.
	owners    []uint32
	upstreams map[uint32]*memberLoad
	ready     []*memberLoad
	// byLoad holds the ready upstreams, the least loaded first.
	byLoad     *indexedHeap[*memberLoad]
	operations []state.Operation
	// changed holds the positions of slices that have an operation in this plan.
	changed map[int]bool
	policy  *Weighted
}

// Plan returns the operations that give slices without a ready upstream an owner and bring the service closer to balance. It
// returns none if no upstream is ready.
func (w *Weighted) Plan(now time.Duration, view View) []state.Operation {
	p := w.prepare(now, view)
	if len(p.ready) == 0 {
		return nil
	}
	p.assignUnowned()
	p.moveFromDraining()
	p.isolateHotKeys()
	p.rebalance()
	p.merge()
	return p.operations
}

func (w *Weighted) prepare(now time.Duration, view View) *plan {
	w.refill(now, view.weights)
	p := &plan{view: view, now: now, upstreams: map[uint32]*memberLoad{}, changed: map[int]bool{}, policy: w}
	p.loads = sliceLoads(view)
	total := 0.0
	for i := range view.members {
		m := &view.members[i]
		u := &memberLoad{member: m}
		p.upstreams[m.number] = u
		if m.state == Ready || m.state == Unresponsive {
			u.target = m.capacity * ramp(now, m, w.tuning.Ramp)
			total += u.target
		}
		if m.state == Ready {
			p.ready = append(p.ready, u)
		}
	}
	for _, u := range p.upstreams {
		u.target = max(u.target/max(total, 1e-9), 1e-9)
	}
	p.owners = make([]uint32, len(p.loads))
	for i := range p.loads {
		p.owners[i] = plannedOwner(view.set.At(i))
		if u := p.upstreams[p.owners[i]]; u != nil {
			u.load += p.loads[i]
			u.owned = append(u.owned, i)
			if i == 0 || p.owners[i-1] != p.owners[i] {
				u.ranges++
			}
		}
	}
	p.byLoad = newIndexedHeap(slices.Clone(p.ready), lessLoaded, func(u *memberLoad, at int) { u.heapIndex = at })
	return p
}

// sliceLoads returns each slice's share of the service's load. The share of the hash space counts a little, so that slices
// without requests are spread over the upstreams too.
func sliceLoads(v View) []float64 {
	total := 0.0
	for _, r := range v.rates {
		total += r
	}
	loads := make([]float64, v.set.Len())
	for i := range loads {
		if total < 1 {
			loads[i] = v.set.Share(i)
			continue
		}
		loads[i] = (1-hashSpaceWeight)*v.rates[i]/total + hashSpaceWeight*v.set.Share(i)
	}
	return loads
}

// ramp returns the part of its capacity that an upstream may use, which rises to 1 within rampTime after its join, or later if
// the upstream was lost recently.
func ramp(now time.Duration, m *Member, rampTime time.Duration) float64 {
	flaps := min(m.flaps, maxFlaps)
	length := rampTime << flaps
	age := now - m.joinedAt
	if age >= length {
		return 1
	}
	start := rampStartShare / float64(1+flaps)
	return start + (1-start)*float64(max(age, 0))/float64(length)
}

// refill adds the churn budget for the time since the last plan, and removes the records of moves older than
// Tuning.Hold and of splits older than mergeDelay.
func (w *Weighted) refill(now time.Duration, weights conf.Weights) {
	most := w.tuning.ChurnPerMinute / max(weights.Churn(), 0.25)
	w.budget = min(most, w.budget+most*float64(now-w.budgetAt)/float64(time.Minute))
	w.budgetAt = now
	for start, at := range w.moved {
		if now-at > w.tuning.Hold {
			delete(w.moved, start)
		}
	}
	for start, at := range w.split {
		if now-at > mergeDelay {
			delete(w.split, start)
		}
	}
}

func lessLoaded(a, b *memberLoad) bool {
	if a.relative() != b.relative() {
		return a.relative() < b.relative()
	}
	return a.member.number < b.member.number
}

// addLoad adds to an upstream's load and updates its place in byLoad.
func (p *plan) addLoad(u *memberLoad, load float64) {
	u.load += load
	if u.member.state == Ready {
		p.byLoad.fix(u.heapIndex)
	}
}

// move adds the operation that moves the slice at position i, and counts its load at the new owner from now on.
func (p *plan) move(i int, to *memberLoad) {
	e := p.view.set.At(i)
	o, ok := p.view.moveTo(e, to.member.number)
	if !ok {
		return
	}
	if from := p.upstreams[p.owners[i]]; from != nil {
		from.ranges += p.rangesLost(i)
		p.addLoad(from, -p.loads[i])
	}
	to.ranges += p.rangesGained(i, to)
	p.owners[i] = to.member.number
	p.addLoad(to, p.loads[i])
	p.changed[i] = true
	p.policy.moved[e.Start] = p.now
	p.operations = append(p.operations, o)
}

// byDescendingLoad returns slice positions in descending order of load.
func (p *plan) byDescendingLoad(positions []int) []int {
	ordered := slices.Clone(positions)
	slices.SortStableFunc(ordered, func(a, b int) int { return cmp.Compare(p.loads[b], p.loads[a]) })
	return ordered
}

// assignUnowned assigns all slices without owner, in descending order of load.
func (p *plan) assignUnowned() {
	var unowned []int
	for i := range p.loads {
		if e := p.view.set.At(i); e.Owner == 0 && !p.movingToReady(e) {
			unowned = append(unowned, i)
		}
	}
	for _, i := range p.byDescendingLoad(unowned) {
		p.move(i, p.receiverOf(i))
	}
}

// movingToReady reports whether a slice is being moved to an upstream that is ready.
func (p *plan) movingToReady(e slice.Slice) bool {
	next := p.upstreams[e.Next]
	return e.Moving() && next != nil && next.member.state == Ready
}

// moveFromDraining moves all slices off draining and expired upstreams, in descending order of load.
func (p *plan) moveFromDraining() {
	var positions []int
	for _, u := range p.upstreams {
		if u.member.state == Draining || u.member.state == Expired {
			positions = append(positions, u.owned...)
		}
	}
	slices.Sort(positions)
	for _, i := range p.byDescendingLoad(positions) {
		p.move(i, p.receiverOf(i))
	}
}

// mean returns the load of each ready upstream if all load were divided evenly among them.
func (p *plan) mean() float64 { return 1 / float64(len(p.ready)) }

// isolateHotKeys splits slices so that each key with a large part of one upstream's load has a slice of its own.
func (p *plan) isolateHotKeys() {
	total := 0.0
	for _, r := range p.view.rates {
		total += r
	}
	splits := 0
	for _, k := range p.view.hot {
		if total < 1 || k.rate/total < isolateShare*p.mean() || splits >= maxSplitsPerPlan {
			continue
		}
		i := p.view.set.Position(k.hash)
		e := p.view.set.At(i)
		first, last := p.view.unitStart(k.hash), p.view.unitEnd(k.hash)
		if p.changed[i] || e.Moving() || (e.Start == first && p.view.set.Last(i) == last) {
			continue
		}
		p.splitOut(i, e, first, last)
		splits++
	}
}

// splitOut splits a slice before first and after last, so that the hashes between them become a slice.
func (p *plan) splitOut(i int, e slice.Slice, first, last uint64) {
	if e.Start < first {
		p.splitAt(e, first)
	}
	if last < p.view.set.Last(i) {
		middle := e
		middle.Start = first
		p.splitAt(middle, last+1)
	}
	p.changed[i] = true
}

func (p *plan) splitAt(e slice.Slice, at uint64) {
	o := p.view.operation(state.Split, e, 0)
	o.At = at
	p.policy.split[at] = p.now
	p.policy.split[e.Start] = p.now
	p.operations = append(p.operations, o)
}
