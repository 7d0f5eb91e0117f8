package bench

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// maxMoved is the most key space that a policy may move when one upstream joins or is lost, relative to the minimum.
const maxMoved = 1.2

// TestOneLostMovesWhatItHeld checks that the loss of an upstream moves all its keys, which have no owner otherwise, and few
// others. An upstream with a few hot keys owns less than an equal share of the key space; to spread its load, the policy
// then has to move keys of other upstreams too. The limit is thus relative to an equal share at least.
func TestOneLostMovesWhatItHeld(t *testing.T) {
	for _, workers := range []int{3, 6, 10} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			sim := newPlacementSim(11, workers, newWeighted(), conf.NewWeights(1, 1, 1))
			sim.run(warmUp, nil)
			sim.clear()
			lost, owned := sim.workers[0], 0.0
			for i := range sim.set.Len() {
				if sim.set.At(i).Owner == lost.number {
					owned += sim.set.Share(i)
				}
			}
			sim.run(warmUp+2*time.Minute, func() {
				if sim.now == warmUp+time.Second {
					sim.lose(lost)
				}
			})
			t.Logf("owned share %.3f, moved share %.3f, max/mean %.2f (optimum %.2f)", owned, sim.moved, sim.meanImbalance(sim.now-time.Minute, sim.now), sim.optimalImbalance(workers-1))
			qt.Check(t, sim.moved >= owned, qt.IsTrue)
			qt.Check(t, sim.moved <= maxMoved*max(owned, 1/float64(workers)), qt.IsTrue)
		})
	}
}

// TestOneMoreMovesItsShareAtMost checks that a joining upstream moves at most an equal share of the key space, times
// maxMoved.
func TestOneMoreMovesItsShareAtMost(t *testing.T) {
	for _, workers := range []int{3, 6, 10} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			sim := newPlacementSim(11, workers, newWeighted(), conf.NewWeights(1, 1, 1))
			sim.run(warmUp, nil)
			sim.clear()
			sim.run(warmUp+2*time.Minute, func() {
				if sim.now == warmUp+time.Second {
					sim.join(100, 0)
				}
			})
			least := 1 / float64(workers+1)
			t.Logf("equal share %.3f, moved share %.3f, max/mean %.2f (optimum %.2f)", least, sim.moved, sim.meanImbalance(sim.now-time.Minute, sim.now), sim.optimalImbalance(workers+1))
			qt.Check(t, sim.moved <= maxMoved*least, qt.IsTrue)
		})
	}
}
