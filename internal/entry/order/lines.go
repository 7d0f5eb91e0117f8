package order

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// Waiting is a request that waits. Times returns the time by which requests of one route are sorted, and the time until which a
// response meets the objective.
type Waiting interface {
	comparable
	Times() (due, objective time.Duration)
}

// line holds the waiting requests of one route for one target, sorted by due time.
type line[J Waiting] struct {
	route *Route
	list  []J
}

// Lines holds waiting requests by target and route. A target is the only upstream that may run a request, or zero for any.
type Lines[J Waiting] struct {
	targets map[uint32][]*line[J]
	count   int
}

// NewLines returns lines without requests.
func NewLines[J Waiting]() *Lines[J] { return &Lines[J]{targets: map[uint32][]*line[J]{}} }

// Len returns the number of waiting requests.
func (l *Lines[J]) Len() int { return l.count }

// Add inserts a request behind those of its route that are due no later.
func (l *Lines[J]) Add(target uint32, route *Route, j J) {
	q := l.find(target, route)
	if q == nil {
		q = &line[J]{route: route}
		l.targets[target] = append(l.targets[target], q)
	}
	due, _ := j.Times()
	q.list = slices.Insert(q.list, q.upTo(due), j)
	l.count++
}

// Remove removes a request.
func (l *Lines[J]) Remove(target uint32, route *Route, j J) {
	q := l.find(target, route)
	if q == nil {
		return
	}
	due, _ := j.Times()
	for i := q.upTo(due) - 1; i >= 0; i-- {
		if q.list[i] == j {
			q.list = slices.Delete(q.list, i, i+1)
			l.count--
			break
		}
	}
	if len(q.list) == 0 {
		l.targets[target] = slices.DeleteFunc(l.targets[target], func(o *line[J]) bool { return o == q })
	}
	if len(l.targets[target]) == 0 {
		delete(l.targets, target)
	}
}

func (l *Lines[J]) find(target uint32, route *Route) *line[J] {
	for _, q := range l.targets[target] {
		if q.route == route {
			return q
		}
	}
	return nil
}

// upTo returns the number of requests that are due at the given time or before.
func (q *line[J]) upTo(due time.Duration) int {
	return sort.Search(len(q.list), func(i int) bool {
		own, _ := q.list[i].Times()
		return own > due
	})
}

// late reports whether a request can no longer meet its objective.
func (q *line[J]) late(now time.Duration, j J) bool {
	_, objective := j.Times()
	return now+time.Duration(planMargin*float64(q.route.Work())) > objective
}

// Tiers of the order. Requests of a higher tier get slots first.
const (
	tierLate = iota
	tierOnTime
	tierShortLate
	tierShort
)

// part is a run of requests of one line with the same tier and score. A part of a mixed line skips the requests of the other tier.
type part[J Waiting] struct {
	line   *line[J]
	tier   int
	score  float64
	from   int
	end    int
	skip   bool
	isLate bool
}

// before compares the next requests of two parts.
func (p *part[J]) before(o *part[J]) bool {
	if c := cmp.Or(cmp.Compare(o.tier, p.tier), cmp.Compare(o.score, p.score)); c != 0 {
		return c < 0
	}
	a, _ := p.line.list[p.from].Times()
	b, _ := o.line.list[o.from].Times()
	return a < b
}

// settle moves to the next request of the part's tier and reports whether there is one.
func (p *part[J]) settle(now time.Duration) bool {
	for p.skip && p.from < p.end && p.line.late(now, p.line.list[p.from]) != p.isLate {
		p.from++
	}
	return p.from < p.end
}

// parts appends the parts of a line to a list. For estimates, a mixed line is one part by due time.
func (q *line[J]) parts(list []part[J], now time.Duration, estimate bool) []part[J] {
	score, short := q.route.score(now)
	onTime, late := tierOnTime, tierLate
	if short {
		onTime, late = tierShort, tierShortLate
	}
	n := len(q.list)
	if q.route.mixed && estimate {
		return append(list, part[J]{line: q, tier: onTime, score: score, end: n})
	}
	first, last := 0, n
	if !q.route.mixed {
		first = sort.Search(n, func(i int) bool { return !q.late(now, q.list[i]) })
		last = first
	}
	return append(list, part[J]{line: q, tier: onTime, score: score, from: first, end: n, skip: q.route.mixed},
		part[J]{line: q, tier: late, score: score, end: last, skip: q.route.mixed, isLate: true})
}

// Walk visits the requests for the targets in the order in which they get slots, until visit returns false. The lines must not be
// changed meanwhile. For estimates, requests without a route are visited by due time alone.
func (l *Lines[J]) Walk(now time.Duration, targets []uint32, estimate bool, visit func(J) bool) {
	var parts []part[J]
	for _, target := range targets {
		for _, q := range l.targets[target] {
			parts = q.parts(parts, now, estimate)
		}
	}
	for {
		var next *part[J]
		for i := range parts {
			if p := &parts[i]; p.settle(now) && (next == nil || p.before(next)) {
				next = p
			}
		}
		if next == nil || !visit(next.line.list[next.from]) {
			return
		}
		next.from++
	}
}

// Targets returns the targets with waiting requests, in ascending order.
func (l *Lines[J]) Targets() []uint32 {
	list := make([]uint32, 0, len(l.targets))
	for target := range l.targets {
		list = append(list, target)
	}
	slices.Sort(list)
	return list
}

// Ahead returns the number and the work of the requests that get slots before a request, which may be waiting or not. Requests for
// any upstream count those of all targets.
func (l *Lines[J]) Ahead(now time.Duration, target uint32, route *Route, j J) (count int, work time.Duration) {
	own := (&line[J]{route: route, list: []J{j}}).part(now)
	add := func(n int, r *Route) {
		count += n
		work += time.Duration(n) * r.Work()
	}
	var parts []part[J]
	for t, lines := range l.targets {
		for _, q := range lines {
			if target == 0 || t == target {
				parts = q.parts(parts, now, true)
			}
		}
	}
	for i := range parts {
		add(parts[i].ahead(&own, j), parts[i].line.route)
	}
	return count, work
}

// part returns the part of a line with one request.
func (q *line[J]) part(now time.Duration) part[J] {
	for _, p := range q.parts(nil, now, true) {
		if p.from < p.end {
			return p
		}
	}
	return part[J]{}
}

// ahead returns the number of requests of the part that come before the request j of the part own.
func (p *part[J]) ahead(own *part[J], j J) int {
	if c := cmp.Or(cmp.Compare(p.tier, own.tier), cmp.Compare(p.score, own.score)); c != 0 {
		return max(c, 0) * (p.end - p.from)
	}
	due, _ := j.Times()
	n := min(max(p.line.upTo(due), p.from), p.end)
	for i := n - 1; i >= p.from; i-- {
		if p.line.list[i] == j {
			return n - p.from - 1
		}
		if other, _ := p.line.list[i].Times(); other != due {
			break
		}
	}
	return n - p.from
}

// Last returns the waiting request for a target that gets a slot last.
func (l *Lines[J]) Last(now time.Duration, target uint32) (last J, ok bool) {
	var lowest *part[J]
	for _, q := range l.targets[target] {
		for _, p := range q.parts(nil, now, true) {
			if p.from == p.end {
				continue
			}
			if p.from = p.end - 1; lowest == nil || lowest.before(&p) {
				lowest = &p
			}
		}
	}
	if lowest == nil {
		return last, false
	}
	return lowest.line.list[lowest.from], true
}
