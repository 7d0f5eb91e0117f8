package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// rangesAfter returns the number of separate ranges of each upstream once the operations are completed.
func rangesAfter(set slice.Set, operations []state.Operation) map[uint32]int {
	owners := map[uint64]uint32{}
	for i := range set.Len() {
		owners[set.At(i).Start] = plannedOwner(set.At(i))
	}
	for _, o := range operations {
		if o.Kind == state.Assign || o.Kind == state.BeginMove {
			owners[o.Start] = o.To
		}
	}
	ranges, previous := map[uint32]int{}, uint32(0)
	for i := range set.Len() {
		owner := owners[set.At(i).Start]
		if owner != previous {
			ranges[owner]++
		}
		previous = owner
	}
	return ranges
}

// TestRangesAreLimited guards against upstreams with more separate ranges than fit in the responses to them: the ranges beyond would
// never be served.
func TestRangesAreLimited(t *testing.T) {
	limited := func(most int, numbers ...uint32) (members []Member) {
		for _, m := range ready(numbers...) {
			members = append(members, m.WithMaxRanges(most))
		}
		return members
	}
	t.Run("first owners", func(t *testing.T) {
		set := slice.NewSet(256)
		operations := NewWeighted().Plan(time.Minute, NewView("s", set, make([]float64, 256), limited(100, 1, 2), nil, equalWeights))
		qt.Assert(t, count(operations, state.Assign), qt.Equals, 256)
		for owner, n := range rangesAfter(set, operations) {
			qt.Check(t, n <= 100, qt.IsTrue, qt.Commentf("upstream %d has %d ranges", owner, n))
		}
	})
	t.Run("moves for balance", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			most := rapid.IntRange(2, 12).Draw(t, "most")
			set := owned(64, 1)
			rates := make([]float64, 64)
			for i := range rates {
				rates[i] = float64(rapid.IntRange(0, 100).Draw(t, "rate"))
			}
			operations := NewTuned(HandoverTuning()).Plan(time.Minute, NewView("s", set, rates, limited(most, 1, 2, 3), nil, equalWeights))
			for owner, n := range rangesAfter(set, operations) {
				if n > most {
					t.Fatalf("upstream %d has %d ranges, more than %d", owner, n, most)
				}
			}
		})
	})
}
