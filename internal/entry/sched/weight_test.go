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

// hostsOfTwoSizes returns entry hosts, the first ones small.
func hostsOfTwoSizes(small, large int, cores, link float64) []Host {
	var list []table.EntryHost
	for i := range small + large {
		e := table.EntryHost{Name: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Processor: 0.4, Link: 625_000}
		if i < small {
			e.Processor, e.Link = cores, link
		}
		list = append(list, e)
	}
	return HostsOf(list)
}

// TestEqualHostsAreRankedByHash guards against other schedulers than before where the hosts are equal or state nothing.
func TestEqualHostsAreRankedByHash(t *testing.T) {
	for _, hosts := range [][]Host{hostsOfTwoSizes(40, 0, 0.16, 687_500), hostsOfTwoSizes(40, 0, 0, 0), hostsOfTwoSizes(40, 0, 1, 0)} {
		for index := range 200 {
			hash := Subset{Service: "s", Index: uint16(index)}.hash()
			want := slices.SortedFunc(slices.Values(hosts), func(a, b Host) int {
				return cmp.Compare(slice.Mix(slice.HashKey(a.Name)^hash), slice.Mix(slice.HashKey(b.Name)^hash))
			})
			rank(hosts, hash)
			qt.Assert(t, hosts, qt.DeepEquals, want)
		}
	}
}

// TestSmallHostsScheduleSeldom guards against schedulers on hosts that have no capacity left for them: with 59 hosts of 0.12 of a core
// and 18 of 0.4, the small ones have 0.23 of the weights, and by hash alone they would schedule 0.77 of the subsets.
func TestSmallHostsScheduleSeldom(t *testing.T) {
	hosts := hostsOfTwoSizes(59, 18, 0.12, 187_500)
	const subsets = 4000
	bySmall := 0
	for index := range subsets {
		if rank(hosts, Subset{Service: "s", Index: uint16(index)}.hash()); hosts[0].Capacity < 1 {
			bySmall++
		}
	}
	share := float64(bySmall) / subsets
	qt.Check(t, share > 0.20 && share < 0.26, qt.IsTrue, qt.Commentf("%v", share))
}

// TestScarcerResourceCounts guards against a scheduler on a host with many cores and a slow link.
func TestScarcerResourceCounts(t *testing.T) {
	hosts := HostsOf([]table.EntryHost{{Processor: 1, Link: 100}, {Processor: 0.5, Link: 1000}, {Link: 1000}})
	qt.Check(t, []float64{hosts[0].Capacity, hosts[1].Capacity, hosts[2].Capacity}, qt.DeepEquals, []float64{0.1, 0.5, 1})
}
