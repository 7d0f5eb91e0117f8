package sketch

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSketchAgainstExactCounts compares the sketch's estimates and error bounds with exact counts.
func TestSketchAgainstExactCounts(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(random, 1.2, 1, 100000)
	s, exact := New[uint64](200), map[uint64]float64{}
	const n = 200000
	for range n {
		k := zipf.Uint64()
		s.Add(k)
		exact[k]++
	}
	c.Assert(s.Len(), qt.Equals, 200)
	held := map[uint64]bool{}
	for _, k := range s.Take() {
		c.Assert(k.Seen >= exact[k.Item], qt.IsTrue)
		c.Assert(k.Seen-k.Error <= exact[k.Item], qt.IsTrue)
		held[k.Item] = true
	}
	for k, count := range exact {
		if count > n/200 {
			c.Assert(held[k], qt.IsTrue)
		}
	}
	c.Assert(s.Len(), qt.Equals, 0)
}

func BenchmarkAdd(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(random, 1.2, 1, 1000000)
	s := New[uint64](512)
	for b.Loop() {
		s.Add(zipf.Uint64())
	}
}
