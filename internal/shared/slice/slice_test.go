package slice

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestSetAgainstMap compares lookups and changes with a map of slices by start.
func TestSetAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet(rapid.IntRange(1, 9).Draw(t, "count"))
		naive := map[uint64]Slice{}
		for _, s := range set.Slices() {
			naive[s.Start] = s
		}
		for range 30 {
			c := Change{Slice: Slice{Start: rapid.Uint64Range(0, 40).Draw(t, "start") << 58, Fence: rapid.Uint64().Draw(t, "fence")}}
			_, exists := naive[c.Slice.Start]
			c.Removed = exists && c.Slice.Start != 0 && rapid.Bool().Draw(t, "remove")
			next, err := set.Apply([]Change{c})
			if err != nil {
				t.Fatal(err)
			}
			if c.Removed {
				delete(naive, c.Slice.Start)
			} else {
				naive[c.Slice.Start] = c.Slice
			}
			set = next
		}
		if again, err := FromSlices(set.Slices()); err != nil || again.Digest() != set.Digest() {
			t.Fatal("the digest after incremental changes differs from the digest of all slices")
		}
		hash := rapid.Uint64().Draw(t, "hash")
		want := naive[0]
		for start, s := range naive {
			if start <= hash && start >= want.Start {
				want = s
			}
		}
		if got := set.Find(hash); got != want || set.Len() != len(naive) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		total := 0.0
		for i := range set.Len() {
			total += set.Share(i)
		}
		if total < 0.999999 || total > 1.000001 {
			t.Fatalf("shares add up to %f", total)
		}
	})
}

func TestBadChangesAreRejected(t *testing.T) {
	c := qt.New(t)
	set := NewSet(4)
	var bad *ErrBadChange
	for _, change := range []Change{{Removed: true}, {Slice: Slice{Start: 5}, Removed: true}} {
		_, err := set.Apply([]Change{change})
		c.Assert(err, qt.ErrorAs, &bad)
	}
	_, err := FromSlices([]Slice{{Start: 0}, {Start: 9}, {Start: 9}})
	c.Assert(err, qt.ErrorAs, &bad)
	c.Assert(set.Len(), qt.Equals, 4)
}

func BenchmarkPosition(b *testing.B) {
	set := NewSet(100000)
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		set.Position(random.Uint64())
	}
}
