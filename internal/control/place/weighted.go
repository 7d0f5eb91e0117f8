package place

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Tuning of the weighted policy. Loads are shares of a service's load, so that they add up to one.
const (
	spaceShare        = 0.03
	startExcess       = 0.10
	stopExcess        = 0.04
	maxExcess         = 0.14
	isolateShare      = 0.2
	splitShare        = 0.35
	mergeShare        = 0.02
	maxMovesPerPlan   = 48
	maxSplitsPerPlan  = 8
	maxMergesPerPlan  = 16
	slicesPerMember   = 64
	churnPerMinute    = 0.25
	moveTimeShare     = 0.02
	mergeHoldTime     = 60 * time.Second
	rampTime          = 20 * time.Second
	rampStart         = 0.3
	maxFlaps          = 4
	smallestMoveShare = 1e-12
)

// Weighted moves the slices with the most benefit for the least churn, within a churn budget, splits slices that are
// too hot to move, isolates hot keys, and merges what has cooled.
type Weighted struct {
	moved    map[uint64]time.Duration
	split    map[uint64]time.Duration
	budget   float64
	budgetAt time.Duration
	active   bool
	tuning   Tuning
}

// Tuning is how readily a policy acts.
type Tuning struct {
	// ChurnPerMinute is the share of the key space that may be moved for balance in a minute.
	ChurnPerMinute float64
	// Hold is how long a slice that was moved for balance stays where it is.
	Hold time.Duration
	// Ramp is how long a new upstream is trusted with less than its capacity.
	Ramp time.Duration
	// SplitShare is the part of an upstream's share above which a slice is cut.
	SplitShare float64
	// StartExcess and StopExcess are how far above its share an upstream may be before moves start, and when they stop.
	StartExcess, StopExcess float64
}

// DefaultTuning returns the tuning for upstreams whose keys are costly to move.
func DefaultTuning() Tuning {
	return Tuning{ChurnPerMinute: churnPerMinute, Hold: HoldTime, Ramp: rampTime, SplitShare: splitShare, StartExcess: startExcess, StopExcess: stopExcess}
}

// HandoverTuning returns the tuning for upstreams that hand the state of keys over, so that a move costs about a heartbeat of
// service for the keys that move; the busiest keys change within seconds there.
func HandoverTuning() Tuning {
	return Tuning{ChurnPerMinute: 4, Hold: 3 * time.Second, Ramp: 4 * time.Second, SplitShare: 0.3, StartExcess: 0.15, StopExcess: 0.08}
}

// NewWeighted returns the policy for one service.
func NewWeighted() *Weighted { return NewTuned(DefaultTuning()) }

// NewTuned returns the policy for one service with its tuning.
func NewTuned(t Tuning) *Weighted {
	return &Weighted{moved: map[uint64]time.Duration{}, split: map[uint64]time.Duration{}, budget: t.ChurnPerMinute, tuning: t}
}

// HoldTime is how long a slice that was moved for balance stays where it is, where its keys are costly to move.
const HoldTime = 20 * time.Second

// bearer is an upstream with the load it will bear once all moves are done.
type bearer struct {
	member *Member
	target float64
	load   float64
	owned  []int
	rank   int
}

func (b *bearer) relative() float64 { return b.load / b.target }

// plan is one run of the policy.
type plan struct {
	view       View
	now        time.Duration
	loads      []float64
	bearers    map[uint32]*bearer
	ready      []*bearer
	light      *order[*bearer]
	operations []state.Operation
	taken      map[int]bool
	policy     *Weighted
}

// Plan returns the operations that bring the service nearer to balance.
func (w *Weighted) Plan(now time.Duration, view View) []state.Operation {
	p := w.prepare(now, view)
	if len(p.ready) == 0 {
		return nil
	}
	p.placeOrphans()
	p.emptyLeaving()
	p.isolate()
	p.rebalance()
	p.merge()
	return p.operations
}

func (w *Weighted) prepare(now time.Duration, view View) *plan {
	w.refill(now, view.weights)
	p := &plan{view: view, now: now, bearers: map[uint32]*bearer{}, taken: map[int]bool{}, policy: w}
	p.loads = sliceLoads(view)
	total := 0.0
	for i := range view.members {
		m := &view.members[i]
		b := &bearer{member: m}
		p.bearers[m.number] = b
		if m.state == Ready || m.state == Unresponsive {
			b.target = m.capacity * ramp(now, m, w.tuning.Ramp)
			total += b.target
		}
		if m.state == Ready {
			p.ready = append(p.ready, b)
		}
	}
	for _, b := range p.bearers {
		b.target = max(b.target/max(total, 1e-9), 1e-9)
	}
	for i := range p.loads {
		if b := p.bearers[planned(view.set.At(i))]; b != nil {
			b.load += p.loads[i]
			b.owned = append(b.owned, i)
		}
	}
	p.light = newOrder(slices.Clone(p.ready), lighter, func(b *bearer, at int) { b.rank = at })
	return p
}

