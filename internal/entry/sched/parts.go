package sched

import (
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Sizes of parts.
const (
	wholeSize = 36 // upstreams of a service up to which one dealer has them all; its slots are then shared without loss
	partSize  = 24 // upstreams for which one dealer is enough: about 500 requests a second of 150 ms, 0.05 of a core
)

// Subset names those upstreams of a service that have a dealer of their own. DataCentre is empty where one dealer has them all.
type Subset struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	DataCentre string
	Index      uint16
}

// hash places the part among hosts.
func (p Subset) hash() uint64 {
	return slice.Mix(slice.HashKey(p.Service)^slice.Mix(slice.HashKey(p.DataCentre)+uint64(p.Index))) | 1
}

// Subsets says which part each upstream of a service belongs to. It follows from the list alone, so that hosts with the same
// table divide alike; a part's count is a power of two, so that one upstream more or less seldom changes it.
type Subsets struct {
	service string
	counts  map[string]uint16
	total   int
}

// NewSubsets returns the division of a service's upstreams.
func NewSubsets(service string, list []Upstream) Subsets {
	d := Subsets{service: service}
	if len(list) <= wholeSize {
		d.total = 1
		return d
	}
	d.counts = map[string]uint16{}
	for _, u := range list {
		d.counts[u.DataCentre]++
	}
	for name, n := range d.counts {
		parts := uint16(1)
		for int(parts)*partSize < int(n) {
			parts *= 2
		}
		d.counts[name] = parts
		d.total += int(parts)
	}
	return d
}

// Count returns the number of parts.
func (d Subsets) Count() int { return d.total }

// Of returns the part of an upstream.
func (d Subsets) Of(u Upstream) Subset {
	if d.counts == nil {
		return Subset{Service: d.service}
	}
	count := max(d.counts[u.DataCentre], 1)
	return Subset{Service: d.service, DataCentre: u.DataCentre, Index: uint16(slice.Mix(uint64(u.Number)) % uint64(count))}
}

// Members returns the upstreams of a part.
func (d Subsets) Members(p Subset, list []Upstream) []Upstream {
	return slices.DeleteFunc(slices.Clone(list), func(u Upstream) bool { return d.Of(u) != p })
}

// forPart returns an ask as one part's dealer gets it.
func (d Subsets) forPart(p Subset, a SlotRequest, list []Upstream, left time.Duration, hurry bool) SlotRequest {
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

// hint is what a part's dealer said last about when a slot is free.
type hint struct {
	after time.Duration
	at    time.Duration
}

// hintLife is how long a dealer's word on its load guides the choice of a part; loads change within a few requests' time.
const hintLife = 250 * time.Millisecond

// wait returns what is left of the wait that was told, none once it is old.
func (h hint) wait(now time.Duration) time.Duration {
	if now-h.at > hintLife {
		return 0
	}
	return max(h.after-(now-h.at), 0)
}

// order returns the parts that may serve a request in the order in which to ask them: those said to have free slots first, the
// caller's data centre before others, and at random among equals, by their slots.
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
