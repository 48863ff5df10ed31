package fairqueue

// flowHeap orders the flows that have items by start tag, then by arrival of the head.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }

func (h flowHeap[T]) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.start != b.start || len(a.items) == 0 || len(b.items) == 0 {
		return a.start < b.start
	}
	return a.items[0].seq < b.items[0].seq
}

func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// rankHeap orders the items of one flow by rank, then by arrival.
type rankHeap[T any] []*Item[T]

func (h rankHeap[T]) Len() int { return len(h) }

func (h rankHeap[T]) Less(i, j int) bool {
	if h[i].Rank != h[j].Rank {
		return h[i].Rank < h[j].Rank
	}
	return h[i].seq < h[j].seq
}

func (h rankHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *rankHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *rankHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

// dueHeap orders all items by Due.
type dueHeap[T any] []*Item[T]

func (h dueHeap[T]) Len() int { return len(h) }

func (h dueHeap[T]) Less(i, j int) bool { return h[i].Due < h[j].Due }

func (h dueHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.dueIndex = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *dueHeap[T]) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}
