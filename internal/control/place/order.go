package place

import "container/heap"

// order is a heap that keeps its items' places, so that one whose rank changed can be put right.
type order[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(item T, at int)
}

// newOrder returns a heap of the items; place is told where each stands.
func newOrder[T any](items []T, less func(a, b T) bool, place func(T, int)) *order[T] {
	o := &order[T]{items: items, less: less, place: place}
	for i, item := range items {
		place(item, i)
	}
	heap.Init(o)
	return o
}

// first returns the least item.
func (o *order[T]) first() T { return o.items[0] }

// fix puts the item at a place right after its rank changed.
func (o *order[T]) fix(at int) { heap.Fix(o, at) }

// Len returns the number of items.
func (o *order[T]) Len() int { return len(o.items) }

// Less compares two items.
func (o *order[T]) Less(i, j int) bool { return o.less(o.items[i], o.items[j]) }

// Swap exchanges two items.
func (o *order[T]) Swap(i, j int) {
	o.items[i], o.items[j] = o.items[j], o.items[i]
	o.place(o.items[i], i)
	o.place(o.items[j], j)
}

// Push is not used; the set of items is fixed.
func (o *order[T]) Push(any) {}

// Pop is not used; the set of items is fixed.
func (o *order[T]) Pop() any { return nil }
