package heap

// Heap is a binary heap; it is not safe for concurrent use.
type Heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

// Absent is the index of an element that is not in a heap.
const Absent = -1

// New returns an empty Heap ordered by less. The heap calls setIndex with each new index of an element, and with Absent when the
// element is removed.
func New[T any](less func(a, b T) bool, setIndex func(item T, index int)) *Heap[T] {
	return &Heap[T]{less: less, setIndex: setIndex}
}

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// First returns the first element without removing it; false when the heap is empty.
func (h *Heap[T]) First() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// Items returns the elements in heap order, which is not sorted; the caller must not change the slice.
func (h *Heap[T]) Items() []T { return h.items }

// Push adds an element.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the element at the index and returns it.
func (h *Heap[T]) Remove(index int) T {
	item, last := h.items[index], len(h.items)-1
	h.swap(index, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(item, Absent)
	if index < last {
		h.Fix(index)
	}
	return item
}

// Fix restores the heap order after the element at the index has changed.
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
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

// up moves the element towards the root until its parent precedes it.
func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element away from the root until it precedes its children; it reports whether the element moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}
