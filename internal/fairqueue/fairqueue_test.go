package fairqueue

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func push(q *Queue[string], flow string, weight, cost, rank float64, value string) *Item[string] {
	item := &Item[string]{Value: value, Cost: cost, Rank: rank, Due: rank}
	q.Push(flow, weight, item)
	return item
}

func drain(q *Queue[string]) (out []string) {
	for item := q.Pop(); item != nil; item = q.Pop() {
		out = append(out, item.Value)
	}
	return out
}

func TestSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	for range 30 {
		push(q, "heavy", 2, 1, 0, "heavy")
		push(q, "light", 1, 1, 0, "light")
	}
	count := map[string]int{}
	for range 30 {
		count[q.Pop().Value]++
	}
	is.Equal(count["heavy"], 20)
	is.Equal(count["light"], 10)
}

func TestIdleFlowKeepsCredit(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	q.Credit = 3
	for range 20 {
		push(q, "flood", 1, 1, 0, "flood")
	}
	for range 10 {
		q.Pop()
	}
	for range 3 {
		push(q, "quiet", 1, 1, 0, "quiet")
	}
	is.Equal(q.CostAhead("quiet", 1), 3.0) // its own backlog; the flood starts later
	is.Equal(drain(q)[:3], []string{"quiet", "quiet", "quiet"})
}

func TestRefundRestoresThePosition(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	first := push(q, "a", 1, 5, 0, "a")
	push(q, "b", 1, 5, 0, "b")
	is.Equal(q.Pop(), first)
	q.Refund("a", 5)
	push(q, "a", 1, 5, 0, "a")
	is.Equal(q.Head().Value, "b") // both start at zero; b was pushed earlier
	is.Equal(drain(q), []string{"b", "a"})
}

func TestOverdueReturnsTheLowestDue(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	push(q, "a", 1, 1, 7, "late")
	early := push(q, "b", 1, 1, 3, "early")
	is.Equal(q.Overdue(3), nil)
	is.Equal(q.Overdue(4), early)
	is.True(q.Remove(early))
	is.True(!q.Remove(early))
	is.Equal(q.Overdue(7), nil)
}

// TestSizeAndCostMatchModel compares size and total cost with a list of the items.
func TestSizeAndCostMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[string]()
		var items []*Item[string]
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				flow := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow")
				cost := float64(rapid.IntRange(1, 9).Draw(t, "cost"))
				items = append(items, push(q, flow, 1, cost, cost, flow))
			},
			"pop": func(*rapid.T) {
				if item := q.Pop(); item != nil {
					items = without(items, item)
				}
			},
			"remove": func(t *rapid.T) {
				if len(items) > 0 {
					item := rapid.SampledFrom(items).Draw(t, "item")
					q.Remove(item)
					items = without(items, item)
				}
			},
			"": func(t *rapid.T) {
				sum := 0.0
				for _, item := range items {
					sum += item.Cost
				}
				if q.Len() != len(items) || q.Cost() != sum || (q.Head() == nil) != (len(items) == 0) {
					t.Fatalf("the queue has %d items of cost %g; the model has %d of %g", q.Len(), q.Cost(), len(items), sum)
				}
			},
		})
	})
}

func without(list []*Item[string], item *Item[string]) []*Item[string] {
	for i, x := range list {
		if x == item {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
