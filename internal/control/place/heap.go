package place

import "container/heap"

// indexedHeap is a heap that reports the index of each item, so that an item whose order has changed can be fixed.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// moved is called with the new index of an item.
	moved func(item T, at int)
}

// newIndexedHeap returns a heap of the items. moved is called with each item's index, now and whenever it changes.
func newIndexedHeap[T any](items []T, less func(a, b T) bool, moved func(T, int)) *indexedHeap[T] {
	h := &indexedHeap[T]{items: items, less: less, moved: moved}
	for i, item := range items {
		moved(item, i)
	}
	heap.Init(h)
	return h
}

// first returns the smallest item.
func (h *indexedHeap[T]) first() T { return h.items[0] }

// fix restores the heap after the order of the item at an index has changed.
func (h *indexedHeap[T]) fix(at int) { heap.Fix(h, at) }

func (h *indexedHeap[T]) Len() int { return len(h.items) }

func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

// Push does nothing, as items are never added.
func (h *indexedHeap[T]) Push(any) {}

// Pop does nothing, as items are never removed.
func (h *indexedHeap[T]) Pop() any { return nil }
