package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

// entryHosts returns entry hosts of two sizes, the first ones small.
func entryHosts(small, large int, smallCores, smallLink float64) (list []table.EntryHost) {
	for i := range small + large {
		e := table.EntryHost{Name: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Processor: 0.4, Link: 625_000}
		if i < small {
			e.Processor, e.Link = smallCores, smallLink
		}
		list = append(list, e)
	}
	return list
}

// rankFor returns the names of hosts in the order in which they schedule the subset with an index.
func rankFor(hosts []Host, index int) (names []string) {
	list := slices.Clone(hosts)
	rank(list, Subset{Service: "s", Index: uint16(index)}.hash())
	for _, h := range list {
		names = append(names, h.Name)
	}
	return names
}

// TestEqualHostsAreRankedByHash guards against other schedulers than before in deployments whose hosts are equal or state nothing: the
// hosts would disagree while they are updated.
func TestEqualHostsAreRankedByHash(t *testing.T) {
	unstated := entryHosts(40, 0, 0, 0)
	for name, entries := range map[string][]table.EntryHost{"equal": entryHosts(40, 0, 0.16, 687_500), "unstated": unstated, "no link": entryHosts(40, 0, 1, 0)} {
		t.Run(name, func(t *testing.T) {
			for index := range 200 {
				hash := Subset{Service: "s", Index: uint16(index)}.hash()
				slices.SortFunc(unstated, func(a, b table.EntryHost) int {
					return cmp.Compare(slice.Mix(slice.HashKey(a.Name)^hash), slice.Mix(slice.HashKey(b.Name)^hash))
				})
				var want []string
				for _, e := range unstated {
					want = append(want, e.Name)
				}
				qt.Assert(t, rankFor(HostsOf(entries), index), qt.DeepEquals, want)
			}
		})
	}
}

// TestSmallHostsScheduleSeldom guards against schedulers on hosts that have no capacity left for them: with 59 hosts of 0.12 of a core
// and 18 of 0.4, the small ones have 0.23 of the weights, and by hash alone they would schedule 0.77 of the subsets.
func TestSmallHostsScheduleSeldom(t *testing.T) {
	hosts := HostsOf(entryHosts(59, 18, 0.12, 187_500))
	const subsets = 4000
	bySmall := 0
	for index := range subsets {
		name := rankFor(hosts, index)[0]
		if slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name }) < 59 {
			bySmall++
		}
	}
	share := float64(bySmall) / subsets
	qt.Check(t, share > 0.20 && share < 0.26, qt.IsTrue, qt.Commentf("%v", share))
}

// TestScarcerResourceCounts guards against a scheduler on a host with many cores and a slow link.
func TestScarcerResourceCounts(t *testing.T) {
	hosts := HostsOf([]table.EntryHost{{Name: "a", Processor: 1, Link: 100}, {Name: "b", Processor: 0.5, Link: 1000}, {Name: "c", Link: 1000}})
	qt.Check(t, []float64{hosts[0].Capacity, hosts[1].Capacity, hosts[2].Capacity}, qt.DeepEquals, []float64{0.1, 0.5, 1})
}
