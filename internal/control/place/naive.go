package place

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Modulo gives slice number i to upstream number i modulo the count of upstreams; it is a baseline.
type Modulo struct{}

// Plan returns the moves that make the owners fit.
func (Modulo) Plan(_ time.Duration, view View) []state.Operation {
	ready := readyNumbers(view)
	return assignAll(view, func(i int) uint32 { return ready[i%len(ready)] }, len(ready))
}

// Rendezvous gives each slice to the upstream with the highest hash of both; it is a baseline.
type Rendezvous struct{}

// Plan returns the moves that make the owners fit.
func (Rendezvous) Plan(_ time.Duration, view View) []state.Operation {
	ready := readyNumbers(view)
	return assignAll(view, func(i int) uint32 {
		start := view.set.At(i).Start
		return slices.MaxFunc(ready, func(a, b uint32) int { return cmp.Compare(pairHash(start, a), pairHash(start, b)) })
	}, len(ready))
}

// Rebalance deals all slices anew by load at each call, without regard to who has them; it is a baseline.
type Rebalance struct{}

// Plan returns the moves that make the owners fit.
func (Rebalance) Plan(_ time.Duration, view View) []state.Operation {
	ready := readyNumbers(view)
	loads := sliceLoads(view)
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	borne := make([]float64, len(ready))
	target := make([]uint32, len(loads))
	for _, i := range order {
		least := 0
		for k := range borne {
			if borne[k] < borne[least] {
				least = k
			}
		}
		borne[least] += loads[i]
		target[i] = ready[least]
	}
	return assignAll(view, func(i int) uint32 { return target[i] }, len(ready))
}

func readyNumbers(v View) (numbers []uint32) {
	for _, m := range v.members {
		if m.state == Ready {
			numbers = append(numbers, m.number)
		}
	}
	return numbers
}

func assignAll(v View, owner func(int) uint32, ready int) (operations []state.Operation) {
	if ready == 0 {
		return nil
	}
	for i := range v.set.Len() {
		if o, ok := v.moveTo(v.set.At(i), owner(i)); ok {
			operations = append(operations, o)
		}
	}
	return operations
}

func pairHash(start uint64, number uint32) uint64 {
	var b [12]byte
	for i := range 8 {
		b[i] = byte(start >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(number >> (8 * i))
	}
	return slice.HashKey(string(b[:]))
}
