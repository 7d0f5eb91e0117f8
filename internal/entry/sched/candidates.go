package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// candidates returns the hosts to ask for the slots of a subset, in order of preference. The order follows from rendezvous
// hashing, so that all hosts with the same table choose the same scheduler. If the subset's data centre has entry hosts, only
// these are returned. Unresponsive hosts come last. The mutex must be held.
func (n *Node) candidates(now time.Duration, sub Subset) (list []Host) {
	if n.isolated(now) {
		return nil
	}
	var unresponsive []Host
	for _, h := range n.rankedHosts(sub) {
		if now < n.unresponsive[h.Address] {
			unresponsive = append(unresponsive, h)
			continue
		}
		if list = append(list, h); len(list) == maxHostsTried {
			return list
		}
	}
	list = append(list, unresponsive...)
	return list[:min(len(list), maxHostsTried)]
}

// updateRanking drops the rankings that were made from another list of hosts. The mutex must be held.
func (n *Node) updateRanking() {
	if hosts := n.options.Hosts(); !slices.Equal(hosts, n.rankedOf) {
		n.rankedOf = hosts
		clear(n.ranked)
	}
}

// rankedHosts returns the hosts that may schedule a subset in order of preference. The ranking is kept until Update finds other hosts.
// The mutex must be held.
func (n *Node) rankedHosts(sub Subset) (list []Host) {
	if list, ok := n.ranked[sub]; ok {
		return list
	}
	n.updateRanking()
	list = slices.Clone(n.rankedOf)
	if sub.DataCentre != "" && slices.ContainsFunc(list, func(h Host) bool { return h.DataCentre == sub.DataCentre }) {
		list = slices.DeleteFunc(list, func(h Host) bool { return h.DataCentre != sub.DataCentre })
	}
	rank(list, sub.hash())
	n.ranked[sub] = list
	return list
}

// rank sorts hosts by weighted rendezvous hashing: the probability that a host comes first is its share of the weights, and another
// weight of one host moves only subsets to or from that host. Equal weights are ranked by the hash alone.
func rank(list []Host, hash uint64) {
	scores, draws := map[string]uint64{}, map[string]float64{}
	for _, h := range list {
		score := slice.Mix(slice.HashKey(h.Name) ^ hash)
		scores[h.Address] = score
		draws[h.Address] = -math.Log1p(-float64(score)/(1<<64)) / h.Weight()
	}
	slices.SortFunc(list, func(a, b Host) int {
		if a.Capacity == b.Capacity {
			return cmp.Compare(scores[a.Address], scores[b.Address])
		}
		return cmp.Or(cmp.Compare(draws[a.Address], draws[b.Address]), cmp.Compare(scores[a.Address], scores[b.Address]))
	})
}

// isolated reports whether so many hosts are unresponsive that this host's own network link is probably at fault. This host then
// asks no scheduler. The mutex must be held.
func (n *Node) isolated(now time.Duration) bool {
	count := 0
	for _, until := range n.unresponsive {
		if now < until {
			count++
		}
	}
	return count >= maxUnresponsive
}
