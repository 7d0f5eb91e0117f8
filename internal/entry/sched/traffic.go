package sched

import "sync/atomic"

// traffic counts the scheduling datagrams that a host sends to others.
type traffic struct {
	datagrams atomic.Int64
	bytes     atomic.Int64
	resent    atomic.Int64
}

// Traffic returns the number of datagrams that this host has sent, their total size in bytes, and how many slot requests were
// sent again for lack of a reply. A high rate of resends indicates a saturated network link.
func (n *Node) Traffic() (datagrams, bytes, resent int64) {
	return n.traffic.datagrams.Load(), n.traffic.bytes.Load(), n.traffic.resent.Load()
}

// EvictedLevels is the number of priorities for which evictions are counted apart; the last one counts those of lower priorities too.
const EvictedLevels = 4

// evictedCounts counts evicted requests by priority.
type evictedCounts [EvictedLevels]atomic.Int64

// Evicted returns the number of waiting requests of a priority that this host's schedulers have evicted.
func (n *Node) Evicted(priority int) int64 { return n.evicted[evictedLevel(priority)].Load() }

func evictedLevel(priority int) int { return min(max(priority, 0), EvictedLevels-1) }

// reportEvictions counts and reports the evictions of a subset's scheduler since the last call. The mutex must be held.
func (n *Node) reportEvictions(subset Subset) {
	s := n.schedulers[subset]
	if s == nil {
		return
	}
	for _, e := range s.TakeEvictions() {
		n.evicted[evictedLevel(e.Priority)].Add(1)
		if n.options.OnEvicted != nil {
			n.options.OnEvicted(subset.Service, e)
		}
	}
}
