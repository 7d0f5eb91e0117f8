package sketch

import (
	"cmp"
	"slices"
)

// Count is an item with an estimate of how often it occurred. Seen never underestimates, and overestimates by at most Error.
type Count[K cmp.Ordered] struct {
	Item  K
	Seen  float64
	Error float64
}

// Sketch is a space-saving sketch (Metwally et al., 2005). It contains every item that makes up more than 1/capacity of the
// stream. The counts are kept in a min-heap.
type Sketch[K cmp.Ordered] struct {
	capacity  int
	positions map[K]int
	heap      []Count[K]
}

// New returns a sketch that holds at most capacity items.
func New[K cmp.Ordered](capacity int) *Sketch[K] {
	return &Sketch[K]{capacity: capacity, positions: make(map[K]int, capacity)}
}

// Add counts one occurrence of an item. If the sketch is full, a new item replaces the least frequent one and inherits its count.
func (s *Sketch[K]) Add(item K) {
	if i, ok := s.positions[item]; ok {
		s.heap[i].Seen++
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.capacity {
		s.heap = append(s.heap, Count[K]{Item: item, Seen: 1})
		s.positions[item] = len(s.heap) - 1
		s.siftUp(len(s.heap) - 1)
		return
	}
	least := s.heap[0]
	delete(s.positions, least.Item)
	s.heap[0] = Count[K]{Item: item, Seen: least.Seen + 1, Error: least.Seen}
	s.positions[item] = 0
	s.siftDown(0)
}

// Take returns the counts, most frequent first, and empties the sketch.
func (s *Sketch[K]) Take() []Count[K] {
	counts := s.heap
	s.heap, s.positions = nil, make(map[K]int, s.capacity)
	slices.SortFunc(counts, func(a, b Count[K]) int { return cmp.Or(cmp.Compare(b.Seen, a.Seen), cmp.Compare(a.Item, b.Item)) })
	return counts
}

// Len returns the number of items held.
func (s *Sketch[K]) Len() int { return len(s.heap) }

func (s *Sketch[K]) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.positions[s.heap[i].Item], s.positions[s.heap[j].Item] = i, j
}

func (s *Sketch[K]) siftUp(i int) {
	for i > 0 && s.heap[i].Seen < s.heap[(i-1)/2].Seen {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *Sketch[K]) siftDown(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(s.heap); c++ {
			if s.heap[c].Seen < s.heap[least].Seen {
				least = c
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}
