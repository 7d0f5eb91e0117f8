package sched

import (
	"math"

	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// minCapacity is the lowest relative capacity that is told apart. It keeps every host a candidate for the case that the others fail.
const minCapacity = 0.01

// weightExponent makes hosts schedule more than proportionally to their capacity. Each host carries the same share of callers' requests
// first, and only the rest of its capacity is free for scheduling. Where callers' requests take 0.77 of a host with 0.12 of a core, a host
// with 0.4 has 11 times as much left, which is the square of the ratio of the cores.
const weightExponent = 2

// Weight returns the relative share of subsets that the host schedules. A host without a stated capacity counts as one of the largest.
func (h Host) Weight() float64 {
	if h.Capacity <= 0 {
		return 1
	}
	return math.Pow(h.Capacity, weightExponent)
}

// HostsOf returns the entry hosts of a routing table as candidates for scheduling. The capacity of a host is the smaller of its shares
// of the largest processor and of the fastest link, because the scarcer resource limits it.
func HostsOf(entries []table.EntryHost) []Host {
	processor, link := 0.0, 0.0
	for _, e := range entries {
		processor, link = max(processor, e.Processor), max(link, e.Link)
	}
	list := make([]Host, 0, len(entries))
	for _, e := range entries {
		list = append(list, Host{Name: e.Name, Address: e.Address, DataCentre: e.DataCentre,
			Capacity: max(min(shareOf(e.Processor, processor), shareOf(e.Link, link)), minCapacity)})
	}
	return list
}

// shareOf returns the ratio of a resource to the largest one, or one if the host does not state it.
func shareOf(own, largest float64) float64 {
	if own <= 0 || largest <= 0 {
		return 1
	}
	return own / largest
}
