package sched

import (
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Sizes of subsets, in upstreams.
const (
	singleSubsetMax = 36 // services up to this size form a single subset, in which any request can use any free slot
	subsetSize      = 24 // target size; about 500 requests per second of 150 ms, which costs the scheduler 0.05 of a core
)

// Subset identifies a subset of a service's upstreams. Each subset has its own scheduler. DataCentre is empty if the subset holds
// all upstreams of the service.
type Subset struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	DataCentre string
	Index      uint16
}

// hash returns the subset's hash for choosing its scheduler by rendezvous hashing.
func (p Subset) hash() uint64 {
	return slice.Mix(slice.HashKey(p.Service)^slice.Mix(slice.HashKey(p.DataCentre)+uint64(p.Index))) | 1
}

// Subsets maps each upstream of a service to its subset. It depends only on the list of upstreams, so that hosts with the same
// table get the same subsets. The number of subsets in a data centre is a power of two, so that adding or removing an upstream
// seldom changes it.
type Subsets struct {
	service string
	counts  map[string]uint16
	total   int
}

// NewSubsets divides a service's upstreams into subsets.
func NewSubsets(service string, list []Upstream) Subsets {
	d := Subsets{service: service}
	if len(list) <= singleSubsetMax {
		d.total = 1
		return d
	}
	d.counts = map[string]uint16{}
	for _, u := range list {
		d.counts[u.DataCentre]++
	}
	for name, n := range d.counts {
		parts := uint16(1)
		for int(parts)*subsetSize < int(n) {
			parts *= 2
		}
		d.counts[name] = parts
		d.total += int(parts)
	}
	return d
}

// Count returns the number of subsets.
func (d Subsets) Count() int { return d.total }

// Of returns the subset of an upstream.
func (d Subsets) Of(u Upstream) Subset {
	if d.counts == nil {
		return Subset{Service: d.service}
	}
	count := max(d.counts[u.DataCentre], 1)
	return Subset{Service: d.service, DataCentre: u.DataCentre, Index: uint16(slice.Mix(uint64(u.Number)) % uint64(count))}
}

// Members returns the upstreams in a subset.
func (d Subsets) Members(p Subset, list []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u Upstream) bool { return d.Of(u) != p })
}

// forSubset returns a copy of a slot request for the scheduler of one subset, with the time left and with only those avoided
// upstreams that are in the subset. If hurry is set, the copy asks not to be queued.
func (d Subsets) forSubset(p Subset, a SlotRequest, list []Upstream, left time.Duration, hurry bool) SlotRequest {
	a.Timeout, a.NoQueue = left, hurry || a.NoQueue
	if len(a.Exclude) == 0 {
		return a
	}
	var avoid []uint32
	for _, u := range list {
		if slices.Contains(a.Exclude, u.Number) && d.Of(u) == p {
			avoid = append(avoid, u.Number)
		}
	}
	a.Exclude = avoid
	return a
}

// hint is the last report of a subset's scheduler: the time until a slot should be free, and when that was reported.
type hint struct {
	after time.Duration
	at    time.Duration
}

// hintTTL is how long a hint is used. Load changes within the time of a few requests.
const hintTTL = 250 * time.Millisecond

// wait returns the remainder of the reported wait, or zero once the hint has expired.
func (h hint) wait(now time.Duration) time.Duration {
	if now-h.at > hintTTL {
		return 0
	}
	return max(h.after-(now-h.at), 0)
}

// order returns the subsets that may serve a request in the order in which to ask them: by expected wait, then those in the
// requesting host's data centre, then at random with subsets weighted by their number of slots.
func (d Subsets) order(list []Upstream, dataCentre string, avoid []uint32, wait func(Subset) time.Duration, random func() float64) []Subset {
	slots := map[Subset]int{}
	for _, u := range list {
		if !u.Draining && !slices.Contains(avoid, u.Number) {
			slots[d.Of(u)] += max(u.Slots, 1)
		}
	}
	type entry struct {
		part Subset
		wait time.Duration
		far  int
		draw float64
	}
	var entries []entry
	for p, n := range slots {
		e := entry{part: p, wait: wait(p), draw: random() / float64(n)}
		if p.DataCentre != "" && p.DataCentre != dataCentre {
			e.far = 1
		}
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b entry) int {
		switch {
		case a.wait != b.wait:
			return int(a.wait - b.wait)
		case a.far != b.far:
			return a.far - b.far
		case a.draw < b.draw:
			return -1
		}
		return 1
	})
	parts := make([]Subset, len(entries))
	for i, e := range entries {
		parts[i] = e.part
	}
	return parts
}
