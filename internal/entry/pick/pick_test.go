package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// shares draws many times and returns how often each candidate was chosen.
func shares(list []Candidate) []float64 {
	random := rand.New(rand.NewPCG(1, 2))
	got := make([]float64, len(list))
	const draws = 5000
	for range draws {
		i, _ := Choose(list, random.Float64)
		got[i] += 1.0 / draws
	}
	return got
}

func even(n int) (list []Candidate) {
	for i := range n {
		list = append(list, Candidate{Number: uint32(i + 1), Slots: 3, Age: -1, LatencyRatio: 1, Local: true})
	}
	return list
}

func TestNobodyToChoose(t *testing.T) {
	_, ok := Choose(nil, rand.Float64)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestEqualUpstreamsGetEqualShares(t *testing.T) {
	for _, share := range shares(even(5)) {
		qt.Check(t, share > 0.05 && share < 0.35, qt.IsTrue, qt.Commentf("%v", share))
	}
}

// TestWorseUpstreamsGetLess holds each reason why an upstream should be passed over against an equal one without it.
func TestWorseUpstreamsGetLess(t *testing.T) {
	cases := map[string]func(*Candidate){
		"full by its own word":   func(c *Candidate) { c.Others, c.Age = 9, 0 },
		"full of own requests":   func(c *Candidate) { c.Own = 6 },
		"five times slower":      func(c *Candidate) { c.LatencyRatio = 5 },
		"fails half":             func(c *Candidate) { c.FailureRate = 0.5 },
		"in another data centre": func(c *Candidate) { c.Local = false },
		"just started":           func(c *Candidate) { c.Cold = true },
	}
	for name, worsen := range cases {
		t.Run(name, func(t *testing.T) {
			list := even(4)
			worsen(&list[0])
			qt.Assert(t, shares(list)[0] < 0.13, qt.IsTrue)
		})
	}
}

// TestOldReadingsCountForLittle holds that an upstream that was full a while ago is not passed over for good.
func TestOldReadingsCountForLittle(t *testing.T) {
	list := even(4)
	list[0].Others, list[0].Age = 9, 3*time.Second
	fresh := even(4)
	fresh[0].Others, fresh[0].Age = 9, 0
	qt.Assert(t, shares(list)[0] > shares(fresh)[0]+0.05, qt.IsTrue)
}
