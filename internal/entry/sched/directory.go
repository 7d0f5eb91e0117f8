package sched

import (
	"cmp"
	"slices"
	"time"
)

// directory holds the upstreams of one service by number and by subset. It is immutable.
type directory struct {
	subsets  Subsets
	byNumber map[uint32]Upstream
	members  map[Subset][]Upstream
	// slots is the number of slots of the upstreams of each subset that are not draining.
	slots map[Subset]int
	// usable lists the subsets with slots, in the order of their first upstreams.
	usable []Subset
}

// newDirectory returns the directory of a service's upstreams, divided into the given subsets.
func newDirectory(subsets Subsets, list []Upstream) *directory {
	d := &directory{subsets: subsets, byNumber: make(map[uint32]Upstream, len(list)), members: map[Subset][]Upstream{}, slots: map[Subset]int{}}
	for _, u := range list {
		s := subsets.Of(u)
		d.byNumber[u.Number] = u
		d.members[s] = append(d.members[s], u)
		if u.Draining || u.Closed {
			continue
		}
		if d.slots[s] == 0 {
			d.usable = append(d.usable, s)
		}
		d.slots[s] += max(u.Slots, 1)
	}
	return d
}

// forSubset returns a copy of a slot request for the scheduler of one subset, with the given timeout, and excluding only
// upstreams that are in the subset. If noQueue is set, the copy asks not to be queued.
func (d *directory) forSubset(s Subset, request SlotRequest, timeout time.Duration, noQueue bool) SlotRequest {
	request.Timeout, request.NoQueue = timeout, noQueue || request.NoQueue
	var exclude []uint32
	for _, number := range request.Exclude {
		if u, ok := d.byNumber[number]; ok && d.subsets.Of(u) == s {
			exclude = append(exclude, number)
		}
	}
	request.Exclude = exclude
	return request
}

// slotsWithout returns the slots of each subset without those of the excluded upstreams.
func (d *directory) slotsWithout(exclude []uint32) func(Subset) int {
	excluded := map[Subset]int{}
	for i, number := range exclude {
		u, ok := d.byNumber[number]
		if ok && !u.Draining && !u.Closed && !slices.Contains(exclude[:i], number) {
			excluded[d.subsets.Of(u)] += max(u.Slots, 1)
		}
	}
	return func(s Subset) int { return d.slots[s] - excluded[s] }
}

// subsetCandidate is a subset that may serve a request, with what decides when it is asked.
type subsetCandidate struct {
	subset Subset
	wait   time.Duration
	remote int
	draw   float64
}

// order returns the subsets that may serve a request in the order in which to ask them: by expected wait, then those in the
// requesting host's data centre, then at random with subsets weighted by their number of slots.
func (d *directory) order(dataCentre string, exclude []uint32, wait func(Subset) time.Duration, random func() float64) []Subset {
	slots := d.slotsWithout(exclude)
	candidates := make([]subsetCandidate, 0, len(d.usable))
	for _, s := range d.usable {
		n := slots(s)
		if n <= 0 {
			continue
		}
		c := subsetCandidate{subset: s, wait: wait(s), draw: random() / float64(n)}
		if s.DataCentre != "" && s.DataCentre != dataCentre {
			c.remote = 1
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b subsetCandidate) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.remote, b.remote), cmp.Compare(a.draw, b.draw))
	})
	subsets := make([]Subset, len(candidates))
	for i, c := range candidates {
		subsets[i] = c.subset
	}
	return subsets
}