// sliceLoads returns each slice's share of the service's load; key space counts a little, so that cold slices spread.
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
		loads[i] = (1-spaceShare)*v.rates[i]/total + spaceShare*v.set.Share(i)
	}
	return loads
}

// ramp returns the part of its capacity that a cold upstream is trusted with.
func ramp(now time.Duration, m *Member, rampTime time.Duration) float64 {
	flaps := min(m.flaps, maxFlaps)
	length := rampTime << flaps
	age := now - m.joinedAt
	if age >= length {
		return 1
	}
	start := rampStart / float64(1+flaps)
	return start + (1-start)*float64(max(age, 0))/float64(length)
}

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
		if now-at > mergeHoldTime {
			delete(w.split, start)
		}
	}
}

// lightest returns the ready upstream that bears least for its capacity.
func (p *plan) lightest() *bearer { return p.light.first() }

func lighter(a, b *bearer) bool {
	if a.relative() != b.relative() {
		return a.relative() < b.relative()
	}
	return a.member.number < b.member.number
}

// bear changes an upstream's load.
func (p *plan) bear(b *bearer, load float64) {
	b.load += load
	if b.member.state == Ready {
		p.light.fix(b.rank)
	}
}

// give plans the slice's move and counts its load on the new side at once.
func (p *plan) give(i int, to *bearer) {
	e := p.view.set.At(i)
	o, ok := p.view.moveTo(e, to.member.number)
	if !ok {
		return
	}
	if from := p.bearers[planned(e)]; from != nil {
		p.bear(from, -p.loads[i])
	}
	p.bear(to, p.loads[i])
	p.taken[i] = true
	p.policy.moved[e.Start] = p.now
	p.operations = append(p.operations, o)
}

// hottestFirst orders slice positions by load.
func (p *plan) hottestFirst(positions []int) []int {
	ordered := slices.Clone(positions)
	slices.SortStableFunc(ordered, func(a, b int) int { return cmp.Compare(p.loads[b], p.loads[a]) })
	return ordered
}

// placeOrphans gives every slice without owner a new one at once, the hottest first.
func (p *plan) placeOrphans() {
	var orphans []int
	for i := range p.loads {
		if e := p.view.set.At(i); e.Owner == 0 && !p.awaited(e) {
			orphans = append(orphans, i)
		}
	}
	for _, i := range p.hottestFirst(orphans) {
		p.give(i, p.lightest())
	}
}

// awaited reports whether a slice without owner is on its way to an upstream that is there to take it.
func (p *plan) awaited(e slice.Slice) bool {
	next := p.bearers[e.Next]
	return e.Moving() && next != nil && next.member.state == Ready
}

// emptyLeaving hands over all that leaving and gone upstreams have, the hottest first.
func (p *plan) emptyLeaving() {
	var leaving []int
	for _, b := range p.bearers {
		if b.member.state == Draining || b.member.state == Expired {
			leaving = append(leaving, b.owned...)
		}
	}
	slices.Sort(leaving)
	for _, i := range p.hottestFirst(leaving) {
		p.give(i, p.lightest())
	}
}

// mean returns the load that an upstream of average capacity should bear.
func (p *plan) mean() float64 { return 1 / float64(len(p.ready)) }

// isolate cuts a hot key that draws a fair part of one upstream's load out of its slice.
func (p *plan) isolate() {
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
		first, last := p.view.floor(k.hash), p.view.last(k.hash)
		if p.taken[i] || e.Moving() || (e.Start == first && p.view.set.Last(i) == last) {
			continue
		}
		p.cutOut(i, e, first, last)
		splits++
	}
}

// cutOut splits a slice before and behind one unit.
func (p *plan) cutOut(i int, e slice.Slice, first, last uint64) {
	if e.Start < first {
		p.splitAt(e, first)
	}
	if last < p.view.set.Last(i) {
		middle := e
		middle.Start = first
		p.splitAt(middle, last+1)
	}
	p.taken[i] = true
}

func (p *plan) splitAt(e slice.Slice, at uint64) {
	o := p.view.operation(state.Split, e, 0)
	o.At = at
	p.policy.split[at] = p.now
	p.policy.split[e.Start] = p.now
	p.operations = append(p.operations, o)
}
