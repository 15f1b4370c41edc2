package lavqueue

// Heap is a binary min-heap that reports to each item its index, so that any
// item can be updated or removed in logarithmic time.
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores the index of an item in the heap, or -1 once the item is
	// removed.
	setIndex func(item T, index int)
}

// NewHeap returns an empty heap. It calls setIndex whenever an item changes its
// position.
func NewHeap[T any](less func(a, b T) bool, setIndex func(item T, index int)) *Heap[T] {
	return &Heap[T]{less: less, setIndex: setIndex}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the smallest item and whether the heap has one.
func (h *Heap[T]) Min() (T, bool) {
	if len(h.items) == 0 {
		var zero T
		return zero, false
	}
	return h.items[0], true
}

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// Remove removes the item at index i.
func (h *Heap[T]) Remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	h.setIndex(h.items[last], -1)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.Fix(i)
	}
}

// Fix restores the heap order after the item at index i has changed.
func (h *Heap[T]) Fix(i int) {
	if !h.down(i) {
		h.up(i)
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

// down moves an item away from the root and reports whether it moved.
func (h *Heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return i > start
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return i > start
		}
		h.swap(i, child)
		i = child
	}
}
