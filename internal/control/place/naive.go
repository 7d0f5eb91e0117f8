package place

import (
	"cmp"
	"slices"
	"time"

	"ebonyrill.dev/ebonyrill/internal/control/state"
	"ebonyrill.dev/ebonyrill/internal/shared/slice"
)

// Modulo is a baseline policy that assigns slice i to ready upstream i modulo the number of ready upstreams.
type Modulo struct{}

// Plan returns the operations that bring each slice to its upstream.
func (Modulo) Plan(_ time.Duration, view View) []state.Operation {
	ready := readyNumbers(view)
	return assignAll(view, func(i int) uint32 { return ready[i%len(ready)] }, len(ready))
}

// Rendezvous is a baseline policy that assigns each slice by rendezvous hashing.
type Rendezvous struct{}

// Plan returns the operations that bring each slice to its upstream.
func (Rendezvous) Plan(_ time.Duration, view View) []state.Operation {
	ready := readyNumbers(view)
	return assignAll(view, func(i int) uint32 {
		start := view.set.At(i).Start
		return slices.MaxFunc(ready, func(a, b uint32) int { return cmp.Compare(pairHash(start, a), pairHash(start, b)) })
	}, len(ready))
}

// Rebalance is a baseline policy that assigns all slices by load at each call, regardless of their current owners.
type Rebalance struct{}

// Plan returns the operations that bring each slice to its upstream.
func (Rebalance) Plan(_ time.Duration, view View) []state.Operation {
	ready := readyNumbers(view)
	loads := sliceLoads(view)
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loads[b], loads[a]) })
	assigned := make([]float64, len(ready))
	target := make([]uint32, len(loads))
	for _, i := range order {
		least := 0
		for k := range assigned {
			if assigned[k] < assigned[least] {
				least = k
			}
		}
		assigned[least] += loads[i]
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
