package place

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/conf"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
	"ebonyrill.dev/ebonyrill/internal/shared/table"
)

var even = conf.NewWeights(1, 1, 1)

func ready(numbers ...uint32) (members []Member) {
	for _, n := range numbers {
		members = append(members, NewMember(n, 3, Ready, -time.Hour, 0))
	}
	return members
}

// owned returns slices that are dealt to owners in turn.
func owned(count int, owners ...uint32) slice.Set {
	s := slice.NewSet(count).Slices()
	for i := range s {
		s[i].Owner = owners[i%len(owners)]
	}
	set, _ := slice.FromSlices(s)
	return set
}

func count(operations []state.Operation, kind state.OperationKind) (n int) {
	for _, o := range operations {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

// TestPlansAreSafe holds every plan against what any plan must keep: only ready upstreams receive, orphans and slices of
// leaving upstreams all go, and no slice that is on its way is touched.
func TestPlansAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "members")
		var members []Member
		states := map[uint32]MemberState{}
		receivers := 0
		for i := range n {
			s := MemberState(rapid.IntRange(0, 3).Draw(t, "state"))
			members = append(members, NewMember(uint32(i)+1, float64(rapid.IntRange(1, 6).Draw(t, "slots")), s, -time.Hour, 0))
			states[uint32(i)+1] = s
			if s == Ready {
				receivers++
			}
		}
		whole := slice.NewSet(rapid.IntRange(1, 64).Draw(t, "slices")).Slices()
		rates := make([]float64, len(whole))
		for i := range whole {
			whole[i].Owner = uint32(rapid.IntRange(0, n).Draw(t, "owner"))
			if rapid.IntRange(0, 9).Draw(t, "moving") == 0 && whole[i].Owner != 0 {
				whole[i].Next = uint32(rapid.IntRange(1, n).Draw(t, "next"))
			}
			rates[i] = float64(rapid.IntRange(0, 100).Draw(t, "rate"))
		}
		set, err := slice.FromSlices(whole)
		if err != nil {
			t.Fatal(err)
		}
		hot := []HotKey{NewHotKey(rapid.Uint64().Draw(t, "hot"), 500)}
		handed := map[uint64]bool{}
		for _, o := range NewWeighted().Plan(time.Minute, NewView("s", set, rates, members, hot, even)) {
			e, starts := set.StartsAt(o.Start)
			moves := o.Kind == state.Assign || o.Kind == state.BeginMove
			if moves && states[o.To] != Ready {
				t.Fatalf("%+v gives to an upstream that is not ready", o)
			}
			if starts && e.Moving() {
				t.Fatalf("%+v touches a slice on its way", o)
			}
			if moves && handed[o.Start] {
				t.Fatalf("%+v hands a slice over twice", o)
			}
			handed[o.Start] = handed[o.Start] || moves
		}
		for _, e := range whole {
			must := e.Owner == 0 || !e.Moving() && (states[e.Owner] == Draining || states[e.Owner] == Expired)
			if receivers > 0 && must && !handed[e.Start] {
				t.Fatalf("slice %+v stays without a ready owner", e)
			}
		}
	})
}

func TestBalancedServiceIsLeftAlone(t *testing.T) {
	set := owned(64, 1, 2, 3, 4)
	rates := make([]float64, 64)
	for i := range rates {
		rates[i] = 100 + float64(i%5)
	}
	qt.Assert(t, NewWeighted().Plan(time.Minute, NewView("s", set, rates, ready(1, 2, 3, 4), nil, even)), qt.HasLen, 0)
}

func TestHotKeyIsCutOut(t *testing.T) {
	c := qt.New(t)
	set := owned(8, 1, 2)
	rates := []float64{100, 100, 100, 100, 100, 600, 100, 100}
	hash := set.At(5).Start + 12345
	operations := NewWeighted().Plan(time.Minute, NewView("s", set, rates, ready(1, 2), []HotKey{NewHotKey(hash, 500)}, even))
	c.Assert(operations[0].Kind, qt.Equals, state.Split)
	c.Assert(operations[0].At, qt.Equals, hash)
	c.Assert(operations[1].Start, qt.Equals, hash)
	c.Assert(operations[1].At, qt.Equals, hash+1)
}

func TestOthersMoveAwayFromAKeyThatOverloadsItsServer(t *testing.T) {
	c := qt.New(t)
	whole := slice.NewSet(8).Slices()
	for i := range whole {
		whole[i].Owner = uint32(i/4) + 1
	}
	hot := whole[0]
	hot.Start++
	rest := hot
	rest.Start++
	whole = append([]slice.Slice{whole[0], hot, rest}, whole[1:]...)
	set, err := slice.FromSlices(whole)
	c.Assert(err, qt.IsNil)
	rates := []float64{0, 1000, 50, 50, 50, 50, 50, 50, 50, 50}
	operations := NewWeighted().Plan(time.Minute, NewView("s", set, rates, ready(1, 2), []HotKey{NewHotKey(hot.Start, 1000)}, even))
	c.Assert(count(operations, state.BeginMove) > 0, qt.IsTrue)
	for _, o := range operations {
		if o.Kind == state.BeginMove {
			c.Assert(o.Start, qt.Not(qt.Equals), hot.Start)
		}
	}
}

func TestColdNeighboursAreMergedOnceTheyHaveCooled(t *testing.T) {
	c := qt.New(t)
	whole := slice.NewSet(200).Slices()
	for i := range whole {
		whole[i].Owner = uint32(i/100) + 1
	}
	set, err := slice.FromSlices(whole)
	c.Assert(err, qt.IsNil)
	rates := make([]float64, 200)
	for i := range rates {
		rates[i] = 1
	}
	p := NewWeighted()
	p.split[set.At(1).Start] = 59 * time.Second
	operations := p.Plan(time.Minute, NewView("s", set, rates, ready(1, 2), nil, even))
	c.Assert(count(operations, state.Merge), qt.Equals, maxMergesPerPlan)
	c.Assert(operations[0].Start, qt.Equals, set.At(2).Start)
}

func TestLoadsFollowSplitsAndMerges(t *testing.T) {
	c := qt.New(t)
	l, set := NewLoads(), slice.NewSet(2)
	l.Update(0, set)
	l.AddSlice(0, table.SliceCount{Start: 0, Count: 900})
	l.AddKey(0, table.KeyCount{Hash: 500, Count: 600})
	whole := l.Rates(0, set)[0]
	split, err := set.Apply([]slice.Change{{Slice: slice.Slice{Start: 500}}, {Slice: slice.Slice{Start: 501}}})
	c.Assert(err, qt.IsNil)
	l.Update(0, split)
	rates := l.Rates(0, split)
	c.Assert(rates[1] > rates[0] && rates[1] > rates[2], qt.IsTrue, qt.Commentf("%v", rates))
	c.Assert(rates[0]+rates[1]+rates[2] > whole*0.99, qt.IsTrue)
	l.Update(0, set)
	c.Assert(l.Rates(0, set)[0] > whole*0.99, qt.IsTrue)
}
