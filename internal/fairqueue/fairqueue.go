// Package fairqueue implements start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
// 1996) of waiting requests, with one flow per provider. Within a flow, the item with
// the lowest rank goes first. A queue with one flow orders by rank alone. The package
// does no I/O and has no clock or lock of its own.
package fairqueue

import "container/heap"

// Queue holds items of type T. The zero value is not usable; call New.
type Queue[T any] struct {
	// Credit is the maximum unused service that a flow keeps from a time in which it
	// used less than its share, as cost per unit of weight. A flow within its share
	// then goes before one that exceeds its own.
	Credit float64

	flows   map[string]*flow[T]
	heads   flowHeap[T]
	due     dueHeap[T]
	virtual float64 // virtual time
	cost    float64 // sum of the costs of all items
	size    int
	seq     uint64
}

// flow is the queue of one provider.
type flow[T any] struct {
	items  rankHeap[T]
	start  float64 // start tag of the head
	weight float64
	cost   float64 // sum of the costs of the items
	index  int     // position in heads, or -1
}

// Item is one queued element. The caller owns it and sets the exported fields
// before Push.
type Item[T any] struct {
	Value T
	// Rank orders the items of one flow; the lowest goes first.
	Rank float64
	// Cost is the service that the item needs, in a unit common to all flows.
	Cost float64
	// Due is the time until which the item may stay queued, for Overdue. The caller
	// chooses the unit.
	Due float64
	// BelowShare is set by Pop when other items wait and the flow has used less
	// than its share.
	BelowShare bool

	flow     *flow[T]
	seq      uint64
	index    int // position in its flow
	dueIndex int // position in the queue's heap of due items
}

// New returns an empty queue.
func New[T any]() *Queue[T] { return &Queue[T]{flows: map[string]*flow[T]{}} }

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an item to a flow. weight is the relative share of the flow and must be
// positive.
func (q *Queue[T]) Push(key string, weight float64, item *Item[T]) {
	f, ok := q.flows[key]
	if !ok {
		f = &flow[T]{index: -1}
		q.flows[key] = f
	}
	q.seq++
	item.flow, item.seq = f, q.seq
	heap.Push(&f.items, item)
	heap.Push(&q.due, item)
	f.cost += item.Cost
	q.cost += item.Cost
	q.size++
	if f.index < 0 {
		f.weight = weight
		f.start = max(q.virtual-q.Credit, f.start)
		heap.Push(&q.heads, f)
	}
}

// Head returns the next item without removing it, or nil.
func (q *Queue[T]) Head() *Item[T] {
	if q.size == 0 {
		return nil
	}
	return q.heads[0].items[0]
}

// Pop removes the head and charges its cost to its flow. It returns nil when
// the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	item := q.Head()
	if item == nil {
		return nil
	}
	f := item.flow
	item.BelowShare = f.start+item.Cost/f.weight < q.virtual && q.size > 1
	q.virtual = max(q.virtual, f.start)
	f.start += item.Cost / f.weight
	q.Remove(item)
	return item
}

// Overdue returns the item with the lowest Due if that is below the limit, or nil.
func (q *Queue[T]) Overdue(limit float64) *Item[T] {
	if q.size == 0 || q.due[0].Due >= limit {
		return nil
	}
	return q.due[0]
}

// Remove removes an item from the queue without charging its flow. It reports false
// when the item is not queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	f := item.flow
	if f == nil {
		return false
	}
	heap.Remove(&f.items, item.index)
	heap.Remove(&q.due, item.dueIndex)
	item.flow = nil
	f.cost -= item.Cost
	q.cost -= item.Cost
	q.size--
	if len(f.items) > 0 {
		heap.Fix(&q.heads, f.index)
		return true
	}
	heap.Remove(&q.heads, f.index)
	return true
}

// CostAhead returns the cost of the items that are served before a new item at the end
// of a flow: the backlog of the flow, and of the other flows the part that starts
// before the new item.
func (q *Queue[T]) CostAhead(key string, weight float64) float64 {
	start := q.virtual - q.Credit
	if f, ok := q.flows[key]; ok {
		start = max(start, f.start)
		if f.index >= 0 {
			start = f.start + f.cost/weight
		}
	}
	ahead := 0.0
	for _, f := range q.heads {
		ahead += min(f.cost, max(0, start-f.start)*f.weight)
	}
	return ahead
}

// Cost returns the total cost of the queued items.
func (q *Queue[T]) Cost() float64 { return q.cost }

// Refund moves the start tag of a flow back by a cost that it was charged for service
// that was lost. A flow with items then falls behind the virtual time by at most that
// cost and Credit. If the flow has no items, the next Push limits this to Credit.
func (q *Queue[T]) Refund(key string, cost float64) {
	f, ok := q.flows[key]
	if !ok {
		return
	}
	f.start -= cost / f.weight
	if f.index >= 0 {
		heap.Fix(&q.heads, f.index)
	}
}

// UpdateDue recomputes Due of all items.
func (q *Queue[T]) UpdateDue(due func(T) float64) {
	for _, item := range q.due {
		item.Due = due(item.Value)
	}
	heap.Init(&q.due)
}
