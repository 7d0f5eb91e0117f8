package sched

import (
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Sizes of subsets, in upstreams.
const (
	singleSubsetMax = 36 // services up to this size form a single subset, in which any request can use any free slot
	subsetSize      = 24 // largest mean size of the subsets in a data centre; one scheduler can handle as many: about 500 requests of 150 ms per second take 0.05 of a core
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
func (s Subset) hash() uint64 {
	return slice.Mix(slice.HashKey(s.Service)^slice.Mix(slice.HashKey(s.DataCentre)+uint64(s.Index))) | 1
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
	m := Subsets{service: service}
	if len(list) <= singleSubsetMax {
		m.total = 1
		return m
	}
	m.counts = map[string]uint16{}
	for _, u := range list {
		m.counts[u.DataCentre]++
	}
	for name, n := range m.counts {
		count := uint16(1)
		for int(count)*subsetSize < int(n) {
			count *= 2
		}
		m.counts[name] = count
		m.total += int(count)
	}
	return m
}

// Count returns the number of subsets.
func (m Subsets) Count() int { return m.total }

// Of returns the subset of an upstream.
func (m Subsets) Of(u Upstream) Subset {
	if m.counts == nil {
		return Subset{Service: m.service}
	}
	count := max(m.counts[u.DataCentre], 1)
	return Subset{Service: m.service, DataCentre: u.DataCentre, Index: uint16(slice.Mix(uint64(u.Number)) % uint64(count))}
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
