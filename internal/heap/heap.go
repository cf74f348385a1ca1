package heap

// Heap is a binary heap; it is not safe for concurrent use.
type Heap[T any] struct {
	items  []T
	before func(a, b T) bool
	moved  func(item T, index int)
}

// Absent is the index that moved receives for a removed element.
const Absent = -1

// New returns an empty Heap ordered by before; moved is told each element's new index, and Absent when it is removed.
func New[T any](before func(a, b T) bool, moved func(item T, index int)) *Heap[T] {
	return &Heap[T]{before: before, moved: moved}
}

// Len is the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first element without removing it; false when the heap is empty.
func (h *Heap[T]) First() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// Items returns the elements in no useful order; the caller must not change the slice.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an element.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.moved(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the element at the index and returns it.
func (h *Heap[T]) Remove(index int) T {
	item, last := h.items[index], len(h.items)-1
	h.swap(index, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	h.moved(item, Absent)
	if index < last {
		h.Fix(index)
	}
	return item
}

// Fix restores the order after the element at the index has changed.
func (h *Heap[T]) Fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *Heap[T]) swap(i, j int) {
	if i == j {
		return
	}
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the element moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.before(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.before(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
