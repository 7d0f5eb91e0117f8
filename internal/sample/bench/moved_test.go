package bench

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// mostMoved is how many times the least that must move a policy may move when one upstream comes or goes.
const mostMoved = 1.2

// TestOneLostMovesWhatItHeld holds that the loss of one upstream moves its own keys, as nobody serves them otherwise, and little
// else. One that held a few hot keys had less than an equal share of the key space; sharing its load then moves others' keys too.
func TestOneLostMovesWhatItHeld(t *testing.T) {
	for _, workers := range []int{3, 6, 10} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			f := newField(11, workers, weighted(), conf.NewWeights(1, 1, 1))
			f.run(settle, nil)
			f.clear()
			lost, held := f.workers[0], 0.0
			for i := range f.set.Len() {
				if f.set.At(i).Owner == lost.number {
					held += f.set.Share(i)
				}
			}
			f.run(settle+2*time.Minute, func() {
				if f.now == settle+time.Second {
					f.lose(lost)
				}
			})
			t.Logf("held %.3f, moved %.3f, max/mean %.2f (optimum %.2f)", held, f.moved, f.peak(f.now-time.Minute, f.now), f.optimum(workers-1))
			qt.Check(t, f.moved >= held, qt.IsTrue)
			qt.Check(t, f.moved <= mostMoved*max(held, 1/float64(workers)), qt.IsTrue)
		})
	}
}

// TestOneMoreMovesItsShareAtMost holds that an upstream that joins draws no more of the key space than an equal share.
func TestOneMoreMovesItsShareAtMost(t *testing.T) {
	for _, workers := range []int{3, 6, 10} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			f := newField(11, workers, weighted(), conf.NewWeights(1, 1, 1))
			f.run(settle, nil)
			f.clear()
			f.run(settle+2*time.Minute, func() {
				if f.now == settle+time.Second {
					f.join(100, 0)
				}
			})
			least := 1 / float64(workers+1)
			t.Logf("an equal share %.3f, moved %.3f, max/mean %.2f (optimum %.2f)", least, f.moved, f.peak(f.now-time.Minute, f.now), f.optimum(workers+1))
			qt.Check(t, f.moved <= mostMoved*least, qt.IsTrue)
		})
	}
}
