package slice

import (
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Slice is the range of hashes from Start to the next slice's start. Owner and Next, the owner after a move in progress, are
// upstream numbers, zero for none. Fence is the fencing token.
type Slice struct {
	_     struct{} `cbor:",toarray"`
	Start uint64
	Fence uint64
	Owner uint32
	Next  uint32
}

// Moving reports whether the slice is being moved from its owner to Next.
func (s Slice) Moving() bool { return s.Next != 0 }

// Change inserts or replaces the slice with the same start, or removes it.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Slice   Slice
	Removed bool
}

// ErrBadChange is returned for slices or changes that do not give a valid set.
type ErrBadChange struct {
	Reason string
}

// Error returns the message.
func (e *ErrBadChange) Error() string { return "invalid slice change: " + e.Reason }

// Set is an immutable division of the hash space, ordered by start; the first slice starts at zero.
type Set struct {
	slices []Slice
	digest uint64
}

// HashKey returns the hash of a key.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// NumberUnit is the number of hashes that one numbered key covers.
const NumberUnit = 1 << 48

// HashNumber returns the first hash of a numbered key's range; consecutive numbers have adjacent ranges.
func HashNumber(key uint16) uint64 { return uint64(key) * NumberUnit }

// NumberOf returns the numbered key that covers a hash.
func NumberOf(hash uint64) uint16 { return uint16(hash / NumberUnit) }

// NewSet returns a set of count slices of equal width without owners.
func NewSet(count int) Set {
	width := ^uint64(0)/uint64(count) + 1
	if count == 1 {
		width = 0
	}
	s := make([]Slice, count)
	for i := range s {
		s[i].Start = uint64(i) * width
	}
	return Set{slices: s, digest: digestOf(s)}
}

// FromSlices returns the set of the given slices, which must be ordered and start at zero.
func FromSlices(s []Slice) (set Set, err error) {
	if err = checkOrder(s); err != nil {
		return Set{}, err
	}
	return Set{slices: s, digest: digestOf(s)}, nil
}

func checkOrder(s []Slice) error {
	if len(s) == 0 || s[0].Start != 0 {
		return &ErrBadChange{Reason: "the first slice must start at 0"}
	}
	for i := 1; i < len(s); i++ {
		if s[i].Start <= s[i-1].Start {
			return &ErrBadChange{Reason: fmt.Sprintf("slice %d does not start after the previous one", i)}
		}
	}
	return nil
}

// Len returns the number of slices.
func (s Set) Len() int { return len(s.slices) }

// At returns the slice at a position.
func (s Set) At(i int) Slice { return s.slices[i] }

// Slices returns a copy of all slices.
func (s Set) Slices() []Slice { return slices.Clone(s.slices) }

// Position returns the position of the slice that contains the hash.
func (s Set) Position(hash uint64) int {
	low, high := 0, len(s.slices)
	for high-low > 1 {
		middle := int(uint(low+high) >> 1)
		if s.slices[middle].Start <= hash {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// Find returns the slice that contains the hash.
func (s Set) Find(hash uint64) Slice { return s.slices[s.Position(hash)] }

// StartsAt returns the slice that starts exactly at the hash.
func (s Set) StartsAt(start uint64) (found Slice, ok bool) {
	found = s.Find(start)
	return found, found.Start == start
}

// Last returns the last hash of the slice at a position.
func (s Set) Last(i int) uint64 {
	if i+1 < len(s.slices) {
		return s.slices[i+1].Start - 1
	}
	return ^uint64(0)
}

// Share returns the fraction of the hash space that the slice at a position covers, between 0 and 1.
func (s Set) Share(i int) float64 {
	return (float64(s.Last(i)-s.slices[i].Start) + 1) / (float64(1<<63) * 2)
}

// Apply returns the set with the changes applied; the receiver is not changed. Of several changes with the same start only
// the last one applies.
func (s Set) Apply(changes []Change) (next Set, err error) {
	ordered := slices.Clone(changes)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Slice.Start < ordered[j].Slice.Start })
	merged := make([]Slice, 0, len(s.slices)+len(changes))
	digest := s.digest
	i := 0
	for k, c := range ordered {
		if k+1 < len(ordered) && ordered[k+1].Slice.Start == c.Slice.Start {
			continue
		}
		untouched := sort.Search(len(s.slices)-i, func(k int) bool { return s.slices[i+k].Start >= c.Slice.Start })
		merged = append(merged, s.slices[i:i+untouched]...)
		i += untouched
		if i < len(s.slices) && s.slices[i].Start == c.Slice.Start {
			digest -= s.slices[i].digest()
			i++
		} else if c.Removed {
			return Set{}, &ErrBadChange{Reason: "the slice to remove does not exist"}
		}
		if !c.Removed {
			merged = append(merged, c.Slice)
			digest += c.Slice.digest()
		}
	}
	merged = append(merged, s.slices[i:]...)
	if len(merged) == 0 || merged[0].Start != 0 {
		return Set{}, &ErrBadChange{Reason: "the first slice must start at 0"}
	}
	return Set{slices: merged, digest: digest}, nil
}

// Digest returns a checksum over all slices, which Apply updates incrementally.
func (s Set) Digest() uint64 { return s.digest }

func digestOf(slices []Slice) (sum uint64) {
	for _, e := range slices {
		sum += e.digest()
	}
	return sum
}

func (s Slice) digest() uint64 {
	h := Mix(s.Start ^ Mix(s.Fence))
	return Mix(h ^ uint64(s.Owner)<<32 ^ uint64(s.Next))
}

// Mix is a bit-mixing hash function for integers: similar numbers get very different results.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
